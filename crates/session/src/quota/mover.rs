//! Moving portions between data centres.
//!
//! The holder of the quota role does this, one step of each move in each document at a time, in the order in which a
//! crash can only leave slots unissued: lowered in the data centre's document, then freed in the fleet's; taken in the
//! fleet's, then raised in the data centre's. A move that an earlier holder left half done is completed first. Nothing is
//! read while no data centre is short, none lacks the slots that its entries are due without demand, and no limit has
//! changed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::quota::portions::{DcPlan, DcView, idle_slots, plan};
use goldcrest_ledger::quota::rebalance::IDLE_SLOTS;
use goldcrest_ledger::quota::{DcEdit, DcQuota, FleetEdit, FleetQuota, QuotaRefusal, TeamSlots};
use goldcrest_platform::store::Store;
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use log::{debug, warn};
use tokio_util::sync::CancellationToken;

use super::cached::Cached;
use crate::keys;
use crate::part;
use crate::role::{RoleName, Roles};
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between looks at the demand.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// The longest time between looks while nothing can be moved though a data centre is short.
const LOOK_PAUSE_MAX: Duration = Duration::from_secs(8);

/// How old the fleet's document may be while nothing is to be done.
const AGE_MAX_IDLE: Duration = Duration::from_secs(10);

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
}

/// One data centre as the mover sees it.
struct View {
    dc: DcName,
    quota: Cached<DcQuota>,
    demand: BTreeMap<TeamName, Slots>,
    is_read: bool,
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
}

impl<S: Store, C: Clock, N: Needs> Mover<S, C, N> {
    /// A mover that acts while this entry holds `role`.
    #[must_use]
    pub fn new(session: Session<S, C>, roles: Roles<S, C>, role: RoleName, needs: Arc<N>) -> Self {
        Self {
            session,
            roles,
            role,
            needs,
            fleet: Cached::new(keys::quota_fleet()),
            views: Vec::new(),
            settled: Revision::ZERO,
        }
    }

