//! Workers and the index over their free capacity.
//!
//! The workers of a pool are in a [`PoolIndex`], in an order that cycles through the racks, so that neighbours are in
//! different failure domains. [`FitTree`]s over the index hold the free capacity of each worker: `accelerated` for
//! tasks that need accelerators, `plain` and `lent` for tasks that need none, on workers without and with accelerators.
//! In `lent`, a worker holds back processors and memory for its free accelerators.
//!
//! Invariant: a worker that is not open has zero free capacity in every tree.

use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::time::{Duration, Instant};

use goldcrest_types::entity::{DcId, PoolId, PrimaryMap, RackId, SecondaryMap, TaskId, VmId};
use goldcrest_types::names::{DcName, PoolName, RackName, VmName};
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};
use smallvec::SmallVec;

use super::names::NameMap;
use super::team::Teams;
use crate::estimate::larger;
use crate::place::FitTree;

/// Whether a worker accepts tasks, by the list of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The worker accepts tasks.
    Open,
    /// The worker gets no new task; its running tasks continue.
    Cordoned,
    /// The worker gets no new task; its running tasks end, or save their state and resume on another worker.
    Draining,
    /// The worker is leaving the fleet and gets no new task; its running tasks end.
    Leaving,
    /// The worker is no longer in the list.
    Gone,
}

/// A worker as the list of VMs describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The name that identifies the worker across lists.
    pub name: VmName,
    /// The data centre, in which `rack` is unique.
    pub dc: DcName,
    /// The rack: the failure domain of the worker.
    pub rack: RackName,
    /// The pool whose tasks the worker runs.
    pub pool: PoolName,
    /// What the tasks of the worker may use in total.
    pub capacity: Resources,
    /// Whether the worker accepts tasks.
    pub availability: Availability,
}

/// Capacity of a worker that is held for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The task that will start on the worker.
    pub task: TaskId,
    /// The capacity that is held.
    pub need: Resources,
    /// When the hold ends if the task has not started.
    pub until: Instant,
    /// Whether other tasks are preempted for the held task.
    pub is_preempting: bool,
}

/// The health of a worker, by how its attempts end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The worker accepts any task.
    Good,
    /// The worker accepts no task for a time.
    Ejected {
        /// When the ejection ends.
        until: Instant,
        /// The number of ejections in a row, from 1.
        times: u32,
    },
    /// The worker accepts one task at a time until one succeeds.
    Probation {
        /// The number of ejections in a row before the probation.
        times: u32,
    },
}

/// A worker with its reservations and health.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The data centre.
    pub dc: DcId,
    /// The rack: the failure domain of the worker.
    pub rack: RackId,
    /// The pool whose tasks the worker runs.
    pub pool: PoolId,
    /// What the tasks of the worker may use in total.
    pub capacity: Resources,
    /// Whether the worker accepts tasks, by the list of VMs.
    pub availability: Availability,
    /// When the worker was first listed as draining; none while it is not draining.
    pub draining_since: Option<Instant>,
    /// The sum of the reservations of its tasks.
    pub reserved: Resources,
    /// The tasks that count as running on the worker.
    pub tasks: Vec<TaskId>,
    /// When the last report of the worker was requested; at first, when the worker was listed.
    pub last_report_at: Instant,
    /// The time until which the worker gets no task, after it has refused one or a start did not reach it.
    pub closed_until: Option<Instant>,
    /// The hold on the worker, if there is one.
    pub hold: Option<Hold>,
    /// The health of the worker.
    pub health: Health,
    /// The tasks whose failures in a row are blamed on the worker, each once.
    pub blamed: SmallVec<[TaskId; 4]>,
    /// When the usage was first reported to exceed the capacity, and the number of actions taken since.
    pub overload: Option<(Instant, u32)>,
    /// Whether a report has arrived since the overload pass last ran.
    pub has_new_report: bool,
    position: Option<usize>,
    is_open: bool,
}

