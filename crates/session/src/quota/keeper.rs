//! Keeping this entry's row towards demand.
//!
//! What is given back is first taken from the grants in force, and counted against what runs, before the document is
//! changed; what is taken is put in force after. So at any instant the grants are no more than the row holds. An edit
//! whose outcome is unknown stays open, and the grants stay at the lower of both sides, until the document shows which
//! it was.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::quota::grants::Session as RowSession;
use goldcrest_ledger::quota::rebalance::{Demand, RebalanceContext, rebalance};
use goldcrest_ledger::quota::{
    DcEdit, DcQuota, Grants, Part, QuotaRefusal, SessionId, TeamPart, TeamQuota,
};
use goldcrest_ports::store::Store;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{EditId, TeamName, VmName};
use goldcrest_types::units::Slots;
use log::{debug, warn};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::cached::Cached;
use super::pace::WritePace;
use crate::keys;
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between looks at the demand.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// How old the document may be while this entry has what it wants.
const AGE_MAX: Duration = Duration::from_secs(3);

/// How old the document may be while a team wants more here than it holds.
const AGE_MAX_SHORT: Duration = Duration::from_secs(1);

/// How old the document may be when this entry was told of a change.
const AGE_MAX_TOLD: Duration = Duration::from_millis(250);

/// How old the document may be after an edit that was refused or whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_millis(500);

/// The time in which one write is earned.
const WRITE_INTERVAL: Duration = Duration::from_secs(6);

/// How many writes may be saved up, so that a shift of demand is answered at once.
const WRITES_SAVED: u32 = 16;

/// How many of them are kept for first slots when the demand is met, so that an outage finds every entry with some.
const WRITES_FOR_FIRST: u32 = 2;

/// How many more are kept for slots that others wait for, and for a first slot.
const WRITES_FOR_NEEDED: u32 = 4;

/// How many more are kept for other moves of slots: a floor that is only shifted under the same sum can wait.
const WRITES_FOR_MOVES: u32 = 8;

/// An entry misses a good part of a team's limit if it is more than one part in this many.
const SHORT_PART: u32 = 20;

/// How much it matters that parts are written now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// A floor is shifted under the same sum.
    Shift,
    /// Slots are given back or taken.
    Move,
    /// Slots are given back that others wait for, or taken by who misses a good part of the limit or holds none.
    Needed,
    /// The same while all entries hold what they want: only first slots are missing.
    First,
}

impl Urgency {
    /// How many writes must stay saved up.
    const fn writes_kept(self) -> u32 {
        match self {
            Self::Shift => WRITES_FOR_FIRST + WRITES_FOR_NEEDED + WRITES_FOR_MOVES,
            Self::Move => WRITES_FOR_FIRST + WRITES_FOR_NEEDED,
            Self::Needed => WRITES_FOR_FIRST,
            Self::First => 0,
        }
    }
}

/// Where grants are put in force: the daemon's admission.
pub trait Gate: Send + Sync + 'static {
    /// Puts `grants` in force and returns what runs of each team. Both happen under the lock of admission, so whatever
    /// was admitted by earlier grants is in the answer.
    fn install(&self, grants: &Grants) -> BTreeMap<TeamName, Slots>;

    /// The catalogue in force.
    fn catalogue(&self) -> Option<Arc<Catalogue>>;

    /// What the entries of this data centre want of each team.
    fn demand(&self) -> Demand;
}

/// Who owns the row besides the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowOwner {
    /// The VM.
    pub vm: VmName,
    /// How often the VM has started.
    pub boots: u64,
}

/// An edit that may or may not be in the document.
struct Open {
    edit: EditId,
    steps: Vec<DcEdit>,
    parts: Vec<TeamPart>,
    /// Whether it may have been sent by an earlier update, whose outcome is not known.
    is_unresolved: bool,
}

impl Open {
    fn new(edit: EditId, step: DcEdit, parts: Vec<TeamPart>) -> Self {
        Self {
            edit,
            steps: vec![step],
            parts,
            is_unresolved: false,
        }
    }
}

/// Keeps this entry's row.
pub struct QuotaKeeper<S, C, G> {
    session: Session<S, C>,
    owner: RowOwner,
    gate: Arc<G>,
    doc: Cached<DcQuota>,
    ctx: RebalanceContext,
    open: Option<Open>,
    pace: WritePace,
    told: Arc<Notify>,
    is_told: bool,
    grants: watch::Sender<Grants>,
}

impl<S: Store, C: Clock, G: Gate> QuotaKeeper<S, C, G> {
    /// A keeper that has not read the document yet.
    #[must_use]
    pub fn new(session: Session<S, C>, owner: RowOwner, gate: Arc<G>) -> Self {
        let key = keys::quota(&session.cfg().dc);
        let pace = WritePace::new(WRITE_INTERVAL, WRITES_SAVED, session.now());
        Self {
            session,
            owner,
            gate,
            doc: Cached::new(key),
            ctx: RebalanceContext::new(),
            open: None,
            pace,
            told: Arc::default(),
            is_told: false,
            grants: watch::channel(Grants::new()).0,
        }
    }

