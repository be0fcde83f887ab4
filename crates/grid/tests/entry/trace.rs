//! Keeps the errors that the entries of a test log, and with `GOLDCREST_TRACE` set all their log lines, with the runtime's
//! time.

use std::cell::RefCell;
use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use tokio::time::Instant;

thread_local! {
    static LINES: RefCell<Vec<(Instant, String)>> = const { RefCell::new(Vec::new()) };
    static ERRORS: RefCell<Vec<(Instant, String)>> = const { RefCell::new(Vec::new()) };
    /// The entry whose tasks are polled.
    static PROCESS: RefCell<Option<Box<str>>> = const { RefCell::new(None) };
}

/// Keeps lines of the thread that logs them; each test has a thread of its own.
struct Kept;

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

impl Log for Kept {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let process = PROCESS.with_borrow(Clone::clone).unwrap_or_default();
        let mut line = format!("log of {process}: {} {}", record.target(), record.args());
        // Writing to a string does not fail.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        let line = (Instant::now(), line);
        if record.level() == Level::Error {
            ERRORS.with_borrow_mut(|errors| errors.push(line.clone()));
        }
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Begins to keep lines, or drops those of this thread.
pub fn clear() {
    static KEPT: Kept = Kept;
    if log::set_logger(&KEPT).is_ok() {
        let is_full = std::env::var("GOLDCREST_TRACE").is_ok();
        log::set_max_level(if is_full {
            LevelFilter::Debug
        } else {
            LevelFilter::Error
        });
    }
    LINES.with_borrow_mut(Vec::clear);
    ERRORS.with_borrow_mut(Vec::clear);
}

/// Names the entry whose lines follow.
pub fn set_process(name: Option<&str>) {
    PROCESS.with_borrow_mut(|process| *process = name.map(Box::from));
}

/// The lines of this thread.
pub fn lines() -> Vec<(Instant, String)> {
    LINES.with_borrow(Clone::clone)
}

/// The errors of this thread.
pub fn errors() -> Vec<(Instant, String)> {
    ERRORS.with_borrow(Clone::clone)
}
