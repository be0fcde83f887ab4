//! Usage by team or by pool, replicated as changes.
//!
//! A [`Board`] numbers its changes. The receiver names the number up to which it has received them, and is sent the
//! cells above it, the oldest first and a bounded number at a time. A change that is small relative to the figure keeps
//! its old number, and is sent only after [`Board::publish_inexact`] has given it a new one, in the order in which the
//! cells became inexact.

use std::collections::{BTreeMap, VecDeque};

use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

use crate::message::{Cell, Delta};

/// Maximum number of cells in one message between entries of a data centre.
pub const CELLS_MAX: usize = 48;

/// Maximum number of cells in one reply to a request for the usage of pools.
pub const CELLS_MAX_WANTED: usize = 256;

/// Maximum number of cells in one message about the usage of a data centre, which only entries that requested the usage
/// of all data centres receive.
pub const CELLS_MAX_DC: usize = 24;

/// Maximum number of inexact cells that are published in one heartbeat.
pub const INEXACT_CELLS_MAX: usize = 8;

/// A change of at most one part in this many is not published at once.
const NEGLIGIBLE_DIVISOR: u32 = 4;

/// Slots of one team or pool in use and in demand, at one entry or data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots of running work.
    pub running: Slots,
    /// Slots of waiting work.
    pub waiting: Slots,
}

impl Usage {
    /// Returns the sum of running and waiting slots.
    #[must_use]
    pub fn demand(&self) -> Slots {
        self.running + self.waiting
    }

    fn is_close(self, other: Self) -> bool {
        is_close(self.running, other.running) && is_close(self.waiting, other.waiting)
    }
}

fn is_close(old: Slots, new: Slots) -> bool {
    let difference = (old - new) + (new - old);
    difference.get() <= old.get().min(new.get()) / NEGLIGIBLE_DIVISOR
}

#[derive(Debug, Clone, Copy)]
struct CellState {
    usage: Usage,
    published: Usage,
    seq: u64,
    /// Whether the cell is queued in `inexact`.
    is_queued: bool,
}

/// Usage of entries or of data centres by team or by pool. Each published change has a sequence number, and each cell
/// occurs once in `by_seq`, under the number of its last one.
#[derive(Debug, Clone)]
pub struct Board<K, S = TeamName> {
    seq: u64,
    cells: BTreeMap<K, BTreeMap<S, CellState>>,
    by_seq: BTreeMap<u64, (K, S)>,
    inexact: VecDeque<(K, S)>,
}

impl<K: Clone + Ord, S: Clone + Ord> Board<K, S> {
    /// Creates an empty board.
    #[must_use]
    pub fn new() -> Self {
        Self {
            seq: 0,
            cells: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            inexact: VecDeque::new(),
        }
    }

    /// Sets one cell, and publishes the change if it is significant. Otherwise the cell is queued as inexact.
    pub fn set(&mut self, key: &K, subject: &S, usage: Usage) {
        let subjects = self.cells.entry(key.clone()).or_default();
        let old = subjects.get(subject).copied();
        if old.is_none() && usage == Usage::default() {
            return;
        }
        if let Some(old) = old {
            if old.published.is_close(usage) {
                let is_inexact = old.published != usage;
                if is_inexact && !old.is_queued {
                    self.inexact.push_back((key.clone(), subject.clone()));
                }
                let entry = CellState {
                    usage,
                    is_queued: old.is_queued || is_inexact,
                    ..old
                };
                subjects.insert(subject.clone(), entry);
                return;
            }
            self.by_seq.remove(&old.seq);
        }
        let is_queued = old.is_some_and(|old| old.is_queued);
        self.assign_seq(key, subject, usage, is_queued);
    }

    /// Gives a cell the next sequence number, so that it is sent.
    fn assign_seq(&mut self, key: &K, subject: &S, usage: Usage, is_queued: bool) {
        self.seq += 1;
        let seq = self.seq;
        let published = usage;
        let subjects = self.cells.entry(key.clone()).or_default();
        let entry = CellState {
            usage,
            published,
            seq,
            is_queued,
        };
        subjects.insert(subject.clone(), entry);
        self.by_seq.insert(seq, (key.clone(), subject.clone()));
    }

