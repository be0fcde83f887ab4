//! Two data centres with fleet documents, a list of VMs and entries that report demand.
//!
//! [`Bed::pass`] runs the cycle of the upkeep role's holder once per simulated second: maintenance plans, sizing
//! samples the demand, the edits of both are stored, and a VM that reboots or joins is back in the next cycle. Each
//! cycle checks that no VM has two edits and that the permits do not exceed a budget.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_daemon::fleet::enrol;
use goldcrest_daemon::maintenance::cycle::CycleDoc;
use goldcrest_daemon::maintenance::edits::Editor;
use goldcrest_daemon::maintenance::view::{Place, View};
use goldcrest_daemon::sizing::demand::{Entries, Reports, listed_entries};
use goldcrest_daemon::sizing::driver::Driver;
use goldcrest_daemon::sizing::reason::{Hold, MoveRecord};
use goldcrest_daemon::sizing::settings::SizingSettings;
use goldcrest_daemon::sizing::status::Status;
use goldcrest_daemon::world::Fleets;
use goldcrest_ledger::fleet::{FleetDoc, FleetRefusal, FleetVm, VmEdit, VmState as Stored};
use goldcrest_peer::message::PoolUsageTold;
use goldcrest_peer::peers::PoolUsageHeard;
use goldcrest_peer::usage::{Board, CELLS_MAX_WANTED, Usage};
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::names::{DcName, EditId, EntryId, PoolName, VmName};
use goldcrest_types::units::{Epoch, Resources, Revision, Slots, StoreVersion};
use goldcrest_upkeep::maintenance::{Action, Context, Step};
use goldcrest_upkeep::sizing::{Move, Reason};

/// The `vm_slots` of each pool: how many requests one of its VMs serves at a time.
pub const SLOTS: u32 = 10;

/// The longest that a request still runs after a drain has begun.
pub const DRAIN: Duration = Duration::from_secs(20);

/// The time between two samples of the demand.
pub const LOOK: Duration = Duration::from_secs(30);

/// The number of VMs of a pool that may be out of service in one data centre.
const BUDGET: usize = 2;

const DCS: [&str; 2] = ["a", "b"];

pub fn dc(name: &str) -> DcName {
    name.parse().expect("a name")
}

fn name(text: &str) -> VmName {
    text.parse().expect("a name")
}

fn catalogue(pools: &[&str], is_maintained: bool) -> Catalogue {
    let pool_line = |pool: &&str| {
        format!(
            "  - {{name: {pool}, kind: upstreams, min_vms: 1, max_unavailable_vms: {BUDGET}, vm_slots: {SLOTS}}}\n"
        )
    };
    let queue_line = |pool: &&str| {
        format!(
            "  - {{name: {pool}, owner: desk, class: interactive, pool: {pool}, limits: {{deadline_ms: 1000, deadline_max_ms: {}}}}}\n",
            DRAIN.as_millis()
        )
    };
    let pool_lines: String = pools.iter().map(pool_line).collect();
    let queue_lines: String = pools.iter().map(queue_line).collect();
    let text = format!(
        "data_centres: [{{name: a, region: r}}, {{name: b, region: r}}]\n\
        teams: [{{name: desk, share: 1, upper_limit_slots: 999}}]\n\
        pools:\n{pool_lines}  - {{name: spare, kind: spare, max_unavailable_vms: {BUDGET}}}\n\
        queues:\n{queue_lines}\
        maintenance: {{enabled: {is_maintained}, drain_max_ms: 600000}}\n"
    );
    let spec = parse(&text).expect("a valid catalogue");
    Catalogue::resolve(&spec, Revision::new(1)).expect("a valid catalogue")
}

pub struct Bed {
    pub cat: Catalogue,
    pub fleets: Fleets,
    pub editor: Editor,
    pub now: Instant,
    listing: VmListing,
    view: View,
    ctx: Context,
    driver: Driver,
    reports: Reports,
    demand: BTreeMap<PoolName, Usage>,
    /// Data centres whose entries send no reports.
    silent: BTreeSet<DcName>,
    /// Data centres whose entries do not confirm drains.
    blind: BTreeSet<DcName>,
    steps: Vec<(VmName, Step)>,
    moved: Vec<Move>,
    edits: u128,
}

