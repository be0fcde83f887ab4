//! Log lines of entries, parsed from their files.

use goldcrest_obs::logs::LogLine;

/// A log line of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The name of the log file without its extension, which identifies the entry.
    pub entry: Box<str>,
    /// The parsed line: time, level, part, message and fields.
    pub written: LogLine<'static>,
}

impl Line {
    /// Parses a JSON log line. Returns `None` if `text` is not one, such as a line that was cut off.
    #[must_use]
    pub fn parse(entry: &str, text: &str) -> Option<Self> {
        Some(Self {
            entry: entry.into(),
            written: serde_json::from_str(text.trim()).ok()?,
        })
    }

    /// Returns the time at which the line was written, in milliseconds since 1970 by the entry's clock.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.written.time_ms
    }

    /// Returns the message, which identifies the kind of event.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.written.message
    }

    /// Returns the value of the field `name`, if the line has it.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.written.fields.get(name).map(|value| &**value)
    }

    /// Returns the value of the field `name` as a number, if the line has it and it parses.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns whether any field holds `id` or the id of a part of it: a job's tasks have ids that begin with the job's
    /// id and a dot.
    #[must_use]
    pub fn is_about(&self, id: &str) -> bool {
        self.written.fields.values().any(|value| {
            let rest = value.strip_prefix(id);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    /// Formats the line for people, with its time as seconds since `start_ms`.
    #[must_use]
    pub fn show(&self, start_ms: u64) -> String {
        let sign = if self.time_ms() < start_ms { "-" } else { "" };
        let ms = self.time_ms().abs_diff(start_ms);
        let fields = self.written.fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{:>8} {} {:<9} {} {}",
            format!("{sign}{}.{:03}", ms / 1_000, ms % 1_000),
            self.entry,
            self.written.part,
            self.written.message,
            fields.join(" ")
        )
    }
}