    /// Publishes at most `cells_max` of the queued inexact cells, and returns how many it were.
    pub fn publish_inexact(&mut self, cells_max: usize) -> usize {
        let mut settled = 0;
        while settled < cells_max {
            let Some((key, subject)) = self.inexact.pop_front() else {
                break;
            };
            let subjects = self.cells.get_mut(&key);
            let Some(cell) = subjects.and_then(|subjects| subjects.get_mut(&subject)) else {
                continue;
            };
            cell.is_queued = false;
            let cell = *cell;
            if cell.usage != cell.published {
                self.by_seq.remove(&cell.seq);
                self.assign_seq(&key, &subject, cell.usage, false);
                settled += 1;
            }
        }
        settled
    }

    /// Sets all teams or pools of one key; those that are not given are set to zero.
    pub fn set_all(&mut self, key: &K, usage: &BTreeMap<S, Usage>) {
        let known = self.cells.get(key);
        let known: Vec<S> = known
            .map(|subjects| subjects.keys().cloned().collect())
            .unwrap_or_default();
        for subject in known.iter().filter(|subject| !usage.contains_key(*subject)) {
            self.set(key, subject, Usage::default());
        }
        for (subject, usage) in usage {
            self.set(key, subject, *usage);
        }
    }

    /// Removes a key and its cells.
    pub fn forget(&mut self, key: &K) {
        if let Some(subjects) = self.cells.remove(key) {
            for entry in subjects.values() {
                self.by_seq.remove(&entry.seq);
            }
        }
    }

    /// Returns the changes above sequence number `have`, of all keys or of one only, in at most `cells_max` cells. A
    /// number above any here comes from another board, and counts as 0.
    #[must_use]
    pub fn delta(&self, have: u64, only: Option<&K>, cells_max: usize) -> Delta<K, S> {
        let from = if have > self.seq { 0 } else { have };
        let mut delta = Delta {
            upto: self.seq,
            keys: Vec::new(),
            cells: Vec::new(),
        };
        let news = self.by_seq.range(from + 1..);
        let news = news.filter(|(_, (key, _))| only.is_none_or(|only| only == key));
        for (seq, (key, subject)) in news {
            if delta.cells.len() == cells_max {
                break;
            }
            let usage = self.usage(key, subject);
            delta.cells.push(Cell {
                key: key_index(&mut delta.keys, key),
                subject: subject.clone(),
                running: usage.running,
                waiting: usage.waiting,
            });
            if delta.cells.len() == cells_max {
                delta.upto = *seq;
            }
        }
        delta
    }

    /// Applies the changes of another board to all keys but `own`, for which this side has the more recent usage.
    pub fn apply(&mut self, delta: &Delta<K, S>, own: Option<&K>) {
        for cell in &delta.cells {
            let Some(key) = delta.keys.get(usize::from(cell.key)) else {
                continue;
            };
            if Some(key) != own {
                let usage = Usage {
                    running: cell.running,
                    waiting: cell.waiting,
                };
                self.set(key, &cell.subject, usage);
            }
        }
    }

    /// Returns a key's usage of a team or a pool, zero if there is no such cell.
    #[must_use]
    pub fn usage(&self, key: &K, subject: &S) -> Usage {
        let entry = self
            .cells
            .get(key)
            .and_then(|subjects| subjects.get(subject));
        entry.map(|entry| entry.usage).unwrap_or_default()
    }

    /// Iterates over all cells.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &S, Usage)> {
        let cells = self.cells.iter();
        cells.flat_map(|(key, subjects)| {
            subjects
                .iter()
                .map(move |(subject, e)| (key, subject, e.usage))
        })
    }

    /// Returns the sum over all keys, by team or by pool.
    #[must_use]
    pub fn sums(&self) -> BTreeMap<S, Usage> {
        let mut sums: BTreeMap<S, Usage> = BTreeMap::new();
        for (_, subject, usage) in self.iter() {
            let sum = sums.entry(subject.clone()).or_default();
            sum.running += usage.running;
            sum.waiting += usage.waiting;
        }
        sums
    }
}

impl<K: Clone + Ord, S: Clone + Ord> Default for Board<K, S> {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the index of `key` in `keys`, which is appended if absent.
fn key_index<K: Clone + PartialEq>(keys: &mut Vec<K>, key: &K) -> u16 {
    let at = keys.iter().position(|known| known == key);
    let at = at.unwrap_or_else(|| {
        keys.push(key.clone());
        keys.len() - 1
    });
    u16::try_from(at).unwrap_or(u16::MAX)
}
