//! Maintenance waves: which VM is taken out of service next, and why.
//!
//! [`Context::plan`] runs these passes over the fleet, each in its own file, and emits at most one [`Step`] for a
//! VM:
//!
//! 1. [`overrun`](self): VMs of groups whose budget failures have overrun go back if they still can.
//! 2. `settle`: VMs that are on their way take their next step, or are given up.
//! 3. `health`: failures slow or stop the wave, and time or recovery lets it go on.
//! 4. `deadline`: what is left is weighed against the time left in the period.
//! 5. `domain`: the one data centre that may be worked on.
//! 6. `select`: VMs of that data centre, as many as batch and budget allow.
//!
//! Invariants, checked by [`crate::verify`] after each plan: no step takes a VM out of service beyond its group's
//! budget; only one data centre has VMs in maintenance; no VM reboots while work runs on it.
//!
//! The context holds no state that safety rests on. What it forgets in a crash makes the next holder wait longer
//! or start with a small batch again.

mod deadline;
mod domain;
mod health;
mod overrun;
mod reason;
mod select;
mod settle;
mod step;

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef, SecondaryMap, VmId};

use crate::fleet::{Census, Fleet, Group, Seen, VmState};

pub use health::Pace;
pub use reason::{Hold, Reason};
pub use settle::DRAIN_SETTLE;
pub use step::{Action, Step};

/// The longest time by which the platform's list lags.
pub const LIST_LAG_MAX: Duration = Duration::from_secs(30);

/// What the context remembers of one VM.
#[derive(Debug, Clone, Copy, Default)]
struct Note {
    /// When a command for it was given last.
    asked: Option<Instant>,
    /// Until when it is not drained again.
    not_before: Option<Instant>,
    /// When the wave took it out of service.
    out_since: Option<Instant>,
    /// Whether the list has shown it leaving.
    was_leaving: bool,
}

/// What a wave stands at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// The cycle.
    pub cycle: u64,
    /// The data centre that is worked on.
    pub domain: Option<DcId>,
    /// VMs that the cycle has maintained.
    pub done: u32,
    /// VMs that the cycle has still to maintain.
    pub due: u32,
    /// VMs that the wave has in work.
    pub in_work: u32,
    /// VMs that did not come back from the wave.
    pub failed: u32,
    /// How wide the wave goes.
    pub pace: Pace,
    /// Why no further VM is taken out of service now.
    pub hold: Option<Hold>,
    /// How long the rest of the wave is expected to take.
    pub needed: Duration,
    /// How long the period still lasts.
    pub left: Duration,
}

impl Status {
    /// Whether the wave is expected to end after its period.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.needed > self.left
    }
}

/// Plans waves and keeps its buffers from one plan to the next.
#[derive(Debug, Default)]
pub struct Context {
    steps: Vec<Step>,
    census: Census,
    notes: SecondaryMap<VmId, Note>,
    decided: SecondaryMap<VmId, bool>,
    health: health::Health,
    deadline: deadline::Deadline,
    domain: domain::Domains,
    candidates: Vec<select::Candidate>,
    status: Status,
}

impl Context {
    /// A context that remembers nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The next steps. They are safe to carry out in this order, and to leave out or repeat in part.
    ///
    /// The caller stores each step's effect on the fleet before it gives the command that goes with it.
    pub fn plan(&mut self, fleet: &Fleet, cat: &Catalogue, now: Instant) -> &[Step] {
        self.begin(fleet, cat);
        overrun::run(self, fleet, cat);
        settle::run(self, fleet, cat, now);
        health::run(self, fleet, cat, now);
        deadline::run(self, fleet, cat, now);
        domain::run(self, fleet, cat, now);
        select::run(self, fleet, cat, now);
        self.finish(fleet, now);
        #[cfg(debug_assertions)]
        {
            let found = crate::verify::plan(fleet, cat, &self.steps);
            debug_assert!(found.is_empty(), "{found}");
        }
        &self.steps
    }

    /// What the wave stood at in the last plan.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status
    }

    fn begin(&mut self, fleet: &Fleet, cat: &Catalogue) {
        self.steps.clear();
        self.decided.clear();
        self.census.take(fleet, cat.dcs.len(), cat.pools.len());
        self.status = Status {
            cycle: fleet.cycle.number,
            ..Status::default()
        };
    }

    /// Adds a step and keeps the counts in line with it.
    fn emit(&mut self, fleet: &Fleet, step: Step) {
        let vm = &fleet.vms[step.vm];
        debug_assert!(!self.decided[step.vm], "{} is decided twice", step.vm);
        self.decided[step.vm] = true;
        let group = Group {
            pool: vm.pool,
            dc: vm.dc,
        };
        let count = self.census.group_mut(group);
        match step.action {
            Action::Drain => count.unavailable += 1,
            Action::Return if vm.is_unavailable() && vm.seen == Seen::Live => {
                count.unavailable -= 1;
            }
            _ => {}
        }
        self.steps.push(step);
    }

    fn finish(&mut self, fleet: &Fleet, now: Instant) {
        for step in &self.steps {
            let note = &mut self.notes[step.vm];
            match step.action {
                Action::Drain => note.out_since = Some(now),
                Action::CheckpointTasks | Action::Reboot | Action::Join(_) => {
                    note.asked = Some(now);
                }
                Action::Return | Action::MarkFailed | Action::Remove => note.asked = None,
            }
        }
        for vm in fleet.vms.values() {
            if vm.state == VmState::Gone {
                continue;
            }
            let is_done = vm.maintained_cycle >= fleet.cycle.number;
            self.status.done += u32::from(is_done);
            self.status.due += u32::from(!is_done);
        }
    }
}

/// Whether `vm` may still be maintained in this cycle.
fn is_due(fleet: &Fleet, vm: VmId) -> bool {
    let vm = &fleet.vms[vm];
    vm.state != VmState::Gone && vm.maintained_cycle < fleet.cycle.number
}

/// The ids of all data centres of `cat`.
fn dcs(cat: &Catalogue) -> impl Iterator<Item = DcId> {
    (0..cat.dcs.len()).map(DcId::new)
}
