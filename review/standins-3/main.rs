//! Runs one case of the review against processes of the project. See `review/REPORT-3.md`.
//!
//! Usage: `cases CASE RECORD`, from the repository's root. With `TROUBLE=0` in the environment, the disruption is left out. Exit
//! codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod advice;
mod cases;
mod deployment;
mod http;
mod json;
mod minion;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(case, Path::new(record), has_trouble) {
        Ok(None) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("{case}: broken: {broken}");
            ExitCode::from(1)
        }
        Err(why) => {
            println!("{case}: could not run: {why}");
            ExitCode::from(2)
        }
    }
}
