//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Writes a line. `who` is the part of the deployment that it is about.
    pub fn line(&self, who: &str, what: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3}  {who:<12} {what}");
    }
}
