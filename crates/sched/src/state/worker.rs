//! Workers and the index over what they have free.
//!
//! The workers of a pool stand in a [`PoolIndex`] in an order that goes over the racks in turn, so that neighbours are in
//! different failure domains. Trees over an index hold what each worker has free: one for tasks that need
//! accelerators, one for those that don't, in which a worker keeps processors and memory back for its free
//! accelerators. A worker that takes no tasks is free of nothing there.

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

/// Whether a worker may take tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Open,
    /// It gets no new task; those that it runs go on.
    Cordoned,
    /// It gets no new task; those that it runs end, or go on elsewhere.
    Draining,
    /// It leaves the fleet; those that it runs end.
    Leaving,
    /// It is no longer on the list.
    Gone,
}

/// A worker as the list of VMs has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub dc: DcName,
    /// Its rack.
    pub rack: RackName,
    /// Its pool.
    pub pool: PoolName,
    /// What it has.
    pub capacity: Resources,
    /// Whether it may take tasks.
    pub availability: Availability,
}

/// Room on a worker that is kept for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The task.
    pub task: TaskId,
    /// How much is kept.
    pub need: Resources,
    /// Until when.
    pub until: Instant,
    /// Whether other tasks were told to give way.
    pub is_preempting: bool,
}

/// What is thought of a worker by how its tasks end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may take any task.
    Good,
    /// It takes none until then.
    Ejected {
        /// Until when.
        until: Instant,
        /// How often in a row.
        times: u32,
    },
    /// It takes one task at a time until one ends well.
    Probation {
        /// How often it was ejected in a row.
        times: u32,
    },
}

/// A worker and what runs on it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its data centre.
    pub dc: DcId,
    /// Its rack.
    pub rack: RackId,
    /// Its pool.
    pub pool: PoolId,
    /// What it has.
    pub capacity: Resources,
    /// Whether it may take tasks.
    pub availability: Availability,
    /// Since when it drains.
    pub draining_since: Option<Instant>,
    /// What its tasks are packed by, in all.
    pub reserved: Resources,
    /// The tasks that count as running on it.
    pub tasks: Vec<TaskId>,
    /// When it was last heard of.
    pub seen_at: Instant,
    /// Until when it takes no task, since it refused one or did not answer.
    pub closed_until: Option<Instant>,
    /// Whether room on it is kept for one task.
    pub hold: Option<Hold>,
    /// What is thought of it.
    pub standing: Standing,
    /// Failures in a row that are blamed on it, by their tasks.
    pub blamed: SmallVec<[TaskId; 4]>,
    /// Since when it measures above its capacity, and how often a measure was taken.
    pub overload: Option<(Instant, u32)>,
    /// Whether there is a report that no pass has looked at.
    pub has_news: bool,
    place: Option<usize>,
    is_open: bool,
}

impl Worker {
    /// What is free on it for tasks in general.
    #[must_use]
    pub fn free(&self) -> Resources {
        let held = self.hold.map_or(Resources::ZERO, |hold| hold.need);
        self.capacity - (self.reserved + held)
    }

    /// What is free on it for the task that room is kept for.
    #[must_use]
    pub fn free_for_held(&self) -> Resources {
        self.capacity - self.reserved
    }

    /// What is free on it for tasks that need no accelerator.
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

    /// Whether it takes tasks, as of the last [`Workers::open_at`].
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    fn takes_tasks(&self, contact_max: Duration, now: Instant) -> bool {
        self.availability == Availability::Open
            && self.overload.is_none()
            && now.saturating_duration_since(self.seen_at) <= contact_max
            && self.closed_until.is_none_or(|until| until <= now)
            && match self.standing {
                Standing::Good => true,
                Standing::Ejected { .. } => false,
                Standing::Probation { .. } => self.tasks.is_empty(),
            }
    }
}

