//! Workers that obey leases, run tasks of other sizes than declared, and fail in ways that a test can switch on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use goldcrest_sched::{CommandKind, ObservedPhase, StartOutcome, TaskObservation};
use goldcrest_types::names::TaskKey;

/// A try on a worker.
#[derive(Debug)]
pub struct FakeTry {
    /// Which try.
    pub attempt: u32,
    /// How far it has come.
    pub phase: ObservedPhase,
    /// Until when it runs without a renewal.
    pub lease_until: Instant,
    /// When it ends by itself.
    pub ends_at: Instant,
}

/// A worker.
#[derive(Debug, Default)]
pub struct FakeWorker {
    /// The tries it has, by task.
    pub tries: HashMap<TaskKey, FakeTry>,
    /// Whether no call and no report gets through.
    pub is_cut_off: bool,
    /// Whether it fails all it starts.
    pub is_bad: bool,
    /// Whether answers to starts are lost.
    pub loses_answers: bool,
    /// A start that still travels.
    pub travelling: Vec<(Instant, TaskKey, u32, Duration)>,
}

impl FakeWorker {
    /// A start arrives, or travels on if answers are lost.
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
            self.travelling.push((late, key, attempt, run));
            return StartOutcome::Unknown;
        }
        self.begin(key, attempt, run, lease, now);
        StartOutcome::Accepted
    }

    fn begin(&mut self, key: TaskKey, attempt: u32, run: Duration, lease: Duration, now: Instant) {
        if self
            .tries
            .get(&key)
            .is_some_and(|old| old.attempt >= attempt)
        {
            return;
        }
        let run = if self.is_bad { Duration::ZERO } else { run };
        let fresh = FakeTry {
            attempt,
            phase: ObservedPhase::Running,
            lease_until: now + lease,
            ends_at: now + run,
        };
        self.tries.insert(key, fresh);
    }

    /// A command arrives, if anything does.
    pub fn command(
        &mut self,
        key: TaskKey,
        attempt: u32,
        kind: CommandKind,
        lease: Duration,
        now: Instant,
    ) {
        let Some(task) = self.tries.get_mut(&key) else {
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

    /// Time passes: starts arrive, tries end, leases lapse.
    pub fn step(&mut self, lease: Duration, now: Instant) {
        let travelling = std::mem::take(&mut self.travelling);
        for (at, key, attempt, run) in travelling {
            if at > now {
                self.travelling.push((at, key, attempt, run));
            } else {
                self.begin(key, attempt, run, lease, at);
            }
        }
        for task in self.tries.values_mut() {
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

    /// What it reports, if anything gets through. Tries that have ended are forgotten with the report.
    pub fn report(&mut self) -> Option<Vec<TaskObservation>> {
        if self.is_cut_off {
            return None;
        }
        let seen = self.tries.iter().map(|(key, task)| TaskObservation {
            key: *key,
            attempt: task.attempt,
            phase: task.phase,
            used: crate::common::resources(1 + u32::from(task.attempt == 1) * 2999, 700, 0),
        });
        let mut report: Vec<TaskObservation> = seen.collect();
        report.sort_by_key(|seen| seen.key);
        self.tries
            .retain(|_, task| task.phase == ObservedPhase::Running);
        Some(report)
    }

    /// The tasks that run on it.
    pub fn running(&self) -> impl Iterator<Item = TaskKey> {
        let runs = |(_, task): &(&TaskKey, &FakeTry)| task.phase == ObservedPhase::Running;
        self.tries.iter().filter(runs).map(|(key, _)| *key)
    }
}
