//! The fleet documents and the platform's list of VMs, joined in the form that the plan takes.
//!
//! A VM gets a dense id when its record is first read and keeps it for as long as this entry holds the role.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use goldcrest_ledger::fleet::{FleetVm, Purpose, VmState as Stored};
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::entity::{EntityRef, PoolId, PrimaryMap, RackId, VmId};
use goldcrest_types::names::{DcName, RackName, VmName};
use goldcrest_upkeep::fleet::{Cycle, Fleet, Seen, Vm, VmState, Work};

use crate::world::Fleets;

/// The key of a VM's record: its data centre selects the fleet document, its name the record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Place {
    /// The data centre in whose fleet document the record is.
    pub dc: DcName,
    /// The name of the VM.
    pub vm: VmName,
}

/// The fleet with dense ids, and the mapping between ids and names.
#[derive(Debug)]
pub struct View {
    /// The fleet as the plan takes it. VMs without a record any more stay in it as `Gone`.
    pub fleet: Fleet,
    places: PrimaryMap<VmId, Place>,
    ids: HashMap<Place, VmId>,
    racks: HashMap<RackName, RackId>,
}

impl View {
    /// Creates a view without VMs.
    #[must_use]
    pub fn new(cycle: Cycle, now: Instant) -> Self {
        let mut fleet = Fleet::new(now);
        fleet.cycle = cycle;
        Self {
            fleet,
            places: PrimaryMap::new(),
            ids: HashMap::new(),
            racks: HashMap::new(),
        }
    }

    /// Returns the key of the record of `vm`.
    #[must_use]
    pub fn place(&self, vm: VmId) -> &Place {
        &self.places[vm]
    }

    /// Returns the id of a VM; none if no record of it was read yet.
    #[must_use]
    pub fn id(&self, place: &Place) -> Option<VmId> {
        self.ids.get(place).copied()
    }

    /// Updates the fleet from the fleet documents and the platform's list, as read at `now`.
    pub fn refresh(&mut self, cat: &Catalogue, fleets: &Fleets, listing: &VmListing, now: Instant) {
        let listed: HashMap<&VmName, &VmRecord> =
            listing.vms.iter().map(|vm| (&vm.name, vm)).collect();
        let mut is_stored = vec![false; self.places.len()];
        for (dc, doc) in fleets.iter() {
            for (name, record) in doc.vms() {
                let place = Place {
                    dc: dc.clone(),
                    vm: name.clone(),
                };
                let Some(id) = self.ingest(cat, place, record, now) else {
                    continue;
                };
                is_stored.resize(self.places.len(), false);
                is_stored[id.index()] = true;
                set_listed(&mut self.fleet.vms[id], listed.get(name).copied(), now);
            }
        }
        for (id, vm) in self.fleet.vms.iter_mut() {
            if !is_stored.get(id.index()).copied().unwrap_or(false) && vm.state != VmState::Gone {
                vm.enter(VmState::Gone, now);
                vm.permit = false;
            }
        }
    }

    /// Ingests one record and returns the VM's id. A VM whose pool or data centre is not in the catalogue is left out.
    fn ingest(
        &mut self,
        cat: &Catalogue,
        place: Place,
        record: &FleetVm,
        now: Instant,
    ) -> Option<VmId> {
        let pool = cat.pool(record.pool.as_str())?;
        let dc = cat.dc(place.dc.as_str())?;
        let state = state_of(cat, record)?;
        let next_rack = RackId::new(self.racks.len());
        let rack = *self.racks.entry(record.rack.clone()).or_insert(next_rack);
        let id = if let Some(id) = self.ids.get(&place) {
            *id
        } else {
            let id = self.places.push(place.clone());
            self.ids.insert(place, id);
            let mut vm = Vm::new(pool, dc, rack, now);
            vm.state = state;
            vm.seen = Seen::Absent;
            self.fleet.vms.push(vm)
        };
        let vm = &mut self.fleet.vms[id];
        if vm.state != state {
            vm.enter(state, now);
        }
        vm.pool = pool;
        vm.dc = dc;
        vm.permit = is_maintained(record);
        vm.boots_before = record.boots;
        vm.maintained_cycle = record.wave;
        Some(id)
    }

