//! The fleet as the decisions see it.
//!
//! A [`Fleet`] joins what is stored (pool, state, permit, cycle) with what was seen lately (the platform's list,
//! the work that runs). A VM is one record with one pool, so it is in exactly one pool. Ids stay the same for as
//! long as a context is used; a VM that is gone keeps its id with [`VmState::Gone`].

use std::fmt;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{MaintenanceSpec, PoolKind};
use goldcrest_types::entity::{DcId, EntityRef, PoolId, PrimaryMap, RackId, VmId};
use goldcrest_types::units::VmCount;

/// Where a VM stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// It takes new work.
    Serving,
    /// It takes no new work and finishes what runs, before a reboot.
    Draining,
    /// It takes no new work and finishes what runs, before it moves to this pool.
    Moving(PoolId),
    /// It has no work and reboots.
    Rebooting,
    /// It is new in its pool and has not served yet.
    Joining,
    /// It is out of service and not on its way back.
    Failed,
    /// It has left the fleet.
    Gone,
}

/// What the platform's list showed last. The list lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// It runs.
    Live,
    /// It will be gone soon.
    Leaving,
    /// It is being rebooted.
    Rebooting,
    /// It is not on the list.
    Absent,
}

/// The work that runs on a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// How many requests or tasks run.
    pub running: u32,
    /// How long the longest of them is expected to go on.
    pub longest_left: Duration,
    /// Whether all of them can be checkpointed.
    pub checkpointable: bool,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Its pool.
    pub pool: PoolId,
    /// Its data centre.
    pub dc: DcId,
    /// Its rack.
    pub rack: RackId,
    /// Where it stands.
    pub state: VmState,
    /// When the state began, or when this holder read it first.
    pub since: Instant,
    /// Whether it is out of service on account of a maintenance wave.
    pub permit: bool,
    /// The last cycle in which it was maintained.
    pub maintained_cycle: u64,
    /// The boot count before the reboot that is under way.
    pub boots_before: u64,
    /// What the list showed last.
    pub seen: Seen,
    /// When the list began to show that.
    pub seen_since: Instant,
    /// The boot count on the list.
    pub boots: u64,
    /// What runs on it.
    pub work: Work,
    /// The kind of pool whose work it can do; none if it can do any.
    pub kind: Option<PoolKind>,
    /// Whether it is not to change its pool now.
    pub is_pinned: bool,
}

impl Vm {
    /// A VM that serves and has no work.
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

    /// Whether it can be in a pool of this kind.
    #[must_use]
    pub fn suits(&self, kind: PoolKind) -> bool {
        let is_same = self.kind.is_none_or(|own| own == kind);
        is_same || kind == PoolKind::Spare
    }

    /// Whether it counts against the availability budget of its pool.
    ///
    /// A joining VM does not: its pool has not had its service yet.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        match self.state {
            VmState::Serving => self.seen != Seen::Live,
            VmState::Draining | VmState::Moving(_) | VmState::Rebooting | VmState::Failed => true,
            VmState::Joining | VmState::Gone => false,
        }
    }

    /// Whether a maintenance wave has it in work right now.
    #[must_use]
    pub fn is_in_maintenance(&self) -> bool {
        self.permit && matches!(self.state, VmState::Draining | VmState::Rebooting)
    }

    /// Whether it belongs to its pool's size.
    #[must_use]
    pub fn is_member(&self) -> bool {
        !matches!(self.state, VmState::Gone | VmState::Moving(_))
    }

    /// Moves it to `state` at `now`.
    pub fn enter(&mut self, state: VmState, now: Instant) {
        self.state = state;
        self.since = now;
    }
}

/// The period in which each VM is maintained once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cycle {
    /// Its number, from 1.
    pub number: u64,
    /// When it ends. A cycle may be longer than the machine is up, so its start can't be told as an instant.
    pub ends: Instant,
}

/// The VMs and the maintenance cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// Every VM that was ever seen by this holder.
    pub vms: PrimaryMap<VmId, Vm>,
    /// The maintenance cycle.
    pub cycle: Cycle,
}

impl Fleet {
    /// A fleet without VMs, in its first cycle of the usual length.
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

/// A pool's VMs in one data centre: what an availability budget is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Group {
    /// The pool.
    pub pool: PoolId,
    /// The data centre.
    pub dc: DcId,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.pool, self.dc)
    }
}

/// Counts of one group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupCount {
    /// Its VMs.
    pub vms: u32,
    /// Those that are out of service, for whatever reason.
    pub unavailable: u32,
    /// Those of them that fail without a permit.
    pub failed_alone: u32,
    /// Those that the cycle has still to maintain.
    pub due: u32,
}

/// Counts of every group, reused from one plan to the next.
#[derive(Debug, Default)]
pub struct Census {
    counts: Vec<GroupCount>,
    dcs: usize,
}

impl Census {
    /// An empty census.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts `fleet` anew for `dcs` data centres and `pools` pools.
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
            count.failed_alone += u32::from(vm.state == VmState::Failed && !vm.permit);
            count.due += u32::from(is_due && vm.seen != Seen::Leaving);
        }
    }

    /// The counts of `group`.
    #[must_use]
    pub fn group(&self, group: Group) -> GroupCount {
        self.counts[group.pool.index() * self.dcs + group.dc.index()]
    }

    /// The counts of `group`, for change.
    pub fn group_mut(&mut self, group: Group) -> &mut GroupCount {
        &mut self.counts[group.pool.index() * self.dcs + group.dc.index()]
    }

    /// Every group with its counts.
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

/// How many more VMs of a group may go out of service.
#[must_use]
pub fn headroom(count: GroupCount, max_unavailable: VmCount) -> u32 {
    max_unavailable.get().saturating_sub(count.unavailable)
}
