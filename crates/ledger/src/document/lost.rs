//! Detection of fields that a version would lose from a value written by another version.

use ciborium::Value;

/// Returns the path of the first field of `stored` that is missing from `written` or differs there. Fields that only
/// `written` has are no loss: an older version wrote `stored` without them.
pub(super) fn first_lost(stored: &[u8], written: &[u8]) -> Option<Box<str>> {
    let stored: Value = ciborium::from_reader(stored).ok()?;
    let written: Value = ciborium::from_reader(written).ok()?;
    lost(&stored, &written, "")
}

fn lost(stored: &Value, written: &Value, path: &str) -> Option<Box<str>> {
    match (stored, written) {
        (Value::Map(stored), Value::Map(written)) => stored.iter().find_map(|(key, value)| {
            let path = join(path, key);
            let kept = written.iter().find(|(known, _)| known == key);
            match kept {
                Some((_, kept)) => lost(value, kept, &path),
                None => Some(path.into()),
            }
        }),
        (Value::Array(stored), Value::Array(written)) if stored.len() == written.len() => {
            let pairs = stored.iter().zip(written);
            pairs
                .into_iter()
                .find_map(|(stored, written)| lost(stored, written, path))
        }
        _ if stored == written => None,
        _ => Some(path.into()),
    }
}

fn join(path: &str, key: &Value) -> String {
    let key = key.as_text().unwrap_or("...");
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