    /// Moves portions until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut pause = LOOK_PAUSE;
        loop {
            match stop.run_until_cancelled(self.look()).await {
                None => return,
                Some(Ok(true)) => pause = LOOK_PAUSE,
                Some(Ok(false)) => pause = (pause * 2).min(LOOK_PAUSE_MAX),
                Some(Err(error)) => {
                    debug!(target: part::QUOTA, "Nothing moved: {error}.");
                    self.forget();
                }
            }
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

    /// One look; true if there was anything to do or it is cheap to look again.
    async fn look(&mut self) -> Result<bool, UpdateError> {
        let (Some(epoch), Some(cat)) = (self.roles.epoch(&self.role), self.needs.catalogue())
        else {
            return Ok(true);
        };
        self.fleet.refresh(&self.session, AGE_MAX_IDLE).await?;
        self.take_demand(&cat);
        if !self.is_needed(&cat) {
            return Ok(true);
        }
        self.fleet.refresh(&self.session, Duration::ZERO).await?;
        for view in &mut self.views {
            let read = view.quota.refresh(&self.session, Duration::ZERO).await;
            view.is_read = read.is_ok();
        }
        let completed = self.complete(epoch).await?;
        let limited = self.set_limits(epoch, &cat).await?;
        let moved = self.begin(epoch).await?;
        self.settle(&cat).await?;
        Ok(completed || limited || moved)
    }

    fn take_demand(&mut self, cat: &Catalogue) {
        let dcs: Vec<DcName> = cat.dcs.values().map(|dc| dc.name.clone()).collect();
        self.views.retain(|view| dcs.contains(&view.dc));
        for dc in dcs {
            if !self.views.iter().any(|view| view.dc == dc) {
                self.views.push(View {
                    quota: Cached::new(keys::quota(&dc)),
                    dc,
                    demand: BTreeMap::new(),
                    is_read: false,
                });
            }
        }
        let demand = self.needs.demand();
        for view in &mut self.views {
            let of_dc = demand.iter().filter(|demand| demand.dc == view.dc);
            view.demand = of_dc.map(|d| (d.team.clone(), d.slots)).collect();
        }
    }

    /// Whether a move is open, a limit has changed, or a data centre wants more than it has of a team that others have.
    fn is_needed(&self, cat: &Catalogue) -> bool {
        let fleet = self.fleet.doc();
        let is_behind = fleet.revision().min(self.settled) < cat.revision();
        let mut moves = fleet.moves().values();
        let is_open = moves.any(|moves| moves.release.is_some() || moves.issue.is_some());
        let is_owing = fleet.teams().values().any(|team| !team.owed.is_zero());
        let is_short = |view: &View| {
            view.demand.iter().any(|(team, wanted)| {
                let portions = fleet.teams().get(team);
                portions.is_some_and(|portions| {
                    let has = portions.portion(&view.dc);
                    *wanted > has && portions.limit > has
                })
            })
        };
        is_behind || is_open || is_owing || self.views.iter().any(is_short) || self.is_uneven()
    }

    /// Whether a data centre lacks the slots that its entries are due without any demand, though they go round.
    fn is_uneven(&self) -> bool {
        let due = |view: &View| idle_slots(view.quota.doc()).max(IDLE_SLOTS);
        let due_in_all: Slots = self.views.iter().map(due).sum();
        let mut teams = self.fleet.doc().teams().values();
        teams.any(|team| {
            let lacks = |view: &View| team.portion(&view.dc) < due(view);
            team.limit >= due_in_all && self.views.iter().any(lacks)
        })
    }

    /// Completes the moves that are open.
    async fn complete(&mut self, epoch: Epoch) -> Result<bool, UpdateError> {
        let mut ends = Vec::new();
        for index in 0..self.views.len() {
            let moves = self.fleet.doc().moves().get(&self.views[index].dc).cloned();
            let (true, Some(moves)) = (self.views[index].is_read, moves) else {
                continue;
            };
            let dc = self.views[index].dc.clone();
            if let Some(release) = moves.release {
                let seq = release.seq;
                self.edit_dc(index, DcEdit::Lower(release)).await?;
                let lowered = self.views[index].quota.doc().lowered().cloned();
                let lowered = lowered.filter(|lowered| lowered.seq == seq);
                ends.extend(lowered.map(|lowered| FleetEdit::EndRelease {
                    dc: dc.clone(),
                    lowered,
                }));
            }
            if let Some(issue) = moves.issue {
                let raised_seq = issue.seq;
                self.edit_dc(index, DcEdit::Raise(issue)).await?;
                if self.views[index].quota.doc().raised_seq() == raised_seq {
                    ends.push(FleetEdit::EndIssue { dc, raised_seq });
                }
            }
        }
        self.edit_fleet(epoch, ends).await
    }

    /// Brings the limits of the catalogue into the documents: higher ones are announced in every data centre first.
    async fn set_limits(&mut self, epoch: Epoch, cat: &Catalogue) -> Result<bool, UpdateError> {
        if self.fleet.doc().revision() >= cat.revision() {
            return Ok(false);
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
            if self.views[index].is_read {
                let limits = limits.clone();
                let is_settled = false;
                let announce = DcEdit::Announce { limits, is_settled };
                self.edit_dc(index, announce).await?;
                announced.push(self.views[index].dc.clone());
            }
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
        let mut moves = fleet.moves().values();
        let is_open = moves.any(|moves| moves.release.is_some() || moves.issue.is_some());
        let is_read = self.views.iter().all(|view| view.is_read);
        if self.settled == cat.revision() || !is_current || is_owing || is_open || !is_read {
            return Ok(());
        }
        for index in 0..self.views.len() {
            let limits = unsettled(cat, self.views[index].quota.doc());
            if !limits.is_empty() && self.roles.epoch(&self.role).is_some() {
                let is_settled = true;
                let announce = DcEdit::Announce { limits, is_settled };
                self.edit_dc(index, announce).await?;
            }
        }
        self.settled = cat.revision();
        Ok(())
    }

    /// Begins what the data centres' demand asks for, and ends it in the same look.
    async fn begin(&mut self, epoch: Epoch) -> Result<bool, UpdateError> {
        let read = self.views.iter().filter(|view| view.is_read);
        let views: Vec<DcView<'_>> = read
            .map(|view| DcView {
                dc: &view.dc,
                quota: view.quota.doc(),
                demand: &view.demand,
            })
            .collect();
        let plans = plan(self.fleet.doc(), &views);
        let dcs: Vec<DcName> = views.iter().map(|view| view.dc.clone()).collect();
        let mut begins = Vec::new();
        let mut is_any = false;
        for (dc, plan) in dcs.into_iter().zip(plans) {
            is_any |= !plan.is_empty();
            self.ask_back(&dc, &plan).await?;
            begins.extend(self.begin_moves(dc, plan));
        }
        if self.edit_fleet(epoch, begins).await? {
            self.complete(epoch).await?;
        }
        Ok(is_any)
    }

    async fn ask_back(&mut self, dc: &DcName, plan: &DcPlan) -> Result<(), UpdateError> {
        if plan.keep.is_empty() {
            return Ok(());
        }
        let keep = plan.keep.clone();
        match self.views.iter().position(|view| view.dc == *dc) {
            Some(index) => self.edit_dc(index, DcEdit::AskBack { keep }).await,
            None => Ok(()),
        }
    }

    fn begin_moves(&self, dc: DcName, plan: DcPlan) -> Vec<FleetEdit> {
        let draw = || TransferId::new(self.session.draw_edit().bits());
        let mut out = Vec::new();
        if !plan.release.is_empty() {
            out.push(FleetEdit::BeginRelease {
                dc: dc.clone(),
                id: draw(),
                teams: plan.release,
            });
        }
        if !plan.issue.is_empty() {
            out.push(FleetEdit::BeginIssue {
                dc,
                id: draw(),
                teams: plan.issue,
            });
        }
        out
    }

    /// Applies one step to a data centre's document, which is known as changed after.
    async fn edit_dc(&mut self, index: usize, step: DcEdit) -> Result<(), UpdateError> {
        let quota = &mut self.views[index].quota;
        let edit = self.session.draw_edit();
        let sent = self.session.now();
        let mut next = None;
        let change = |doc: &mut DcQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, std::slice::from_ref(&step))?;
            next = Some(doc.clone());
            Ok(())
        };
        let (key, base) = (quota.key(), quota.base());
        let updated = self.session.update_from(key, edit, base, change).await?;
        match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => quota.put(doc, version, sent),
            (Updated::Refused(refusal), _) => {
                warn!(target: part::QUOTA, "{refusal}.");
                quota.expire();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => quota.expire(),
        }
        quota.refresh(&self.session, LOOK_PAUSE).await
    }

    /// Applies steps to the fleet's document in the epoch of the role; true if there were any and they took.
    async fn edit_fleet(
        &mut self,
        epoch: Epoch,
        steps: Vec<FleetEdit>,
    ) -> Result<bool, UpdateError> {
        if steps.is_empty() {
            return Ok(false);
        }
        let edit = self.session.draw_edit();
        let sent = self.session.now();
        let mut next = None;
        let change = |doc: &mut FleetQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, epoch, &steps)?;
            next = Some(doc.clone());
            Ok(())
        };
        let (key, base) = (self.fleet.key(), self.fleet.base());
        let updated = self.session.update_from(key, edit, base, change).await?;
        let is_taken = match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => {
                self.fleet.put(doc, version, sent);
                true
            }
            (Updated::Refused(refusal), _) => {
                warn!(target: part::QUOTA, "{refusal}.");
                self.fleet.expire();
                false
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => {
                self.fleet.expire();
                true
            }
        };
        self.fleet.refresh(&self.session, LOOK_PAUSE).await?;
        Ok(is_taken)
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
