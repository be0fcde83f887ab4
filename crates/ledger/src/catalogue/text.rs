//! The textual form of changes for operators: `+` added, `-` removed, `~` changed, with the fields that differ.

use ciborium::Value;
use serde::Serialize;

use super::change::{Change, Conflict, Delta};

/// Formats a change on one line, without a line break.
#[must_use]
pub fn change(change: &Change) -> String {
    match change {
        Change::Dc(delta) => line("data centre", delta),
        Change::Pool(delta) => line("pool", delta),
        Change::Team(delta) => line("team", delta),
        Change::Queue(delta) => line("queue", delta),
        Change::Key(delta) => line("key", delta),
        Change::Operator(delta) => line("operator", delta),
        Change::Weights(delta) => line("weights", delta),
        Change::Maintenance(delta) => line("maintenance", delta),
    }
}

/// Formats each conflict on two lines: the requested change, and the change made meanwhile.
#[must_use]
pub fn conflicts(found: &[Conflict]) -> String {
    let mut out = String::new();
    for conflict in found {
        let wanted = change(&conflict.wanted);
        let meanwhile = change(&conflict.meanwhile);
        out.push_str(&format_conflict(&wanted, &meanwhile));
    }
    out
}

fn format_conflict(wanted: &str, meanwhile: &str) -> String {
    format!("wanted: {wanted}\nchanged meanwhile: {meanwhile}\n")
}

fn line<T: Serialize>(kind: &str, delta: &Delta<T>) -> String {
    let before = fields(delta.before.as_ref());
    let after = fields(delta.after.as_ref());
    let (sign, parts) = match (&delta.before, &delta.after) {
        (None, _) => ('+', listed(&after)),
        (_, None) => ('-', Vec::new()),
        _ => ('~', differences(&before, &after)),
    };
    let name = name_of(&after).or_else(|| name_of(&before));
    let title = match name {
        Some(name) => format!("{kind} '{name}'"),
        None => kind.to_owned(),
    };
    if parts.is_empty() {
        return format!("{sign} {title}");
    }
    format!("{sign} {title}: {}", parts.join(", "))
}

/// A field of a record. The path of a nested field is joined by dots.
#[derive(Debug, PartialEq)]
struct Field {
    path: String,
    value: String,
}

fn fields<T: Serialize>(record: Option<&T>) -> Vec<Field> {
    let mut out = Vec::new();
    let value = record.and_then(|record| Value::serialized(record).ok());
    if let Some(value) = value {
        flatten("", &value, &mut out);
    }
    out
}

fn flatten(path: &str, value: &Value, out: &mut Vec<Field>) {
    let Value::Map(pairs) = value else {
        out.push(Field {
            path: path.to_owned(),
            value: plain(value),
        });
        return;
    };
    for (key, nested) in pairs {
        let key = plain(key);
        let path = match path {
            "" => key,
            _ => format!("{path}.{key}"),
        };
        flatten(&path, nested, out);
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Bool(flag) => flag.to_string(),
        other => format!("{other:?}"),
    }
}

fn name_of(fields: &[Field]) -> Option<&str> {
    let field = fields.iter().find(|field| field.path == "name")?;
    Some(&field.value)
}

fn listed(fields: &[Field]) -> Vec<String> {
    let shown = fields.iter().filter(|field| field.path != "name");
    shown
        .map(|field| format!("{} {}", field.path, field.value))
        .collect()
}

fn differences(before: &[Field], after: &[Field]) -> Vec<String> {
    let mut out = Vec::new();
    for new in after {
        let old = before.iter().find(|field| field.path == new.path);
        let old = old.map_or("none", |field| field.value.as_str());
        if old != new.value {
            out.push(format!("{} {old} -> {}", new.path, new.value));
        }
    }
    out
}
