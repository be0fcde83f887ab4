//! Keeps the pools' turns and rests in the store, so that another holder goes on with them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_jobs::size::turns::Turns;
use goldcrest_jobs::worker::millis;
use goldcrest_types::names::PoolName;

use crate::fleet::Fleet;
use crate::keys::{self, TurnRecord};
use crate::ports::{Committed, Item, Platform, Put, Txn};

impl<P: Platform> Fleet<P> {
    /// A moment of the steady time as a time of day, in milliseconds since 1970.
    fn to_wall_ms(&self, at: Instant) -> u64 {
        let (now, wall_ms) = (self.entry.now(), self.entry.wall_ms());
        let ahead = millis(at.saturating_duration_since(now));
        let ago = millis(now.saturating_duration_since(at));
        (wall_ms + ahead).saturating_sub(ago)
    }

    /// The moment of a time of day, as far as the clocks of two entries agree.
    fn to_instant(&self, at_ms: u64) -> Instant {
        let (now, wall_ms) = (self.entry.now(), self.entry.wall_ms());
        let ahead = Duration::from_millis(at_ms.saturating_sub(wall_ms));
        let ago = Duration::from_millis(wall_ms.saturating_sub(at_ms));
        let at = now.checked_sub(ago).unwrap_or(now);
        // A time that can't be shown is a value that was not meant.
        at.checked_add(ahead).unwrap_or(now)
    }

    fn wall_times(&self, times: &BTreeMap<PoolName, Instant>) -> BTreeMap<PoolName, u64> {
        let times = times.iter();
        times
            .map(|(pool, at)| (pool.clone(), self.to_wall_ms(*at)))
            .collect()
    }

    fn instants(&self, times_ms: &BTreeMap<PoolName, u64>) -> BTreeMap<PoolName, Instant> {
        let times_ms = times_ms.iter();
        times_ms
            .map(|(pool, at_ms)| (pool.clone(), self.to_instant(*at_ms)))
            .collect()
    }

    pub(super) fn take_turns(&self, item: &Item) {
        match keys::decode::<TurnRecord>(&item.key, &item.value) {
            Ok(record) => {
                let turns = Turns::new(
                    self.instants(&record.began_ms),
                    self.instants(&record.rest_until_ms),
                    self.entry.now(),
                );
                log::info!(target: "sizing", turns = record.began_ms.len(), rests = record.rest_until_ms.len(); "Pools' turns taken over.");
                self.sizes.borrow_mut().turns = turns;
                self.turns_revision.set(item.revision);
            }
            Err(error) => log::error!(target: "sizing", error:%; "The pools' turns are skipped."),
        }
    }

    /// Stores the turns and rests if one has begun or ended. Another holder can do without them: a failure is no reason to
    /// put off what else is due.
    pub(super) async fn store_turns(&self) {
        if !self.turns_changed.take() {
            return;
        }
        let record = {
            let turns = &self.sizes.borrow().turns;
            TurnRecord {
                began_ms: self.wall_times(&turns.began()),
                rest_until_ms: self.wall_times(turns.rests()),
            }
        };
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (keys::TURNS.into(), self.turns_revision.get()),
            ],
            put: vec![Put {
                key: keys::TURNS.into(),
                value: keys::encode(&record),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await {
            Ok(Committed::Done(revision)) => self.turns_revision.set(revision),
            Ok(Committed::Conflict(conflict)) => {
                self.check_held(&conflict);
                // A commit without an answer may have been carried out: the next one starts from what is stored.
                let stored = conflict
                    .items
                    .iter()
                    .find(|item| item.key.as_ref() == keys::TURNS);
                if let Some(item) = stored {
                    self.turns_revision.set(item.revision);
                }
                self.turns_changed.set(true);
            }
            Err(error) => {
                log::warn!(target: "sizing", error:%; "The pools' turns are not stored; trying again.");
                self.turns_changed.set(true);
            }
        }
    }
}
