//! Equal log lines in a row are counted instead of written.

use std::sync::{Arc, Mutex};

use goldcrest_obs::logs::Repeats;
use goldcrest_obs::logs::repeat::REPEAT_WINDOW;
use goldcrest_types::clock::ManualClock;
use log::{Level, Log, Metadata, Record};

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{}: {}", record.target(), record.args());
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

fn write(log: &Repeats, part: &str, message: &str) {
    log.log(
        &Record::builder()
            .target(part)
            .level(Level::Info)
            .args(format_args!("{message}"))
            .build(),
    );
}

#[test]
fn log_equal_lines() {
    let lines = Lines::default();
    let clock = Arc::new(ManualClock::new());
    let log = Repeats::new(Box::new(lines.clone()), clock.clone());
    for _ in 0..3 {
        write(&log, "store", "No answer.");
    }
    write(&log, "peers", "Connected.");
    write(&log, "store", "Connected.");
    clock.advance(REPEAT_WINDOW);
    write(&log, "store", "Connected.");
    let written = lines.0.lock().unwrap();
    let expected = [
        "store: No answer.",
        "peers: Connected.",
        "store: Repeated 2 times: No answer.",
        "store: Connected.",
        "store: Connected.",
    ];
    assert_eq!(*written, expected);
}
