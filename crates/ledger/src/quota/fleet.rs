//! The allocations of the data centres, and the moves between them.
//!
//! Invariant, for each team: allocations + free slots = upper limit + outstanding slots. Outstanding are the slots that
//! data centres still hold above a lowered limit. A release moves slots from a data centre to the free ones, an issue
//! from the free ones to a data centre. A release leaves `quota/<data centre>` before it is counted here; an issue is
//! counted here before it is added there. So the allocation stored for a data centre never exceeds the one counted
//! here, even if a process crashes or pauses in between, and any later holder of the role can complete an open move
//! from the two documents.

use std::collections::BTreeMap;

use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{DcName, EditId, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use serde::{Deserialize, Serialize};

use super::{Moved, QuotaRefusal, TeamSlots, Transfer};
use crate::document::{Document, RecentEdits};
use crate::verify;

/// One team's upper limit and its division over the data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamAllocations {
    /// The upper limit of the catalogue revision in [`FleetQuota::revision`].
    #[serde(rename = "l")]
    pub limit: Slots,
    /// Slots within the limit that no data centre holds.
    #[serde(rename = "f")]
    pub free: Slots,
    /// Slots that data centres have yet to release since the limit was lowered.
    #[serde(rename = "o")]
    pub outstanding: Slots,
    /// The allocation of each data centre. One that holds no slots has no item.
    #[serde(rename = "p")]
    pub allocations: BTreeMap<DcName, Slots>,
}

impl TeamAllocations {
    /// Returns the allocation of `dc`, or zero if it has none.
    #[must_use]
    pub fn allocation(&self, dc: &DcName) -> Slots {
        self.allocations.get(dc).copied().unwrap_or(Slots::ZERO)
    }

    fn set_limit(&mut self, limit: Slots) {
        let raised = limit - self.limit;
        let lowered = self.limit - limit;
        let cleared = raised.min(self.outstanding);
        self.outstanding -= cleared;
        self.free += raised - cleared;
        let taken = lowered.min(self.free);
        self.free -= taken;
        self.outstanding += lowered - taken;
        self.limit = limit;
    }

    fn return_slots(&mut self, dc: &DcName, slots: Slots) {
        let rest = self.allocation(dc) - slots;
        if rest.is_zero() {
            self.allocations.remove(dc);
        } else {
            self.allocations.insert(dc.clone(), rest);
        }
        let cleared = slots.min(self.outstanding);
        self.outstanding -= cleared;
        self.free += slots - cleared;
    }
}

/// The moves of one data centre: at most one open release and one open issue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcMoves {
    /// The release that has begun and not ended.
    pub release: Option<Transfer>,
    /// Sequence number of the last release that has begun, or 0.
    pub release_seq: u64,
    /// The issue that has begun and not ended.
    pub issue: Option<Transfer>,
    /// Sequence number of the last issue that has begun, or 0.
    pub issue_seq: u64,
}

/// One step of an edit of the fleet's quota document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetEdit {
    /// Sets the upper limits of a catalogue revision. Refused for an older revision than the one counted, and for a
    /// raised limit that is not announced in every data centre with moves.
    SetLimits {
        /// The revision that the limits come from.
        revision: Revision,
        /// The limit of each team. A team that is not listed gets a limit of 0.
        limits: Vec<TeamSlots>,
        /// The data centres whose documents have the limits announced.
        announced: Vec<DcName>,
    },
    /// Opens a release from a data centre. Refused while another one is open there.
    BeginRelease {
        /// The data centre that releases slots.
        dc: DcName,
        /// The id of the new transfer.
        id: TransferId,
        /// The slots requested; fewer may leave.
        teams: Vec<TeamSlots>,
    },
    /// Closes a release that has left the data centre's document and counts its slots as free or no longer outstanding.
    EndRelease {
        /// The data centre that has released slots.
        dc: DcName,
        /// The transfer as recorded in the data centre's document, with the slots that actually left.
        lowered: Transfer,
    },
    /// Opens an issue to a data centre and counts its slots in the allocation. Refused while another one is open there,
    /// and if fewer slots are free.
    BeginIssue {
        /// The data centre that gets the slots.
        dc: DcName,
        /// The id of the new transfer.
        id: TransferId,
        /// The slots issued.
        teams: Vec<TeamSlots>,
    },
    /// Closes an issue that the data centre's document contains.
    EndIssue {
        /// The data centre that has got the slots.
        dc: DcName,
        /// Sequence number of the last issue in the data centre's document.
        raised_seq: u64,
    },
}

/// The allocations of all data centres, as stored under `quota/fleet`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetQuota {
    edits: RecentEdits,
    epoch: Epoch,
    revision: Revision,
    teams: BTreeMap<TeamName, TeamAllocations>,
    moves: BTreeMap<DcName, DcMoves>,
}

impl FleetQuota {
    /// Returns the catalogue revision whose limits are counted.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the upper limit and allocations of each team.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<TeamName, TeamAllocations> {
        &self.teams
    }

    /// Returns the moves of each data centre that has ever had one.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<DcName, DcMoves> {
        &self.moves
    }

    /// Applies all steps of an edit, or none. The editor holds the fleet quota role in `epoch`. An edit that was
    /// applied before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`QuotaRefusal::Fenced`] if a newer epoch has edited the document, else the refusal of the first step
    /// that is refused.
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
        debug_assert!(
            next.is_sound(),
            "allocations and free slots do not add up to the limit"
        );
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
        for (team, division) in &mut self.teams {
            division.set_limit(limits.get(team).copied().unwrap_or(Slots::ZERO));
        }
        self.teams
            .retain(|team, division| limits.contains_key(team) || !division.allocations.is_empty());
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
            let division = self.teams.entry(team.clone()).or_default();
            division.return_slots(dc, moved.slots);
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
            let division = self.teams.entry(team.clone()).or_default();
            if *slots > division.free {
                return Err(QuotaRefusal::Free(team.clone(), division.free, *slots));
            }
            division.free -= *slots;
            let allocation = division.allocation(dc) + *slots;
            division.allocations.insert(dc.clone(), allocation);
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
    divisions: &BTreeMap<TeamName, TeamAllocations>,
) -> Transfer {
    let moved = |slots: &TeamSlots| Moved {
        slots: slots.slots,
        limit: divisions
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
