//! Minions fail what they start while a job with many small tasks runs. Its progress outgrows the largest value of the store. A small
//! job comes to another queue of the pool.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, Route, config};

const ROUTES: [Route; 2] = [
    Route { name: "r-apply", prefix: "/puxa400/", service: "bankmig", attempts: 4, is_advised: false },
    Route { name: "r-dry-run", prefix: "/tije37/", service: "bankmig", attempts: 4, is_advised: false },
];

const LARGE: &str = "/puxa400/5c0e7a21d94b36f8";
const SMALL: &str = "/tije37/00007a21d94b36f8";

pub fn run(deployment: &mut Deployment, is_disturbed: bool) -> Result<Verdict, Failure> {
    for number in 1..=8 {
        deployment.machines.add(&format!("m-{number}"), "bankmig", "bergen-a", (64_000, 262_144), &["a", "r1-1"], false).map_err(|error| error.to_string())?;
    }
    deployment.configure(&config(1, &ROUTES, &["bankmig"], ""));
    deployment.start(&["pool/bankmig", "fleet"])?;
    let fails = if is_disturbed { 2 } else { 0 };
    let body = format!(r#"{{"spec":"ms=4000 fails={fails}","steps":[{{"count":24000,"cpu":10,"memMb":10,"estimateMs":4000}}]}}"#);
    let (status, _) = deployment.call(1, "POST", LARGE, "", &body);
    if status != 200 {
        return Err(format!("the large job was not accepted: {status}"));
    }
    thread::sleep(Duration::from_secs(25));
    let body = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":4600,"memMb":17000,"estimateMs":500}]}"#;
    let (status, _) = deployment.call(1, "POST", SMALL, "", body);
    if status != 200 {
        return Err(format!("the small job was not accepted: {status}"));
    }
    let began_at = Instant::now();
    let mut last = String::new();
    while began_at.elapsed() < Duration::from_secs(40) {
        thread::sleep(Duration::from_secs(2));
        let (_, answer) = deployment.call(1, "GET", SMALL, "", "");
        last = answer.get("state").str().to_owned();
        let crew = deployment.workers.crew.lock().unwrap();
        let running: usize = crew.minions.values().map(|minion| minion.running().count()).sum();
        deployment.record.line("script", &format!("{} starts so far, {running} tasks at work", crew.starts.len()));
        if last == "completed" {
            return Ok(Verdict::Held("the small job is completed".into()));
        }
    }
    let crew = deployment.workers.crew.lock().unwrap();
    let running: usize = crew.minions.values().map(|minion| minion.running().count()).sum();
    Ok(Verdict::Broken(format!("the small job is '{last}' 40 s after it was accepted, while {running} tasks are at work on 8 minions")))
}