    /// Sets the remaining work of every VM.
    ///
    /// A draining upstream counts as busy until the longest deadline of its pool has passed, since each entry knows
    /// only its own requests. A draining worker counts as busy by its running tasks in `tasks`, or if it is missing
    /// there.
    pub fn set_work(&mut self, cat: &Catalogue, tasks: &HashMap<VmId, u32>, now: Instant) {
        for (id, vm) in self.fleet.vms.iter_mut() {
            let is_leaving = matches!(vm.state, VmState::Draining | VmState::Moving(_));
            if !is_leaving {
                vm.work = Work::default();
                continue;
            }
            let left = bound(cat, vm.pool).saturating_sub(now.saturating_duration_since(vm.since));
            let running = match cat.pools[vm.pool].kind {
                PoolKind::Workers => tasks.get(&id).copied().unwrap_or(1),
                PoolKind::Upstreams | PoolKind::Spare => u32::from(!left.is_zero()),
            };
            vm.work = Work {
                running,
                longest_left: left,
                checkpointable: false,
            };
        }
    }

    /// Returns the data centres of draining or moving VMs that have no known work left.
    #[must_use]
    pub fn idle_dcs(&self) -> BTreeSet<DcName> {
        let vms = self.fleet.vms.iter();
        let out = vms.filter(|(_, vm)| matches!(vm.state, VmState::Draining | VmState::Moving(_)));
        let idle = out.filter(|(_, vm)| vm.work.running == 0);
        idle.map(|(id, _)| self.places[id].dc.clone()).collect()
    }

    /// Counts the draining or moving VMs of these data centres as busy.
    pub fn hold_busy(&mut self, dcs: &BTreeSet<DcName>) {
        for (id, vm) in self.fleet.vms.iter_mut() {
            let is_leaving = matches!(vm.state, VmState::Draining | VmState::Moving(_));
            if is_leaving && dcs.contains(&self.places[id].dc) {
                vm.work.running = vm.work.running.max(1);
            }
        }
    }

    /// Returns the draining or moving workers, whose reports the plan needs.
    pub fn draining_workers<'a>(&'a self, cat: &'a Catalogue) -> impl Iterator<Item = VmId> + 'a {
        let vms = self.fleet.vms.iter();
        let out = vms.filter(|(_, vm)| matches!(vm.state, VmState::Draining | VmState::Moving(_)));
        out.filter(|(_, vm)| cat.pools[vm.pool].kind == PoolKind::Workers)
            .map(|(id, _)| id)
    }
}

/// Returns the longest time that work sent to `pool` before now can still run.
fn bound(cat: &Catalogue, pool: PoolId) -> Duration {
    let queues = cat.queues.iter().filter(|(_, queue)| queue.pool == pool);
    let bounds = queues.map(|(id, _)| cat.run_bound(id));
    bounds.max().unwrap_or(Duration::ZERO)
}

fn is_maintained(record: &FleetVm) -> bool {
    let purpose = record.permit.as_ref().map(|permit| &permit.purpose);
    matches!(purpose, Some(Purpose::Maintain { .. }))
}

fn state_of(cat: &Catalogue, record: &FleetVm) -> Option<VmState> {
    let purpose = record.permit.as_ref().map(|permit| &permit.purpose);
    Some(match (record.state, purpose) {
        (Stored::Joining, _) => VmState::Joining,
        (Stored::Serving, _) => VmState::Serving,
        (Stored::Draining, Some(Purpose::Move { to })) => VmState::Moving(cat.pool(to.as_str())?),
        (Stored::Draining, _) => VmState::Draining,
        (Stored::Rebooting, _) => VmState::Rebooting,
        (Stored::Failed, _) => VmState::Failed,
    })
}

fn set_listed(vm: &mut Vm, record: Option<&VmRecord>, now: Instant) {
    let seen = match record.map(|record| record.phase) {
        Some(VmPhase::Live) => Seen::Live,
        Some(VmPhase::Leaving) => Seen::Leaving,
        Some(VmPhase::Rebooting) => Seen::Rebooting,
        None => Seen::Absent,
    };
    if vm.seen != seen {
        vm.seen = seen;
        vm.seen_since = now;
    }
    vm.boots = record.map_or(vm.boots, |record| record.boots);
    vm.kind = record.map_or(vm.kind, |record| kind_of(record.role));
}

/// Returns the kind of pool that a VM of this role can serve; none for an entry.
const fn kind_of(role: VmRole) -> Option<PoolKind> {
    match role {
        VmRole::Entry => None,
        VmRole::Upstream => Some(PoolKind::Upstreams),
        VmRole::Worker => Some(PoolKind::Workers),
    }
}
