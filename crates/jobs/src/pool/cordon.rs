//! Marks the workers of cordoned data centres, on which nothing is started.
//!
//! Load pattern: operators evacuate a data centre while jobs are running there and others keep arriving. Runs in it go
//! on and their services stay available; tasks that are started from then on, whether first runs, retries or copies,
//! go to workers elsewhere.
//!
//! A worker whose data centre is unknown counts as cordoned while any data centre is.

use std::collections::BTreeSet;

use goldcrest_types::names::DcName;

use crate::pool::{Event, Pool, StartCommand};
use crate::worker::{DcState, WorkerInfo};

/// Runs the pass.
pub fn run(pool: &mut Pool) {
    let cordoned = &pool.cordoned;
    for worker in pool.workers.values_mut() {
        worker.dc_state = if is_cordoned(cordoned, &worker.info) {
            DcState::Cordoned
        } else {
            DcState::Open
        };
    }
}

fn is_cordoned(cordoned: &BTreeSet<DcName>, info: &WorkerInfo) -> bool {
    match &info.dc {
        Some(dc) => cordoned.contains(dc),
        None => !cordoned.is_empty(),
    }
}

impl Pool {
    /// Sets the cordoned data centres. The next plan starts nothing there.
    pub fn set_cordoned(&mut self, dcs: &BTreeSet<DcName>) {
        if self.cordoned == *dcs {
            return;
        }
        self.cordoned.clone_from(dcs);
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.is_listed && is_cordoned(dcs, &worker.info));
        self.events.push(Event::CordonsChanged {
            dcs: dcs.iter().cloned().collect(),
            workers: workers.count(),
        });
    }

    /// Whether a start that was planned and not sent yet must not be sent, because the data centre of its worker was
    /// cordoned meanwhile. A member of a gang is sent all the same: the others may have started, and wait for it.
    #[must_use]
    pub fn is_withheld(&self, order: &StartCommand) -> bool {
        let worker = self.workers.get(&order.worker);
        let job = self.jobs.get(&order.task.step.job);
        let step = job.and_then(|job| job.step(order.task.step));
        worker.is_some_and(|worker| is_cordoned(&self.cordoned, &worker.info))
            && !step.is_some_and(|(step, _)| step.is_gang())
    }
}
