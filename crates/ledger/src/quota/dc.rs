//! The rows of one data centre, and the edits on them.
//!
//! Invariants, kept by every edit: the parts of a team never add up to more than the data centre's allocation; only the
//! owner raises its part, or adopts slots of an orphaned row; a part is lowered only by its owner, by an adoption or by
//! a reclaim after the run bound.

use std::collections::BTreeMap;

use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{EditId, EntryId, TeamName, VmName};
use goldcrest_types::units::Slots;
use serde::{Deserialize, Serialize};

use super::{
    GoneProof, Moved, Part, QuotaRefusal, Row, RowId, RowPhase, SessionId, TeamPart, TeamSlots,
    Transfer, Waited,
};
use crate::document::{Document, RecentEdits};
use crate::verify;

/// One team's allocation in a data centre, divided into the parts of the rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The data centre's allocation: the largest sum of all parts.
    #[serde(rename = "p")]
    pub allocation: Slots,
    /// The upper limit under which the allocation was issued. Owners scale their parts down while the limit in force
    /// is lower.
    #[serde(rename = "l")]
    pub limit: Slots,
    /// The sum to which the parts must shrink while the fleet recalls some of the allocation; absent otherwise.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keep: Option<Slots>,
    /// The parts, by row. A row that holds no slots of the team has no item.
    #[serde(rename = "r")]
    pub parts: BTreeMap<RowId, Part>,
}

impl TeamQuota {
    /// Returns the sum of all parts.
    #[must_use]
    pub fn held(&self) -> Slots {
        self.parts.values().map(|part| part.total()).sum()
    }

    /// Returns the slots of the allocation that no row holds.
    #[must_use]
    pub fn free(&self) -> Slots {
        self.allocation - self.held()
    }

    /// Returns the largest sum that the parts may grow to: the allocation, or less while some of it is recalled.
    #[must_use]
    pub fn ceiling(&self) -> Slots {
        self.keep
            .map_or(self.allocation, |keep| keep.min(self.allocation))
    }

    /// Returns the part of `row`, or [`Part::NONE`] if it holds no slots of the team.
    #[must_use]
    pub fn part(&self, row: RowId) -> Part {
        self.parts.get(&row).copied().unwrap_or(Part::NONE)
    }

    fn set(&mut self, row: RowId, part: Part) {
        if part == Part::NONE {
            self.parts.remove(&row);
        } else {
            self.parts.insert(row, part);
        }
    }
}

