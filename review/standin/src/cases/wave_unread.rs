//! A connection of one entry to the store goes silent: the one on which it waits for the operator's requests. The operator requests a
//! wave. Then the holder of the fleet role is stopped, and that entry takes the role.
//!
//! Without the disruption the connection stays as it is; the holder is stopped all the same.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, Route};
use crate::entries::Signal;
use crate::json::Json;
use crate::store::Fate;

const QUEUE: Route = Route {
    name: "r-dry-run",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};

/// When the wave is acknowledged and when the holder is stopped, after the entry has begun to wait.
const WAVE_AFTER: Duration = Duration::from_millis(100);
const STOP_AFTER: Duration = Duration::from_millis(900);

/// The machines of the wave.
const WAVE: [&str; 2] = ["m-3", "m-5"];

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[QUEUE])?;
    let (pool, fleet) = deployment.settled_roles()?;
    let successor = 6 - pool - fleet;
    let is_watching = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&is_watching);
    let mut is_silent = false;
    deployment
        .store
        .set_rule(Some(Box::new(move |entry, request| {
            let is_waiting = entry == successor
                && request.path.ends_with("/kv-watch")
                && request.field("prefix") == "op/";
            if !is_waiting || is_silent {
                return Fate::Answered;
            }
            if !seen.swap(true, Ordering::SeqCst) {
                return Fate::Answered;
            }
            // The answer of the watch that was waiting is lost with its connection.
            is_silent = true;
            if is_disturbed {
                Fate::Silent
            } else {
                Fate::Answered
            }
        })));
    deployment.wait(
        "the entry watches the operator's requests",
        Duration::from_secs(3),
        || is_watching.load(Ordering::SeqCst),
    )?;
    let began_at = Instant::now();
    if is_disturbed {
        deployment.record.line(
            "store",
            &format!(
                "the connection on which entry-{successor} waits for op/ goes silent; new ones work"
            ),
        );
    }
    thread::sleep(WAVE_AFTER);
    deployment.store.write(
        "op/wave/1",
        r#"{"wave":1,"machines":["m-3","m-5"],"durationS":26,"cap":1}"#,
    );
    deployment
        .record
        .line("operator", "wave 1 of m-3 and m-5 is acknowledged");
    thread::sleep(STOP_AFTER.saturating_sub(began_at.elapsed()));
    deployment.record.line(
        "script",
        &format!("SIGTERM to entry-{fleet}, which holds the fleet role"),
    );
    deployment.entries[fleet - 1].signal(Signal::Terminate);
    let mut shown = String::new();
    while began_at.elapsed() < Duration::from_secs(40) {
        let status = deployment.store.read("status/wave/1");
        let status = status
            .map(|item| String::from_utf8_lossy(&item.value).into_owned())
            .unwrap_or_default();
        let begun = deployment.machines.upkeeps.lock().unwrap().clone();
        if status != shown {
            deployment.record.line(
                "operator",
                &format!("status/wave/1 is {status}; upkeep has begun on {begun:?}"),
            );
            shown.clone_from(&status);
        }
        let state =
            Json::parse(status.as_bytes()).map(|status| status.get("state").str().to_owned());
        if state.as_deref() == Some("completed") {
            let missing: Vec<&str> = WAVE
                .into_iter()
                .filter(|vm| !begun.iter().any(|begun| begun == vm))
                .collect();
            if missing.is_empty() {
                return Ok(Verdict::Held("the wave is said to be completed, and the upkeep of all of its machines has begun".into()));
            }
            thread::sleep(Duration::from_secs(10));
            let later = deployment.machines.upkeeps.lock().unwrap().len();
            return Ok(Verdict::Broken(format!(
                "the wave is said to be completed though the upkeep of {missing:?} has not begun; 10 s later {later} of 2 have begun"
            )));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err("the wave was not completed".into())
}
