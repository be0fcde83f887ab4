//! The two forms of a log line.

use std::collections::BTreeMap;
use std::fmt::Arguments;
use std::time::{SystemTime, UNIX_EPOCH};

use fern::FormatCallback;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde::Serialize;

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
        // A value that can't be shown is left out; the sentence still stands.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    time_ms: u128,
    level: &'a str,
    part: &'a str,
    message: Box<str>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    fields: BTreeMap<Box<str>, Box<str>>,
}

fn since_epoch_ms(wall: SystemTime) -> u128 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

/// Writes a line for people.
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
    let part = record.target();
    let message = one_line(&message.to_string());
    out.finish(format_args!("{time_ms} {level:5} [{part}] {message}{tail}"));
}

/// Writes a JSON object.
pub fn json(
    out: FormatCallback<'_>,
    message: &Arguments<'_>,
    record: &Record<'_>,
    wall: SystemTime,
) {
    let line = JsonLine {
        time_ms: since_epoch_ms(wall),
        level: record.level().as_str(),
        part: record.target(),
        message: message.to_string().into(),
        fields: Fields::of(record).values,
    };
    let text = serde_json::to_string(&line).unwrap_or_default();
    out.finish(format_args!("{text}"));
}

/// A caller's text must not be able to begin a line of its own.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
