//! Runs every file of `tests/cases`: inputs, one per line, each followed by the scheduler's output in lines that begin
//! with `>`.
//!
//! Lines: `queue NAME PRIORITY ATTEMPTS STRETCH TARGET_MS`, `team NAME CPU MB`, `pool TOKEN` (begins with the catalogue
//! above), `allow TEAM CPU MB`, `worker NAME CPU MB [LABEL...]` (listed from the next `list` on), `vm WORKER VM`,
//! `drain NAME`, `born NAME MS`, `unlist NAME`, `list`, `job ID QUEUE TEAM STEP...` with a step as
//! `TASKSxCPU/MB/ESTIMATE_MS[,FLAG...]`, `due ID COUNT FIRST_MS INTERVAL_MS` (makes the next job scheduled), `inherit`
//! (a job line after it belongs to the takeover), `met ID WORKER...` (workers stored with the inherited job), `done ID
//! STEP INDEX...`, `takeover WORKER...`, `cancel ID`, `at MS`, `wall MS`, `started TASK RUN WORKER ANSWER`, `unanswered
//! TASK RUN WORKER` (a copy of the start had no reply), `report
//! WORKER CLOCK [run TASK RUN PERCENT LOAD]... [end N TASK RUN HOW]...`, `silent WORKER`, `stopped TASK RUN WORKER`,
//! `evacuate [VM...]`, `plan`, `events`, `state ID`, `evacuated`.

mod common;

use goldcrest_cases::Cases;

use common::Case;

fn run(text: &str) -> String {
    let mut case = Case::new();
    let mut out = String::new();
    for line in text.lines().filter(|line| !line.starts_with('>')) {
        out.push_str(line);
        out.push('\n');
        if !line.is_empty() && !line.starts_with('#') {
            for shown in case.step(line) {
                out.push_str("> ");
                out.push_str(&shown);
                out.push('\n');
            }
        }
    }
    out
}

#[test]
fn cases_all_files() {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(10)
        .check(run);
}
