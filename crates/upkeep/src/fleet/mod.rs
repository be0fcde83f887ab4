//! The fleet state that both planners read.
//!
//! A [`Fleet`] joins stored state (pool, state, permit, cycle) with observed state (the platform's list, the work that
//! runs). A VM is one record with one pool, so it is in exactly one pool. Ids stay the same for as long as a context
//! is used; a VM that has departed keeps its id with [`VmState::Gone`].

use std::fmt;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{MaintenanceSpec, PoolKind};
use goldcrest_types::entity::{DcId, EntityRef, PoolId, PrimaryMap, RackId, VmId};
use goldcrest_types::units::VmCount;

/// The stored state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM takes new work.
    Serving,
    /// The VM takes no new work and finishes its running work before a reboot.
    Draining,
    /// The VM takes no new work and finishes its running work before it moves to this pool.
    Moving(PoolId),
    /// The VM has no work and reboots for maintenance.
    Rebooting,
    /// The VM reboots into its new pool and has not served there yet.
    Joining,
    /// The VM is out of service after a failure and its return is no longer awaited.
    Failed,
    /// The VM has left the fleet.
    Gone,
}

/// The state of a VM on the platform's list when it was last read. The list lags behind the actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// The VM runs.
    Live,
    /// The platform will take the VM away soon.
    Leaving,
    /// The VM is being rebooted.
    Rebooting,
    /// The VM is not on the list.
    Absent,
}

/// The work that runs on a VM, as last reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of running requests or tasks.
    pub running: u32,
    /// Expected remaining time of the longest of them.
    pub longest_left: Duration,
    /// Whether all of them can be checkpointed.
    pub checkpointable: bool,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The pool that the VM is in; while it waits to move, the pool that it leaves.
    pub pool: PoolId,
    /// The data centre that the VM is in.
    pub dc: DcId,
    /// The rack of the VM in its data centre.
    pub rack: RackId,
    /// The stored state.
    pub state: VmState,
    /// When the state began, or when this holder of the role first read it.
    pub since: Instant,
    /// Whether the VM is out of service because of a maintenance wave.
    pub permit: bool,
    /// Number of the last cycle in which the VM was maintained; 0 if never.
    pub maintained_cycle: u64,
    /// The boot count before the last reboot was requested. A higher count on the list verifies that reboot.
    pub boots_before: u64,
    /// The state on the platform's list.
    pub seen: Seen,
    /// When the list began to show that state.
    pub seen_since: Instant,
    /// The boot count on the platform's list.
    pub boots: u64,
    /// The work that runs on the VM.
    pub work: Work,
    /// The kind of pool whose work the VM can do; none if it can do any.
    pub kind: Option<PoolKind>,
    /// Whether the VM may not change its pool now.
    pub is_pinned: bool,
}

impl Vm {
    /// Creates a VM that serves, is live on the list and has no work.
    #[must_use]
    pub fn new(pool: PoolId, dc: DcId, rack: RackId, now: Instant) -> Self {
        Self {
            pool,
            dc,
            rack,
            state: VmState::Serving,
            since: now,
            permit: false,
            maintained_cycle: 0,
            boots_before: 0,
            seen: Seen::Live,
            seen_since: now,
            boots: 0,
            work: Work::default(),
            kind: None,
            is_pinned: false,
        }
    }

    /// Whether the VM can be in a pool of this kind. Every VM can be a spare.
    #[must_use]
    pub fn suits(&self, kind: PoolKind) -> bool {
        let is_same = self.kind.is_none_or(|own| own == kind);
        is_same || kind == PoolKind::Spare
    }

    /// Whether the VM counts against the availability budget of its pool.
    ///
    /// A joining VM does not: it has not served in its pool yet.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        match self.state {
            VmState::Serving => self.seen != Seen::Live,
            VmState::Draining | VmState::Moving(_) | VmState::Rebooting | VmState::Failed => true,
            VmState::Joining | VmState::Gone => false,
        }
    }

    /// Whether a maintenance wave is draining or rebooting the VM.
    #[must_use]
    pub fn is_in_maintenance(&self) -> bool {
        self.permit && matches!(self.state, VmState::Draining | VmState::Rebooting)
    }

    /// Whether the VM counts towards the size of its pool.
    #[must_use]
    pub fn is_member(&self) -> bool {
        !matches!(self.state, VmState::Gone | VmState::Moving(_))
    }

    /// Sets the state to `state`, which began at `now`.
    pub fn enter(&mut self, state: VmState, now: Instant) {
        self.state = state;
        self.since = now;
    }
}