/// The workers of one pool, with the index over what they have free.
#[derive(Debug, Clone, Default)]
pub struct PoolIndex {
    /// The workers, neighbours in different racks.
    pub vms: Vec<VmId>,
    /// The largest capacity in each dimension.
    pub largest: Resources,
    /// What is free for tasks that need accelerators.
    pub accelerated: FitTree,
    /// What is free for tasks that need none, on workers without accelerators.
    pub plain: FitTree,
    /// What is free for tasks that need none, on workers with accelerators.
    pub lent: FitTree,
    /// How many workers take tasks, as of the last [`Workers::open_at`].
    pub open: usize,
    /// How many workers are ejected.
    pub ejected: usize,
    /// On how many workers room is kept for a task.
    pub held: usize,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Workers {
    /// The names of the workers.
    pub names: NameMap<VmName, VmId>,
    /// The capacity of all workers that are not gone.
    pub capacity: Resources,
    dcs: NameMap<DcName, DcId>,
    racks: NameMap<(DcName, RackName), RackId>,
    all: PrimaryMap<VmId, Worker>,
    by_pool: SecondaryMap<PoolId, PoolIndex>,
}

impl Workers {
    /// Takes over the list of workers. Those that are no longer on it are gone. Returns whether a pool now has a
    /// larger worker than before.
    pub fn set(&mut self, specs: &[WorkerSpec], teams: &mut Teams, now: Instant) -> bool {
        let mut listed: SecondaryMap<VmId, bool> = SecondaryMap::new();
        let mut is_same = true;
        for spec in specs {
            let pool = teams.pool_names.draw(&spec.pool);
            let id = self.names.draw(&spec.name);
            listed[id] = true;
            is_same &= self.take_over(id, pool, spec, now);
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

    fn take_over(&mut self, id: VmId, pool: PoolId, spec: &WorkerSpec, now: Instant) -> bool {
        let dc = self.dcs.draw(&spec.dc);
        let rack = self.racks.draw(&(spec.dc.clone(), spec.rack.clone()));
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
            worker.seen_at = now;
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

    /// Builds the index anew. Returns whether a pool now has a larger worker than before.
    fn rebuild(&mut self) -> bool {
        let before: Vec<Resources> = self.by_pool.values().map(|index| index.largest).collect();
        self.by_pool.clear();
        self.capacity = Resources::ZERO;
        let mut order = self.rack_order();
        for (_, id) in order.drain(..) {
            let worker = &mut self.all[id];
            let index = &mut self.by_pool[worker.pool];
            worker.place = Some(index.vms.len());
            index.vms.push(id);
            index.largest = larger(&index.largest, &worker.capacity);
            self.capacity += worker.capacity;
            if worker.hold.is_some() {
                index.held += 1;
            }
            if matches!(worker.standing, Standing::Ejected { .. }) {
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

    /// The workers that are not gone, so that successive ones are in different racks.
    fn rack_order(&mut self) -> Vec<(u32, VmId)> {
        let mut counts: HashMap<RackId, u32> = HashMap::new();
        let mut order = Vec::with_capacity(self.all.len());
        for (id, worker) in self.all.iter_mut() {
            worker.place = None;
            if worker.availability != Availability::Gone {
                let count = counts.entry(worker.rack).or_default();
                order.push((*count, id));
                *count += 1;
            }
        }
        order.sort_unstable();
        order
    }

    /// Decides anew which workers take tasks, and brings the index up to date.
    pub fn open_at(&mut self, contact_max: Duration, now: Instant) {
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

    /// Whether `id` takes tasks at `now`.
    #[must_use]
    pub fn takes_tasks(&self, id: VmId, contact_max: Duration, now: Instant) -> bool {
        self.all[id].takes_tasks(contact_max, now)
    }

    /// Keeps room on a worker for one task.
    pub fn hold(&mut self, id: VmId, hold: Hold) {
        let worker = &mut self.all[id];
        debug_assert!(worker.hold.is_none());
        worker.hold = Some(hold);
        self.by_pool[worker.pool].held += 1;
        self.refresh(id);
    }

    /// Keeps no more room on a worker.
    pub fn unhold(&mut self, id: VmId) {
        let worker = &mut self.all[id];
        if worker.hold.take().is_some() {
            let index = &mut self.by_pool[worker.pool];
            index.held = index.held.saturating_sub(1);
            self.refresh(id);
        }
    }

    /// Sets what is thought of a worker.
    pub fn set_standing(&mut self, id: VmId, standing: Standing) {
        let worker = &mut self.all[id];
        let was_ejected = matches!(worker.standing, Standing::Ejected { .. });
        let is_ejected = matches!(standing, Standing::Ejected { .. });
        worker.standing = standing;
        if is_ejected {
            worker.is_open = false;
        }
        if worker.place.is_some() {
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

    /// Brings the index up to date with one worker.
    pub fn refresh(&mut self, id: VmId) {
        let worker = &mut self.all[id];
        if matches!(worker.standing, Standing::Probation { .. }) && !worker.tasks.is_empty() {
            worker.is_open = false;
        }
        let Some(place) = worker.place else {
            return;
        };
        let index = &mut self.by_pool[worker.pool];
        let (free, without) = if worker.is_open {
            (worker.free(), worker.free_without_accelerators())
        } else {
            (Resources::ZERO, Resources::ZERO)
        };
        if worker.capacity.accelerators.is_zero() {
            index.plain.set(place, without);
        } else {
            index.accelerated.set(place, free);
            index.lent.set(place, without);
        }
    }

    /// The workers of a pool.
    #[must_use]
    pub fn in_pool(&self, pool: PoolId) -> &PoolIndex {
        &self.by_pool[pool]
    }

    /// The worker of this name, if it was ever on the list.
    #[must_use]
    pub fn find(&self, name: &VmName) -> Option<VmId> {
        self.names.get(name)
    }

    /// All workers with their ids, in order.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Worker)> {
        self.all.iter()
    }

    /// The ids of all workers, in order.
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
        seen_at: now,
        closed_until: None,
        hold: None,
        standing: Standing::Good,
        blamed: SmallVec::new(),
        overload: None,
        has_news: false,
        place: None,
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