impl Worker {
    /// Returns the capacity that is neither reserved nor held.
    #[must_use]
    pub fn free(&self) -> Resources {
        let held = self.hold.map_or(Resources::ZERO, |hold| hold.need);
        self.capacity - (self.reserved + held)
    }

    /// Returns the capacity that is not reserved: what is free for the task that the worker is held for.
    #[must_use]
    pub fn free_for_held(&self) -> Resources {
        self.capacity - self.reserved
    }

    /// Returns the free capacity for tasks that need no accelerator. Half of the processors and memory that fall to
    /// each free accelerator is held back.
    #[must_use]
    pub fn free_without_accelerators(&self) -> Resources {
        let free = self.free();
        if free.accelerators.is_zero() {
            return free;
        }
        let part = |value: u64| {
            let kept = value.saturating_mul(free.accelerators.get().into());
            kept / u64::from(self.capacity.accelerators.get().max(1)) / 2
        };
        let cpu = part(self.capacity.cpu_millis.get().into());
        Resources {
            cpu_millis: free.cpu_millis - CpuMillis::new(u32::try_from(cpu).unwrap_or(u32::MAX)),
            memory_bytes: free.memory_bytes - Bytes::new(part(self.capacity.memory_bytes.get())),
            accelerators: Accelerators::ZERO,
        }
    }

    /// Returns whether the worker accepts tasks, as of the last [`Workers::refresh_open`]. An event that closes the
    /// worker takes effect at once.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    fn takes_tasks(&self, contact_max: Duration, now: Instant) -> bool {
        self.availability == Availability::Open
            && self.overload.is_none()
            && now.saturating_duration_since(self.last_report_at) <= contact_max
            && self.closed_until.is_none_or(|until| until <= now)
            && match self.health {
                Health::Good => true,
                Health::Ejected { .. } => false,
                Health::Probation { .. } => self.tasks.is_empty(),
            }
    }
}

/// The workers of one pool, with the trees over their free capacity. The trees are indexed as `vms`.
#[derive(Debug, Clone, Default)]
pub struct PoolIndex {
    /// The workers of the pool that are in the list, neighbours in different racks.
    pub vms: Vec<VmId>,
    /// The largest capacity in each dimension.
    pub largest: Resources,
    /// The free capacity of workers with accelerators, for tasks that need accelerators.
    pub accelerated: FitTree,
    /// The free capacity of workers without accelerators.
    pub plain: FitTree,
    /// The free capacity of workers with accelerators, for tasks that need none.
    pub lent: FitTree,
    /// The number of workers that accept tasks, as of the last [`Workers::refresh_open`].
    pub open: usize,
    /// The number of ejected workers.
    pub ejected: usize,
    /// The number of workers with a hold.
    pub held: usize,
}

/// All workers that were ever listed, by id and in an index for each pool.
#[derive(Debug, Default)]
pub struct Workers {
    /// The ids of the workers by name.
    pub names: NameMap<VmName, VmId>,
    /// The total capacity of the workers in the list.
    pub capacity: Resources,
    dcs: NameMap<DcName, DcId>,
    racks: NameMap<(DcName, RackName), RackId>,
    all: PrimaryMap<VmId, Worker>,
    by_pool: SecondaryMap<PoolId, PoolIndex>,
}

impl Workers {
    /// Applies the list of workers. Workers that are no longer in it become [`Availability::Gone`]. Returns whether a
    /// pool now has a larger worker than before.
    pub fn set(&mut self, specs: &[WorkerSpec], teams: &mut Teams, now: Instant) -> bool {
        let mut listed: SecondaryMap<VmId, bool> = SecondaryMap::new();
        let mut is_same = true;
        for spec in specs {
            let pool = teams.pool_names.get_or_insert(&spec.pool);
            let id = self.names.get_or_insert(&spec.name);
            listed[id] = true;
            is_same &= self.apply_spec(id, pool, spec, now);
        }
        for (id, worker) in self.all.iter_mut() {
            if !listed[id] && worker.availability != Availability::Gone {
                worker.availability = Availability::Gone;
                worker.draining_since = None;
                worker.hold = None;
                is_same = false;
            }
        }
        !is_same && self.rebuild()
    }

