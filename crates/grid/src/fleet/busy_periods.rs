//! Stores the pools' busy periods and cooldowns, so that they survive a change of the fleet role's holder.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_jobs::size::turns::BusyPeriods;
use goldcrest_jobs::worker::millis;
use goldcrest_types::names::PoolName;

use crate::fleet::Fleet;
use crate::keys::{self, BusyPeriodRecord};
use crate::ports::{Committed, Item, Platform, Put, Txn};

impl<P: Platform> Fleet<P> {
    /// Converts a monotonic time to wall-clock time, in milliseconds since 1970.
    fn to_wall_ms(&self, at: Instant) -> u64 {
        let (now, wall_ms) = (self.entry.now(), self.entry.wall_ms());
        let ahead = millis(at.saturating_duration_since(now));
        let ago = millis(now.saturating_duration_since(at));
        (wall_ms + ahead).saturating_sub(ago)
    }

    /// Converts a wall-clock time, in milliseconds since 1970, to a monotonic time. Off by the difference between the
    /// wall clocks of the two entries.
    fn to_instant(&self, at_ms: u64) -> Instant {
        let (now, wall_ms) = (self.entry.now(), self.entry.wall_ms());
        let ahead = Duration::from_millis(at_ms.saturating_sub(wall_ms));
        let ago = Duration::from_millis(wall_ms.saturating_sub(at_ms));
        let at = now.checked_sub(ago).unwrap_or(now);
        // A time that is out of range is a corrupt value.
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

    pub(super) fn ingest_busy_periods(&self, item: &Item) {
        match keys::decode::<BusyPeriodRecord>(&item.key, &item.value) {
            Ok(record) => {
                let busy_periods = BusyPeriods::new(
                    self.instants(&record.began_ms),
                    self.instants(&record.rest_until_ms),
                    self.entry.now(),
                );
                log::info!(target: "sizing", turns = record.began_ms.len(), rests = record.rest_until_ms.len(); "Busy periods and cooldowns of the pools loaded.");
                self.sizes.borrow_mut().busy_periods = busy_periods;
                self.busy_periods_revision.set(item.revision);
            }
            Err(error) => log::error!(target: "sizing", error:%; "Ignoring the busy periods."),
        }
    }

    /// Stores the busy periods and cooldowns if one has begun or ended. Another holder can do without them, so a
    /// failure does not abort the cycle.
    pub(super) async fn store_busy_periods(&self) {
        if !self.busy_periods_changed.take() {
            return;
        }
        let record = {
            let busy_periods = &self.sizes.borrow().busy_periods;
            BusyPeriodRecord {
                began_ms: self.wall_times(&busy_periods.began()),
                rest_until_ms: self.wall_times(busy_periods.cooldowns()),
            }
        };
        let txn = Txn {
            expect: vec![
                self.held.guard(),
                (keys::BUSY_PERIODS.into(), self.busy_periods_revision.get()),
            ],
            puts: vec![Put {
                key: keys::BUSY_PERIODS.into(),
                value: keys::encode(&record),
                lease: None,
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await {
            Ok(Committed::Done(revision)) => self.busy_periods_revision.set(revision),
            Ok(Committed::Conflict(conflict)) => {
                self.check_role(&conflict);
                // An earlier commit without an answer was carried out; the next commit expects its revision.
                let stored = conflict
                    .items
                    .iter()
                    .find(|item| item.key.as_ref() == keys::BUSY_PERIODS);
                if let Some(item) = stored {
                    self.busy_periods_revision.set(item.revision);
                }
                self.busy_periods_changed.set(true);
            }
            Err(error) => {
                log::warn!(target: "sizing", error:%; "Storing the pools' busy periods failed; trying again.");
                self.busy_periods_changed.set(true);
            }
        }
    }
}
