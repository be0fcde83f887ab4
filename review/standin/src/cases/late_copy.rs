//! An order to start a task gets no answer and is repeated with success. The minion runs the task, lists it, crashes and is back under
//! its id. The first order is carried out then.
//!
//! Without the disruption the first order is answered; the minion crashes all the same.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, Route};
use crate::workers::Fate;

const QUEUE: Route = Route {
    name: "r-apply",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};

const JOB: &str = "/puxa400/5c0e7a21d94b36f8";

/// The order is carried out this late: `applied_late` names 2 to 12 s.
const LATE: Duration = Duration::from_secs(6);

/// How long the minions have been up before the job comes: the clock of a new life is behind that of the last one by this much.
const UPTIME: Duration = Duration::from_secs(12);

/// How long the minion lists the run before it crashes.
const LISTED: Duration = Duration::from_millis(1_500);

/// How long the minion is down.
const DOWN: Duration = Duration::from_millis(1_500);

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[QUEUE])?;
    thread::sleep(UPTIME);
    let workers = Arc::clone(&deployment.workers);
    if is_disturbed {
        let mut is_lost = false;
        workers.set_rule(Some(Box::new(move |_, path, _| {
            if path.ends_with("/run-start") && !is_lost {
                is_lost = true;
                return Fate::Late(LATE);
            }
            Fate::Answered
        })));
    }
    deployment.submit(
        1,
        JOB,
        r#"{"spec":"ms=9000","steps":[{"count":1,"cpu":9900,"memMb":37000,"estimateMs":9000}]}"#,
    )?;
    deployment.wait("the task has started", Duration::from_secs(5), || {
        !workers.crew.lock().unwrap().starts.is_empty()
    })?;
    let host = workers.crew.lock().unwrap().starts[0].clone();
    thread::sleep(LISTED);
    workers.crash(&host, DOWN);
    let state = deployment.await_end(1, JOB, Duration::from_secs(40));
    let crew = workers.crew.lock().unwrap();
    match crew.doubled.first() {
        Some(what) => Ok(Verdict::Broken(what.clone())),
        None if state == "completed" => Ok(Verdict::Held("the task ran once at a time".into())),
        None => Err(format!("the job is {state}")),
    }
}