    /// Adds or updates one worker. Returns whether nothing changed on which the index depends.
    fn apply_spec(&mut self, id: VmId, pool: PoolId, spec: &WorkerSpec, now: Instant) -> bool {
        let dc = self.dcs.get_or_insert(&spec.dc);
        let rack = self
            .racks
            .get_or_insert(&(spec.dc.clone(), spec.rack.clone()));
        if self.all.get(id).is_none() {
            self.all.push(new_worker(dc, rack, pool, spec, now));
            return false;
        }
        let worker = &mut self.all[id];
        let is_same = worker.pool == pool
            && worker.rack == rack
            && worker.capacity == spec.capacity
            && worker.availability == spec.availability;
        if worker.availability == Availability::Gone {
            worker.last_report_at = now;
        }
        worker.dc = dc;
        worker.rack = rack;
        worker.pool = pool;
        worker.capacity = spec.capacity;
        worker.availability = spec.availability;
        let drains = spec.availability == Availability::Draining;
        worker.draining_since = drains.then(|| worker.draining_since.unwrap_or(now));
        is_same
    }

    /// Rebuilds the indexes of all pools. Returns whether a pool now has a larger worker than before.
    fn rebuild(&mut self) -> bool {
        let before: Vec<Resources> = self.by_pool.values().map(|index| index.largest).collect();
        self.by_pool.clear();
        self.capacity = Resources::ZERO;
        let mut order = self.rack_order();
        for (_, id) in order.drain(..) {
            let worker = &mut self.all[id];
            let index = &mut self.by_pool[worker.pool];
            worker.position = Some(index.vms.len());
            index.vms.push(id);
            index.largest = larger(&index.largest, &worker.capacity);
            self.capacity += worker.capacity;
            if worker.hold.is_some() {
                index.held += 1;
            }
            if matches!(worker.health, Health::Ejected { .. }) {
                index.ejected += 1;
            }
        }
        let pools: Vec<PoolId> = self.by_pool.iter().map(|(pool, _)| pool).collect();
        let mut has_grown = false;
        for (nth, pool) in pools.into_iter().enumerate() {
            let index = &mut self.by_pool[pool];
            let len = index.vms.len();
            index.accelerated = FitTree::new(len);
            index.plain = FitTree::new(len);
            index.lent = FitTree::new(len);
            let old = before.get(nth).copied().unwrap_or_default();
            has_grown |= !old.fits(&index.largest);
        }
        let ids: Vec<VmId> = self.all.keys().collect();
        for id in ids {
            self.refresh(id);
        }
        has_grown
    }

    /// Returns the workers in the list, ordered so that successive ones are in different racks.
    fn rack_order(&mut self) -> Vec<(u32, VmId)> {
        let mut counts: HashMap<RackId, u32> = HashMap::new();
        let mut order = Vec::with_capacity(self.all.len());
        for (id, worker) in self.all.iter_mut() {
            worker.position = None;
            if worker.availability != Availability::Gone {
                let count = counts.entry(worker.rack).or_default();
                order.push((*count, id));
                *count += 1;
            }
        }
        order.sort_unstable();
        order
    }

    /// Determines which workers accept tasks at `now`, and updates the index.
    pub fn refresh_open(&mut self, contact_max: Duration, now: Instant) {
        let pools: Vec<PoolId> = self.by_pool.iter().map(|(pool, _)| pool).collect();
        for pool in pools {
            self.by_pool[pool].open = 0;
        }
        let ids: Vec<VmId> = self.all.keys().collect();
        for id in ids {
            let worker = &mut self.all[id];
            let is_open = worker.takes_tasks(contact_max, now);
            if is_open != worker.is_open {
                worker.is_open = is_open;
                self.refresh(id);
            }
            let worker = &self.all[id];
            if worker.is_open {
                self.by_pool[worker.pool].open += 1;
            }
        }
    }

