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
    /// When it was taken up, in milliseconds since 1970.
    pub taken_up_ms: u64,
}

/// A wave that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// As ordered.
    pub wave: Wave,
    /// How far it is.
    pub progress: WaveProgress,
    /// VMs that are being emptied for it. They stay chosen until they are taken down.
    pub chosen: BTreeSet<VmId>,
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

/// What a plan is made from.
#[derive(Debug)]
pub struct Facts<'a> {
    /// The platform's list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs on which nothing runs and nothing will be started.
    pub empty: &'a BTreeSet<VmId>,
    /// How much of each pool is in use or waited for, in thousandths of what it has. Pools that are not listed have no load.
    pub load_milli: &'a BTreeMap<PoolName, u64>,
    /// The time of day in milliseconds since 1970.
    pub wall_ms: u64,
}

/// The time that a VM takes from being chosen until it is back in its pool.
const TURN: Duration = Duration::from_secs(6);

/// A wave aims to be done this long before its time is over.
const RESERVE: Duration = Duration::from_millis(3_500);

/// From this load on, in thousandths of what it has, a pool is taken to be in its turn.
const IN_TURN_MILLI: u64 = 750;

/// At most this share of a pool's VMs is chosen at once while a wave is in time, in percent.
const POOL_PERCENT: usize = 20;

impl Upkeep {
    /// Decides what is next.
    #[must_use]
    pub fn plan(&mut self, facts: &Facts<'_>) -> UpkeepPlan {
        let mut plan = UpkeepPlan::default();
        for (number, running) in &mut self.waves {
            if !running.progress.is_completed {
                running.plan(*number, facts, &mut plan);
            }
        }
        plan
    }
}

impl Running {
    /// A wave that has just been ordered, or whose order has not been read yet.
    #[must_use]
    pub fn new(wave: Wave, progress: WaveProgress) -> Self {
        Self {
            wave,
            progress,
            chosen: BTreeSet::new(),
        }
    }

    fn plan(&mut self, number: u64, facts: &Facts<'_>, plan: &mut UpkeepPlan) {
        let remaining: Vec<&Vm> = self
            .wave
            .vms
            .iter()
            .filter(|vm| !self.progress.begun.contains(vm))
            .filter_map(|vm| facts.vms.get(vm))
            .collect();
        // An order without an answer may have taken a VM down: each that is down counts until it is seen up again.
        let of_wave = self.wave.vms.iter().filter_map(|vm| facts.vms.get(vm));
        let down = of_wave.filter(|vm| vm.state == VmState::Maintained).count();
        if remaining.is_empty() {
            if down == 0 {
                plan.completed.push(number);
            }
            return;
        }
        let wanted = self.at_once(remaining.len() + down, facts.wall_ms);
        let up: Vec<&Vm> = remaining
            .into_iter()
            .filter(|vm| vm.state == VmState::Up)
            .collect();
        self.chosen.retain(|vm| up.iter().any(|it| it.id == *vm));
        self.choose(&up, wanted.saturating_sub(down), facts);
        let slots = (self.wave.at_once as usize).saturating_sub(down);
        let ready = self.chosen.iter().filter(|vm| facts.empty.contains(vm));
        plan.take_down
            .extend(ready.take(slots).map(|vm| (vm.clone(), number)));
        plan.evacuate.extend(self.chosen.iter().cloned());
    }

    /// How many VMs should be emptied or down at once, so that the wave is done in its time and no sooner than needed.
    /// `unfinished` counts those that are down as well as those that are still to be taken down.
    fn at_once(&self, unfinished: usize, wall_ms: u64) -> usize {
        let passed = Duration::from_millis(wall_ms.saturating_sub(self.progress.taken_up_ms));
        let left = self.wave.time.saturating_sub(passed + RESERVE);
        let turns = (left.as_millis() / TURN.as_millis()).max(1);
        let turns = usize::try_from(turns).unwrap_or(usize::MAX);
        unfinished.div_ceil(turns).min(self.wave.at_once as usize)
    }

    /// Chooses the next VMs: those of pools in their turn come last; among the others those that are empty already, then
    /// those of the pools with the least load.
    fn choose(&mut self, up: &[&Vm], wanted: usize, facts: &Facts<'_>) {
        let mut of_pool: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for vm in facts.vms.values() {
            *of_pool.entry(&vm.pool).or_default() += 1;
        }
        let mut busy: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for vm in facts.vms.values() {
            if vm.state != VmState::Up || self.chosen.contains(&vm.id) {
                *busy.entry(&vm.pool).or_default() += 1;
            }
        }
        let mut candidates: Vec<&&Vm> = up
            .iter()
            .filter(|vm| !self.chosen.contains(&vm.id))
            .collect();
        candidates.sort_by_key(|vm| {
            let load = facts.load_milli.get(&vm.pool).copied().unwrap_or_default();
            let is_in_turn = load >= IN_TURN_MILLI;
            (
                is_in_turn,
                !facts.empty.contains(&vm.id),
                load,
                vm.id.clone(),
            )
        });
        for is_second_pass in [false, true] {
            for vm in &candidates {
                if self.chosen.len() >= wanted {
                    return;
                }
                let most = (of_pool[&vm.pool] * POOL_PERCENT).div_ceil(100).max(1);
                let of_this = busy.entry(&vm.pool).or_default();
                if (*of_this < most || is_second_pass) && self.chosen.insert(vm.id.clone()) {
                    *of_this += 1;
                }
            }
        }
    }
}
