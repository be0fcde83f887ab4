//! Moves slots between the allocations of data centres.
//!
//! Only the holder of the quota role moves slots. A move changes the fleet's document and the data centre's one after
//! the other, in an order in which a crash can only leave slots unissued: a release lowers the allocation in the data
//! centre's document and then frees the slots in the fleet's; an issue takes them in the fleet's document and then
//! raises the allocation in the data centre's. Moves that an earlier holder left open are completed first.
//!
//! An allocation is what a data centre holds of a team's upper limit; its document divides it into parts, one for each
//! entry. After a limit was lowered, the slots by which the allocations exceed it are outstanding, and entries scale
//! their parts down to the limit. Once no slots are outstanding, the limit is settled, and no part needs scaling.
//!
//! Each cycle plans on cached documents, which costs no call. Documents are read only if that plan, an open move or a
//! new catalogue requires a change, and again while slots are being recalled from rows (`DcEdit::AskBack`). The entries
//! of a data centre are notified at once of a recall and of a raised allocation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::quota::allocations::{DcPlan, DcView, plan};
use goldcrest_ledger::quota::{DcEdit, DcQuota, FleetEdit, FleetQuota, QuotaRefusal, TeamSlots};
use goldcrest_ports::store::Store;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use log::{debug, warn};
use tokio_util::sync::CancellationToken;

use super::cached::Cached;
use super::pace::WriteLimit;
use super::view::View;
use crate::keys;
use crate::part;
use crate::role::{RoleName, Roles};
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between reconcile cycles.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// The time before the next cycle after one that failed.
const FAILED_INTERVAL: Duration = Duration::from_secs(1);

/// The first interval at which documents with a recall are read again; it doubles until new moves begin.
const RECALL_READ_INTERVAL: Duration = Duration::from_millis(400);

/// The maximum of that interval.
const RECALL_READ_INTERVAL_MAX: Duration = Duration::from_secs(8);

/// The maximum age of a document on which a move is planned. An edit based on an outdated copy conflicts and is retried
/// on the current document.
const AGE_MAX_IDLE: Duration = Duration::from_secs(10);

/// The maximum age of the fleet's document right after an edit whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_secs(1);

/// The maximum rounds of moves per cycle, so that slots released in the first are issued in the second.
const ROUNDS_PER_CYCLE: usize = 2;

/// The refill interval of the write limit: one write becomes available per interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The capacity of the token bucket that limits writes. A shift of all demand in the fleet costs about 40 writes.
const WRITE_BURST_MAX: u32 = 160;

/// The writes reserved for teams with a large shortfall and for data centres with less than their minimum allocation.
const WRITES_FOR_SHORTFALLS: u32 = 120;

/// A team's shortfall is large if it exceeds the team's limit divided by this.
const LARGE_SHORTFALL_DIVISOR: u32 = 20;

/// The demand of a data centre for a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DcDemand {
    /// The data centre whose entries have the demand.
    pub dc: DcName,
    /// The team whose limit the demand counts against.
    pub team: TeamName,
    /// The slots demanded: running and waiting together.
    pub slots: Slots,
}

/// The inputs and notifications that the daemon provides for the mover.
pub trait MoverHost: Send + Sync + 'static {
    /// Returns the catalogue in force, or `None` before the first one.
    fn catalogue(&self) -> Option<Arc<Catalogue>>;

    /// Returns the demand of all data centres; a pair that is left out counts as zero.
    fn demand(&self) -> Vec<DcDemand>;

    /// Notifies the entries of `dc` that slots were recalled from rows there, or that its allocation was raised.
    fn notify_changed(&self, dc: &DcName);
}

/// Moves slots between data centres while this entry holds the quota role.
pub struct Mover<S, C, N> {
    session: Session<S, C>,
    roles: Roles<S, C>,
    role: RoleName,
    needs: Arc<N>,
    fleet: Cached<FleetQuota>,
    views: Vec<View>,
    /// The last revision whose limits are settled in the document of every data centre.
    settled: Revision,
    recall_interval: Duration,
    recall_read_at: Instant,
    write_limit: WriteLimit,
}

impl<S: Store, C: Clock, N: MoverHost> Mover<S, C, N> {
    /// Creates a mover that acts only while this entry holds `role`.
    #[must_use]
    pub fn new(session: Session<S, C>, roles: Roles<S, C>, role: RoleName, needs: Arc<N>) -> Self {
        let now = session.now();
        Self {
            session,
            roles,
            role,
            needs,
            fleet: Cached::new(keys::quota_fleet()),
            views: Vec::new(),
            settled: Revision::ZERO,
            recall_interval: RECALL_READ_INTERVAL,
            recall_read_at: now,
            write_limit: WriteLimit::new(WRITE_INTERVAL, WRITE_BURST_MAX, now),
        }
    }