/// One step of an edit of a data centre's quota document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DcEdit {
    /// Adds an empty row for a process that joins. Refused if the process has a row.
    Join {
        /// The entry process that owns the row.
        owner: EntryId,
        /// The VM on which the process runs.
        vm: VmName,
        /// Number of starts of the VM so far.
        boots: u64,
        /// The process's current session.
        session: SessionId,
    },
    /// Replaces the session of a row and makes the row held again. Refused if the row is orphaned.
    Renew {
        /// The entry process that owns the row.
        owner: EntryId,
        /// The session that replaces the earlier one.
        session: SessionId,
    },
    /// Raises or lowers the owner's own parts. Refused unless the row is held by `session`, and if a raise exceeds
    /// [`TeamQuota::ceiling`].
    Set {
        /// The entry process that owns the row.
        owner: EntryId,
        /// The session that the row has to hold.
        session: SessionId,
        /// The new values of the parts that change.
        parts: Vec<TeamPart>,
    },
    /// Removes the row of an owner that has nothing running.
    Leave {
        /// The entry process that owns the row.
        owner: EntryId,
    },
    /// Records that the platform's list has contained the row's VM.
    Listed {
        /// The row whose VM was listed.
        row: RowId,
    },
    /// Marks a held row as lapsed. Refused if the row has another session by now.
    Lapse {
        /// The row whose session has expired.
        row: RowId,
        /// The session that the key-value service no longer has.
        session: SessionId,
    },
    /// Marks a row as orphaned. Refused if the document does not bear the proof out.
    Orphan {
        /// The row whose owner has departed.
        row: RowId,
        /// The evidence that the owner has departed.
        proof: GoneProof,
    },
    /// Adds the time that an observer has measured to the waiting time of a lapsed or orphaned row.
    Wait {
        /// The row that waits for its reclaim.
        row: RowId,
        /// The waiting time when the observer began to measure. Refused if it has changed since.
        seen: Waited,
        /// The time measured since then, in milliseconds.
        by_ms: u64,
    },
    /// Frees the lent slots of a lapsed row, or removes an orphaned row. Refused before the run bound has passed.
    Reclaim {
        /// The lapsed or orphaned row.
        row: RowId,
        /// The longest time for which work admitted against the row can still run, in milliseconds.
        run_bound_ms: u64,
    },
    /// Moves the slots of running tasks from an orphaned row to the floor of the scheduler that has taken these tasks
    /// over.
    Adopt {
        /// The orphaned row that gives the slots.
        from: RowId,
        /// The scheduler's entry process. Its row has to be held.
        owner: EntryId,
        /// The team that the tasks run for.
        team: TeamName,
        /// Number of running tasks taken over, one slot each.
        slots: Slots,
    },
    /// Sets the limits relative to which owners scale their parts. An announcement before it is settled only raises
    /// them.
    Announce {
        /// The upper limit of each team.
        limits: Vec<TeamSlots>,
        /// Whether the allocations of all data centres fit in the limits by now, so that no part needs scaling.
        is_settled: bool,
    },
    /// Recalls some of the allocations for the fleet.
    AskBack {
        /// The sum to which the parts of each team must shrink. The allocation itself, or more, ends the recall.
        keep: Vec<TeamSlots>,
    },
    /// Takes a release out of the allocations, as far as no row holds the slots.
    Lower(Transfer),
    /// Adds an issue to the allocations.
    Raise(Transfer),
}

/// The quota rows of one data centre, as stored under `quota/<data centre>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcQuota {
    edits: RecentEdits,
    next_row: RowId,
    rows: BTreeMap<RowId, Row>,
    teams: BTreeMap<TeamName, TeamQuota>,
    lowered: Option<Transfer>,
    raised_seq: u64,
}

impl DcQuota {
    /// Returns the rows that have not been removed, by number.
    #[must_use]
    pub const fn rows(&self) -> &BTreeMap<RowId, Row> {
        &self.rows
    }

