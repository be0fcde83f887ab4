//! Plays a case of the review: `review-case NAME FOLDER`. The record goes to `record.txt` in the folder.
//!
//! Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the case does the same without the
//! disruption.

mod base64;
mod cases;
mod deployment;
mod entries;
mod http;
mod json;
mod machines;
mod record;
mod store;
mod workers;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::{Case, Verdict};
use crate::deployment::Deployment;
use crate::record::Record;

/// The longest that a case may take.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let Some(case) = cases::find(&name) else {
        eprintln!("no case is named {name}");
        return ExitCode::from(2);
    };
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(
        "script",
        &format!(
            "{name}, {}",
            if is_disturbed {
                "with the disruption"
            } else {
                "without the disruption"
            }
        ),
    );
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the case takes too long");
        entries::kill_all();
        std::process::exit(2);
    });
    let (code, what) = match play(&case, &record, is_disturbed) {
        Ok(Verdict::Held(what)) => (0, format!("HELD: {what}")),
        Ok(Verdict::Broken(what)) => (1, format!("BROKEN: {what}")),
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.line("script", &what);
    println!("{what}");
    ExitCode::from(code)
}

fn play(case: &Case, record: &Arc<Record>, is_disturbed: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Arc::clone(record), case.entries)?;
    let result = (case.run)(&mut deployment, is_disturbed);
    deployment.end();
    result
}
