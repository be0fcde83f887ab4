//! The life of a row, from joining to its reclaim.
//!
//! A row is `Held` while its owner's session holds. When the session is seen to be gone it is `Lapsed`: nothing more
//! is admitted against the lent part, but what was admitted may still run, so the lent part is reclaimed only after the
//! run bound. When the VM is seen to be gone the row is `Orphaned`, and the whole of it is reclaimed after the run
//! bound.
//!
//! Waiting is counted in the row, without a wall clock: an observer that saw `waited_ms` and measured some time since
//! on its monotonic clock adds that time, and is refused if another one has added meanwhile or the row has changed its
//! phase since. So the count can fall behind the true time and never run ahead of it, and it outlives its observers.

use goldcrest_types::names::{EntryId, VmName};
use serde::{Deserialize, Serialize};

use super::{QuotaRefusal, RowId, SessionId};

/// How far a row is from its reclaim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// The owner has a session.
    Held,
    /// The owner's session is gone.
    Lapsed,
    /// The owner is gone.
    Orphaned,
}

/// What shows that the owner of a row is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GoneProof {
    /// The VM is not on the platform's list, and has been on it, or the row has been lapsed for longer than the list
    /// can lag.
    OffList {
        /// The longest time after which a started VM is on the list, in milliseconds.
        lag_max_ms: u64,
    },
    /// The VM has started this often by now.
    Rebooted {
        /// Starts of the VM.
        boots: u64,
    },
    /// A later process on the same VM has joined with this row. It holds the VM's port, which only one process can.
    Successor {
        /// The later process's row.
        row: RowId,
    },
}

/// How long a row had waited when an observer saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waited {
    /// How often the row had changed its phase.
    pub phase_changes: u32,
    /// How long it had been in its phase for certain, in milliseconds.
    pub waited_ms: u64,
}

/// The owner of a row and how far the row is from its reclaim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process.
    #[serde(rename = "o")]
    pub owner: EntryId,
    /// The VM it runs on.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// How often the VM had started when the process joined.
    #[serde(rename = "b")]
    pub boots: u64,
    /// The owner's session.
    #[serde(rename = "s")]
    pub session: SessionId,
    /// Whether the VM has been on the platform's list since the owner joined.
    #[serde(rename = "l")]
    pub listed: bool,
    /// How far the row is from its reclaim.
    #[serde(rename = "p")]
    pub phase: RowPhase,
    /// How often the row has changed its phase.
    #[serde(rename = "c", default)]
    pub phase_changes: u32,
    /// How long the row has been in its phase for certain, in milliseconds.
    #[serde(rename = "w")]
    pub waited_ms: u64,
}

impl Row {
    /// A row for a process that has just joined.
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

    /// Whether the VM's absence from the platform's list shows that it is gone.
    #[must_use]
    pub const fn can_be_off_list(&self, lag_max_ms: u64) -> bool {
        let is_lapsed = matches!(self.phase, RowPhase::Lapsed);
        self.listed || (is_lapsed && self.waited_ms >= lag_max_ms)
    }

    /// What an observer notes of the row.
    #[must_use]
    pub const fn waited(&self) -> Waited {
        Waited {
            phase_changes: self.phase_changes,
            waited_ms: self.waited_ms,
        }
    }

    /// The owner goes on with a new session.
    pub(super) fn renew(&mut self, id: RowId, session: SessionId) -> Result<(), QuotaRefusal> {
        if self.phase == RowPhase::Orphaned {
            return Err(QuotaRefusal::Orphaned(id));
        }
        self.session = session;
        self.enter(RowPhase::Held);
        Ok(())
    }

    /// The session is seen to be gone.
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

    /// The owner is seen to be gone; `is_succeeded` tells whether the named successor's row bears that out.
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

    /// An observer adds the time that it measured since it saw `seen`.
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

    /// Whether all that the owner may have started has ended.
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
