//! A row and its phases, from joining to its reclaim.
//!
//! A row is `Held` while its owner's session is valid. Once the session has expired the row is `Lapsed`: nothing more
//! is admitted against the lent part, but admitted work may still run, so the lent part is reclaimed only after the run
//! bound. Once the owner has departed the row is `Orphaned`, and all of it is reclaimed after the run bound.
//!
//! The waiting time is counted in the row, without a wall clock: an observer that read `waited_ms` adds the time that
//! it has measured since on its monotonic clock. The edit is refused if another observer has added time meanwhile or
//! the row has changed its phase. So the count may fall behind the actual time but never runs ahead of it, and it
//! survives the restart of an observer.

use goldcrest_types::names::{EntryId, VmName};
use serde::{Deserialize, Serialize};

use super::{QuotaRefusal, RowId, SessionId};

/// The phases of a row on its way to its reclaim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// The owner's session is valid, as far as is known.
    Held,
    /// The owner's session has expired. The lent part is reclaimed after the run bound.
    Lapsed,
    /// The owner has departed. The row is removed after the run bound.
    Orphaned,
}

/// Evidence that the owner of a row has departed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GoneProof {
    /// The platform's list does not contain the VM, and has contained it before or the row has been lapsed for longer
    /// than the list can lag.
    OffList {
        /// The longest time from a VM's start until the list contains it, in milliseconds.
        lag_max_ms: u64,
    },
    /// The VM has started again since the owner joined.
    Rebooted {
        /// Number of starts of the VM so far.
        boots: u64,
    },
    /// A later process on the same VM has joined. It holds the VM's port, which only one process can hold at a time.
    Successor {
        /// The row of the later process.
        row: RowId,
    },
}

/// The waiting time of a row as read by an observer, with the phase that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waited {
    /// Number of phase changes of the row, which identifies the phase.
    pub phase_changes: u32,
    /// A lower bound on the time that the row had spent in its phase, in milliseconds.
    pub waited_ms: u64,
}

/// A row: an entry process that may hold parts of the data centre's allocations, and its phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The entry process that owns the row.
    #[serde(rename = "o")]
    pub owner: EntryId,
    /// The VM on which the owner runs.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Number of starts of the VM when the owner joined.
    #[serde(rename = "b")]
    pub boots: u64,
    /// The owner's last known session.
    #[serde(rename = "s")]
    pub session: SessionId,
    /// Whether the platform's list has contained the VM since the owner joined.
    #[serde(rename = "l")]
    pub listed: bool,
    /// The phase on the way to the row's reclaim.
    #[serde(rename = "p")]
    pub phase: RowPhase,
    /// Number of phase changes so far, wrapping.
    #[serde(rename = "c", default)]
    pub phase_changes: u32,
    /// A lower bound on the time that the row has spent in its phase, in milliseconds. Stays 0 while it is held.
    #[serde(rename = "w")]
    pub waited_ms: u64,
}

impl Row {
    /// Creates the held row of a process that joins.
    #[must_use]
    pub const fn new(owner: EntryId, vm: VmName, boots: u64, session: SessionId) -> Self {
        Self {
            owner,
            vm,
            boots,
            session,
            listed: false,
            phase: RowPhase::Held,
            phase_changes: 0,
            waited_ms: 0,
        }
    }

    fn enter(&mut self, phase: RowPhase) {
        self.phase = phase;
        self.phase_changes = self.phase_changes.wrapping_add(1);
        self.waited_ms = 0;
    }

    /// Returns whether the VM's absence from the platform's list proves that it has departed.
    #[must_use]
    pub const fn can_be_off_list(&self, lag_max_ms: u64) -> bool {
        let is_lapsed = matches!(self.phase, RowPhase::Lapsed);
        self.listed || (is_lapsed && self.waited_ms >= lag_max_ms)
    }

    /// Returns the waiting time, as an observer records it for a later [`DcEdit::Wait`](super::DcEdit::Wait).
    #[must_use]
    pub const fn waited(&self) -> Waited {
        Waited {
            phase_changes: self.phase_changes,
            waited_ms: self.waited_ms,
        }
    }

    /// Replaces the session and returns to the held phase.
    pub(super) fn renew(&mut self, id: RowId, session: SessionId) -> Result<(), QuotaRefusal> {
        if self.phase == RowPhase::Orphaned {
            return Err(QuotaRefusal::Orphaned(id));
        }
        self.session = session;
        self.enter(RowPhase::Held);
        Ok(())
    }

    /// Marks a held row as lapsed, since `session` has expired.
    pub(super) fn lapse(&mut self, id: RowId, session: SessionId) -> Result<(), QuotaRefusal> {
        if self.session != session {
            return Err(QuotaRefusal::Session(id, self.session));
        }
        if self.phase != RowPhase::Held {
            return Err(QuotaRefusal::Phase(id));
        }
        self.enter(RowPhase::Lapsed);
        Ok(())
    }

    /// Marks the row as orphaned. `is_succeeded` is whether the successor's row named in the proof bears it out.
    pub(super) fn orphan(
        &mut self,
        id: RowId,
        proof: GoneProof,
        is_succeeded: bool,
    ) -> Result<(), QuotaRefusal> {
        if self.phase == RowPhase::Orphaned {
            return Err(QuotaRefusal::Phase(id));
        }
        let is_gone = match proof {
            GoneProof::OffList { lag_max_ms } => self.can_be_off_list(lag_max_ms),
            GoneProof::Rebooted { boots } => boots > self.boots,
            GoneProof::Successor { .. } => is_succeeded,
        };
        if !is_gone {
            return Err(QuotaRefusal::Proof(id));
        }
        self.enter(RowPhase::Orphaned);
        Ok(())
    }

    /// Adds the time that an observer has measured since it read `seen`.
    pub(super) fn wait(&mut self, id: RowId, seen: Waited, by_ms: u64) -> Result<(), QuotaRefusal> {
        if self.phase == RowPhase::Held || self.phase_changes != seen.phase_changes {
            return Err(QuotaRefusal::Phase(id));
        }
        if self.waited_ms != seen.waited_ms {
            return Err(QuotaRefusal::Waited(id, self.waited_ms));
        }
        self.waited_ms = seen.waited_ms.saturating_add(by_ms);
        Ok(())
    }

    /// Checks that the row has waited for the run bound, so that all work admitted against it has ended.
    pub(super) fn check_run_bound(&self, id: RowId, bound_ms: u64) -> Result<(), QuotaRefusal> {
        if self.phase == RowPhase::Held {
            return Err(QuotaRefusal::Phase(id));
        }
        if self.waited_ms < bound_ms {
            return Err(QuotaRefusal::RunBound(id, self.waited_ms, bound_ms));
        }
        Ok(())
    }
}
