//! Counts equal log lines instead of writing them again.
//!
//! The last line of each part is kept. An equal one within [`REPEAT_WINDOW`] is only counted; the count is
//! written before the next other line of that part, or with the first equal line after the window.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_types::clock::Clock;
use log::{Level, Log, Metadata, Record};

/// How long equal lines are counted instead of written, from the first of them on.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Last {
    level: Level,
    message: Box<str>,
    since: Instant,
    held_back: u32,
}

/// A logger that forwards lines to another one, and counts equal lines in a row.
pub struct Repeats {
    inner: Box<dyn Log>,
    clock: Arc<dyn Clock>,
    last: Mutex<HashMap<Box<str>, Last>>,
}

impl Repeats {
    /// Returns a logger that forwards lines to `inner`.
    #[must_use]
    pub fn new(inner: Box<dyn Log>, clock: Arc<dyn Clock>) -> Self {
        Self {
            inner,
            clock,
            last: Mutex::default(),
        }
    }

    /// Records a line. Returns whether it is to be written, and the line that it replaces if repeats of that were held
    /// back.
    fn admit(&self, target: &str, level: Level, message: &str) -> (bool, Option<Last>) {
        let now = self.clock.now();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(previous) = last.get_mut(target) {
            let is_equal = *previous.message == *message && previous.level == level;
            if is_equal && now.duration_since(previous.since) < REPEAT_WINDOW {
                previous.held_back += 1;
                return (false, None);
            }
        }
        let entry = Last {
            level,
            message: message.into(),
            since: now,
            held_back: 0,
        };
        let replaced = last.insert(target.into(), entry);
        (true, replaced.filter(|previous| previous.held_back > 0))
    }

    fn write_count(&self, target: &str, previous: &Last) {
        self.inner.log(
            &Record::builder()
                .target(target)
                .level(previous.level)
                .args(format_args!(
                    "Repeated {} times: {}",
                    previous.held_back, previous.message
                ))
                .build(),
        );
    }
}

impl Log for Repeats {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        let (is_new, replaced) = self.admit(record.target(), record.level(), &message);
        if let Some(previous) = replaced {
            self.write_count(record.target(), &previous);
        }
        if is_new {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
