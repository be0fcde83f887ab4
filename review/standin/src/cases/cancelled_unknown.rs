//! The store carries out the acceptance of a job late and leaves it unanswered, so the client is told that the outcome is unknown. The
//! client cancels the job and is told that there is no such job.
//!
//! Without the disruption the store answers.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, Route};
use crate::store::Fate;

const QUEUE: Route = Route {
    name: "r-apply",
    prefix: "/puxa400/",
    attempts: 4,
    is_advised: false,
};

const JOB: &str = "/puxa400/5c0e7a21d94b36f8";

/// The write is carried out this late: `platform_lost` names 1 to 6 s.
const LATE: Duration = Duration::from_secs(6);

/// `cancel_ms` of the settings.
const CANCEL_MAX: Duration = Duration::from_secs(3);

/// How long the minions are watched after the cancellation was answered.
const WATCHED: Duration = Duration::from_secs(12);

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    deployment.set_up(&[QUEUE])?;
    deployment.settled_roles()?;
    if is_disturbed {
        let mut is_lost = false;
        deployment.store.set_rule(Some(Box::new(move |_, request| {
            // The first write is the one of the job: only the acceptance of a job writes its status with its record.
            let is_acceptance = request.path.ends_with("/kv-txn")
                && String::from_utf8_lossy(&request.body).contains("in/bankmig/job/");
            if is_acceptance && !is_lost {
                is_lost = true;
                return Fate::Late(LATE);
            }
            Fate::Answered
        })));
    }
    let body =
        r#"{"spec":"ms=2000","steps":[{"count":1,"cpu":9900,"memMb":37000,"estimateMs":2000}]}"#;
    let (accepted, _) = deployment.call(1, "POST", JOB, body);
    let (cancelled, _) = deployment.call(2, "DELETE", JOB, "");
    if cancelled != 200 && cancelled != 410 {
        return Err(format!("the cancellation was answered with {cancelled}"));
    }
    let crew = &deployment.workers.crew;
    let before = crew.lock().unwrap().starts.len();
    let cancelled_at = Instant::now();
    while cancelled_at.elapsed() < WATCHED {
        thread::sleep(Duration::from_millis(5));
        let starts = crew.lock().unwrap().starts.len();
        let passed = cancelled_at.elapsed();
        if starts > before && passed > CANCEL_MAX {
            let (_, answer) = deployment.call(3, "GET", JOB, "");
            thread::sleep(Duration::from_secs(3));
            let (_, later) = deployment.call(3, "GET", JOB, "");
            return Ok(Verdict::Broken(format!(
                "a task starts {} ms after the cancellation was answered with {cancelled}; the job, handed in with {accepted}, is shown as {answer} and then as {later}",
                passed.as_millis()
            )));
        }
    }
    Ok(Verdict::Held(format!(
        "no task starts within {} s after the cancellation was answered with {cancelled}",
        WATCHED.as_secs()
    )))
}
