//! Maintenance waves over VMs: which VM is emptied, and which is taken down.
//!
//! A [`Wave`] names VMs that must each be maintained once, with at most `at_once` down at a time. [`Upkeep`] holds the
//! waves that are under way, and is derived from the stored waves and the platform's list at any time, so that a new
//! holder goes on where the last one stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_types::names::PoolName;
use serde::{Deserialize, Serialize};

use crate::id::{VmId, WorkerId};

/// A wave, as the operators ordered it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The VMs.
    pub vms: Vec<VmId>,
    /// The time that it may take.
    pub time: Duration,
    /// The most VMs that may be down for it at once.
    pub at_once: u32,
}

/// What the platform is doing with a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// In its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Down for maintenance.
    Maintained,
    /// Failed.
    Down,
}

/// A VM, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Its id.
    pub id: VmId,
    /// Its pool.
    pub pool: PoolName,
    /// What the platform is doing with it.
    pub state: VmState,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
}

/// What is stored of a wave's progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance has been ordered and confirmed.
    pub begun: BTreeSet<VmId>,
    /// It is done.
    pub is_completed: bool,
}

/// A wave that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// As ordered.
    pub wave: Wave,
    /// How far it is.
    pub progress: WaveProgress,
}

/// The waves that are under way.
#[derive(Debug, Clone, Default)]
pub struct Upkeep {
    /// By number.
    pub waves: BTreeMap<u64, Running>,
}

/// What is to be done next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpkeepPlan {
    /// VMs to empty.
    pub evacuate: BTreeSet<VmId>,
    /// VMs that are empty, to take down now, with their wave.
    pub take_down: Vec<(VmId, u64)>,
    /// Waves that are done.
    pub completed: Vec<u64>,
}

impl Upkeep {
    /// Decides what is next. `empty` holds the VMs that their schedulers have emptied.
    #[must_use]
    pub fn plan(&self, vms: &BTreeMap<VmId, Vm>, empty: &BTreeSet<VmId>) -> UpkeepPlan {
        let mut plan = UpkeepPlan::default();
        for (number, running) in &self.waves {
            if !running.progress.is_completed {
                running.plan(*number, vms, empty, &mut plan);
            }
        }
        plan
    }
}

impl Running {
    fn plan(
        &self,
        number: u64,
        vms: &BTreeMap<VmId, Vm>,
        empty: &BTreeSet<VmId>,
        plan: &mut UpkeepPlan,
    ) {
        let remaining: Vec<&Vm> = self
            .wave
            .vms
            .iter()
            .filter(|vm| !self.progress.begun.contains(vm))
            .filter_map(|vm| vms.get(vm))
            .collect();
        // A VM that this wave has taken down counts until it is seen up again.
        let down = self
            .progress
            .begun
            .iter()
            .filter(|vm| {
                vms.get(vm)
                    .is_some_and(|vm| vm.state == VmState::Maintained)
            })
            .count();
        if remaining.is_empty() {
            if down == 0 {
                plan.completed.push(number);
            }
            return;
        }
        let slots = (self.wave.at_once as usize).saturating_sub(down);
        let up: Vec<&&Vm> = remaining
            .iter()
            .filter(|vm| vm.state == VmState::Up)
            .collect();
        let ready = up.iter().filter(|vm| empty.contains(&vm.id));
        plan.take_down
            .extend(ready.take(slots).map(|vm| (vm.id.clone(), number)));
        // The next VMs are emptied while others are down, so that none waits for its turn with work still on it.
        let ahead = self.wave.at_once as usize + 1;
        plan.evacuate
            .extend(up.iter().take(ahead).map(|vm| vm.id.clone()));
    }
}
