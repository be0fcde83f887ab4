//! The path of a request: `/q/<queue>/<rest>`.

/// The prefix of every forwarded path.
const PREFIX: &str = "/q/";

/// A request path, split at the end of its queue name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePath<'a> {
    /// The queue's name.
    pub queue: &'a str,
    /// The path that is forwarded. It begins with a slash.
    pub rest: &'a str,
}

/// Splits a path. Returns `None` if it names no queue, or if an upstream could resolve it to a path outside the queue's
/// prefix.
#[must_use]
pub fn split(path: &str) -> Option<QueuePath<'_>> {
    let tail = path.strip_prefix(PREFIX)?;
    let (queue, rest) = match tail.find('/') {
        Some(at) => tail.split_at(at),
        None => (tail, "/"),
    };
    let is_plain = !queue.is_empty() && rest.split('/').all(is_plain_segment);
    is_plain.then_some(QueuePath { queue, rest })
}

/// Returns whether a segment, once percent-decoded, is no dot segment and contains no separator or control character.
fn is_plain_segment(segment: &str) -> bool {
    let mut bytes = segment.bytes();
    let mut only_dots = true;
    let mut count = 0;
    while let Some(byte) = bytes.next() {
        let decoded = if byte == b'%' {
            match decode(bytes.next(), bytes.next()) {
                // An encoded percent sign could form another escape for an upstream that decodes twice.
                Some(b'%') | None => return false,
                Some(decoded) => decoded,
            }
        } else {
            byte
        };
        if matches!(decoded, b'/' | b'\\' | 0x7f) || decoded < 0x20 {
            return false;
        }
        // Some upstreams strip a path parameter and resolve the dots before it.
        if decoded == b';' && only_dots && count > 0 {
            return false;
        }
        only_dots &= decoded == b'.';
        count += 1;
    }
    !(only_dots && (count == 1 || count == 2))
}

fn decode(high: Option<u8>, low: Option<u8>) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let value = digit(high?)? * 16 + digit(low?)?;
    u8::try_from(value).ok()
}