    /// Returns the allocation and parts of each team.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<TeamName, TeamQuota> {
        &self.teams
    }

    /// Returns the last release, with the slots that it actually took out of the allocations.
    #[must_use]
    pub const fn lowered(&self) -> Option<&Transfer> {
        self.lowered.as_ref()
    }

    /// Returns the sequence number of the last issue that was added, or 0.
    #[must_use]
    pub const fn raised_seq(&self) -> u64 {
        self.raised_seq
    }

    /// Returns the row of `owner`, if it has one.
    #[must_use]
    pub fn row_of(&self, owner: EntryId) -> Option<RowId> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| row.owner == owner).map(|(id, _)| *id)
    }

    /// Returns the sum of the slots lent to `row`, over all teams.
    #[must_use]
    pub fn lent_to(&self, row: RowId) -> Slots {
        self.teams.values().map(|quota| quota.part(row).lent).sum()
    }

    /// Applies all steps of an edit, or none. An edit that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the first step that is refused.
    pub fn apply(&mut self, id: EditId, steps: &[DcEdit]) -> Result<(), QuotaRefusal> {
        if self.has_edit(id) {
            return Ok(());
        }
        let mut next = self.clone();
        for step in steps {
            next.step(step)?;
        }
        next.edits.push(id);
        debug_assert!(next.is_sound(), "the parts of a team exceed its allocation");
        *self = next;
        Ok(())
    }

    fn is_sound(&self) -> bool {
        let mut found = Breaches::new();
        verify::allocations(self, &mut found);
        found.is_empty()
    }

    fn step(&mut self, step: &DcEdit) -> Result<(), QuotaRefusal> {
        match step {
            DcEdit::Join {
                owner,
                vm,
                boots,
                session,
            } => self.join(Row::new(*owner, vm.clone(), *boots, *session)),
            DcEdit::Renew { owner, session } => {
                let id = self.row_of(*owner).ok_or(QuotaRefusal::NoRow)?;
                self.row_mut(id)?.renew(id, *session)
            }
            DcEdit::Set {
                owner,
                session,
                parts,
            } => self.set(*owner, *session, parts),
            DcEdit::Leave { owner } => {
                let id = self.row_of(*owner).ok_or(QuotaRefusal::NoRow)?;
                self.remove_row(id);
                Ok(())
            }
            DcEdit::Listed { row } => {
                self.row_mut(*row)?.listed = true;
                Ok(())
            }
            DcEdit::Lapse { row, session } => self.row_mut(*row)?.lapse(*row, *session),
            DcEdit::Orphan { row, proof } => self.orphan(*row, *proof),
            DcEdit::Wait { row, seen, by_ms } => self.row_mut(*row)?.wait(*row, *seen, *by_ms),
            DcEdit::Reclaim { row, run_bound_ms } => self.reclaim(*row, *run_bound_ms),
            DcEdit::Adopt {
                from,
                owner,
                team,
                slots,
            } => self.adopt(*from, *owner, team, *slots),
            DcEdit::Announce { limits, is_settled } => {
                self.announce(limits, *is_settled);
                Ok(())
            }
            DcEdit::AskBack { keep } => {
                self.ask_back(keep);
                Ok(())
            }
            DcEdit::Lower(transfer) => self.lower(transfer),
            DcEdit::Raise(transfer) => self.raise(transfer),
        }
    }

    fn row_mut(&mut self, id: RowId) -> Result<&mut Row, QuotaRefusal> {
        self.rows.get_mut(&id).ok_or(QuotaRefusal::NoRow)
    }

    fn join(&mut self, row: Row) -> Result<(), QuotaRefusal> {
        if self.row_of(row.owner).is_some() {
            return Err(QuotaRefusal::Joined(row.owner));
        }
        self.rows.insert(self.next_row, row);
        self.next_row = self.next_row.next();
        Ok(())
    }

    fn set(
        &mut self,
        owner: EntryId,
        session: SessionId,
        parts: &[TeamPart],
    ) -> Result<(), QuotaRefusal> {
        let id = self.row_of(owner).ok_or(QuotaRefusal::NoRow)?;
        let row = &self.rows[&id];
        if row.phase == RowPhase::Orphaned {
            return Err(QuotaRefusal::Orphaned(id));
        }
        if row.phase != RowPhase::Held || row.session != session {
            return Err(QuotaRefusal::Session(id, row.session));
        }
        for change in parts {
            self.set_part(id, change)?;
        }
        Ok(())
    }

    fn set_part(&mut self, id: RowId, change: &TeamPart) -> Result<(), QuotaRefusal> {
        let quota = self.teams.entry(change.team.clone()).or_default();
        let before = quota.part(id).total();
        let after = change.part.total();
        let sum = quota.held() - before + after;
        if after > before && sum > quota.ceiling() {
            let team = change.team.clone();
            return Err(QuotaRefusal::Allocation(team, quota.ceiling(), sum));
        }
        quota.set(id, change.part);
        Ok(())
    }

    fn orphan(&mut self, id: RowId, proof: GoneProof) -> Result<(), QuotaRefusal> {
        let vm = self.row_mut(id)?.vm.clone();
        let is_succeeded = match proof {
            GoneProof::Successor { row } => {
                row > id && self.rows.get(&row).is_some_and(|later| later.vm == vm)
            }
            GoneProof::OffList { .. } | GoneProof::Rebooted { .. } => false,
        };
        self.row_mut(id)?.orphan(id, proof, is_succeeded)
    }

    fn reclaim(&mut self, id: RowId, run_bound_ms: u64) -> Result<(), QuotaRefusal> {
        let row = self.row_mut(id)?;
        row.check_run_bound(id, run_bound_ms)?;
        if row.phase == RowPhase::Orphaned {
            self.remove_row(id);
            return Ok(());
        }
        for quota in self.teams.values_mut() {
            let floor = quota.part(id).floor;
            quota.set(id, Part::new(floor, Slots::ZERO));
        }
        Ok(())
    }

    fn remove_row(&mut self, id: RowId) {
        self.rows.remove(&id);
        for quota in self.teams.values_mut() {
            quota.parts.remove(&id);
        }
    }

    fn adopt(
        &mut self,
        from: RowId,
        owner: EntryId,
        team: &TeamName,
        slots: Slots,
    ) -> Result<(), QuotaRefusal> {
        let to = self.row_of(owner).ok_or(QuotaRefusal::NoRow)?;
        if self.rows[&to].phase != RowPhase::Held {
            return Err(QuotaRefusal::Phase(to));
        }
        if self.row_mut(from)?.phase != RowPhase::Orphaned {
            return Err(QuotaRefusal::Phase(from));
        }
        let quota = self.teams.entry(team.clone()).or_default();
        let left = quota.part(from);
        if slots > left.total() {
            let team = team.clone();
            return Err(QuotaRefusal::Allocation(team, left.total(), slots));
        }
        let rest = left.total() - slots;
        let mut taken = quota.part(to);
        taken.floor += slots;
        quota.set(from, Part::new(rest, Slots::ZERO));
        quota.set(to, taken);
        Ok(())
    }

    fn announce(&mut self, limits: &[TeamSlots], is_settled: bool) {
        for limit in limits {
            let quota = self.teams.entry(limit.team.clone()).or_default();
            quota.limit = if is_settled {
                limit.slots
            } else {
                quota.limit.max(limit.slots)
            };
        }
    }

    fn ask_back(&mut self, keep: &[TeamSlots]) {
        for recalled in keep {
            if let Some(quota) = self.teams.get_mut(&recalled.team) {
                quota.keep = (recalled.slots < quota.allocation).then_some(recalled.slots);
            }
        }
    }

    fn lower(&mut self, transfer: &Transfer) -> Result<(), QuotaRefusal> {
        let last = self.lowered.as_ref().map_or(0, |lowered| lowered.seq);
        if !is_next(last, transfer.seq)? {
            return Ok(());
        }
        let mut actual = transfer.clone();
        for (team, moved) in &mut actual.teams {
            let quota = self.teams.entry(team.clone()).or_default();
            moved.slots = moved.slots.min(quota.free());
            quota.allocation -= moved.slots;
            quota.keep = quota.keep.filter(|keep| *keep < quota.allocation);
        }
        self.lowered = Some(actual);
        Ok(())
    }

    fn raise(&mut self, transfer: &Transfer) -> Result<(), QuotaRefusal> {
        if !is_next(self.raised_seq, transfer.seq)? {
            return Ok(());
        }
        for (team, Moved { slots, limit }) in &transfer.teams {
            let quota = self.teams.entry(team.clone()).or_default();
            quota.allocation += *slots;
            quota.limit = quota.limit.max(*limit);
        }
        self.raised_seq = transfer.seq;
        Ok(())
    }
}

/// Returns whether `seq` follows `last`, or false for a duplicate of `last`. Any other number is refused.
fn is_next(last: u64, seq: u64) -> Result<bool, QuotaRefusal> {
    if seq == last {
        return Ok(false);
    }
    if seq != last + 1 {
        return Err(QuotaRefusal::Sequence(seq, last));
    }
    Ok(true)
}

impl Document for DcQuota {
    fn empty() -> Self {
        Self::default()
    }

    fn recent(&self) -> &RecentEdits {
        &self.edits
    }
}
