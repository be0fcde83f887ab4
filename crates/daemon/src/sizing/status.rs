//! What the sizing driver shows to operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::{PoolName, VmName};

use super::reason::{Hold, MoveNote};

/// How many moves are remembered for explanations.
pub const NOTES_MAX: usize = 256;

/// One pool as the last look found it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRow {
    /// The pool.
    pub pool: PoolName,
    /// VMs that it has or that are on their way to it.
    pub supply_vms: u32,
    /// The work asked of it, in thousandths of what one of its VMs can do.
    pub demand_millis: u64,
}

impl PoolRow {
    /// What it has beyond its demand, in thousandths of a VM.
    #[must_use]
    pub fn buffer_millis(&self) -> u64 {
        self.supply_millis().saturating_sub(self.demand_millis)
    }

    /// Its demand beyond what it has, in thousandths of a VM.
    #[must_use]
    pub fn unmet_millis(&self) -> u64 {
        self.demand_millis.saturating_sub(self.supply_millis())
    }

    fn supply_millis(&self) -> u64 {
        u64::from(self.supply_vms) * 1_000
    }
}

/// What the driver has seen and done while this entry held the role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Why no VM is moved now.
    pub hold: Option<Hold>,
    /// How old the oldest report of the last look was.
    pub age: Duration,
    /// How many entries the last look summed.
    pub entries: u32,
    /// The pools that are sized by their demand.
    pub pools: Vec<PoolRow>,
    /// How many moves were begun.
    pub moves: u64,
    /// The last moves that were begun.
    pub notes: BTreeMap<VmName, MoveNote>,
}

impl Status {
    /// Remembers that a move was begun, and forgets the oldest of too many.
    pub fn note(&mut self, vm: VmName, note: MoveNote) {
        self.moves += 1;
        self.notes.insert(vm, note);
        if self.notes.len() <= NOTES_MAX {
            return;
        }
        let oldest = self.notes.iter().min_by_key(|(_, note)| note.at);
        if let Some(oldest) = oldest.map(|(vm, _)| vm.clone()) {
            self.notes.remove(&oldest);
        }
    }

    /// How the sizes stand, for operators.
    #[must_use]
    pub fn lines(&self) -> Vec<Box<str>> {
        let mut lines = vec![
            format!(
                "pool sizes: {} pools by the demand of {} entries, the oldest {} s old; {} moves begun",
                self.pools.len(),
                self.entries,
                self.age.as_secs(),
                self.moves
            )
            .into(),
        ];
        if let Some(hold) = &self.hold {
            lines.push(format!("no move now: {hold}").into());
        }
        lines
    }

    /// Why a VM was moved; nothing if it was not, as far as is remembered.
    #[must_use]
    pub fn explain(&self, vm: &VmName, now: Instant) -> Option<Box<str>> {
        let note = self.notes.get(vm)?;
        let ago = now.saturating_duration_since(note.at).as_secs();
        Some(format!("{ago} s ago {note}").into())
    }
}
