//! Fake workers: they obey leases, run tasks of other sizes than declared, and fail in ways that a test can switch on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use goldcrest_sched::{CommandKind, ObservedPhase, StartOutcome, TaskObservation};
use goldcrest_types::names::TaskKey;

/// An attempt on a worker.
#[derive(Debug)]
pub struct FakeAttempt {
    /// The number of the attempt.
    pub attempt: u32,
    /// The progress that the next report shows.
    pub phase: ObservedPhase,
    /// When the lease expires without a renewal.
    pub lease_until: Instant,
    /// When the attempt ends by itself.
    pub ends_at: Instant,
}

/// A worker with its attempts and the faults that are switched on.
#[derive(Debug, Default)]
pub struct FakeWorker {
    /// The attempts on the worker, by task.
    pub attempts: HashMap<TaskKey, FakeAttempt>,
    /// Whether no call and no report gets through.
    pub is_cut_off: bool,
    /// Whether every attempt on the worker fails at once.
    pub is_bad: bool,
    /// Whether answers to starts are lost; the starts arrive late.
    pub loses_answers: bool,
    /// Starts in transit, with the time of their arrival.
    pub in_transit: Vec<(Instant, TaskKey, u32, Duration)>,
}

impl FakeWorker {
    /// Receives a start, or delays it if answers are lost.
    pub fn start(
        &mut self,
        key: TaskKey,
        attempt: u32,
        run: Duration,
        lease: Duration,
        now: Instant,
    ) -> StartOutcome {
        if self.is_cut_off {
            return StartOutcome::NotStarted;
        }
        if self.loses_answers {
            let late = now + Duration::from_millis(1500);
            self.in_transit.push((late, key, attempt, run));
            return StartOutcome::Unknown;
        }
        self.begin(key, attempt, run, lease, now);
        StartOutcome::Accepted
    }

    fn begin(&mut self, key: TaskKey, attempt: u32, run: Duration, lease: Duration, now: Instant) {
        if self
            .attempts
            .get(&key)
            .is_some_and(|old| old.attempt >= attempt)
        {
            return;
        }
        let run = if self.is_bad { Duration::ZERO } else { run };
        let fresh = FakeAttempt {
            attempt,
            phase: ObservedPhase::Running,
            lease_until: now + lease,
            ends_at: now + run,
        };
        self.attempts.insert(key, fresh);
    }

    /// Receives a command, unless the worker is cut off or does not run the attempt.
    pub fn command(
        &mut self,
        key: TaskKey,
        attempt: u32,
        kind: CommandKind,
        lease: Duration,
        now: Instant,
    ) {
        let Some(task) = self.attempts.get_mut(&key) else {
            return;
        };
        let is_meant = task.attempt == attempt && task.phase == ObservedPhase::Running;
        if self.is_cut_off || !is_meant {
            return;
        }
        match kind {
            CommandKind::Renew => task.lease_until = now + lease,
            CommandKind::Throttle => {}
            CommandKind::Checkpoint => task.phase = ObservedPhase::Checkpointed,
            CommandKind::Stop => task.phase = ObservedPhase::Stopped,
        }
    }

    /// Advances the worker to `now`: starts arrive, attempts end, leases expire.
    pub fn step(&mut self, lease: Duration, now: Instant) {
        let in_transit = std::mem::take(&mut self.in_transit);
        for (at, key, attempt, run) in in_transit {
            if at > now {
                self.in_transit.push((at, key, attempt, run));
            } else {
                self.begin(key, attempt, run, lease, at);
            }
        }
        for task in self.attempts.values_mut() {
            if task.phase != ObservedPhase::Running {
                continue;
            }
            if task.lease_until <= now {
                task.phase = ObservedPhase::Stopped;
            } else if task.ends_at <= now && self.is_bad {
                task.phase = ObservedPhase::Failed;
            } else if task.ends_at <= now {
                task.phase = ObservedPhase::Succeeded;
            }
        }
    }

    /// Returns the report of the worker, unless it is cut off. Attempts that have ended are forgotten with it.
    pub fn report(&mut self) -> Option<Vec<TaskObservation>> {
        if self.is_cut_off {
            return None;
        }
        let observations = self.attempts.iter().map(|(key, task)| TaskObservation {
            key: *key,
            attempt: task.attempt,
            phase: task.phase,
            used: crate::common::resources(1 + u32::from(task.attempt == 1) * 2999, 700, 0),
        });
        let mut report: Vec<TaskObservation> = observations.collect();
        report.sort_by_key(|task| task.key);
        self.attempts
            .retain(|_, task| task.phase == ObservedPhase::Running);
        Some(report)
    }

    /// Returns the tasks that run on the worker.
    pub fn running(&self) -> impl Iterator<Item = TaskKey> {
        let runs = |(_, task): &(&TaskKey, &FakeAttempt)| task.phase == ObservedPhase::Running;
        self.attempts.iter().filter(runs).map(|(key, _)| *key)
    }
}