impl Bed {
    /// One pool of six VMs, and six spare upstreams and four spare workers; no maintenance.
    pub fn new() -> Self {
        Self::build(&["web"], false)
    }

    pub fn with_maintenance() -> Self {
        Self::build(&["web"], true)
    }

    pub fn build(pools: &[&str], is_maintained: bool) -> Self {
        let now = Instant::now();
        let cat = catalogue(pools, is_maintained);
        let editor = editor(1);
        let mut bed = Self {
            view: new_view(&cat, now),
            cat,
            fleets: Fleets::default(),
            editor,
            now,
            listing: VmListing::default(),
            ctx: Context::new(),
            driver: Driver::new(Status::default()),
            reports: Reports::new(),
            demand: BTreeMap::new(),
            silent: BTreeSet::new(),
            blind: BTreeSet::new(),
            steps: Vec::new(),
            moved: Vec::new(),
            edits: 0,
        };
        for dc in DCS {
            bed.add(dc, "spare", "worker", VmRole::Worker, 2);
            bed.add(dc, "spare", "spare", VmRole::Upstream, 3);
            for pool in pools {
                bed.add(dc, pool, pool, VmRole::Upstream, 3);
            }
            let entry = bed.record_of(dc, "entry", VmRole::Entry, 0);
            bed.listing.vms.push(entry);
        }
        bed
    }

    fn add(&mut self, dc_name: &str, pool: &str, text: &str, role: VmRole, count: u16) {
        let mut steps = Vec::new();
        for place in 0..count {
            let record = self.record_of(dc_name, text, role, place);
            let (vm, rack) = (record.name.clone(), record.rack.clone());
            let pool = pool.parse().expect("a name");
            let boots = 1;
            let enrol = VmEdit::Enrol {
                vm: vm.clone(),
                pool,
                rack,
                boots,
            };
            steps.extend([enrol, VmEdit::Serve { vm, boots }]);
            self.listing.vms.push(record);
        }
        self.store(&dc(dc_name), &steps).expect("new VMs");
    }

    fn record_of(&self, dc_name: &str, text: &str, role: VmRole, place: u16) -> VmRecord {
        let port = u16::try_from(self.listing.vms.len()).expect("few VMs") + 1_000;
        VmRecord {
            name: name(&format!("{dc_name}-{text}-{place}")),
            data_centre: dc(dc_name),
            rack: format!("rack-{dc_name}").parse().expect("a name"),
            role,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            phase: VmPhase::Live,
            resources: Resources::ZERO,
            boots: 1,
        }
    }

    pub fn store(&mut self, dc: &DcName, steps: &[VmEdit]) -> Result<(), FleetRefusal> {
        let mut doc = self.fleets.get(dc).cloned().unwrap_or_default();
        self.edits += 1;
        doc.apply(EditId::new(self.edits), steps)?;
        let version = StoreVersion::new(u64::try_from(self.edits).unwrap_or(u64::MAX));
        self.fleets.set(dc.clone(), version, Arc::new(doc));
        Ok(())
    }

    /// Sets the demand on a pool, summed over all entries, in running slots.
    pub fn set_demand(&mut self, pool: &str, slots: u32) {
        let running = Slots::new(slots);
        let waiting = Slots::ZERO;
        let usage = Usage { running, waiting };
        self.demand.insert(pool.parse().expect("a name"), usage);
    }

    pub fn cut_off(&mut self, name: &str) {
        self.silent.insert(dc(name));
        self.blind.insert(dc(name));
    }

    pub fn heal(&mut self, name: &str) {
        self.silent.remove(&dc(name));
        self.blind.remove(&dc(name));
    }

    /// Makes the VM stay busy: the entries of its data centre do not confirm drains.
    pub fn keep_busy(&mut self, vm: &str) {
        self.blind.insert(dc(&vm[..1]));
    }

