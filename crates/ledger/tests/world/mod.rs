//! A model of entry processes and their quota documents under faults, advanced one step at a time.
//!
//! The documents, their edits and the grants are the real ones. A process acts on its last read, however old; its edits
//! are applied to the current document, as a read-modify-swap with retries does. The reply to each swap can be lost,
//! and a swap can take effect later, if its document has not changed until then.

mod moves;
mod processes;
mod step;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_ledger::quota::reclaim::{
    ObservedState, ReclaimBounds, ReclaimContext, plan_reclaim,
};
use goldcrest_ledger::quota::{
    DcEdit, DcQuota, FleetEdit, FleetQuota, Grants, Part, RowPhase, Session, SessionId, TeamPart,
    TeamSlots,
};
use goldcrest_ledger::verify::{self, Running};
use goldcrest_ledger::{Document, Outcome};
use goldcrest_types::breach::Breaches;
use goldcrest_types::catalogue::{Catalogue, CatalogueSpec, DcSpec, TeamSpec};
use goldcrest_types::entity::{EntityRef, TeamId};
use goldcrest_types::names::{DcName, EditId, EntryId, TeamName, TransferId, VmName};
use goldcrest_types::units::{Epoch, Revision, Share, Slots};

pub use step::{Kind, Step};

pub const LIMIT: u32 = 6;
const DCS: usize = 2;
const PROCESSES: usize = 4;
const TTL: u64 = 2;
const RUN_BOUND: u64 = 5;
const LIST_LAG: u64 = 2;
const PAUSE_MAX: u64 = 12;

#[derive(Debug, Clone)]
struct Unknown {
    edit: EditId,
    base_total: u64,
}

#[derive(Debug)]
struct Process {
    entry: EntryId,
    dc: usize,
    vm: VmName,
    boots: u64,
    is_alive: bool,
    paused_until: u64,
    session: Option<Session>,
    cap: Part,
    unknown: Option<Unknown>,
    seen: Vec<DcQuota>,
    seen_fleet: FleetQuota,
    reclaim: ReclaimContext,
    queued: Vec<DcEdit>,
}

#[derive(Debug, Clone, Copy)]
struct Work {
    entry: EntryId,
    until: u64,
}

#[derive(Debug, Clone)]
enum Delayed {
    Dc(usize, u64, DcQuota),
    Fleet(u64, FleetQuota),
}

/// The rule that the processes break, if any, so that tests can show that the check finds the breach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    Kept,
    ReclaimEarly,
    TrustSession,
}

pub struct World {
    rule: Rule,
    start: Instant,
    now: u64,
    last_id: u128,
    sessions: BTreeMap<SessionId, u64>,
    dcs: Vec<DcQuota>,
    fleet: FleetQuota,
    delayed: Vec<Delayed>,
    processes: Vec<Process>,
    vms: BTreeMap<VmName, u64>,
    lists: Vec<BTreeMap<VmName, u64>>,
    work: Vec<Work>,
    /// The catalogues with a limit from 0 to [`LIMIT`].
    cats: Vec<Catalogue>,
    /// Number of admissions so far, by which a test shows that the trace is not idle.
    pub admitted: u64,
}

fn team() -> TeamName {
    "t".parse().expect("a name")
}

fn dc_name(dc: usize) -> DcName {
    format!("dc{dc}").parse().expect("a name")
}

fn slots(slots: u32) -> Vec<TeamSlots> {
    vec![TeamSlots {
        team: team(),
        slots: Slots::new(slots),
    }]
}

fn catalogue(limit: u32) -> Catalogue {
    let spec = CatalogueSpec {
        data_centres: vec![DcSpec {
            name: dc_name(0),
            region: "r".parse().expect("a name"),
        }],
        teams: vec![TeamSpec {
            name: team(),
            share: Share::new(1),
            upper_limit_slots: Slots::new(limit),
        }],
        ..CatalogueSpec::default()
    };
    Catalogue::resolve(&spec, Revision::new(1)).expect("a valid catalogue")
}

impl World {
    pub fn new(rule: Rule) -> Self {
        let mut world = Self {
            rule,
            start: Instant::now(),
            now: 0,
            last_id: 0,
            sessions: BTreeMap::new(),
            dcs: vec![DcQuota::empty(); DCS],
            fleet: FleetQuota::empty(),
            delayed: Vec::new(),
            processes: Vec::new(),
            vms: BTreeMap::new(),
            lists: Vec::new(),
            work: Vec::new(),
            cats: (0..=LIMIT).map(catalogue).collect(),
            admitted: 0,
        };
        let limits = FleetEdit::SetLimits {
            revision: Revision::new(1),
            limits: slots(LIMIT),
            announced: Vec::new(),
        };
        let edit = EditId::new(world.next_id());
        let applied = world.fleet.apply(edit, Epoch::ZERO, &[limits]);
        applied.expect("the first limits");
        for index in 0..PROCESSES {
            let vm: VmName = format!("vm{index}").parse().expect("a name");
            world.vms.insert(vm.clone(), 1);
            let process = world.new_process(index % DCS, vm, 1);
            world.processes.push(process);
            world.join(index);
        }
        world.issue_allocations();
        world
    }

