//! The status of pool sizing for operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_types::names::{PoolName, VmName};

use super::reason::{Hold, MoveRecord};

/// The most moves that are kept for explanations.
pub const MOVE_RECORDS_MAX: usize = 256;

/// One pool as of the last sample.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRow {
    /// The name of the pool.
    pub pool: PoolName,
    /// The VMs that the pool has or that are moving to it.
    pub supply_vms: u32,
    /// The demand on the pool, in thousandths of the capacity of one of its VMs.
    pub demand_millis: u64,
}

impl PoolRow {
    /// The supply beyond the demand, in thousandths of a VM.
    #[must_use]
    pub fn buffer_millis(&self) -> u64 {
        self.supply_millis().saturating_sub(self.demand_millis)
    }

    /// The demand beyond the supply, in thousandths of a VM.
    #[must_use]
    pub fn unmet_millis(&self) -> u64 {
        self.demand_millis.saturating_sub(self.supply_millis())
    }

    fn supply_millis(&self) -> u64 {
        u64::from(self.supply_vms) * 1_000
    }
}

/// The status of sizing while this entry holds the upkeep role; `moves` and `move_records` outlive a term.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Why no VM is moved now; none if moves are possible.
    pub hold: Option<Hold>,
    /// The age of the oldest report in the last sample.
    pub age: Duration,
    /// The number of entries in the last sample.
    pub entries: u32,
    /// The pools that are sized by their demand: those with `vm_slots`.
    pub pools: Vec<PoolRow>,
    /// The number of moves begun by this process.
    pub moves: u64,
    /// The last move of each VM, for at most [`MOVE_RECORDS_MAX`] VMs.
    pub move_records: BTreeMap<VmName, MoveRecord>,
}

impl Status {
    /// Records that a move was begun, and drops the oldest record above [`MOVE_RECORDS_MAX`].
    pub fn record_move(&mut self, vm: VmName, record: MoveRecord) {
        self.moves += 1;
        self.move_records.insert(vm, record);
        if self.move_records.len() <= MOVE_RECORDS_MAX {
            return;
        }
        let oldest = self.move_records.iter().min_by_key(|(_, record)| record.at);
        if let Some(oldest) = oldest.map(|(vm, _)| vm.clone()) {
            self.move_records.remove(&oldest);
        }
    }

    /// Returns the status as lines for operators.
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

    /// Explains the last move of a VM; none if no record of a move of it is kept.
    #[must_use]
    pub fn explain(&self, vm: &VmName, now: Instant) -> Option<Box<str>> {
        let record = self.move_records.get(vm)?;
        let ago = now.saturating_duration_since(record.at).as_secs();
        Some(format!("{ago} s ago {record}").into())
    }
}
