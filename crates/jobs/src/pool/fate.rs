//! Finds out what became of the workers of lost runs.
//!
//! A worker that does not answer has crashed, or it is cut off, frozen or late. Its silence does not tell which:
//!
//! | what is seen | what it shows |
//! | --- | --- |
//! | a later incarnation, in the registry or in a report | it has crashed ([`Fate::Restarted`]) |
//! | the registry has dropped it, and it has not registered again within [`REGISTER_TIMEOUT`] | it counts as crashed ([`Fate::Gone`]) |
//! | a report of the same incarnation | it has not crashed; the report accounts for its runs |
//! | it is listed although it has been silent for longer than the registry's timeout | it has not crashed, and is cut off |
//! | none of these | not known yet |
//!
//! The registry's lists count only while they follow each other without a gap: entries may be dropped while the store is
//! down, and are back soon after it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::id::{TaskId, WorkerId};
use crate::job::{Job, Task};
use crate::pool::{Event, Pool};
use crate::suspect::{Fate, RunState, UnreportedRun};

/// A worker that is up registers again within this time after the registry has dropped it. The platform documents two
/// seconds; the rest covers the interval between two lists.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Lists that are further apart than this have a gap between them.
const LIST_GAP: Duration = Duration::from_secs(2);

/// A list may be older than its arrival by this time, and the entry in it older than the list.
const LIST_AGE_MAX: Duration = Duration::from_secs(2);

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    for task in pool.suspects.clone() {
        let Some(state) = pool.task(task) else {
            continue;
        };
        let found: Vec<Option<Fate>> = state
            .unreported
            .iter()
            .map(|run| pool.fate(run, now))
            .collect();
        let is_known = state.unreported.iter().map(|run| run.fate);
        if is_known.eq(found.iter().copied()) {
            continue;
        }
        let learned = pool.update_task(task, |task| {
            let mut learned = Vec::new();
            for (run, fate) in task.unreported.iter_mut().zip(found) {
                if let Some(fate) = fate.filter(|_| run.fate.is_none()) {
                    run.fate = Some(fate);
                    learned.push((run.worker.clone(), fate));
                }
            }
            Some(learned)
        });
        let learned = learned.unwrap_or_default().into_iter();
        pool.events
            .extend(learned.map(|(worker, fate)| Event::FateKnown { worker, task, fate }));
        pool.unsaved.insert(task.step.job);
        pool.judge_crashes(task, now);
    }
}

impl Pool {
    /// Records which workers the registry lists.
    pub(super) fn record_list(&mut self, listed: &BTreeSet<WorkerId>, now: Instant) {
        let has_gap = self
            .listed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LIST_GAP);
        if has_gap {
            self.missing.clear();
            self.listed_since = Some(now);
        }
        self.listed_at = Some(now);
        let lost = self.suspects.iter().filter_map(|task| self.task(*task));
        let lost = lost.flat_map(|task| &task.unreported);
        let lost = lost.filter(|run| run.state == RunState::Lost && run.fate.is_none());
        let missing: BTreeSet<WorkerId> = lost
            .map(|run| run.worker.clone())
            .filter(|id| !listed.contains(id))
            .collect();
        self.missing.retain(|id, _| missing.contains(id));
        for id in missing {
            self.missing.entry(id).or_insert(now);
        }
    }

    /// What became of the worker of a run, as far as it is known.
    fn fate(&self, run: &UnreportedRun, now: Instant) -> Option<Fate> {
        if run.state == RunState::Open || run.fate.is_some() {
            return run.fate;
        }
        let present = self.by_id.get(&run.worker);
        let present = present.and_then(|worker| self.workers.get(worker));
        let started_ms = present.and_then(|worker| worker.info.started_ms);
        if matches!((run.started_ms, started_ms), (Some(old), Some(new)) if old < new) {
            return Some(Fate::Restarted);
        }
        let is_gone = self
            .missing
            .get(&run.worker)
            .is_some_and(|since| now.saturating_duration_since(*since) >= REGISTER_TIMEOUT);
        is_gone.then_some(Fate::Gone)
    }

    /// Whether the worker of a lost run may have crashed, although its fate is not known. Unlike a crashed worker, one
    /// that is cut off stays listed for longer than the registry's timeout.
    fn may_have_crashed(&self, run: &UnreportedRun) -> bool {
        let present = self.by_id.get(&run.worker);
        let present = present.and_then(|worker| self.workers.get(worker));
        let silent_since = present
            .filter(|worker| worker.is_listed)
            .map(|worker| worker.answered_at.max(self.listed_since));
        let Some(silent_since) = silent_since.flatten() else {
            return true;
        };
        let dropped_at = silent_since + self.bounds.registry_timeout + LIST_AGE_MAX;
        self.listed_at.is_none_or(|at| at < dropped_at)
    }

    /// Whether the job of a task would be given up if those lost workers had crashed of which it is not known yet. The
    /// task is not started before.
    pub(super) fn awaits_verdict(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        if job.is_none_or(Job::has_availability_budget) {
            return false;
        }
        self.task(task).is_some_and(|task| {
            let limit = self.bounds.crash_limit;
            limit.may_be_exceeded(&task.unreported, |run| self.may_have_crashed(run))
        })
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        let (_, state) = self.jobs.get(&id.step.job)?.step(id.step)?;
        state.tasks.get(id.index as usize)
    }
}