    /// Issues half of the limit to each data centre, so that processes can admit work from the first step on.
    fn issue_allocations(&mut self) {
        for dc in 0..DCS {
            self.fleet_edit(FleetEdit::BeginIssue {
                dc: dc_name(dc),
                id: TransferId::new(dc as u128),
                teams: slots(LIMIT / 2),
            });
            let issue = self.fleet.moves()[&dc_name(dc)].issue.clone();
            self.dc_edit(dc, DcEdit::Raise(issue.expect("an open issue")));
            let raised_seq = self.dcs[dc].raised_seq();
            self.fleet_edit(FleetEdit::EndIssue {
                dc: dc_name(dc),
                raised_seq,
            });
        }
        for who in 0..PROCESSES {
            self.refresh(who);
        }
    }

    fn next_id(&mut self) -> u128 {
        self.last_id += 1;
        self.last_id
    }

    fn new_process(&mut self, dc: usize, vm: VmName, boots: u64) -> Process {
        Process {
            entry: EntryId::new(self.next_id()),
            dc,
            vm,
            boots,
            is_alive: true,
            paused_until: 0,
            session: None,
            cap: Part::NONE,
            unknown: None,
            seen: self.dcs.clone(),
            seen_fleet: self.fleet.clone(),
            reclaim: ReclaimContext::new(),
            queued: Vec::new(),
        }
    }

    fn at(&self, tick: u64) -> Instant {
        self.start + Duration::from_secs(tick)
    }

    /// Performs one step and returns the breaches found after it.
    pub fn step(&mut self, step: &Step) -> Breaches {
        let who = usize::from(step.who) % PROCESSES;
        match step.kind {
            Kind::Tick => self.tick(),
            Kind::ApplyDelayed => self.apply_delayed(),
            Kind::Start => self.start_process(who, step.arg),
            _ if self.processes[who].paused_until > self.now => {}
            _ if self.processes[who].is_alive => {
                self.resume(who, step.arg);
                self.act(who, step);
            }
            _ => {}
        }
        self.check()
    }

    /// Resumes a process that was paused right before an admission: it admits by its state from before the pause.
    fn resume(&mut self, who: usize, arg: u8) {
        if self.processes[who].paused_until > 0 {
            self.processes[who].paused_until = 0;
            self.admit(who, arg);
        }
    }

