//! The service that knows which minions may run a step, by the users' page PROTOCOL. It handles the calls of a machine one at a time
//! and in turn. Only one entry calls it in these cases, the holder of the one pool whose queue has advice.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::Json;

/// The most calls that may wait.
const WAITING_MAX: u64 = 32;

#[derive(Debug, Default)]
struct Turns {
    arrived: u64,
    served: u64,
}

/// What a queue's configuration says of the service.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    pub decision_ms: u64,
    pub each_ms: u64,
    pub valid_ms: u64,
}

impl Times {
    pub fn to_json(self) -> Json {
        Json::object(&[
            ("decisionMs", Json::int(self.decision_ms)),
            ("eachMs", Json::int(self.each_ms)),
            ("validMs", Json::int(self.valid_ms)),
        ])
    }
}

#[derive(Debug)]
pub struct Advice {
    times: Times,
    turns: Mutex<Turns>,
    next: Condvar,
    tickets: Mutex<HashMap<(String, String), (String, Instant)>>,
}

impl Advice {
    pub fn new(times: Times) -> Self {
        Self {
            times,
            turns: Mutex::default(),
            next: Condvar::new(),
            tickets: Mutex::default(),
        }
    }

    /// How many calls were answered.
    pub fn served(&self) -> u64 {
        self.turns.lock().expect("no thread panics here").served
    }

    pub fn handle(&self, request: &Request) -> Answer {
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let mut turns = self.turns.lock().expect("no thread panics here");
        if turns.arrived - turns.served > WAITING_MAX {
            return (429, "{}".to_owned());
        }
        let turn = turns.arrived;
        turns.arrived += 1;
        while turns.served < turn {
            turns = self.next.wait(turns).expect("no thread panics here");
        }
        drop(turns);
        let workers = body.list("workers");
        let named = u64::try_from(workers.len()).unwrap_or_default();
        let took_ms = self.times.decision_ms + self.times.each_ms * named;
        std::thread::sleep(Duration::from_millis(took_ms));
        let answer = self.decide(body.str("step").unwrap_or_default(), workers);
        let mut turns = self.turns.lock().expect("no thread panics here");
        turns.served += 1;
        drop(turns);
        self.next.notify_all();
        answer
    }

    /// Every other minion may run a step.
    fn decide(&self, step: &str, workers: &[Json]) -> Answer {
        let until = Instant::now() + Duration::from_millis(self.times.valid_ms);
        let mut tickets = self.tickets.lock().expect("no thread panics here");
        let good = workers
            .iter()
            .filter_map(Json::as_str)
            .step_by(2)
            .map(|worker| {
                let ticket = format!("{step}-{worker}");
                let key = (step.to_owned(), worker.to_owned());
                tickets.insert(key, (ticket.clone(), until));
                Json::List(vec![Json::text(worker), Json::text(&ticket)])
            });
        let good = Json::List(good.collect());
        let answer = Json::object(&[("good", good), ("validMs", Json::int(self.times.valid_ms))]);
        (200, answer.write())
    }

    /// Whether a ticket allows a task `ID.K.STEP.INDEX` on a minion now.
    pub fn allows(&self, task: &str, minion: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let tickets = self.tickets.lock().expect("no thread panics here");
        let known = tickets.get(&(step.to_owned(), minion.to_owned()));
        known.is_some_and(|(known, until)| known == ticket && Instant::now() < *until)
    }
}
