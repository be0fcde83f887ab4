//! The `trace` command: merges the logs of several entries, prints the lines about one job in order of time, and
//! derives the job's outcome and the reasons for it.
//!
//! [`line`] parses log lines, [`cause`] derives the verdict. The command works on files alone and calls no entry.

pub mod cause;
pub mod line;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::Output;
use crate::exit::Exit;
use cause::judge;
use line::Line;

/// Prints the lines about the job `id`, its outcome and the reasons. Each file is the log of one entry.
///
/// Returns [`Exit::Usage`] if a file can't be read, and [`Exit::Found`] if no line is about the job.
pub fn run(files: &[PathBuf], id: &str, output: &mut Output<'_>) -> Exit {
    let mut lines = Vec::new();
    for file in files {
        if let Err(error) = read(file, &mut lines) {
            output.diagnostic(&format!(
                "{}: {error}: name a file that can be read",
                file.display()
            ));
            return Exit::Usage;
        }
    }
    lines.sort_by_key(Line::time_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let Some(first) = own.first() else {
        output.diagnostic(&format!(
            "{} lines, none about '{id}': no entry whose log is here was asked for it",
            lines.len()
        ));
        return Exit::Found;
    };
    for line in &own {
        output.line(&line.show(first.time_ms()));
    }
    let verdict = judge(id, &lines);
    output.line(&format!("outcome: {}", verdict.outcome));
    for reason in &verdict.reasons {
        output.line(&format!("reason: {}", reason.text));
        output.line(&format!(
            "        {}",
            reason.evidence.show(first.time_ms())
        ));
    }
    Exit::Done
}

/// Appends the log lines of a file to `lines`. Skips what does not parse, such as a line that was cut off.
fn read(file: &Path, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let entry = file.file_stem().unwrap_or_default().to_string_lossy();
    for text in BufReader::new(fs::File::open(file)?).lines() {
        lines.extend(Line::parse(&entry, &text?));
    }
    Ok(())
}
