//! YAML records, with the line of each error.
//!
//! A [`Record`] is a mapping that keeps the line of each value. [`Record::read`] decodes each field by itself, so one
//! wrong field does not hide the next, and then the record as a whole, which finds the fields that are missing.
//! Messages name the remedy; for an unknown field they suggest the most similar known name.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_saphyr::Spanned;

/// The beginning of `serde`'s message for a missing field.
const MISSING_FIELD: &str = "missing field";

/// The beginning of `serde`'s message for an unknown field.
const UNKNOWN_FIELD: &str = "unknown field";

/// An error in a YAML text, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// The line of the text, counted from 1.
    pub line: u64,
    /// The error and its remedy.
    pub message: Box<str>,
}

impl LineError {
    /// Converts the error of a text that is not YAML, or whose top-level fields are not the expected ones. Without a
    /// known location it is reported at line 1.
    #[must_use]
    pub fn of_text(error: &serde_saphyr::Error) -> Self {
        let text = error.without_snippet().to_string();
        let message = if text.contains(UNKNOWN_FIELD) {
            remedy(&text)
        } else {
            format!("{text}: correct the YAML at this line").into()
        };
        Self {
            line: error.location().map_or(1, |location| location.line()),
            message,
        }
    }
}

/// A YAML mapping that keeps the line of each value.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Record {
    fields: Spanned<BTreeMap<Box<str>, Spanned<Value>>>,
}

impl Record {
    /// Returns the line at which the record starts.
    #[must_use]
    pub fn line(&self) -> u64 {
        self.fields.referenced.line()
    }

    /// Returns the line of the value of `field`, or of the record if it has no such field.
    #[must_use]
    pub fn line_of(&self, field: &str) -> u64 {
        let found = self.fields.value.get(field);
        found.map_or(self.line(), |value| value.referenced.line())
    }

    /// Decodes the record as a `T`.
    ///
    /// # Errors
    ///
    /// All errors of the record, each with its line.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<LineError>> {
        let mut errors = self.field_errors::<T>();
        match serde_json::from_value(Value::Object(self.to_object())) {
            Ok(record) if errors.is_empty() => return Ok(record),
            Ok(_) => {}
            Err(error) => {
                let text = error.to_string();
                if errors.is_empty() || text.starts_with(MISSING_FIELD) {
                    let message = remedy(&text);
                    let line = self.line();
                    errors.push(LineError { line, message });
                }
            }
        }
        Err(errors)
    }

    fn to_object(&self) -> Map<String, Value> {
        self.fields
            .value
            .iter()
            .map(|(name, value)| (name.to_string(), value.value.clone()))
            .collect()
    }

    /// Decodes each field by itself. Errors about missing fields are ignored here, because all other fields are left
    /// out.
    fn field_errors<T: DeserializeOwned>(&self) -> Vec<LineError> {
        let mut errors = Vec::new();
        for (name, value) in &self.fields.value {
            let mut alone = Map::new();
            alone.insert(name.to_string(), value.value.clone());
            let Err(error) = serde_json::from_value::<T>(Value::Object(alone)) else {
                continue;
            };
            let text = error.to_string();
            if text.starts_with(MISSING_FIELD) {
                continue;
            }
            let message = if text.starts_with(UNKNOWN_FIELD) {
                remedy(&text)
            } else {
                format!("{name}: {}", remedy(&text)).into()
            };
            let line = value.referenced.line();
            errors.push(LineError { line, message });
        }
        errors
    }
}

/// Converts a message of `serde` to one that names the remedy.
fn remedy(text: &str) -> Box<str> {
    // Names are quoted with backticks: first the one at fault, then the known ones.
    let names: Vec<&str> = text.split('`').skip(1).step_by(2).collect();
    let (name, known) = names.split_first().unwrap_or((&"", &[]));
    if text.contains(UNKNOWN_FIELD) {
        let listed = listed_names(text);
        return unknown_field(name, if known.is_empty() { &listed } else { known });
    }
    if text.starts_with(MISSING_FIELD) {
        return format!("field '{name}' is missing: add it").into();
    }
    if text.starts_with("unknown variant") {
        let known = known.join(", ");
        return format!("'{name}' is not allowed here: use one of {known}").into();
    }
    if text.contains("socket address") {
        return "no address: write an IP number and a port, such as 127.0.0.1:7400".into();
    }
    if text.starts_with("invalid type") || text.starts_with("invalid value") {
        return format!("{text}: write it in that form").into();
    }
    text.into()
}

/// Returns the known names of a message that lists them without backticks.
fn listed_names(text: &str) -> Vec<&str> {
    match text.split_once("expected one of ") {
        Some((_, list)) => list.split(", ").map(str::trim).collect(),
        None => Vec::new(),
    }
}

fn unknown_field(name: &str, known: &[&str]) -> Box<str> {
    match nearest(name, known) {
        Some(near) => format!("unknown field '{name}': did you mean '{near}'?").into(),
        None => format!("unknown field '{name}': use one of {}", known.join(", ")).into(),
    }
}

/// The least similarity, from 0 to 1, at which a known name is suggested for an unknown one.
const SIMILARITY_MIN: f64 = 0.6;

fn nearest<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (strsim::normalized_damerau_levenshtein(unknown, name), *name))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}
