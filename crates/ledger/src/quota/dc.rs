//! The rows of one data centre, and the edits on them.
//!
//! Invariants, kept by every edit: the parts of a team never add up to more than the portion; only the owner raises a
//! part; a part shrinks by its owner or by a reclaim after the run bound.

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

/// One team's portion in a data centre and its parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The most that all parts may add up to.
    #[serde(rename = "p")]
    pub portion: Slots,
    /// The upper limit under which the portion was issued. Owners scale their parts down when the limit in force is
    /// lower.
    #[serde(rename = "l")]
    pub limit: Slots,
    /// What the parts shall shrink to, when the fleet asks some of the portion back.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keep: Option<Slots>,
    /// The parts, by row. A row without a part has none.
    #[serde(rename = "r")]
    pub parts: BTreeMap<RowId, Part>,
}

impl TeamQuota {
    /// What all rows hold.
    #[must_use]
    pub fn held(&self) -> Slots {
        self.parts.values().map(|part| part.total()).sum()
    }

    /// What no row holds.
    #[must_use]
    pub fn free(&self) -> Slots {
        self.portion - self.held()
    }

    /// What rows may grow to in sum.
    #[must_use]
    pub fn ceiling(&self) -> Slots {
        self.keep
            .map_or(self.portion, |keep| keep.min(self.portion))
    }

    /// The part of `row`.
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

/// One step of an edit of a data centre's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DcEdit {
    /// A process joins with an empty row.
    Join {
        /// The process.
        owner: EntryId,
        /// Its VM.
        vm: VmName,
        /// How often the VM has started.
        boots: u64,
        /// The process's session.
        session: SessionId,
    },
    /// An owner goes on with a new session.
    Renew {
        /// The owner.
        owner: EntryId,
        /// Its new session.
        session: SessionId,
    },
    /// An owner sets its own parts, up or down.
    Set {
        /// The owner.
        owner: EntryId,
        /// Its session.
        session: SessionId,
        /// The parts that change.
        parts: Vec<TeamPart>,
    },
    /// An owner with nothing running gives its row up.
    Leave {
        /// The owner.
        owner: EntryId,
    },
    /// A row's VM was seen on the platform's list.
    Listed {
        /// The row.
        row: RowId,
    },
    /// A row's session was seen to be gone.
    Lapse {
        /// The row.
        row: RowId,
        /// The session that is gone.
        session: SessionId,
    },
    /// A row's owner was seen to be gone.
    Orphan {
        /// The row.
        row: RowId,
        /// What shows it.
        proof: GoneProof,
    },
    /// An observer of a lapsed or orphaned row adds the time that it measured.
    Wait {
        /// The row.
        row: RowId,
        /// The waiting time that it saw.
        seen: Waited,
        /// What it measured since then, in milliseconds.
        by_ms: u64,
    },
    /// What a lapsed row was lent, or the whole of an orphaned row, becomes free.
    Reclaim {
        /// The row.
        row: RowId,
        /// The longest time that anything admitted against it can still run, in milliseconds.
        run_bound_ms: u64,
    },
    /// A scheduler that took over an orphan's running tasks takes over their slots.
    Adopt {
        /// The orphaned row.
        from: RowId,
        /// The scheduler.
        owner: EntryId,
        /// The tasks' team.
        team: TeamName,
        /// How many of its tasks run.
        slots: Slots,
    },
    /// Higher limits are announced, or settled ones that parts no longer need to be scaled to.
    Announce {
        /// The limits.
        limits: Vec<TeamSlots>,
        /// Whether the portions of all data centres fit in the limits by now.
        is_settled: bool,
    },
    /// The fleet asks some of the portions back.
    AskBack {
        /// What the parts of each team shall shrink to. The portion itself asks nothing back.
        keep: Vec<TeamSlots>,
    },
    /// As much of a release as no row holds leaves the portions.
    Lower(Transfer),
    /// An issue is added to the portions.
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
    /// The rows.
    #[must_use]
    pub const fn rows(&self) -> &BTreeMap<RowId, Row> {
        &self.rows
    }

    /// The portions and parts.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<TeamName, TeamQuota> {
        &self.teams
    }

    /// The last release, with what in fact left the portions.
    #[must_use]
    pub const fn lowered(&self) -> Option<&Transfer> {
        self.lowered.as_ref()
    }

    /// The sequence number of the last issue that was added.
    #[must_use]
    pub const fn raised_seq(&self) -> u64 {
        self.raised_seq
    }

    /// The row of `owner`.
    #[must_use]
    pub fn row_of(&self, owner: EntryId) -> Option<RowId> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| row.owner == owner).map(|(id, _)| *id)
    }

    /// What `row` is lent of all teams together.
    #[must_use]
    pub fn lent_to(&self, row: RowId) -> Slots {
        self.teams.values().map(|quota| quota.part(row).lent).sum()
    }

    /// Applies all steps of an edit, or none. An edit that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// The first step that is refused.
    pub fn apply(&mut self, id: EditId, steps: &[DcEdit]) -> Result<(), QuotaRefusal> {
        if self.has_edit(id) {
            return Ok(());
        }
        let mut next = self.clone();
        for step in steps {
            next.step(step)?;
        }
        next.edits.push(id);
        debug_assert!(next.is_sound(), "rows pass a portion");
        *self = next;
        Ok(())
    }

    fn is_sound(&self) -> bool {
        let mut found = Breaches::new();
        verify::portions(self, &mut found);
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
            return Err(QuotaRefusal::Portion(team, quota.ceiling(), sum));
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
            return Err(QuotaRefusal::Portion(team, left.total(), slots));
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
        for asked in keep {
            if let Some(quota) = self.teams.get_mut(&asked.team) {
                quota.keep = (asked.slots < quota.portion).then_some(asked.slots);
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
            quota.portion -= moved.slots;
            quota.keep = quota.keep.filter(|keep| *keep < quota.portion);
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
            quota.portion += *slots;
            quota.limit = quota.limit.max(*limit);
        }
        self.raised_seq = transfer.seq;
        Ok(())
    }
}

/// Whether a move follows the last one; false if it is the last one.
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
