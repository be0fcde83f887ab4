//! Moving portions between data centres.
//!
//! The holder of the quota role does this, one step of each move in each document at a time, in the order in which a
//! crash can only leave slots unissued: lowered in the data centre's document, then freed in the fleet's; taken in the
//! fleet's, then raised in the data centre's. A move that an earlier holder left half done is completed first.
//!
//! Each look plans on the documents as they are known, which costs no call. Documents are read only when that plan, an
//! open move or a new catalogue asks for something, and again while rows have been asked back. The entries of a data
//! centre are told at once what concerns them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::quota::portions::{DcPlan, DcView, plan};
use goldcrest_ledger::quota::{DcEdit, DcQuota, FleetEdit, FleetQuota, QuotaRefusal, TeamSlots};
use goldcrest_ports::store::Store;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use log::{debug, warn};
use tokio_util::sync::CancellationToken;

use super::cached::Cached;
use super::pace::WritePace;
use super::view::View;
use crate::keys;
use crate::part;
use crate::role::{RoleName, Roles};
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between looks at the demand.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// The time before the next look after one that failed.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// The time before documents are read again in which rows have been asked back; it doubles while nothing comes back.
const ASKED_PAUSE: Duration = Duration::from_millis(400);

/// The longest such time.
const ASKED_PAUSE_MAX: Duration = Duration::from_secs(8);

/// How old a document may be on which a move is planned. An edit on an older one is refused and tried on a fresh one.
const AGE_MAX_IDLE: Duration = Duration::from_secs(10);

/// How old the fleet's document may be right after an edit whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_secs(1);

/// How often slots are moved in one look: what was released is issued again at once.
const MOVES_OF_A_LOOK: usize = 2;

/// The time in which one write is earned.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// How many writes may be saved up: a shift of all demand in the fleet costs some 40.
const WRITES_SAVED: u32 = 160;

/// How many of them are kept for teams that miss a good part of their limit.
const WRITES_FOR_SHORT: u32 = 120;

/// A team misses a good part of its limit if it is more than one part in this many.
const SHORT_PART: u32 = 20;

/// What a data centre wants of a team: running and waiting together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DcDemand {
    /// The data centre.
    pub dc: DcName,
    /// The team.
    pub team: TeamName,
    /// What it wants.
    pub slots: Slots,
}

/// What the mover asks the daemon.
pub trait Needs: Send + Sync + 'static {
    /// The catalogue in force.
    fn catalogue(&self) -> Option<Arc<Catalogue>>;

    /// What the data centres want.
    fn demand(&self) -> Vec<DcDemand>;

    /// Tells the entries of `dc` that rows were asked back there, or that there is more for them.
    fn tell_changed(&self, dc: &DcName);
}

/// Moves portions while this entry holds the quota role.
pub struct Mover<S, C, N> {
    session: Session<S, C>,
    roles: Roles<S, C>,
    role: RoleName,
    needs: Arc<N>,
    fleet: Cached<FleetQuota>,
    views: Vec<View>,
    /// The revision whose limits are known to be settled in every data centre.
    settled: Revision,
    asked_pause: Duration,
    asked_at: Instant,
    pace: WritePace,
}

