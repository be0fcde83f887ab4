//! From an id to its cause: the log lines of several entries about one job, in order, and what they add up to.
//!
//! [`line`] reads lines, [`cause`] judges them. Nothing here asks an entry.

pub mod cause;
pub mod line;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::Output;
use crate::exit::Exit;
use cause::judge;
use line::Line;

/// Prints the lines about `id` from the files, one for each entry, and what became of it.
pub fn run(files: &[PathBuf], id: &str, output: &mut Output<'_>) -> Exit {
    let mut lines = Vec::new();
    for file in files {
        if let Err(error) = read(file, &mut lines) {
            output.note(&format!(
                "{}: {error}: name a file that can be read",
                file.display()
            ));
            return Exit::Usage;
        }
    }
    lines.sort_by_key(Line::time_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let Some(first) = own.first() else {
        output.note(&format!(
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
            reason.shown_by.show(first.time_ms())
        ));
    }
    Exit::Done
}

/// Reads the log lines of a file; others, such as a line that was cut off, are passed over.
fn read(file: &Path, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let entry = file.file_stem().unwrap_or_default().to_string_lossy();
    for text in BufReader::new(fs::File::open(file)?).lines() {
        lines.extend(Line::parse(&entry, &text?));
    }
    Ok(())
}
