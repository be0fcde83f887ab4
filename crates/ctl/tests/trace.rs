//! The `trace` command on the three examples of the operators' page: logs that entries wrote under injected
//! faults.
//!
//! Each folder under `walks` holds the logs of some entries and the expected output. `GOLDCREST_BLESS=1` rewrites it.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};

use goldcrest_ctl::Output;
use goldcrest_ctl::exit::Exit;
use goldcrest_ctl::trace::cause::{Outcome, judge};
use goldcrest_ctl::trace::line::Line;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/walks")
        .join(name)
}

fn logs(name: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder(name)).expect("a folder");
    let paths = entries.map(|entry| entry.expect("a file").path());
    let mut logs: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    logs.sort();
    logs
}

/// Runs `trace` through the command line, as the program does.
async fn run_trace(id: &str, files: Vec<PathBuf>) -> (Exit, String, String) {
    let mut args: Vec<OsString> = vec!["trace".into(), "--id".into(), id.into()];
    args.extend(files.into_iter().map(OsString::from));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut output = Output {
        out: &mut out,
        err: &mut err,
    };
    let exit = goldcrest_ctl::run(args, None, &mut output).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (exit, text(out), text(err))
}

async fn check(name: &str, id: &str) -> String {
    let (exit, out, err) = run_trace(id, logs(name)).await;
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    let expected = folder(name).join("expected.txt");
    if std::env::var_os("GOLDCREST_BLESS").is_some() {
        fs::write(&expected, &out).expect("the expected text");
    }
    assert_eq!(
        out,
        fs::read_to_string(expected).expect("the expected text")
    );
    out
}

#[tokio::test]
async fn trace_refused() {
    let out = check("refused", "3fb9144448eb771e").await;
    assert!(out.contains("outcome: never accepted"));
    assert!(out.contains("lost the store"));
}

#[tokio::test]
async fn trace_late() {
    let out = check("late", "9437c1188a90a1ed").await;
    assert!(out.contains("outcome: completed after"));
    assert!(out.contains("no end came from worker i-a28c668919"));
}

#[tokio::test]
async fn trace_failed() {
    let out = check("failed", "c181411d9108fa8d").await;
    assert!(out.contains("outcome: failed"));
    assert!(out.contains("failed on worker"));
}

#[tokio::test]
async fn trace_unknown_id() {
    let (exit, out, err) = run_trace("ffffffffffffffff", logs("late")).await;
    assert_eq!((exit, out.as_str()), (Exit::Found, ""));
    assert!(err.contains("none about 'ffffffffffffffff'"));
}

#[tokio::test]
async fn trace_file_that_is_not_there() {
    let (exit, _, err) = run_trace("a1", vec!["nowhere.log".into()]).await;
    assert_eq!(exit, Exit::Usage);
    assert!(err.contains("name a file that can be read"));
}

fn line(time_ms: u64, message: &str, fields: &str) -> Line {
    let text = format!(
        r#"{{"time_ms":{time_ms},"level":"INFO","part":"scheduler","message":"{message}","fields":{{{fields}}}}}"#
    );
    Line::parse("e1", &text).expect("a line")
}

#[test]
fn parse_cut_off_line_is_passed_over() {
    assert_eq!(
        Line::parse("e1", r#"{"time_ms":1,"level":"INFO","par"#),
        None
    );
    assert_eq!(Line::parse("e1", "not a log line"), None);
}

#[test]
fn about_ids_of_tasks_and_no_longer_ids() {
    let task = line(1, "Task started.", r#""task":"a1.0.0.1""#);
    assert!(task.is_about("a1"));
    assert!(!task.is_about("a"));
    assert!(!line(1, "Job ended.", r#""job":"a12""#).is_about("a1"));
}

#[test]
fn judge_job_that_fits_no_worker() {
    let lines = [
        line(0, "Job accepted.", r#""job":"a1","pool":"p""#),
        line(
            3_000,
            "Job waits: no worker could run one of its steps; add a worker with that room and label, or cancel it.",
            r#""job":"a1","step":"1""#,
        ),
    ];
    let verdict = judge("a1", &lines);
    assert_eq!(verdict.outcome, Outcome::Open);
    assert_eq!(verdict.reasons.len(), 1);
    assert_eq!(verdict.reasons[0].text, "no worker could run step 1");
}

#[test]
fn judge_job_in_time_has_no_surroundings() {
    let lines = [
        line(0, "Job accepted.", r#""job":"a1","pool":"p""#),
        line(5, "Pool taken over.", r#""pool":"p""#),
        line(
            900,
            "Job ended.",
            r#""job":"a1","state":"Completed","took_ms":"900","objective_ms":"1600""#,
        ),
    ];
    let verdict = judge("a1", &lines);
    assert_eq!(
        (verdict.outcome, verdict.reasons),
        (Outcome::InTime, Vec::new())
    );
}

#[test]
fn judge_late_job_names_the_cordon() {
    let cordon = "Cordoned data centres changed: nothing is started on their workers.";
    let lines = [
        line(0, cordon, r#""pool":"p","dcs":"east west","workers":"9""#),
        line(0, cordon, r#""pool":"other","dcs":"north","workers":"3""#),
        line(5, "Job accepted.", r#""job":"a1","pool":"p""#),
        line(4_000, cordon, r#""pool":"p","dcs":"","workers":"0""#),
    ];
    let verdict = judge("a1", &lines);
    let reasons: Vec<&str> = verdict.reasons.iter().map(|reason| &*reason.text).collect();
    assert_eq!(
        reasons,
        [
            "the operators cordoned east west: nothing was started there",
            "the operators opened all data centres again"
        ]
    );
}
