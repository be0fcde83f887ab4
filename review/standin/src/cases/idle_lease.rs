//! The scheduler of a pool is stopped right after it has started a task on a minion that was idle. The minion reports to the next
//! scheduler and is then cut off from all entries, and runs on.
//!
//! Without the disruption the minion is not cut off; the scheduler is stopped all the same.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, Route};
use crate::entries::Signal;

const QUEUE: Route = Route {
    name: "r-apply",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};

const JOB: &str = "/puxa400/5c0e7a21d94b36f8";

/// The minion that gets the task: all are idle and alike, and the scheduler takes the first one.
const HOST: &str = "i-m-1-1";

/// How long the minion is cut off, as in the site.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[QUEUE])?;
    let (pool, fleet) = deployment.settled_roles()?;
    let workers = Arc::clone(&deployment.workers);
    let holds = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&holds);
    workers.set_observer(Box::new(move |id, path| {
        if id == HOST && path.ends_with("/hold") {
            seen.fetch_add(1, Ordering::SeqCst);
        }
    }));
    deployment.wait(
        "the idle minion is asked for a report",
        Duration::from_secs(5),
        || holds.load(Ordering::SeqCst) > 0,
    )?;
    deployment
        .record
        .line(HOST, "is asked for a report while it is idle");
    deployment.submit(
        fleet,
        JOB,
        r#"{"spec":"ms=12000","steps":[{"count":1,"cpu":9900,"memMb":37000,"estimateMs":12000}]}"#,
    )?;
    deployment.wait("the task has started", Duration::from_secs(2), || {
        !workers.crew.lock().unwrap().starts.is_empty()
    })?;
    if workers.crew.lock().unwrap().starts[0] != HOST {
        return Err("the task has started on another minion".into());
    }
    let token = || {
        workers
            .crew
            .lock()
            .unwrap()
            .reports
            .get(HOST)
            .copied()
            .unwrap_or(0)
    };
    let before = token();
    deployment.record.line(
        "script",
        &format!("SIGTERM to entry-{pool}, which schedules the pool"),
    );
    deployment.entries[pool - 1].signal(Signal::Terminate);
    deployment.wait(
        "the minion has reported to the next scheduler",
        Duration::from_secs(4),
        || token() > before,
    )?;
    deployment
        .record
        .line(HOST, "has reported to the next scheduler");
    if is_disturbed {
        workers.set_cut(HOST, true);
        thread::sleep(CUT);
        workers.set_cut(HOST, false);
    }
    let state = deployment.await_end(fleet, JOB, Duration::from_secs(40));
    let crew = workers.crew.lock().unwrap();
    match crew.doubled.first() {
        Some(what) => Ok(Verdict::Broken(what.clone())),
        None if state == "completed" => Ok(Verdict::Held("the task ran once at a time".into())),
        None => Err(format!("the job is {state}")),
    }
}