    /// Returns whether a worker accepts tasks at `now`. `contact_max` is the longest time since its last report.
    #[must_use]
    pub fn takes_tasks(&self, id: VmId, contact_max: Duration, now: Instant) -> bool {
        self.all[id].takes_tasks(contact_max, now)
    }

    /// Holds capacity of a worker, which must have no hold, for one task.
    pub fn hold(&mut self, id: VmId, hold: Hold) {
        let worker = &mut self.all[id];
        debug_assert!(worker.hold.is_none());
        worker.hold = Some(hold);
        self.by_pool[worker.pool].held += 1;
        self.refresh(id);
    }

    /// Ends the hold on a worker, if there is one.
    pub fn release_hold(&mut self, id: VmId) {
        let worker = &mut self.all[id];
        if worker.hold.take().is_some() {
            let index = &mut self.by_pool[worker.pool];
            index.held = index.held.saturating_sub(1);
            self.refresh(id);
        }
    }

    /// Sets the health of a worker and updates the count of ejected workers of its pool.
    pub fn set_health(&mut self, id: VmId, health: Health) {
        let worker = &mut self.all[id];
        let was_ejected = matches!(worker.health, Health::Ejected { .. });
        let is_ejected = matches!(health, Health::Ejected { .. });
        worker.health = health;
        if is_ejected {
            worker.is_open = false;
        }
        if worker.position.is_some() {
            let index = &mut self.by_pool[worker.pool];
            index.ejected = index.ejected + usize::from(is_ejected) - usize::from(was_ejected);
        }
        self.refresh(id);
    }

    /// Closes a worker to new tasks until `until`.
    pub fn close_until(&mut self, id: VmId, until: Instant) {
        let worker = &mut self.all[id];
        worker.closed_until = Some(until);
        worker.is_open = false;
        self.refresh(id);
    }

    /// Updates the free capacity of one worker in the index.
    pub fn refresh(&mut self, id: VmId) {
        let worker = &mut self.all[id];
        if matches!(worker.health, Health::Probation { .. }) && !worker.tasks.is_empty() {
            worker.is_open = false;
        }
        let Some(position) = worker.position else {
            return;
        };
        let index = &mut self.by_pool[worker.pool];
        let (free, without) = if worker.is_open {
            (worker.free(), worker.free_without_accelerators())
        } else {
            (Resources::ZERO, Resources::ZERO)
        };
        if worker.capacity.accelerators.is_zero() {
            index.plain.set(position, without);
        } else {
            index.accelerated.set(position, free);
            index.lent.set(position, without);
        }
    }

    /// Returns the index of a pool, which is empty for a pool without workers.
    #[must_use]
    pub fn in_pool(&self, pool: PoolId) -> &PoolIndex {
        &self.by_pool[pool]
    }

    /// Returns the worker of this name, if it was ever listed.
    #[must_use]
    pub fn find(&self, name: &VmName) -> Option<VmId> {
        self.names.get(name)
    }

    /// Iterates over all workers that were ever listed, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Worker)> {
        self.all.iter()
    }

    /// Iterates over the ids of all workers that were ever listed, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = VmId> + use<> {
        self.all.keys()
    }
}

fn new_worker(dc: DcId, rack: RackId, pool: PoolId, spec: &WorkerSpec, now: Instant) -> Worker {
    Worker {
        dc,
        rack,
        pool,
        capacity: spec.capacity,
        availability: spec.availability,
        draining_since: (spec.availability == Availability::Draining).then_some(now),
        reserved: Resources::ZERO,
        tasks: Vec::new(),
        last_report_at: now,
        closed_until: None,
        hold: None,
        health: Health::Good,
        blamed: SmallVec::new(),
        overload: None,
        has_new_report: false,
        position: None,
        is_open: false,
    }
}

impl Index<VmId> for Workers {
    type Output = Worker;

    fn index(&self, id: VmId) -> &Worker {
        &self.all[id]
    }
}

impl IndexMut<VmId> for Workers {
    fn index_mut(&mut self, id: VmId) -> &mut Worker {
        &mut self.all[id]
    }
}
