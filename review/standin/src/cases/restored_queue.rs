//! A configuration removes a queue, and the next one adds it again. In between a run of an accepted job's task fails, the first of
//! four attempts.
//!
//! Without the disruption both configurations keep the queue.

use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, POOL, Route, config};

const QUEUE: Route = Route {
    name: "r-dry-run",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};
const OTHER: Route = Route {
    name: "r-other",
    prefix: "/tije37/",
    attempts: 4,
    is_advised: false,
};

const JOB: &str = "/puxa400/5c0e7a21d94b36f8";

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[QUEUE, OTHER])?;
    let crew = &deployment.workers.crew;
    // The first run works for 3 s and fails; the second one ends done.
    deployment.submit(1, JOB, r#"{"spec":"ms=3000 fails=1","steps":[{"count":1,"cpu":4600,"memMb":17000,"estimateMs":3000}]}"#)?;
    deployment.wait("the task has started", Duration::from_secs(5), || {
        !crew.lock().unwrap().starts.is_empty()
    })?;
    let second: &[Route] = if is_disturbed {
        &[OTHER]
    } else {
        &[QUEUE, OTHER]
    };
    deployment.configure(&config(4, second, &[POOL]));
    deployment.wait("the first run has failed", Duration::from_secs(6), || {
        !crew.lock().unwrap().ends.is_empty()
    })?;
    thread::sleep(Duration::from_secs(1));
    deployment.configure(&config(9, &[QUEUE, OTHER], &[POOL]));
    // Longer than `configApplyMs` and `contactMs`.
    thread::sleep(Duration::from_millis(3_500));
    let state = deployment.await_end(1, JOB, Duration::from_secs(15));
    let failed = crew
        .lock()
        .unwrap()
        .ends
        .iter()
        .filter(|end| end.how == "failed")
        .count();
    match &*state {
        "completed" => Ok(Verdict::Held("the job is completed".into())),
        "failed" | "cancelled" | "not known" if failed < 4 => Ok(Verdict::Broken(format!(
            "the job is shown as {state} after {failed} of 4 attempts have failed"
        ))),
        _ => Err(format!("the job is {state}")),
    }
}