    /// Sets the phase in which the platform lists a VM from now on; none takes it off the list.
    pub fn list(&mut self, vm: &str, phase: Option<VmPhase>) {
        let vm = name(vm);
        match phase {
            None => self.listing.vms.retain(|record| record.name != vm),
            Some(phase) => {
                let mut vms = self.listing.vms.iter_mut();
                let record = vms.find(|record| record.name == vm);
                record.expect("a listed VM").phase = phase;
            }
        }
    }

    /// Another entry acquires the role and starts from the stored documents alone.
    pub fn take_over(&mut self) {
        self.editor = editor(self.editor.epoch.get() + 1);
        let edits = self.editor.take_over(&self.cat);
        for name in DCS {
            self.store(&dc(name), &edits).expect("a newer epoch");
        }
        self.view = new_view(&self.cat, self.now);
        self.ctx = Context::new();
        self.driver = Driver::new(Status::default());
        self.reports = Reports::new();
    }

    /// An older holder tries to move a VM that serves.
    pub fn begin_move_as(&mut self, editor: Editor) -> Result<(), FleetRefusal> {
        let from = self.cat.pool("spare").expect("a pool");
        let to = self.cat.pool("web").expect("a pool");
        let reason = Reason::Bounds;
        let place = Place {
            dc: dc("a"),
            vm: name("a-worker-0"),
        };
        let vm = self.view.id(&place).expect("a VM");
        let step = Move {
            vm,
            from,
            to,
            reason,
        };
        let edits = editor.moves(&self.cat, &self.view, &[step]);
        let mut stored = edits.iter().map(|(dc, edits)| self.store(dc, edits));
        stored.next().expect("an edit")
    }

    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.turn();
        }
    }

    pub fn pass_until_moving(&mut self) {
        for _ in 0..3_600 {
            self.turn();
            if !self.moving().is_empty() {
                return;
            }
        }
        panic!("no move in an hour");
    }

    fn turn(&mut self) {
        self.enrol();
        let cat = &self.cat;
        self.view
            .refresh(cat, &self.fleets, &self.listing, self.now);
        let workers: Vec<_> = self.view.draining_workers(cat).collect();
        let tasks: HashMap<_, _> = workers.into_iter().map(|vm| (vm, 0)).collect();
        self.view.set_work(cat, &tasks, self.now);
        let idle = self.view.idle_dcs();
        let unseen = idle.intersection(&self.blind).cloned().collect();
        self.view.hold_busy(&unseen);
        let fleet = &self.view.fleet;
        let steps = self.ctx.plan(fleet, cat, self.now).to_vec();
        self.driver.record_given_up(cat, fleet, &steps, self.now);
        let settings = SizingSettings::default();
        let moves = if self.driver.is_due(&settings, self.now) {
            self.look(&settings, &steps)
        } else {
            Vec::new()
        };
        self.carry_out(&steps, &moves);
        self.check_budgets();
        self.now += Duration::from_secs(1);
    }

    fn enrol(&mut self) {
        for name in DCS {
            let dc = dc(name);
            let doc = self.fleets.get(&dc).expect("a document");
            let steps = enrol::steps(&self.cat, &self.listing, &dc, doc);
            self.store(&dc, &steps).expect("VMs that have joined");
        }
    }

    fn look(&mut self, settings: &SizingSettings, steps: &[Step]) -> Vec<Move> {
        let entries = listed_entries(&self.listing);
        self.set_reports(&entries);
        let age_max = settings.demand_age_max();
        let summed = self.reports.sum(&entries, self.now, age_max);
        let fleet = &self.view.fleet;
        self.driver.look(&self.cat, fleet, steps, &summed, self.now)
    }

    /// Sets the reports of all entries that answer: the first one reports the whole demand, the others none.
    fn set_reports(&mut self, entries: &Entries) {
        let mut demand = self.demand.clone();
        for (address, dc) in entries {
            if self.silent.contains(dc) {
                continue;
            }
            let entry = EntryId::new(u128::from(address.port()));
            let mut board = Board::new();
            board.set_all(&entry, &std::mem::take(&mut demand));
            let delta = board.delta(0, None, CELLS_MAX_WANTED);
            let mut report = PoolUsageHeard::new();
            report.take(&PoolUsageTold { entry, delta }, self.now);
            self.reports.set(*address, report);
        }
    }

    fn carry_out(&mut self, steps: &[Step], moves: &[Move]) {
        let twice = moves.iter().find(|m| steps.iter().any(|s| s.vm == m.vm));
        assert_eq!(twice, None, "a VM has a step and a move");
        let edits = self.editor.edits(&self.cat, &self.view, steps);
        let begun = self.editor.moves(&self.cat, &self.view, moves);
        for (dc, edits) in edits.iter().chain(&begun) {
            self.store(dc, edits).expect("edits that are taken");
        }
        for step in moves {
            let driver = &mut self.driver;
            driver.record_move(&self.cat, &self.view, step, self.now);
            self.moved.push(*step);
        }
        for step in steps {
            let vm = self.view.place(step.vm).vm.clone();
            if step.action == Action::Reboot {
                let mut vms = self.listing.vms.iter_mut();
                let record = vms.find(|record| record.name == vm);
                record.expect("a listed VM").boots += 1;
            }
            self.steps.push((vm, *step));
        }
    }

    fn check_budgets(&self) {
        for (dc, doc) in self.fleets.iter() {
            for pool in self.cat.pools.values() {
                let permitted = doc.permitted(&pool.name);
                let budget = pool.max_unavailable_vms;
                assert!(permitted <= budget, "{} in {dc}: {permitted}", pool.name);
            }
        }
    }

    fn doc(&self, dc: &DcName) -> &FleetDoc {
        self.fleets.get(dc).expect("a document")
    }

    pub fn record(&self, vm: &str) -> &FleetVm {
        &self.doc(&dc(&vm[..1])).vms()[&name(vm)]
    }

    /// The names of all VMs.
    pub fn all_vms(&self) -> impl Iterator<Item = String> {
        let docs = self.fleets.iter().flat_map(|(_, doc)| doc.vms().keys());
        docs.map(VmName::to_string)
    }

    pub fn vms_of(&self, pool: &str) -> impl Iterator<Item = String> {
        self.all_vms()
            .filter(move |vm| self.record(vm).pool.as_str() == pool)
    }

    /// How many VMs of a pool are in service.
    pub fn size(&self, pool: &str) -> usize {
        let serving = |vm: &String| self.record(vm).state == Stored::Serving;
        self.vms_of(pool).filter(serving).count()
    }

    /// In how many documents a VM has a record.
    pub fn pools_of(&self, vm: &str) -> usize {
        let vm = name(vm);
        let docs = self.fleets.iter();
        docs.filter(|(_, doc)| doc.vms().contains_key(&vm)).count()
    }

    /// The VMs that drain for a move.
    pub fn moving(&self) -> Vec<String> {
        let is_moving = |vm: &String| self.record(vm).state == Stored::Draining;
        self.all_vms().filter(is_moving).collect()
    }

    pub fn steps_of(&self, vm: &str) -> Vec<Step> {
        let steps = self.steps.iter().filter(|(other, _)| other.as_str() == vm);
        steps.map(|(_, step)| *step).collect()
    }

    pub fn log(&self) -> &[Move] {
        &self.moved
    }

    pub fn moves(&self) -> u64 {
        self.driver.status().moves
    }

    pub fn hold(&self) -> Option<Hold> {
        self.driver.status().hold.clone()
    }

    pub fn move_records(&self) -> &BTreeMap<VmName, MoveRecord> {
        &self.driver.status().move_records
    }

    pub fn explain(&self, vm: &VmName) -> Option<Box<str>> {
        self.driver.status().explain(vm, self.now)
    }
}

fn editor(epoch: u64) -> Editor {
    Editor {
        holder: EntryId::new(u128::from(epoch)),
        epoch: Epoch::new(epoch),
    }
}

fn new_view(cat: &Catalogue, now: Instant) -> View {
    let period = cat.maintenance.period();
    let mut doc = CycleDoc::default();
    doc.pass(EditId::new(u128::MAX), Duration::ZERO, period);
    View::new(doc.at(now, period), now)
}