impl<S: Store, C: Clock, N: Needs> Mover<S, C, N> {
    /// A mover that acts while this entry holds `role`.
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
            asked_pause: ASKED_PAUSE,
            asked_at: now,
            pace: WritePace::new(WRITE_INTERVAL, WRITES_SAVED, now),
        }
    }

    /// Moves portions until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let pause = match stop.run_until_cancelled(self.look()).await {
                None => return,
                Some(Ok(())) => LOOK_PAUSE,
                Some(Err(error)) => {
                    debug!(target: part::QUOTA, "Nothing moved: {error}.");
                    self.forget();
                    FAILED_PAUSE
                }
            };
            let sleep = tokio::time::sleep(pause);
            if stop.run_until_cancelled(sleep).await.is_none() {
                return;
            }
        }
    }

    fn forget(&mut self) {
        self.fleet.expire();
        for view in &mut self.views {
            view.quota.expire();
        }
    }

    /// One look.
    async fn look(&mut self) -> Result<(), UpdateError> {
        let (Some(epoch), Some(cat)) = (self.roles.epoch(&self.role), self.needs.catalogue())
        else {
            return Ok(());
        };
        self.fleet.refresh(&self.session, AGE_MAX_IDLE).await?;
        self.take_demand(&cat);
        self.read_asked().await;
        if !self.is_needed(&cat) {
            return Ok(());
        }
        self.fleet.refresh(&self.session, Duration::ZERO).await?;
        for view in &mut self.views {
            view.refresh(&self.session, AGE_MAX_IDLE).await;
        }
        self.complete(epoch, BTreeMap::new()).await?;
        self.set_limits(epoch, &cat).await?;
        for _ in 0..MOVES_OF_A_LOOK {
            if !self.may_write() || !self.begin(epoch).await? {
                break;
            }
        }
        self.settle(&cat).await
    }

    fn take_demand(&mut self, cat: &Catalogue) {
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

    /// Reads the documents again in which rows have been asked back, less and less often while nothing comes back.
    async fn read_asked(&mut self) {
        let now = self.session.now();
        if now < self.asked_at {
            return;
        }
        self.asked_pause = (self.asked_pause * 2).min(ASKED_PAUSE_MAX);
        self.asked_at = now + self.asked_pause;
        let asked = self.views.iter_mut().filter(|view| view.is_asked_back());
        for view in asked {
            view.refresh(&self.session, Duration::ZERO).await;
        }
    }

    /// Whether a move is open, a limit has changed, or the documents as they are known ask for a move.
    fn is_needed(&self, cat: &Catalogue) -> bool {
        let fleet = self.fleet.doc();
        if fleet.revision().min(self.settled) < cat.revision() || self.is_open() {
            return true;
        }
        if self.views.iter().all(View::is_read) {
            return self.may_write() && self.plans().iter().any(|(_, plan)| !plan.is_empty());
        }
        let is_owing = fleet.teams().values().any(|team| !team.owed.is_zero());
        is_owing || self.views.iter().any(|view| view.is_short(fleet)) || self.is_uneven()
    }

    /// Whether a move is open.
    fn is_open(&self) -> bool {
        let mut moves = self.fleet.doc().moves().values();
        moves.any(|moves| moves.release.is_some() || moves.issue.is_some())
    }

    /// Whether a data centre lacks the slots that its entries are due without any demand, though they go round.
    fn is_uneven(&self) -> bool {
        let due_in_all: Slots = self.views.iter().map(View::due).sum();
        let mut teams = self.fleet.doc().teams().values();
        teams.any(|team| {
            let lacks = |view: &View| team.portion(&view.dc) < view.due();
            team.limit >= due_in_all && self.views.iter().any(lacks)
        })
    }

    /// Whether slots may be moved now: always while enough writes are saved up, and with fewer only for a team that
    /// misses a good part of its limit, or for a data centre whose entries lack their first slots.
    fn may_write(&self) -> bool {
        match self.pace.saved(self.session.now()) {
            0 => false,
            saved if saved > WRITES_FOR_SHORT => true,
            _ => self.is_far_short() || self.is_uneven(),
        }
    }

    /// Whether data centres want more than they have of a team, in sum for a good part of its limit.
    fn is_far_short(&self) -> bool {
        let mut teams = self.fleet.doc().teams().iter();
        teams.any(|(team, portions)| {
            let wanted = |view: &View| view.demand.get(team).copied().unwrap_or(Slots::ZERO);
            let missing = |view: &View| wanted(view) - portions.portion(&view.dc);
            let missing: Slots = self.views.iter().map(missing).sum();
            missing.get() > portions.limit.get() / SHORT_PART
        })
    }

    /// What to do for each data centre whose document is known, by its index.
    fn plans(&self) -> Vec<(usize, DcPlan)> {
        let read = |index: &usize| self.views[*index].is_read();
        let read: Vec<usize> = (0..self.views.len()).filter(read).collect();
        let views = read.iter().map(|index| self.views[*index].as_planned());
        let views: Vec<DcView<'_>> = views.collect();
        let plans = plan(self.fleet.doc(), &views);
        read.into_iter().zip(plans).collect()
    }

    /// Completes the moves that are open, and asks rows back by the index of their data centre in the same edits.
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

    /// Brings the limits of the catalogue into the documents: higher ones are announced in every data centre first.
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

    /// Ends the scaling of parts to a lowered limit, once the portions of all data centres fit in it.
    async fn settle(&mut self, cat: &Catalogue) -> Result<(), UpdateError> {
        let fleet = self.fleet.doc();
        let is_current = fleet.revision() == cat.revision();
        let is_owing = fleet.teams().values().any(|team| !team.owed.is_zero());
        let is_settled = self.settled == cat.revision();
        let is_read = self.views.iter().all(View::is_read);
        if is_settled || !is_current || is_owing || self.is_open() || !is_read {
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

    /// Begins what the data centres' demand asks for, and ends it in the same look. True if slots were released, so
    /// that there may be more to issue.
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
        self.asked_pause = ASKED_PAUSE;
        self.asked_at = self.session.now() + ASKED_PAUSE;
        let is_release = |step: &FleetEdit| matches!(step, FleetEdit::BeginRelease { .. });
        let has_released = begins.iter().any(is_release);
        self.edit_fleet(epoch, begins).await?;
        self.complete(epoch, keeps).await?;
        Ok(has_released)
    }

    fn begin_moves(&self, dc: DcName, plan: &DcPlan) -> Vec<FleetEdit> {
        let draw = || TransferId::new(self.session.draw_edit().bits());
        let mut out = Vec::new();
        if !plan.release.is_empty() {
            out.push(FleetEdit::BeginRelease {
                dc: dc.clone(),
                id: draw(),
                teams: plan.release.clone(),
            });
        }
        if !plan.issue.is_empty() {
            out.push(FleetEdit::BeginIssue {
                dc,
                id: draw(),
                teams: plan.issue.clone(),
            });
        }
        out
    }

    /// Applies steps in one edit to a data centre's document, which is known as changed after, and tells its entries.
    async fn edit_dc(&mut self, index: usize, steps: Vec<DcEdit>) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        self.pace.take(1, self.session.now());
        let view = &mut self.views[index];
        view.edit(&self.session, &steps).await?;
        let is_told = |step: &DcEdit| matches!(step, DcEdit::AskBack { .. } | DcEdit::Raise(_));
        if steps.iter().any(is_told) {
            self.needs.tell_changed(&view.dc);
        }
        Ok(())
    }

    /// Applies steps to the fleet's document in the epoch of the role.
    async fn edit_fleet(&mut self, epoch: Epoch, steps: Vec<FleetEdit>) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        let edit = self.session.draw_edit();
        let sent = self.session.now();
        self.pace.take(1, sent);
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
                warn!(target: part::QUOTA, "{refusal}.");
                self.fleet.expire();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.fleet.expire(),
        }
        self.fleet.refresh(&self.session, AGE_MAX_EDITED).await
    }
}

/// The limits of the teams whose parts in `quota` are scaled to a lower one.
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
