//! The two formats of a log line.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Arguments;
use std::time::{SystemTime, UNIX_EPOCH};

use fern::FormatCallback;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde::{Deserialize, Serialize};

use crate::logs::part_of;

/// Collects the key-values of a record, sorted by key.
#[derive(Debug, Default)]
struct Fields {
    values: BTreeMap<Box<str>, Box<str>>,
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.values
            .insert(key.as_str().into(), value.to_string().into());
        Ok(())
    }
}

impl Fields {
    fn of(record: &Record<'_>) -> Self {
        let mut fields = Self::default();
        // A value that can't be formatted is left out; the message is still written.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

/// A log line in the JSON format, for writing and for reading back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine<'a> {
    /// The wall time at which the line was written, in milliseconds since 1970 by the process's clock.
    pub time_ms: u64,
    /// The level, in upper case.
    pub level: Cow<'a, str>,
    /// The part of the process that wrote the line.
    pub part: Cow<'a, str>,
    /// The message, a short sentence.
    pub message: Box<str>,
    /// The key-values of the record, sorted by key. Absent in the JSON if there are none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<Box<str>, Box<str>>,
}

fn since_epoch_ms(wall: SystemTime) -> u64 {
    // A clock before 1970 has not been set; it counts as 0.
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a record as plain text on one line.
pub fn text(
    out: FormatCallback<'_>,
    message: &Arguments<'_>,
    record: &Record<'_>,
    wall: SystemTime,
) {
    let mut tail = String::new();
    for (key, value) in Fields::of(record).values {
        tail.push(' ');
        tail.push_str(&key);
        tail.push('=');
        tail.push_str(&one_line(&value));
    }
    let time_ms = since_epoch_ms(wall);
    let level = record.level();
    let part = part_of(record.target());
    let message = one_line(&message.to_string());
    out.finish(format_args!("{time_ms} {level:5} [{part}] {message}{tail}"));
}

/// Formats a record as one JSON object, see [`LogLine`].
pub fn json(
    out: FormatCallback<'_>,
    message: &Arguments<'_>,
    record: &Record<'_>,
    wall: SystemTime,
) {
    let line = LogLine {
        time_ms: since_epoch_ms(wall),
        level: record.level().as_str().into(),
        part: part_of(record.target()).into(),
        message: message.to_string().into(),
        fields: Fields::of(record).values,
    };
    let text = serde_json::to_string(&line).unwrap_or_default();
    out.finish(format_args!("{text}"));
}

/// Replaces line breaks by blanks, so that a caller's text can't forge a log line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
