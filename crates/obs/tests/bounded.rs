//! Logs that never block and have bounded memory.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use goldcrest_obs::logs::bounded::{Budget, LINES_PER_SECOND, Output};
use goldcrest_types::clock::ManualClock;
use log::{Level, Log, Metadata, Record};

/// Collects the messages that reach it.
#[derive(Clone, Default)]
struct Counted {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log for Counted {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn write(log: &dyn Log, target: &str, times: u32) {
    for _ in 0..times {
        log.log(
            &Record::builder()
                .target(target)
                .level(Level::Info)
                .args(format_args!("a line"))
                .build(),
        );
    }
}

#[test]
fn budget_bounds_each_part_and_counts_the_rest() {
    let counted = Counted::default();
    let clock = Arc::new(ManualClock::new());
    let budget = Budget::new(Box::new(counted.clone()), Arc::clone(&clock) as _);
    write(&budget, "calls", LINES_PER_SECOND + 7);
    write(&budget, "scheduler", 1);
    let lines_max = usize::try_from(LINES_PER_SECOND).expect("a size");
    let len = || counted.lines.lock().map_or(0, |lines| lines.len());
    assert_eq!(len(), lines_max + 1);
    clock.advance(Duration::from_secs(1));
    write(&budget, "calls", 1);
    let lines = counted.lines.lock().expect("the lines").clone();
    assert!(lines.contains(&"7 lines of this part left out.".to_owned()));
}

/// A writer that blocks forever.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the output has stopped, so the writing thread blocks and the queue is full: writing a line must still
/// return.
#[test]
fn output_stuck_reader_does_not_block() {
    let mut output = Output::new(Stuck).expect("a thread");
    for number in 0..20_000 {
        writeln!(output, "line {number}").expect("a line");
    }
}
