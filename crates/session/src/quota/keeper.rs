//! Adjusts this entry's row in the quota document to demand.
//!
//! Invariant: the grants in force never exceed what the row holds. Slots to give back are first removed from the grants
//! and compared with what runs, and only then from the document; slots to take are granted after the document has them.
//! An edit whose outcome is unknown stays open, and the grants stay at the lower of the two possible values, until the
//! document shows whether it was applied.

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
use super::pace::WriteLimit;
use crate::keys;
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between checks of the demand.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum age of the document while the row covers this entry's demand.
const AGE_MAX: Duration = Duration::from_secs(3);

/// The maximum age of the document while a team's demand exceeds the row.
const AGE_MAX_SHORT: Duration = Duration::from_secs(1);

/// The maximum age of the document after this entry was notified of a change.
const AGE_MAX_NOTIFIED: Duration = Duration::from_millis(250);

/// The maximum age of the document after an edit that was refused or whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_millis(500);

/// The refill interval of the write limit: one write becomes available per interval.
const WRITE_INTERVAL: Duration = Duration::from_secs(6);

/// The capacity of the write limit. A shift of demand is answered at once while writes are saved.
const WRITES_SAVED_MAX: u32 = 16;

/// The writes reserved for first slots while demand is met, so that every entry holds some when an outage begins.
const WRITES_FOR_FIRST: u32 = 2;

/// The writes reserved in addition for slots that other entries wait for, for large shortfalls and for a first slot.
const WRITES_FOR_NEEDED: u32 = 4;

/// The writes reserved in addition for other moves of slots: a new floor under the same total can wait.
const WRITES_FOR_MOVES: u32 = 8;

/// A shortfall is large if it exceeds the team's limit divided by this.
const LARGE_SHORTFALL_DIVISOR: u32 = 20;

/// The urgency of a write of parts, from low to high.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Only the floor changes, the total stays.
    Shift,
    /// Slots are given back or taken, and no more urgent case applies.
    Move,
    /// Slots are given back that other entries wait for, or taken by an entry that has a large shortfall or holds none.
    Needed,
    /// As [`Urgency::Needed`], while every entry's demand is covered: only first slots are missing.
    First,
}

impl Urgency {
    /// The number of writes that must stay available for more urgent cases.
    const fn writes_kept(self) -> u32 {
        match self {
            Self::Shift => WRITES_FOR_FIRST + WRITES_FOR_NEEDED + WRITES_FOR_MOVES,
            Self::Move => WRITES_FOR_FIRST + WRITES_FOR_NEEDED,
            Self::Needed => WRITES_FOR_FIRST,
            Self::First => 0,
        }
    }
}

/// The admission that enforces the grants, implemented by the daemon.
pub trait Gate: Send + Sync + 'static {
    /// Puts `grants` in force and returns the running slots of each team. Both happen under the admission lock, so the
    /// result includes everything that was admitted under earlier grants.
    fn install(&self, grants: &Grants) -> BTreeMap<TeamName, Slots>;

    /// Returns the catalogue in force, or `None` before the first one.
    fn catalogue(&self) -> Option<Arc<Catalogue>>;

    /// Returns the slots that each entry of this data centre demands of each team.
    fn demand(&self) -> Demand;
}

/// The VM recorded in the row beside the owning process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowOwner {
    /// The VM on which the process runs.
    pub vm: VmName,
    /// How often the VM has booted. A higher count on the platform's list shows that the process has ended.
    pub boots: u64,
}

/// An edit that was not seen in the document yet and may or may not be there.
struct OpenEdit {
    edit: EditId,
    steps: Vec<DcEdit>,
    parts: Vec<TeamPart>,
    /// Whether an earlier update may have sent the edit, with an unknown outcome.
    is_unresolved: bool,
}

impl OpenEdit {
    fn new(edit: EditId, step: DcEdit, parts: Vec<TeamPart>) -> Self {
        Self {
            edit,
            steps: vec![step],
            parts,
            is_unresolved: false,
        }
    }
}

/// Adjusts this entry's row to demand and publishes the grants that follow from it.
pub struct QuotaKeeper<S, C, G> {
    session: Session<S, C>,
    owner: RowOwner,
    gate: Arc<G>,
    doc: Cached<DcQuota>,
    ctx: RebalanceContext,
    open: Option<OpenEdit>,
    write_limit: WriteLimit,
    changed: Arc<Notify>,
    is_notified: bool,
    grants: watch::Sender<Grants>,
}