    fn act(&mut self, who: usize, step: &Step) {
        let (arg, fate) = (step.arg, step.fate % 8);
        let dc = usize::from(arg) % DCS;
        match step.kind {
            Kind::Tick | Kind::ApplyDelayed | Kind::Start => {}
            Kind::Crash => self.crash(who, arg),
            Kind::Pause => self.processes[who].paused_until = self.now + u64::from(arg) % PAUSE_MAX,
            Kind::Renew => self.renew(who),
            Kind::Refresh => self.refresh(who),
            Kind::Set => self.set_any(who, arg, fate),
            Kind::Admit => self.admit(who, arg),
            Kind::Serve => self.serve(who, arg, fate),
            Kind::Observe => self.observe(who, arg, fate),
            Kind::ReadFleet => self.processes[who].seen_fleet = self.fleet.clone(),
            Kind::BeginRelease => self.begin_release(dc, arg, fate),
            Kind::BeginIssue => self.begin_issue(dc, arg, fate),
            Kind::Lower => self.lower(who, dc, fate),
            Kind::Raise => self.raise(who, dc, fate),
            Kind::EndMoves => self.end_moves(who, dc, fate),
            Kind::Leave => self.leave(who, fate),
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        let now = self.now;
        self.work.retain(|work| work.until > now);
        self.lists.push(self.vms.clone());
    }

    /// Returns the list of VMs as of some time within the lag.
    fn list(&self, arg: u8) -> Option<&BTreeMap<VmName, u64>> {
        let lag = u64::from(arg) % (LIST_LAG + 1);
        let lag = usize::try_from(lag).expect("a small number");
        let at = self.lists.len().checked_sub(lag + 1)?;
        self.lists.get(at)
    }

    fn own_dc_edit(&mut self, who: usize, step: DcEdit, fate: u8) {
        let edit = EditId::new(self.next_id());
        self.swap_dc(self.processes[who].dc, edit, step, fate);
    }

    /// Acts as an observer: reads the document and applies the edits that are due. Each edit can be lost or delayed on
    /// its own. Sometimes the edits are queued and applied in a later step.
    fn observe(&mut self, who: usize, arg: u8, fate: u8) {
        for edit in std::mem::take(&mut self.processes[who].queued) {
            self.own_dc_edit(who, edit, 0);
        }
        let doc = self.dcs[self.processes[who].dc].clone();
        let sessions = doc.rows().values().map(|row| row.session);
        let expired_sessions = sessions
            .filter(|session| self.is_expired(*session))
            .collect();
        let listed = self.list(arg).cloned();
        let observed = ObservedState {
            expired_sessions,
            listed,
        };
        let run_max = match self.rule {
            Rule::ReclaimEarly => Duration::ZERO,
            Rule::Kept | Rule::TrustSession => Duration::from_secs(RUN_BOUND),
        };
        let bounds = ReclaimBounds {
            run_max,
            list_lag_max: Duration::from_secs(LIST_LAG),
        };
        let now = self.at(self.now);
        let ctx = &mut self.processes[who].reclaim;
        let edits = plan_reclaim(ctx, &doc, &observed, bounds, now);
        if arg >= 160 {
            self.processes[who].queued = edits;
            return;
        }
        for (index, edit) in (0..).zip(edits) {
            self.own_dc_edit(who, edit, (fate + index) % 8);
        }
    }

    fn leave(&mut self, who: usize, fate: u8) {
        let owner = self.processes[who].entry;
        if fate != 0 || self.running(owner) > 0 {
            return;
        }
        self.processes[who].is_alive = false;
        self.own_dc_edit(who, DcEdit::Leave { owner }, fate);
    }

    fn dc_edit(&mut self, dc: usize, step: DcEdit) {
        let edit = EditId::new(self.next_id());
        self.swap_dc(dc, edit, step, 0);
    }

    fn fleet_edit(&mut self, step: FleetEdit) {
        self.swap_fleet(step, 0);
    }

    fn swap_dc(&mut self, dc: usize, edit: EditId, step: DcEdit, fate: u8) -> Swap {
        let mut next = stored(&self.dcs[dc]);
        if next.apply(edit, &[step]).is_err() {
            return Swap::Refused;
        }
        if fate == 3 {
            let base = self.dcs[dc].recent().total();
            self.delayed.push(Delayed::Dc(dc, base, next));
            return Swap::Unknown;
        }
        self.dcs[dc] = next;
        Swap::of(fate)
    }

    fn swap_fleet(&mut self, step: FleetEdit, fate: u8) -> Swap {
        let mut next = stored(&self.fleet);
        let edit = EditId::new(self.next_id());
        if next.apply(edit, Epoch::ZERO, &[step]).is_err() {
            return Swap::Refused;
        }
        if fate == 3 {
            let base = self.fleet.recent().total();
            self.delayed.push(Delayed::Fleet(base, next));
            return Swap::Unknown;
        }
        self.fleet = next;
        Swap::of(fate)
    }

    /// Lets the oldest delayed swap take effect, if its document has not changed since.
    fn apply_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        match self.delayed.remove(0) {
            Delayed::Dc(dc, base, next) if self.dcs[dc].recent().total() == base => {
                self.dcs[dc] = next;
            }
            Delayed::Fleet(base, next) if self.fleet.recent().total() == base => self.fleet = next,
            Delayed::Dc(..) | Delayed::Fleet(..) => {}
        }
    }

    fn check(&self) -> Breaches {
        let mut found = Breaches::new();
        let running: Vec<Running> = self
            .work
            .iter()
            .map(|work| Running {
                entry: work.entry,
                team: team(),
                slots: Slots::new(1),
            })
            .collect();
        let limits = BTreeMap::from([(team(), Slots::new(LIMIT))]);
        verify::upper_limit(&running, &limits, &mut found);
        verify::limits(&self.fleet, &mut found);
        let dcs: BTreeMap<DcName, DcQuota> = (0..DCS)
            .map(|dc| (dc_name(dc), self.dcs[dc].clone()))
            .collect();
        verify::allocations_counted(&self.fleet, &dcs, &mut found);
        for doc in dcs.values() {
            verify::allocations(doc, &mut found);
        }
        self.check_lowered_limit(&mut found);
        found
    }

    /// Checks for each lower limit that the parts, scaled to it, would stay within it if it came into force now.
    fn check_lowered_limit(&self, found: &mut Breaches) {
        for (limit, cat) in (0..).zip(&self.cats) {
            let mut sum = 0;
            for doc in &self.dcs {
                for row in doc.rows().values().filter(|r| r.phase == RowPhase::Held) {
                    let part = Grants::of(doc, row.owner, cat, None).part(TeamId::new(0));
                    sum += part.total().get();
                }
            }
            if sum > limit {
                let detail = format!("parts of {sum} under a lowered limit of {limit}");
                found.push(goldcrest_types::breach::Promise::UpperLimit, detail);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Swap {
    Done,
    Refused,
    Unknown,
}

impl Swap {
    const fn of(fate: u8) -> Self {
        match fate {
            2 => Self::Unknown,
            _ => Self::Done,
        }
    }
}

/// Returns the document after encoding and decoding, as the next reader gets it.
fn stored<D: Document>(doc: &D) -> D {
    let bytes = doc.encode().expect("a small document");
    D::decode(&bytes).expect("a whole document")
}

fn own_part(doc: &DcQuota, entry: EntryId) -> Part {
    let row = doc.row_of(entry);
    let quota = doc.teams().get(&team());
    match (row, quota) {
        (Some(row), Some(quota)) => quota.part(row),
        _ => Part::NONE,
    }
}

fn min(a: Part, b: Part) -> Part {
    Part::new(a.floor.min(b.floor), a.lent.min(b.lent))
}
