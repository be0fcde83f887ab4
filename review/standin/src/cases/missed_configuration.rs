//! The scheduler of a pool is stopped while the store is slow. Another entry takes the pool over; while it loads the pool, a
//! configuration adds a queue with advice. Some seconds later, with all calm, a job comes to the new queue.
//!
//! Without the disruption the store is not slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, POOL, Route, config};
use crate::entries::Signal;
use crate::store::Fate;

const FIRST: Route = Route {
    name: "r-dry-run",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};
const ADDED: Route = Route {
    name: "r-added",
    prefix: "/tije37/",
    attempts: 4,
    is_advised: true,
};

const JOB: &str = "/tije37/5c0e7a21d94b36f8";

/// `platform_slow` of the site: answers, of 4 ms, take 60 times as long, for 4.5 s.
const SLOW_ANSWER: Duration = Duration::from_millis(240);
const SLOW_TIME: Duration = Duration::from_millis(4_500);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// When the configuration is acknowledged, after the first call by which the pool is loaded. With a slow store there are three of them,
/// one after the other, which take 720 ms; otherwise they take 12 ms.
const CONFIGURED_AFTER: Duration = Duration::from_millis(200);

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[FIRST])?;
    let (pool, fleet) = deployment.settled_roles()?;
    let is_loading = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&is_loading);
    let began_at = Instant::now();
    if is_disturbed {
        deployment
            .record
            .line("store", "answers take 240 ms from now on, for 4.5 s");
    }
    deployment
        .store
        .set_rule(Some(Box::new(move |entry, request| {
            if entry != pool
                && request.path.ends_with("/kv-range")
                && request.field("prefix") == "in/bankmig/"
            {
                seen.store(true, Ordering::SeqCst);
            }
            if is_disturbed && began_at.elapsed() < SLOW_TIME {
                Fate::Slow(SLOW_ANSWER)
            } else {
                Fate::Answered
            }
        })));
    deployment.record.line(
        "script",
        &format!("SIGTERM to entry-{pool}, which schedules the pool"),
    );
    deployment.entries[pool - 1].signal(Signal::Terminate);
    deployment.wait(
        "another entry loads the pool",
        Duration::from_secs(4),
        || is_loading.load(Ordering::SeqCst),
    )?;
    deployment
        .record
        .line("script", "another entry loads the pool");
    thread::sleep(CONFIGURED_AFTER);
    deployment.configure(&config(4, &[FIRST, ADDED], &[POOL]));
    deployment.entries[pool - 1].wait(Duration::from_secs(7));
    deployment.start_entry(pool)?;
    deployment.await_ready()?;
    // Longer than `contactMs`, `configApplyMs` and `maxStretchMs`.
    thread::sleep(Duration::from_secs(6));
    deployment.submit(fleet, JOB, r#"{"spec":"ms=500 advised","steps":[{"count":1,"cpu":4600,"memMb":17000,"estimateMs":500}]}"#)?;
    // The job is asked for `finishS` after the end of the traffic, and then for 3 s.
    let state = deployment.await_end(fleet, JOB, FINISH + Duration::from_secs(3));
    let crew = deployment.workers.crew.lock().unwrap();
    let (starts, refused) = (crew.starts.len(), crew.without_ticket);
    match &*state {
        "completed" => Ok(Verdict::Held("the job is completed".into())),
        _ if starts == 0 => Ok(Verdict::Broken(format!(
            "17 s after the job was accepted it is {state} and no task of it has run, with 8 idle minions; {refused} starts came without a ticket"
        ))),
        _ => Err(format!("the job is {state}")),
    }
}
