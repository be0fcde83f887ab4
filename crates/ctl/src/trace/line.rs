//! Log lines of entries, as they are read back.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A line, as it was written.
#[derive(Debug, Deserialize)]
struct Written {
    time_ms: u64,
    level: Box<str>,
    part: Box<str>,
    message: Box<str>,
    #[serde(default)]
    fields: BTreeMap<Box<str>, Box<str>>,
}

/// A log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written, in milliseconds since 1970 by the entry's clock.
    pub time_ms: u64,
    /// The name of its file, which stands for the entry.
    pub entry: Box<str>,
    /// The level.
    pub level: Box<str>,
    /// The part of the entry that wrote it.
    pub part: Box<str>,
    /// What happened.
    pub message: Box<str>,
    /// The inputs and the outcome.
    pub fields: BTreeMap<Box<str>, Box<str>>,
}

impl Line {
    /// Reads a line; `None` if it is not a log line of an entry.
    #[must_use]
    pub fn parse(entry: &str, text: &str) -> Option<Self> {
        let written: Written = serde_json::from_str(text.trim()).ok()?;
        Some(Self {
            time_ms: written.time_ms,
            entry: entry.into(),
            level: written.level,
            part: written.part,
            message: written.message,
            fields: written.fields,
        })
    }

    /// A field's value.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(|value| &**value)
    }

    /// A field's value as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Whether a field holds the id, or the id of a part of it, such as a job's task.
    #[must_use]
    pub fn is_about(&self, id: &str) -> bool {
        self.fields.values().any(|value| {
            let rest = value.strip_prefix(id);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    /// The line for people, with the time from `start_ms` in seconds.
    #[must_use]
    pub fn show(&self, start_ms: u64) -> String {
        let sign = if self.time_ms < start_ms { "-" } else { "" };
        let ms = self.time_ms.abs_diff(start_ms);
        let fields = self.fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{:>8} {} {:<9} {} {}",
            format!("{sign}{}.{:03}", ms / 1_000, ms % 1_000),
            self.entry,
            self.part,
            self.message,
            fields.join(" ")
        )
    }
}
