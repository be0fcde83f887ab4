//! Log lines of entries, as they are read back.

use goldcrest_obs::logs::LogLine;

/// A log line of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The name of its file, which stands for the entry.
    pub entry: Box<str>,
    /// What the entry wrote.
    pub written: LogLine<'static>,
}

impl Line {
    /// Reads a line; `None` if it is not a log line of an entry.
    #[must_use]
    pub fn parse(entry: &str, text: &str) -> Option<Self> {
        Some(Self {
            entry: entry.into(),
            written: serde_json::from_str(text.trim()).ok()?,
        })
    }

    /// When it was written, in milliseconds since 1970 by the entry's clock.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.written.time_ms
    }

    /// What happened.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.written.message
    }

    /// A field's value.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.written.fields.get(name).map(|value| &**value)
    }

    /// A field's value as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Whether a field holds the id, or the id of a part of it, such as a job's task.
    #[must_use]
    pub fn is_about(&self, id: &str) -> bool {
        self.written.fields.values().any(|value| {
            let rest = value.strip_prefix(id);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    /// The line for people, with the time from `start_ms` in seconds.
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
