//! Usage by team or by pool, told as what changed.
//!
//! A [`Board`] numbers its changes. The other side says up to which number it has heard, and is told the cells above it,
//! the oldest first and so many at one time. A small change of a large figure keeps its old number, and is told only when
//! [`Board::publish_inexact`] lets it be, in the order in which the cells became inexact.

use std::collections::{BTreeMap, VecDeque};

use goldcrest_types::names::TeamName;
use goldcrest_types::units::Slots;

use crate::message::{Cell, Delta};

/// How many cells are told at one time.
pub const CELLS_MAX: usize = 48;

/// How many cells of pools are told at one time to the entry that asks for them.
pub const CELLS_MAX_WANTED: usize = 256;

/// How many cells of a data centre are told at one time to an entry that wants all data centres.
pub const CELLS_MAX_DC: usize = 24;

/// How many small changes are told in one heartbeat.
pub const INEXACT_CELLS_MAX: usize = 8;

/// A change of less than one part in this many is not told at once.
const NEGLIGIBLE_DIVISOR: u32 = 4;

/// What one entry or data centre has of a team or of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots running.
    pub running: Slots,
    /// Slots waiting.
    pub waiting: Slots,
}

impl Usage {
    /// Running and waiting together.
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
    /// Whether it is among the cells that are told when they may be.
    is_queued: bool,
}

/// The usage of entries or of data centres by team or by pool, with the order of its changes.
#[derive(Debug, Clone)]
pub struct Board<K, S = TeamName> {
    seq: u64,
    cells: BTreeMap<K, BTreeMap<S, CellState>>,
    by_seq: BTreeMap<u64, (K, S)>,
    inexact: VecDeque<(K, S)>,
}

impl<K: Clone + Ord, S: Clone + Ord> Board<K, S> {
    /// An empty board.
    #[must_use]
    pub fn new() -> Self {
        Self {
            seq: 0,
            cells: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            inexact: VecDeque::new(),
        }
    }

    /// Sets one cell, and notes the change if it is worth telling.
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

    /// Gives a cell the next number, so that it is told.
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

    /// Lets at most `cells_max` of the small changes be told that were not worth it at once; how many it were.
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

    /// Sets all teams or pools of one key; those that are not given have nothing.
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

    /// Forgets a key.
    pub fn forget(&mut self, key: &K) {
        if let Some(subjects) = self.cells.remove(key) {
            for entry in subjects.values() {
                self.by_seq.remove(&entry.seq);
            }
        }
    }

    /// What changed above `have`, of all keys or of one only, in at most `cells_max` cells. A number from another board, which is higher than any
    /// here, counts as none.
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

    /// Takes in what another board told, of all keys but `own`, which this side knows better.
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

    /// What one key has of a team or a pool.
    #[must_use]
    pub fn usage(&self, key: &K, subject: &S) -> Usage {
        let entry = self
            .cells
            .get(key)
            .and_then(|subjects| subjects.get(subject));
        entry.map(|entry| entry.usage).unwrap_or_default()
    }

    /// All cells.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &S, Usage)> {
        let cells = self.cells.iter();
        cells.flat_map(|(key, subjects)| {
            subjects
                .iter()
                .map(move |(subject, e)| (key, subject, e.usage))
        })
    }

    /// What all keys have together, by team or by pool.
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

/// The index of `key` in a list that is extended as needed.
fn key_index<K: Clone + PartialEq>(keys: &mut Vec<K>, key: &K) -> u16 {
    let at = keys.iter().position(|known| known == key);
    let at = at.unwrap_or_else(|| {
        keys.push(key.clone());
        keys.len() - 1
    });
    u16::try_from(at).unwrap_or(u16::MAX)
}
