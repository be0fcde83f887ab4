//! A log output that never blocks and has bounded memory: a bounded queue passes lines to a writing thread.
//!
//! [`Budget`] limits the lines of each part in a second; [`Output`] limits the lines that wait to be written. Dropped
//! lines are counted, and the count is written.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_types::clock::Clock;
use log::{Level, Log, Metadata, Record};

/// The most lines that wait to be written; further lines are dropped.
const LINES_WAITING_MAX: usize = 8_192;

/// Lines that arrive within this time are written in one batch.
pub const WRITE_EVERY: Duration = Duration::from_millis(50);

/// The most lines of a part in a second. Warnings and errors are dropped only beyond twice as many.
pub const LINES_PER_SECOND: u32 = 1_500;

/// A writer that queues whole lines for the writing thread. If the queue is full, it drops the line and counts it.
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    left_out: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn new(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(LINES_WAITING_MAX);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&receiver, out, &counted))?;
        Ok(Self {
            lines: sender,
            line: Vec::new(),
            left_out,
        })
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write, left_out: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        std::thread::park_timeout(WRITE_EVERY);
        batch.clear();
        batch.extend(first);
        for line in lines.try_iter() {
            batch.extend(line);
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend(
                format!(
                    "{{\"part\":\"logs\",\"message\":\"Lines left out.\",\"lines\":{count}}}\n"
                )
                .into_bytes(),
            );
        }
        // An error is ignored: if the output is closed, there is no place left to report it.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            let line = std::mem::take(&mut self.line);
            if self.lines.try_send(line).is_err() {
                self.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Debug)]
struct Spent {
    second: Instant,
    lines: u32,
    left_out: u32,
}

/// A logger that forwards at most [`LINES_PER_SECOND`] lines of each part in a second.
pub struct Budget {
    inner: Box<dyn Log>,
    clock: Arc<dyn Clock>,
    spent: Mutex<HashMap<Box<str>, Spent>>,
}

impl Budget {
    /// Returns a logger that forwards lines to `inner`.
    #[must_use]
    pub fn new(inner: Box<dyn Log>, clock: Arc<dyn Clock>) -> Self {
        Self {
            inner,
            clock,
            spent: Mutex::default(),
        }
    }

    /// Counts a line of `target`. Returns whether it is to be written, and how many lines were dropped in the last
    /// counted second if this line begins a new one.
    fn admit(&self, target: &str, level: Level) -> (bool, u32) {
        let now = self.clock.now();
        let mut spent = self.spent.lock().unwrap_or_else(PoisonError::into_inner);
        let spent = spent.entry(target.into()).or_insert(Spent {
            second: now,
            lines: 0,
            left_out: 0,
        });
        let mut left_out = 0;
        if now.saturating_duration_since(spent.second) >= Duration::from_secs(1) {
            left_out = spent.left_out;
            *spent = Spent {
                second: now,
                lines: 0,
                left_out: 0,
            };
        }
        let lines_max = if level <= Level::Warn {
            2 * LINES_PER_SECOND
        } else {
            LINES_PER_SECOND
        };
        let is_admitted = spent.lines < lines_max;
        if is_admitted {
            spent.lines += 1;
        } else {
            spent.left_out += 1;
        }
        (is_admitted, left_out)
    }
}

impl Log for Budget {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let (is_admitted, left_out) = self.admit(record.target(), record.level());
        if left_out > 0 {
            self.inner.log(
                &Record::builder()
                    .target(record.target())
                    .level(Level::Warn)
                    .args(format_args!("{left_out} lines of this part left out."))
                    .build(),
            );
        }
        if is_admitted {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