impl<S: Store, C: Clock, G: Gate> QuotaKeeper<S, C, G> {
    /// Creates a keeper that has not read the document yet and grants nothing.
    #[must_use]
    pub fn new(session: Session<S, C>, owner: RowOwner, gate: Arc<G>) -> Self {
        let key = keys::quota(&session.cfg().dc);
        let write_limit = WriteLimit::new(WRITE_INTERVAL, WRITES_SAVED_MAX, session.now());
        Self {
            session,
            owner,
            gate,
            doc: Cached::new(key),
            ctx: RebalanceContext::new(),
            open: None,
            write_limit,
            changed: Arc::default(),
            is_notified: false,
            grants: watch::channel(Grants::new()).0,
        }
    }

    /// Makes the keeper start a cycle at once whenever `changed` is notified, with a document at most 250 ms old.
    #[must_use]
    pub fn with_change_notify(mut self, changed: Arc<Notify>) -> Self {
        self.changed = changed;
        self
    }

    /// Returns a receiver of the grants in force and their changes.
    #[must_use]
    pub fn grants(&self) -> watch::Receiver<Grants> {
        self.grants.subscribe()
    }

    /// Adjusts the row until `stop`, then gives it up if nothing runs.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            match stop.run_until_cancelled(self.reconcile()).await {
                None => break,
                Some(Ok(())) => {}
                Some(Err(error)) => debug!(target: part::QUOTA, "Quota row not updated: {error}."),
            }
            if stop.run_until_cancelled(self.pause()).await.is_none() {
                break;
            }
        }
        self.leave().await;
    }

    /// Waits for the next cycle, or until a notification that the document has changed.
    async fn pause(&mut self) {
        let changed = Arc::clone(&self.changed);
        let notified = tokio::time::timeout(RECONCILE_INTERVAL, changed.notified()).await;
        self.is_notified |= notified.is_ok();
    }

    /// Runs one reconcile cycle: resolves an open edit, or else reads the document if it is too old and moves the row
    /// towards demand.
    async fn reconcile(&mut self) -> Result<(), UpdateError> {
        let running = self.install(&[]);
        if let Some(open) = self.open.take() {
            return self.apply(open).await;
        }
        let age_max = if self.is_notified {
            AGE_MAX_NOTIFIED
        } else if self.is_short() {
            AGE_MAX_SHORT
        } else {
            AGE_MAX
        };
        let prior_read_at = self.doc.read_at();
        self.doc.refresh(&self.session, age_max).await?;
        self.is_notified &= self.doc.read_at() == prior_read_at;
        self.install(&[]);
        let Some(session) = self.row_session() else {
            return Ok(());
        };
        if let Some(step) = self.session_step(session.id) {
            let edit = self.session.new_edit_id();
            self.apply(OpenEdit::new(edit, step, Vec::new())).await?;
        }
        self.balance(session.id, &running).await
    }

    /// Returns this entry's session, or `None` without a valid lease.
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

    /// Returns the step needed before the row can be changed: to join, or to renew the row's session. `None` if the row
    /// belongs to `session` already.
    fn session_step(&self, session: SessionId) -> Option<DcEdit> {
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

    /// Puts the row's grants in force and returns the running slots of each team. A team in `parts` or in the open edit
    /// is granted no more than the part there.
    fn install(&self, parts: &[TeamPart]) -> BTreeMap<TeamName, Slots> {
        let Some(cat) = self.gate.catalogue() else {
            return self.gate.install(&Grants::new());
        };
        let owner = self.session.cfg().entry;
        let mut grants = Grants::of(self.doc.doc(), owner, &cat, self.row_session());
        let open = self.open.iter().flat_map(|open| &open.parts);
        for lowered in parts.iter().chain(open) {
            if let Some(team) = cat.team(lowered.team.as_str()) {
                let part = min_part(grants.part(team), lowered.part);
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

    /// Whether a team's demand exceeds the row, or a first slot of a team is missing.
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
            let suffices_for_all =
                usize::try_from(quota.allocation.get()).is_ok_and(|slots| slots >= rows);
            let misses_first =
                held.is_zero() && suffices_for_all && is_met(doc, &demand, team, quota);
            demand.of(owner, team) > held || misses_first
        })
    }

    /// Gives back and takes slots, by the demand of all entries of the data centre.
    async fn balance(
        &mut self,
        session: SessionId,
        running: &BTreeMap<TeamName, Slots>,
    ) -> Result<(), UpdateError> {
        let owner = self.session.cfg().entry;
        let demand = self.gate.demand();
        let mut parts = rebalance(&mut self.ctx, self.doc.doc(), owner, &demand, running);
        if parts.is_empty() || !self.try_take_write(&parts) {
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
        let edit = self.session.new_edit_id();
        self.apply(OpenEdit::new(edit, set, parts)).await
    }

    /// Takes a write from the limit. Returns whether `parts` may be written now.
    fn try_take_write(&mut self, parts: &[TeamPart]) -> bool {
        let demand = self.gate.demand();
        let urgency = parts.iter().map(|part| self.urgency(part, &demand)).max();
        let kept = urgency.unwrap_or(Urgency::Shift).writes_kept();
        let now = self.session.now();
        if self.write_limit.saved(now) <= kept {
            return false;
        }
        self.write_limit.take(1, now);
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
        let is_large_shortfall = taken.get() > quota.limit.get() / LARGE_SHORTFALL_DIVISOR;
        if before == after {
            Urgency::Shift
        } else if before.is_zero() || is_large_shortfall || (after < before && is_waited_for) {
            if is_met(doc, demand, &part.team, quota) {
                Urgency::First
            } else {
                Urgency::Needed
            }
        } else {
            Urgency::Move
        }
    }

    /// Applies an edit, which stays open while its outcome is unknown.
    async fn apply(&mut self, open: OpenEdit) -> Result<(), UpdateError> {
        let mut next = None;
        let (edit, steps, was_unresolved) = (open.edit, open.steps.clone(), open.is_unresolved);
        let change = |doc: &mut DcQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, &steps)?;
            next = Some(doc.clone());
            Ok(())
        };
        // If this future is dropped, the edit stays open as one that may have been sent.
        self.open = Some(OpenEdit {
            is_unresolved: true,
            ..open
        });
        let sent = self.session.now();
        let key = self.doc.key().clone();
        // The outcome of an unresolved edit shows only in the current document, not in the cached one.
        let base = if was_unresolved {
            None
        } else {
            self.doc.base()
        };
        let updated = match self.session.update_from(&key, edit, base, change).await {
            Ok(updated) => updated,
            Err(error) => {
                let is_resolved = !was_unresolved && !matches!(error, UpdateError::Unresolved(_));
                if is_resolved {
                    self.open = None;
                }
                return Err(error);
            }
        };
        self.open = None;
        match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => self.doc.put(doc, version, sent),
            (Updated::Refused(refusal), _) => {
                debug!(target: part::QUOTA, "Quota edit refused: {refusal}.");
                self.doc.invalidate();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.doc.invalidate(),
        }
        // The document is read before grants may rise to it.
        let is_unread = self.doc.read_at().is_none();
        if is_unread {
            self.doc.refresh(&self.session, AGE_MAX_EDITED).await?;
        }
        self.install(&[]);
        Ok(())
    }

    /// Puts empty grants in force and gives the row up. If something still runs or an edit is open, the row stays until
    /// the observer reclaims it.
    async fn leave(mut self) {
        let running = self.gate.install(&Grants::new());
        self.grants.send_replace(Grants::new());
        let owner = self.session.cfg().entry;
        let is_idle = running.values().all(|slots| slots.is_zero());
        if !is_idle || self.open.is_some() || self.doc.doc().row_of(owner).is_none() {
            return;
        }
        let edit = self.session.new_edit_id();
        let open = OpenEdit::new(edit, DcEdit::Leave { owner }, Vec::new());
        if let Err(error) = self.apply(open).await {
            warn!(target: part::QUOTA, "Quota row not given up, stays until it is reclaimed: {error}.");
        }
    }
}

/// Whether every entry's row covers its demand of a team.
fn is_met(doc: &DcQuota, demand: &Demand, team: &TeamName, quota: &TeamQuota) -> bool {
    let mut rows = doc.rows().iter();
    rows.all(|(id, row)| demand.of(row.owner, team) <= quota.part(*id).total())
}

/// Returns the part whose floor and total are each the lower of the two.
fn min_part(held: Part, max: Part) -> Part {
    let floor = held.floor.min(max.floor);
    let total = held.total().min(max.total());
    Part::new(floor, total - floor)
}
