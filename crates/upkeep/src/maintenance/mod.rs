//! Maintenance waves: which VM is taken out of service next, and why.
//!
//! [`Context::plan`] runs these passes over the fleet, each in its own file, and emits at most one [`Step`] for a
//! VM:
//!
//! 1. [`overrun`](self): returns draining VMs of groups in which failures have exceeded the budget.
//! 2. `settle`: emits the next step of each VM that drains, reboots, joins or failed.
//! 3. `health`: narrows or stops the wave after failures, and resumes it after recovery or a pause.
//! 4. `deadline`: compares the estimated time for the remaining VMs with the time left in the period.
//! 5. `domain`: picks the one data centre in which VMs may be taken out of service.
//! 6. `select`: drains VMs of that data centre, as many as batch and budget allow.
//!
//! Invariants, checked by [`crate::verify`] after each plan: no step takes a VM out of service beyond its group's
//! budget; only one data centre has VMs in maintenance; no VM reboots while work runs on it.
//!
//! The context holds no state that safety depends on. After a crash, its loss makes the next holder wait longer or
//! start with a small batch again.

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

pub use health::WaveWidth;
pub use reason::{Hold, Reason};
pub use settle::DRAIN_SETTLE;
pub use step::{Action, Step};

/// Upper bound on how far the platform's list lags behind the actual state of a VM.
pub const LIST_LAG_MAX: Duration = Duration::from_secs(30);

/// Volatile state of one VM, lost when the role changes its holder.
#[derive(Debug, Clone, Copy, Default)]
struct VmTracking {
    /// When the last checkpoint or reboot command was issued; none once the VM has returned, failed or been removed.
    commanded_at: Option<Instant>,
    /// The earliest time of the next drain, set after a drain timed out or the VM recovered.
    not_before: Option<Instant>,
    /// When the wave began to drain the VM.
    out_since: Option<Instant>,
    /// Whether the list has ever shown the VM as leaving, so that its absence later means departure, not failure.
    was_leaving: bool,
}

/// Progress of a wave as of the last plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// The number of the maintenance cycle, from 1.
    pub cycle: u64,
    /// The data centre in which VMs may be drained; none if no VM is ready or two data centres have VMs in work.
    pub domain: Option<DcId>,
    /// VMs that the cycle has maintained.
    pub done: u32,
    /// VMs that the cycle has still to maintain.
    pub due: u32,
    /// VMs that the wave has drained and that have not returned yet.
    pub in_work: u32,
    /// VMs that failed while the wave had them out of service.
    pub failed: u32,
    /// How many VMs the wave may have out of service at once.
    pub width: WaveWidth,
    /// Why no further VM is taken out of service now.
    pub hold: Option<Hold>,
    /// The estimated time to maintain the remaining VMs.
    pub needed: Duration,
    /// The time until the period ends.
    pub left: Duration,
}

impl Status {
    /// Whether the wave is expected to end after its period.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.needed > self.left
    }
}

/// Plans waves and reuses its buffers from one plan to the next.
#[derive(Debug, Default)]
pub struct Context {
    steps: Vec<Step>,
    census: Census,
    tracking: SecondaryMap<VmId, VmTracking>,
    decided: SecondaryMap<VmId, bool>,
    health: health::Health,
    deadline: deadline::Deadline,
    domain: domain::Domains,
    candidates: Vec<select::Candidate>,
    status: Status,
}

impl Context {
    /// Creates a context without any state from earlier plans.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next steps. It is safe to carry them out in this order, and to skip or repeat some of them.
    ///
    /// The caller stores each step's effect on the fleet before it issues the command that belongs to the step.
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

    /// Returns the progress of the wave as of the last plan.
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

    /// Adds a step and updates the counts of its group, so that later passes see the step's effect.
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
            let vm = &mut self.tracking[step.vm];
            match step.action {
                Action::Drain => vm.out_since = Some(now),
                Action::CheckpointTasks | Action::Reboot | Action::Join(_) => {
                    vm.commanded_at = Some(now);
                }
                Action::Return | Action::MarkFailed | Action::Remove => vm.commanded_at = None,
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

/// Whether `vm` is in the fleet and not maintained yet in this cycle.
fn is_due(fleet: &Fleet, vm: VmId) -> bool {
    let vm = &fleet.vms[vm];
    vm.state != VmState::Gone && vm.maintained_cycle < fleet.cycle.number
}

fn dcs(cat: &Catalogue) -> impl Iterator<Item = DcId> {
    (0..cat.dcs.len()).map(DcId::new)
}
