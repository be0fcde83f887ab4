//! The portions of the data centres, and the moves between them.
//!
//! For each team the portions and what is free add up to the upper limit, plus what is still owed after the limit was
//! lowered. Slots move from a data centre to what is free by a release, and from there to a data centre by an issue.
//! A release leaves `quota/<data centre>` before it is counted here; an issue is counted here before it is added there.
//! So a portion stored for a data centre is never above the one counted here, whoever crashes or pauses in between, and
//! an open move is completed by any later holder from what the two documents say.

use std::collections::BTreeMap;

use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{DcName, EditId, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use serde::{Deserialize, Serialize};

use super::{Moved, QuotaRefusal, TeamSlots, Transfer};
use crate::document::{Document, RecentEdits};
use crate::verify;

/// One team's upper limit and where it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPortions {
    /// The upper limit.
    #[serde(rename = "l")]
    pub limit: Slots,
    /// What no data centre has.
    #[serde(rename = "f")]
    pub free: Slots,
    /// What data centres still have above a lowered limit.
    #[serde(rename = "o")]
    pub owed: Slots,
    /// What each data centre has.
    #[serde(rename = "p")]
    pub portions: BTreeMap<DcName, Slots>,
}

impl TeamPortions {
    /// The portion of `dc`.
    #[must_use]
    pub fn portion(&self, dc: &DcName) -> Slots {
        self.portions.get(dc).copied().unwrap_or(Slots::ZERO)
    }

    fn set_limit(&mut self, limit: Slots) {
        let raised = limit - self.limit;
        let lowered = self.limit - limit;
        let paid = raised.min(self.owed);
        self.owed -= paid;
        self.free += raised - paid;
        let taken = lowered.min(self.free);
        self.free -= taken;
        self.owed += lowered - taken;
        self.limit = limit;
    }

    fn put_back(&mut self, dc: &DcName, slots: Slots) {
        let rest = self.portion(dc) - slots;
        if rest.is_zero() {
            self.portions.remove(dc);
        } else {
            self.portions.insert(dc.clone(), rest);
        }
        let paid = slots.min(self.owed);
        self.owed -= paid;
        self.free += slots - paid;
    }
}

/// The open moves of one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcMoves {
    /// The open release.
    pub release: Option<Transfer>,
    /// The sequence number of the last release.
    pub release_seq: u64,
    /// The open issue.
    pub issue: Option<Transfer>,
    /// The sequence number of the last issue.
    pub issue_seq: u64,
}

/// One step of an edit of the fleet's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetEdit {
    /// The limits of a catalogue revision. A team that is not listed has none.
    SetLimits {
        /// The revision.
        revision: Revision,
        /// The limits.
        limits: Vec<TeamSlots>,
        /// The data centres in whose documents the limits are announced.
        announced: Vec<DcName>,
    },
    /// A release from a data centre begins.
    BeginRelease {
        /// The data centre.
        dc: DcName,
        /// The move's id.
        id: TransferId,
        /// What is asked for.
        teams: Vec<TeamSlots>,
    },
    /// A release has left the data centre's document.
    EndRelease {
        /// The data centre.
        dc: DcName,
        /// What that document says has left.
        lowered: Transfer,
    },
    /// An issue to a data centre begins.
    BeginIssue {
        /// The data centre.
        dc: DcName,
        /// The move's id.
        id: TransferId,
        /// What is issued.
        teams: Vec<TeamSlots>,
    },
    /// An issue is in the data centre's document.
    EndIssue {
        /// The data centre.
        dc: DcName,
        /// The sequence number that that document says was added last.
        raised_seq: u64,
    },
}

/// The portions of all data centres, as stored under `quota/fleet`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetQuota {
    edits: RecentEdits,
    epoch: Epoch,
    revision: Revision,
    teams: BTreeMap<TeamName, TeamPortions>,
    moves: BTreeMap<DcName, DcMoves>,
}