    /// Runs reconcile cycles until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let interval = match stop.run_until_cancelled(self.reconcile()).await {
                None => return,
                Some(Ok(())) => RECONCILE_INTERVAL,
                Some(Err(error)) => {
                    debug!(target: part::QUOTA, "Quota moves failed, will retry: {error}.");
                    self.invalidate_all();
                    FAILED_INTERVAL
                }
            };
            let sleep = tokio::time::sleep(interval);
            if stop.run_until_cancelled(sleep).await.is_none() {
                return;
            }
        }
    }

    fn invalidate_all(&mut self) {
        self.fleet.invalidate();
        for view in &mut self.views {
            view.quota.invalidate();
        }
    }

    /// Runs one cycle, which does nothing without the role or a catalogue.
    async fn reconcile(&mut self) -> Result<(), UpdateError> {
        let (Some(epoch), Some(cat)) = (self.roles.epoch(&self.role), self.needs.catalogue())
        else {
            return Ok(());
        };
        self.fleet.refresh(&self.session, AGE_MAX_IDLE).await?;
        self.refresh_demand(&cat);
        self.read_recalled().await;
        if !self.is_needed(&cat) {
            return Ok(());
        }
        self.fleet.refresh(&self.session, Duration::ZERO).await?;
        for view in &mut self.views {
            view.refresh(&self.session, AGE_MAX_IDLE).await;
        }
        self.complete(epoch, BTreeMap::new()).await?;
        self.set_limits(epoch, &cat).await?;
        for _ in 0..ROUNDS_PER_CYCLE {
            if !self.may_write() || !self.begin(epoch).await? {
                break;
            }
        }
        self.settle(&cat).await
    }

    fn refresh_demand(&mut self, cat: &Catalogue) {
        let dcs: Vec<DcName> = cat.dcs.values().map(|dc| dc.name.clone()).collect();
        self.views.retain(|view| dcs.contains(&view.dc));
        for dc in dcs {
            if !self.views.iter().any(|view| view.dc == dc) {
                self.views.push(View::new(dc));
            }
        }
        let demand = self.needs.demand();
        for view in &mut self.views {
            let of_dc = demand.iter().filter(|demand| demand.dc == view.dc);
            view.demand = of_dc.map(|d| (d.team.clone(), d.slots)).collect();
        }
    }

    /// Reads the documents with a recall again, at intervals that double up to [`RECALL_READ_INTERVAL_MAX`].
    async fn read_recalled(&mut self) {
        let now = self.session.now();
        if now < self.recall_read_at {
            return;
        }
        self.recall_interval = (self.recall_interval * 2).min(RECALL_READ_INTERVAL_MAX);
        self.recall_read_at = now + self.recall_interval;
        let recalled = self.views.iter_mut().filter(|view| view.has_recall());
        for view in recalled {
            view.refresh(&self.session, Duration::ZERO).await;
        }
    }

    /// Whether a move is open, a limit has changed, or the cached documents require a move.
    fn is_needed(&self, cat: &Catalogue) -> bool {
        let fleet = self.fleet.doc();
        if fleet.revision().min(self.settled) < cat.revision() || self.has_open_move() {
            return true;
        }
        if self.views.iter().all(View::is_read) {
            return self.may_write() && self.plans().iter().any(|(_, plan)| !plan.is_empty());
        }
        let is_outstanding = fleet
            .teams()
            .values()
            .any(|team| !team.outstanding.is_zero());
        is_outstanding
            || self.views.iter().any(|view| view.is_short(fleet))
            || self.is_below_minimum()
    }

    /// Whether a release or issue was begun in the fleet's document and not ended.
    fn has_open_move(&self) -> bool {
        let mut moves = self.fleet.doc().moves().values();
        moves.any(|moves| moves.release.is_some() || moves.issue.is_some())
    }

    /// Whether an allocation is below the minimum, the slots that a data centre's entries get without any demand,
    /// though the team's limit covers the minimums of all data centres.
    fn is_below_minimum(&self) -> bool {
        let minimum_in_all: Slots = self.views.iter().map(View::minimum).sum();
        let mut teams = self.fleet.doc().teams().values();
        teams.any(|team| {
            let is_below = |view: &View| team.allocation(&view.dc) < view.minimum();
            team.limit >= minimum_in_all && self.views.iter().any(is_below)
        })
    }

    /// Whether the write limit allows moves now. The last [`WRITES_FOR_SHORTFALLS`] writes are reserved for a team with
    /// a large shortfall and for data centres with less than their minimum allocation.
    fn may_write(&self) -> bool {
        match self.write_limit.saved(self.session.now()) {
            0 => false,
            saved if saved > WRITES_FOR_SHORTFALLS => true,
            _ => self.has_large_shortfall() || self.is_below_minimum(),
        }
    }

    /// Whether the sum of the data centres' shortfalls of a team is a large part of its limit.
    fn has_large_shortfall(&self) -> bool {
        let mut teams = self.fleet.doc().teams().iter();
        teams.any(|(team, allocations)| {
            let demanded = |view: &View| view.demand.get(team).copied().unwrap_or(Slots::ZERO);
            let missing = |view: &View| demanded(view) - allocations.allocation(&view.dc);
            let missing: Slots = self.views.iter().map(missing).sum();
            missing.get() > allocations.limit.get() / LARGE_SHORTFALL_DIVISOR
        })
    }

    /// Returns the plan of each data centre whose document is known, with its index in `views`.
    fn plans(&self) -> Vec<(usize, DcPlan)> {
        let read = |index: &usize| self.views[*index].is_read();
        let read: Vec<usize> = (0..self.views.len()).filter(read).collect();
        let views = read.iter().map(|index| self.views[*index].planner_input());
        let views: Vec<DcView<'_>> = views.collect();
        let plans = plan(self.fleet.doc(), &views);
        read.into_iter().zip(plans).collect()
    }

    /// Completes the open moves. The same edits recall slots: `keeps` gives, by index of the data centre, what its rows
    /// may keep of each team.
    async fn complete(
        &mut self,
        epoch: Epoch,
        mut keeps: BTreeMap<usize, Vec<TeamSlots>>,
    ) -> Result<(), UpdateError> {
        let mut ends = Vec::new();
        for index in 0..self.views.len() {
            if !self.views[index].is_read() {
                continue;
            }
            let dc = self.views[index].dc.clone();
            let moves = self.fleet.doc().moves().get(&dc).cloned();
            let moves = moves.unwrap_or_default();
            let keep = keeps.remove(&index).unwrap_or_default();
            let mut steps = Vec::new();
            if !keep.is_empty() {
                steps.push(DcEdit::AskBack { keep });
            }
            steps.extend(moves.release.clone().map(DcEdit::Lower));
            steps.extend(moves.issue.clone().map(DcEdit::Raise));
            self.edit_dc(index, steps).await?;
            let doc = self.views[index].quota.doc();
            if let Some(release) = moves.release {
                let lowered = doc.lowered().filter(|lowered| lowered.seq == release.seq);
                ends.extend(lowered.cloned().map(|lowered| FleetEdit::EndRelease {
                    dc: dc.clone(),
                    lowered,
                }));
            }
            if let Some(issue) = moves.issue
                && doc.raised_seq() == issue.seq
            {
                let raised_seq = issue.seq;
                ends.push(FleetEdit::EndIssue { dc, raised_seq });
            }
        }
        self.edit_fleet(epoch, ends).await
    }

    /// Writes the catalogue's limits to the documents, first to those of the data centres. A data centre whose document
    /// can't be read is left out of `announced`; if it has had moves and a limit is raised, the fleet's document
    /// refuses `SetLimits` as a whole, and the next cycles try again.
    async fn set_limits(&mut self, epoch: Epoch, cat: &Catalogue) -> Result<(), UpdateError> {
        if self.fleet.doc().revision() >= cat.revision() {
            return Ok(());
        }
        let limits: Vec<TeamSlots> = cat
            .teams
            .values()
            .map(|team| TeamSlots {
                team: team.name.clone(),
                slots: team.upper_limit,
            })
            .collect();
        let mut announced = Vec::new();
        for index in 0..self.views.len() {
            if !self.views[index].is_read() {
                continue;
            }
            let limits = limits.clone();
            let is_settled = false;
            let announce = DcEdit::Announce { limits, is_settled };
            self.edit_dc(index, vec![announce]).await?;
            announced.push(self.views[index].dc.clone());
        }
        let revision = cat.revision();
        let set = FleetEdit::SetLimits {
            revision,
            limits,
            announced,
        };
        self.edit_fleet(epoch, vec![set]).await
    }

    /// Settles lowered limits, which ends the scaling of parts, once the allocations of all data centres fit in them.
    async fn settle(&mut self, cat: &Catalogue) -> Result<(), UpdateError> {
        let fleet = self.fleet.doc();
        let is_current = fleet.revision() == cat.revision();
        let is_outstanding = fleet
            .teams()
            .values()
            .any(|team| !team.outstanding.is_zero());
        let is_settled = self.settled == cat.revision();
        let is_read = self.views.iter().all(View::is_read);
        if is_settled || !is_current || is_outstanding || self.has_open_move() || !is_read {
            return Ok(());
        }
        for index in 0..self.views.len() {
            let limits = unsettled(cat, self.views[index].quota.doc());
            if !limits.is_empty() && self.roles.epoch(&self.role).is_some() {
                let is_settled = true;
                let announce = DcEdit::Announce { limits, is_settled };
                self.edit_dc(index, vec![announce]).await?;
            }
        }
        self.settled = cat.revision();
        Ok(())
    }

    /// Begins the moves and recalls that demand requires, and completes them as far as possible. Returns whether slots
    /// were released, so that there may be more to issue.
    async fn begin(&mut self, epoch: Epoch) -> Result<bool, UpdateError> {
        let plans = self.plans();
        let mut keeps = BTreeMap::new();
        let mut begins = Vec::new();
        for (index, plan) in plans {
            let dc = self.views[index].dc.clone();
            begins.extend(self.begin_moves(dc, &plan));
            if !plan.keep.is_empty() {
                keeps.insert(index, plan.keep);
            }
        }
        if begins.is_empty() && keeps.is_empty() {
            return Ok(false);
        }
        self.recall_interval = RECALL_READ_INTERVAL;
        self.recall_read_at = self.session.now() + RECALL_READ_INTERVAL;
        let is_release = |step: &FleetEdit| matches!(step, FleetEdit::BeginRelease { .. });
        let has_released = begins.iter().any(is_release);
        self.edit_fleet(epoch, begins).await?;
        self.complete(epoch, keeps).await?;
        Ok(has_released)
    }

    fn begin_moves(&self, dc: DcName, plan: &DcPlan) -> Vec<FleetEdit> {
        let new_id = || TransferId::new(self.session.new_edit_id().bits());
        let mut out = Vec::new();
        if !plan.release.is_empty() {
            out.push(FleetEdit::BeginRelease {
                dc: dc.clone(),
                id: new_id(),
                teams: plan.release.clone(),
            });
        }
        if !plan.issue.is_empty() {
            out.push(FleetEdit::BeginIssue {
                dc,
                id: new_id(),
                teams: plan.issue.clone(),
            });
        }
        out
    }

    /// Applies steps to a data centre's document in one edit, and notifies its entries of a recall or a raised
    /// allocation.
    async fn edit_dc(&mut self, index: usize, steps: Vec<DcEdit>) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        self.write_limit.take(1, self.session.now());
        let view = &mut self.views[index];
        view.edit(&self.session, &steps).await?;
        let must_notify = |step: &DcEdit| matches!(step, DcEdit::AskBack { .. } | DcEdit::Raise(_));
        if steps.iter().any(must_notify) {
            self.needs.notify_changed(&view.dc);
        }
        Ok(())
    }

    /// Applies steps to the fleet's document in one edit, fenced by the epoch of the role.
    async fn edit_fleet(&mut self, epoch: Epoch, steps: Vec<FleetEdit>) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        let edit = self.session.new_edit_id();
        let sent = self.session.now();
        self.write_limit.take(1, sent);
        let mut next = None;
        let change = |doc: &mut FleetQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, epoch, &steps)?;
            next = Some(doc.clone());
            Ok(())
        };
        let (key, base) = (self.fleet.key(), self.fleet.base());
        let updated = self.session.update_from(key, edit, base, change).await?;
        match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => self.fleet.put(doc, version, sent),
            (Updated::Refused(refusal), _) => {
                warn!(target: part::QUOTA, "Fleet quota edit refused: {refusal}.");
                self.fleet.invalidate();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.fleet.invalidate(),
        }
        self.fleet.refresh(&self.session, AGE_MAX_EDITED).await
    }
}

/// Returns the catalogue's limits of the teams whose limit is not settled in `quota`: the one there is higher, so that
/// entries scale their parts.
fn unsettled(cat: &Catalogue, quota: &DcQuota) -> Vec<TeamSlots> {
    let limit = |team: &TeamName| match cat.team(team.as_str()) {
        Some(id) => cat.teams[id].upper_limit,
        None => Slots::ZERO,
    };
    let teams = quota.teams().iter();
    let higher = teams.filter(|(team, quota)| quota.limit > limit(team));
    let limits = higher.map(|(team, _)| TeamSlots {
        team: team.clone(),
        slots: limit(team),
    });
    limits.collect()
}