    /// The same keeper, which looks at the document at once whenever `told` is notified.
    #[must_use]
    pub fn with_told(mut self, told: Arc<Notify>) -> Self {
        self.told = told;
        self
    }

    /// The grants in force, and every change of them.
    #[must_use]
    pub fn grants(&self) -> watch::Receiver<Grants> {
        self.grants.subscribe()
    }

    /// Keeps the row until `stop`, then gives it up if nothing runs.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            match stop.run_until_cancelled(self.look()).await {
                None => break,
                Some(Ok(())) => {}
                Some(Err(error)) => debug!(target: part::QUOTA, "{error}."),
            }
            if stop.run_until_cancelled(self.pause()).await.is_none() {
                break;
            }
        }
        self.leave().await;
    }

    /// Waits for the next look, or until this entry is told that the document has changed.
    async fn pause(&mut self) {
        let told = Arc::clone(&self.told);
        let told = tokio::time::timeout(LOOK_PAUSE, told.notified()).await;
        self.is_told |= told.is_ok();
    }

    /// One look at the demand.
    async fn look(&mut self) -> Result<(), UpdateError> {
        let running = self.install(&[]);
        if let Some(open) = self.open.take() {
            return self.apply(open).await;
        }
        let age_max = if self.is_told {
            AGE_MAX_TOLD
        } else if self.is_short() {
            AGE_MAX_SHORT
        } else {
            AGE_MAX
        };
        let known_at = self.doc.read_at();
        self.doc.refresh(&self.session, age_max).await?;
        self.is_told &= self.doc.read_at() == known_at;
        self.install(&[]);
        let Some(session) = self.row_session() else {
            return Ok(());
        };
        if let Some(step) = self.joining(session.id) {
            let edit = self.session.draw_edit();
            self.apply(Open::new(edit, step, Vec::new())).await?;
        }
        self.balance(session.id, &running).await
    }

    /// This entry's session, if it may act on it now.
    fn row_session(&self) -> Option<RowSession> {
        let held = self
            .session
            .inner
            .lease
            .borrow()
            .valid(self.session.now())?;
        Some(RowSession {
            id: SessionId::new(held.lease.get()),
            until: held.valid_until,
        })
    }

    /// What is needed before the row can be changed.
    fn joining(&self, session: SessionId) -> Option<DcEdit> {
        let owner = self.session.cfg().entry;
        let Some(row) = self.doc.doc().row_of(owner) else {
            return Some(DcEdit::Join {
                owner,
                vm: self.owner.vm.clone(),
                boots: self.owner.boots,
                session,
            });
        };
        let is_own = self.doc.doc().rows()[&row].session == session;
        (!is_own).then_some(DcEdit::Renew { owner, session })
    }

    /// Puts the row's grants in force, with each of `parts` no higher than given, and returns what runs.
    fn install(&self, parts: &[TeamPart]) -> BTreeMap<TeamName, Slots> {
        let Some(cat) = self.gate.catalogue() else {
            return self.gate.install(&Grants::new());
        };
        let owner = self.session.cfg().entry;
        let mut grants = Grants::of(self.doc.doc(), owner, &cat, self.row_session());
        let open = self.open.iter().flat_map(|open| &open.parts);
        for lowered in parts.iter().chain(open) {
            if let Some(team) = cat.team(lowered.team.as_str()) {
                let part = lower(grants.part(team), lowered.part);
                grants.set(team, part);
            }
        }
        let running = self.gate.install(&grants);
        self.grants.send_if_modified(|known| {
            let is_new = *known != grants;
            *known = grants;
            is_new
        });
        running
    }

    /// Whether a team wants more here than the row holds.
    fn is_short(&self) -> bool {
        let owner = self.session.cfg().entry;
        let doc = self.doc.doc();
        let Some(row) = doc.row_of(owner) else {
            return true;
        };
        let demand = self.gate.demand();
        let rows = doc.rows().len();
        let mut teams = doc.teams().iter();
        teams.any(|(team, quota)| {
            let held = quota.part(row).total();
            let goes_round = usize::try_from(quota.portion.get()).is_ok_and(|slots| slots >= rows);
            let lacks_first = held.is_zero() && goes_round && is_met(doc, &demand, team, quota);
            demand.of(owner, team) > held || lacks_first
        })
    }

    /// Gives back and takes, by the demand of all entries of the data centre.
    async fn balance(
        &mut self,
        session: SessionId,
        running: &BTreeMap<TeamName, Slots>,
    ) -> Result<(), UpdateError> {
        let owner = self.session.cfg().entry;
        let demand = self.gate.demand();
        let mut parts = rebalance(&mut self.ctx, self.doc.doc(), owner, &demand, running);
        if parts.is_empty() || !self.take_write(&parts) {
            return Ok(());
        }
        let running = self.install(&parts);
        let runs = |part: &TeamPart| running.get(&part.team).copied().unwrap_or(Slots::ZERO);
        parts.retain(|part| runs(part) <= part.part.total());
        if parts.is_empty() {
            return Ok(());
        }
        let set = DcEdit::Set {
            owner,
            session,
            parts: parts.clone(),
        };
        let edit = self.session.draw_edit();
        self.apply(Open::new(edit, set, parts)).await
    }

    /// Whether `parts` may be written now; if so the write is counted.
    fn take_write(&mut self, parts: &[TeamPart]) -> bool {
        let demand = self.gate.demand();
        let urgency = parts.iter().map(|part| self.urgency(part, &demand)).max();
        let kept = urgency.unwrap_or(Urgency::Shift).writes_kept();
        let now = self.session.now();
        if self.pace.saved(now) <= kept {
            return false;
        }
        self.pace.take(1, now);
        true
    }

    fn urgency(&self, part: &TeamPart, demand: &Demand) -> Urgency {
        let doc = self.doc.doc();
        let row = doc.row_of(self.session.cfg().entry);
        let (Some(row), Some(quota)) = (row, doc.teams().get(&part.team)) else {
            return Urgency::Needed;
        };
        let (before, after) = (quota.part(row).total(), part.part.total());
        let is_waited_for =
            quota.keep.is_some() || doc.rows().keys().any(|row| quota.part(*row) == Part::NONE);
        let taken = after - before;
        let is_far_short = taken.get() > quota.limit.get() / SHORT_PART;
        if before == after {
            Urgency::Shift
        } else if before.is_zero() || is_far_short || (after < before && is_waited_for) {
            if is_met(doc, demand, &part.team, quota) {
                Urgency::First
            } else {
                Urgency::Needed
            }
        } else {
            Urgency::Move
        }
    }

    /// Applies an edit, and keeps it open for as long as its outcome is unknown.
    async fn apply(&mut self, open: Open) -> Result<(), UpdateError> {
        let mut next = None;
        let (edit, steps, was_unresolved) = (open.edit, open.steps.clone(), open.is_unresolved);
        let change = |doc: &mut DcQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, &steps)?;
            next = Some(doc.clone());
            Ok(())
        };
        // Should this be cut short, the edit stays open as one that may have been sent.
        self.open = Some(Open {
            is_unresolved: true,
            ..open
        });
        let sent = self.session.now();
        let key = self.doc.key().clone();
        // An unresolved edit is read back; it must not be tried on an older state.
        let base = if was_unresolved {
            None
        } else {
            self.doc.base()
        };
        let updated = match self.session.update_from(&key, edit, base, change).await {
            Ok(updated) => updated,
            Err(error) => {
                let is_settled = !was_unresolved && !matches!(error, UpdateError::Unresolved(_));
                if is_settled {
                    self.open = None;
                }
                return Err(error);
            }
        };
        self.open = None;
        match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => self.doc.put(doc, version, sent),
            (Updated::Refused(refusal), _) => {
                debug!(target: part::QUOTA, "{refusal}.");
                self.doc.expire();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.doc.expire(),
        }
        // What is in the document now is read before grants may rise to it.
        let lowered = self.doc.read_at().is_none();
        if lowered {
            self.doc.refresh(&self.session, AGE_MAX_EDITED).await?;
        }
        self.install(&[]);
        Ok(())
    }

    /// Puts empty grants in force and gives the row up, unless something still runs: then it is left to be reclaimed.
    async fn leave(mut self) {
        let running = self.gate.install(&Grants::new());
        self.grants.send_replace(Grants::new());
        let owner = self.session.cfg().entry;
        let is_idle = running.values().all(|slots| slots.is_zero());
        if !is_idle || self.open.is_some() || self.doc.doc().row_of(owner).is_none() {
            return;
        }
        let edit = self.session.draw_edit();
        let open = Open::new(edit, DcEdit::Leave { owner }, Vec::new());
        if let Err(error) = self.apply(open).await {
            warn!(target: part::QUOTA, "The row stays until it is reclaimed: {error}.");
        }
    }
}

/// Whether every entry holds what it wants of a team.
fn is_met(doc: &DcQuota, demand: &Demand, team: &TeamName, quota: &TeamQuota) -> bool {
    let mut rows = doc.rows().iter();
    rows.all(|(id, row)| demand.of(row.owner, team) <= quota.part(*id).total())
}

/// The lower of two parts, in each component and in sum.
fn lower(held: Part, wanted: Part) -> Part {
    let floor = held.floor.min(wanted.floor);
    let total = held.total().min(wanted.total());
    Part::new(floor, total - floor)
}