impl FleetQuota {
    /// The revision whose limits are counted.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The teams' portions.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<TeamName, TeamPortions> {
        &self.teams
    }

    /// The moves of each data centre.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<DcName, DcMoves> {
        &self.moves
    }

    /// Applies all steps of an edit by the role's holder of `epoch`, or none.
    ///
    /// # Errors
    ///
    /// The epoch is older than one seen, or the first step that is refused.
    pub fn apply(
        &mut self,
        id: EditId,
        epoch: Epoch,
        steps: &[FleetEdit],
    ) -> Result<(), QuotaRefusal> {
        if self.has_edit(id) {
            return Ok(());
        }
        if epoch < self.epoch {
            return Err(QuotaRefusal::Fenced(epoch, self.epoch));
        }
        let mut next = self.clone();
        next.epoch = epoch;
        for step in steps {
            next.step(step)?;
        }
        next.edits.push(id);
        debug_assert!(next.is_sound(), "portions don't add up to a limit");
        *self = next;
        Ok(())
    }

    fn is_sound(&self) -> bool {
        let mut found = Breaches::new();
        verify::limits(self, &mut found);
        found.is_empty()
    }

    fn step(&mut self, step: &FleetEdit) -> Result<(), QuotaRefusal> {
        match step {
            FleetEdit::SetLimits {
                revision,
                limits,
                announced,
            } => self.set_limits(*revision, limits, announced),
            FleetEdit::BeginRelease { dc, id, teams } => self.begin_release(dc, *id, teams),
            FleetEdit::EndRelease { dc, lowered } => self.end_release(dc, lowered),
            FleetEdit::BeginIssue { dc, id, teams } => self.begin_issue(dc, *id, teams),
            FleetEdit::EndIssue { dc, raised_seq } => self.end_issue(dc, *raised_seq),
        }
    }

    fn set_limits(
        &mut self,
        revision: Revision,
        limits: &[TeamSlots],
        announced: &[DcName],
    ) -> Result<(), QuotaRefusal> {
        if revision < self.revision {
            return Err(QuotaRefusal::Stale(revision, self.revision));
        }
        let limits: BTreeMap<&TeamName, Slots> =
            limits.iter().map(|l| (&l.team, l.slots)).collect();
        let current = |team| self.teams.get(team).map_or(Slots::ZERO, |t| t.limit);
        let is_raised = limits.iter().any(|(team, limit)| *limit > current(*team));
        let missing = self.moves.keys().find(|dc| !announced.contains(dc));
        if let (true, Some(dc)) = (is_raised, missing) {
            return Err(QuotaRefusal::NotAnnounced(dc.clone()));
        }
        for team in limits.keys() {
            self.teams.entry((*team).clone()).or_default();
        }
        for (team, portions) in &mut self.teams {
            portions.set_limit(limits.get(team).copied().unwrap_or(Slots::ZERO));
        }
        self.teams
            .retain(|team, portions| limits.contains_key(team) || !portions.portions.is_empty());
        self.revision = revision;
        Ok(())
    }

    fn begin_release(
        &mut self,
        dc: &DcName,
        id: TransferId,
        teams: &[TeamSlots],
    ) -> Result<(), QuotaRefusal> {
        let moves = self.moves.entry(dc.clone()).or_default();
        if moves.release.is_some() {
            return Err(QuotaRefusal::Open(dc.clone()));
        }
        moves.release_seq += 1;
        moves.release = Some(transfer(id, moves.release_seq, teams, &self.teams));
        Ok(())
    }

    fn end_release(&mut self, dc: &DcName, lowered: &Transfer) -> Result<(), QuotaRefusal> {
        let moves = self.moves.entry(dc.clone()).or_default();
        let is_this = |open: &mut Transfer| open.seq == lowered.seq && open.id == lowered.id;
        if moves.release.take_if(is_this).is_none() {
            return Err(QuotaRefusal::NotOpen(dc.clone()));
        }
        for (team, moved) in &lowered.teams {
            let portions = self.teams.entry(team.clone()).or_default();
            portions.put_back(dc, moved.slots);
        }
        Ok(())
    }

    fn begin_issue(
        &mut self,
        dc: &DcName,
        id: TransferId,
        teams: &[TeamSlots],
    ) -> Result<(), QuotaRefusal> {
        let moves = self.moves.entry(dc.clone()).or_default();
        if moves.issue.is_some() {
            return Err(QuotaRefusal::Open(dc.clone()));
        }
        for TeamSlots { team, slots } in teams {
            let portions = self.teams.entry(team.clone()).or_default();
            if *slots > portions.free {
                return Err(QuotaRefusal::Free(team.clone(), portions.free, *slots));
            }
            portions.free -= *slots;
            let portion = portions.portion(dc) + *slots;
            portions.portions.insert(dc.clone(), portion);
        }
        moves.issue_seq += 1;
        moves.issue = Some(transfer(id, moves.issue_seq, teams, &self.teams));
        Ok(())
    }

    fn end_issue(&mut self, dc: &DcName, raised_seq: u64) -> Result<(), QuotaRefusal> {
        let moves = self.moves.entry(dc.clone()).or_default();
        let is_this = |open: &mut Transfer| open.seq == raised_seq;
        match moves.issue.take_if(is_this) {
            Some(_) => Ok(()),
            None => Err(QuotaRefusal::NotOpen(dc.clone())),
        }
    }
}

fn transfer(
    id: TransferId,
    seq: u64,
    teams: &[TeamSlots],
    portions: &BTreeMap<TeamName, TeamPortions>,
) -> Transfer {
    let moved = |slots: &TeamSlots| Moved {
        slots: slots.slots,
        limit: portions
            .get(&slots.team)
            .map_or(Slots::ZERO, |team| team.limit),
    };
    let teams = teams.iter().map(|t| (t.team.clone(), moved(t))).collect();
    Transfer { id, seq, teams }
}

impl Document for FleetQuota {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
