//! A log output that never blocks and has bounded memory: a bounded queue passes lines to a writing thread.
//!
//! [`Budget`] limits the lines of each part in a second; [`Output`] limits the lines that wait to be written. Dropped
//! lines are counted, and the count is written.
//!
//! Lines under [`VERDICT`] are never dropped for the sake of others. There are as many as there are jobs and lost runs: the
//! budget counts them and lets them pass, and as many of them may wait as of all others together.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_types::clock::Clock;
use log::{Level, Log, Metadata, Record};

use crate::logs::{VERDICT, part_of};

/// The most lines of a kind, verdicts or others, that wait to be written; further ones are dropped.
const LINES_WAITING_MAX: usize = 8_192;

/// The most bytes of a write, unless a single line is longer. A pipe takes as many as a whole (`PIPE_BUF`): other writers
/// to it can't cut a line, nor can a reader that keeps a page of each write.
const WRITE_MAX: usize = 4_096;

/// Lines that arrive within this time are written together.
pub const WRITE_EVERY: Duration = Duration::from_millis(50);

/// The most lines of a part in a second. Warnings and errors are dropped only beyond twice as many.
pub const LINES_PER_SECOND: u32 = 1_500;

/// The lines of one kind.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    left_out: AtomicU64,
}

struct Waiting {
    line: Vec<u8>,
    counts: Arc<Counts>,
}

/// A writer that queues whole lines for the writing thread. If too many of its kind wait, it drops the line and counts it.
pub struct Output {
    lines: Sender<Waiting>,
    line: Vec<u8>,
    counts: Arc<Counts>,
    verdicts: Arc<Counts>,
}

impl Output {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn new(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = channel();
        let counts = Arc::<Counts>::default();
        let verdicts = Arc::<Counts>::default();
        let of_both = [Arc::clone(&counts), Arc::clone(&verdicts)];
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&receiver, out, &of_both))?;
        Ok(Self {
            lines,
            line: Vec::new(),
            counts,
            verdicts,
        })
    }

    /// Returns a writer to the same output for verdicts, which other lines don't crowd out. The order of all lines is kept.
    #[must_use]
    pub fn verdicts(&self) -> Self {
        Self {
            lines: self.lines.clone(),
            line: Vec::new(),
            counts: Arc::clone(&self.verdicts),
            verdicts: Arc::clone(&self.verdicts),
        }
    }

    fn queue(&self, line: Vec<u8>) {
        let take_place = |waiting| (waiting < LINES_WAITING_MAX).then_some(waiting + 1);
        let waiting = &self.counts.waiting;
        let has_place = waiting.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_place);
        let counts = Arc::clone(&self.counts);
        if has_place.is_err() || self.lines.send(Waiting { line, counts }).is_err() {
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(lines: &Receiver<Waiting>, mut out: impl Write, of_both: &[Arc<Counts>; 2]) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        std::thread::park_timeout(WRITE_EVERY);
        batch.clear();
        for Waiting { line, counts } in std::iter::once(first).chain(lines.try_iter()) {
            counts.waiting.fetch_sub(1, Ordering::Relaxed);
            batch.extend(line);
        }
        let [others, verdicts] = of_both
            .each_ref()
            .map(|counts| counts.left_out.swap(0, Ordering::Relaxed));
        let count = others + verdicts;
        if count > 0 {
            batch.extend(
                format!(
                    "{{\"part\":\"logs\",\"message\":\"Lines left out.\",\"lines\":{count},\"verdicts\":{verdicts}}}\n"
                )
                .into_bytes(),
            );
        }
        // An error is ignored: if the output is closed, there is no place left to report it.
        let _ = pieces(&batch)
            .try_for_each(|piece| out.write_all(piece))
            .and_then(|()| out.flush());
    }
}

/// Splits lines into pieces of whole lines for one write each.
fn pieces(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let is_end = |byte: &u8| *byte == b'\n';
        let end = if lines.len() <= WRITE_MAX {
            lines.len()
        } else {
            let last = lines[..WRITE_MAX].iter().rposition(is_end);
            let last = last.or_else(|| lines.iter().position(is_end));
            last.map_or(lines.len(), |at| at + 1)
        };
        let (piece, after) = lines.split_at(end);
        lines = after;
        (!piece.is_empty()).then_some(piece)
    })
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            let line = std::mem::take(&mut self.line);
            self.queue(line);
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

/// A logger that forwards at most [`LINES_PER_SECOND`] lines of each part in a second, and each verdict.
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
        let spent = spent.entry(part_of(target).into()).or_insert(Spent {
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
        let is_admitted = target == VERDICT || spent.lines < lines_max;
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
                    .target(part_of(record.target()))
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
