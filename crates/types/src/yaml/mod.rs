//! YAML records with every error at its line.
//!
//! A [`Record`] is a mapping whose values know their lines. [`Record::read`] tries each field by itself, so one wrong
//! field does not hide the next, and then the record as a whole, which shows the fields that are missing. Messages
//! name the remedy; an unknown field is answered with the known name that is nearest to it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_saphyr::Spanned;

/// The words by which `serde` reports a field that is not there.
const MISSING_FIELD: &str = "missing field";

/// The words by which `serde` reports a field that it does not know.
const UNKNOWN_FIELD: &str = "unknown field";

/// One thing wrong, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// The line, from 1.
    pub line: u64,
    /// What is wrong and what to do.
    pub message: Box<str>,
}

impl LineError {
    /// The error by which a whole text can't be read as YAML of the expected outline.
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

/// A mapping whose values know their lines.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub struct Record {
    fields: Spanned<BTreeMap<Box<str>, Spanned<Value>>>,
}

impl Record {
    /// The line at which the record starts.
    #[must_use]
    pub fn line(&self) -> u64 {
        self.fields.referenced.line()
    }

    /// The line of a field, or of the record if it has no such field.
    #[must_use]
    pub fn line_of(&self, field: &str) -> u64 {
        let found = self.fields.value.get(field);
        found.map_or(self.line(), |value| value.referenced.line())
    }

    /// Reads the record as a `T`.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, each at its line.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<LineError>> {
        let mut errors = self.field_errors::<T>();
        match serde_json::from_value(Value::Object(self.whole())) {
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

    fn whole(&self) -> Map<String, Value> {
        self.fields
            .value
            .iter()
            .map(|(name, value)| (name.to_string(), value.value.clone()))
            .collect()
    }

    /// Tries each field by itself. That the others are missing then says nothing.
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

/// Adds what to do to the words of `serde`.
fn remedy(text: &str) -> Box<str> {
    // Names stand between backticks: the one in question first, then those that are known.
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

/// The known names where they are listed without backticks.
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

/// The least likeness at which a name is offered in place of another.
const LIKENESS_MIN: f64 = 0.6;

fn nearest<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (strsim::normalized_damerau_levenshtein(unknown, name), *name))
        .filter(|(likeness, _)| *likeness >= LIKENESS_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}