/// The period in which each VM is maintained once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cycle {
    /// The number of the cycle, from 1.
    pub number: u64,
    /// When the cycle ends. There is no start: it may lie before the machine's boot, where `Instant` cannot express it.
    pub ends: Instant,
}

/// The VMs and the maintenance cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// Every VM that this holder of the role has ever seen, departed ones included.
    pub vms: PrimaryMap<VmId, Vm>,
    /// The current maintenance cycle.
    pub cycle: Cycle,
}

impl Fleet {
    /// Creates a fleet without VMs, in its first cycle of the default length.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            vms: PrimaryMap::new(),
            cycle: Cycle {
                number: 1,
                ends: now + MaintenanceSpec::default().period(),
            },
        }
    }
}

/// A pool's VMs in one data centre. Each group has the pool's availability budget to itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Group {
    /// The pool of the VMs.
    pub pool: PoolId,
    /// The data centre of the VMs.
    pub dc: DcId,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.pool, self.dc)
    }
}

/// Counts of one group. VMs that have left the fleet are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupCount {
    /// All VMs of the group.
    pub vms: u32,
    /// VMs out of service for any reason, as [`Vm::is_unavailable`] has it.
    pub unavailable: u32,
    /// VMs that failed without a permit, so outside a maintenance wave.
    pub failed_unplanned: u32,
    /// VMs not maintained yet in this cycle and not leaving.
    pub due: u32,
}

/// Counts of every group, pool by pool. Its buffer is reused from one plan to the next.
#[derive(Debug, Default)]
pub struct Census {
    counts: Vec<GroupCount>,
    dcs: usize,
}

impl Census {
    /// Creates a table without groups; [`Census::take`] fills it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Recounts `fleet` for `dcs` data centres and `pools` pools.
    pub fn take(&mut self, fleet: &Fleet, dcs: usize, pools: usize) {
        self.dcs = dcs;
        self.counts.clear();
        self.counts.resize(dcs * pools, GroupCount::default());
        for vm in fleet.vms.values() {
            if vm.state == VmState::Gone {
                continue;
            }
            let is_due = vm.maintained_cycle < fleet.cycle.number;
            let count = &mut self.counts[vm.pool.index() * dcs + vm.dc.index()];
            count.vms += 1;
            count.unavailable += u32::from(vm.is_unavailable());
            count.failed_unplanned += u32::from(vm.state == VmState::Failed && !vm.permit);
            count.due += u32::from(is_due && vm.seen != Seen::Leaving);
        }
    }

    /// Returns the counts of `group`. Panics if the group is outside the last count.
    #[must_use]
    pub fn group(&self, group: Group) -> GroupCount {
        self.counts[group.pool.index() * self.dcs + group.dc.index()]
    }

    /// Returns the counts of `group` for updates during a plan. Panics as [`Self::group`].
    pub fn group_mut(&mut self, group: Group) -> &mut GroupCount {
        &mut self.counts[group.pool.index() * self.dcs + group.dc.index()]
    }

    /// Iterates over every group with its counts.
    pub fn iter(&self) -> impl Iterator<Item = (Group, &GroupCount)> {
        let dcs = self.dcs.max(1);
        self.counts.iter().enumerate().map(move |(i, count)| {
            let group = Group {
                pool: PoolId::new(i / dcs),
                dc: DcId::new(i % dcs),
            };
            (group, count)
        })
    }
}

/// Returns how many more VMs of a group may go out of service; 0 if the budget is exceeded.
#[must_use]
pub fn headroom(count: GroupCount, max_unavailable: VmCount) -> u32 {
    max_unavailable.get().saturating_sub(count.unavailable)
}
