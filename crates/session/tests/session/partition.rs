//! A data centre is cut off for an hour, or the service is down for all: what is served meanwhile and afterwards.

use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::Bound;
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_types::clock::Clock;

use crate::common::{FakeStore, Faults, TokioClock};
use crate::linked::{Linked, dc, first_edit, grant, withdraw};
use crate::network::Network;

/// The number of the data centre of each entry.
const DC_OF_ENTRY: [usize; 4] = [0, 1, 2, 2];

const DCS: usize = 3;

/// The duration of each call of the service.
const LATENCY: Duration = Duration::from_millis(5);

/// The time within which an accepted edit must be in force at all entries.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

/// The interval of the required 3,600 edits a day.
const EDIT_INTERVAL: Duration = Duration::from_secs(24);

/// The duration of a partition between regions.
const CUT_FOR: Duration = Duration::from_hours(1);

struct World {
    store: FakeStore,
    network: Network,
    entries: Vec<Linked>,
    revisions: Vec<u64>,
    withdrawn_at: Option<Instant>,
    last_edit: u128,
    accepted: u64,
}

impl World {
    /// Starts entries and waits until all have the first catalogue with a proof of freshness.
    async fn settled() -> Self {
        let (store, network) = (FakeStore::default(), Network::new());
        let entries = Linked::start_all(&store, &network, &DC_OF_ENTRY);
        for entry in &entries {
            entry.store.set_faults(Faults {
                latency: LATENCY,
                ..Faults::default()
            });
        }
        entries[0].accept(&first_edit(DCS)).await;
        tokio::time::sleep(Duration::from_secs(20)).await;
        let world = Self {
            revisions: vec![1; entries.len()],
            store,
            network,
            entries,
            withdrawn_at: None,
            last_edit: 1,
            accepted: 1,
        };
        keyed_works(&world.entries.iter().collect::<Vec<_>>());
        world
    }

    fn of_dc(&self, number: usize) -> impl Iterator<Item = &Linked> {
        let dc = dc(number);
        self.entries.iter().filter(move |entry| entry.dc == dc)
    }

    async fn accept_next(&mut self) {
        self.last_edit += 1;
        let edit = grant(self.last_edit);
        self.accepted = self.entries[0].accept(&edit).await;
    }

    async fn withdraw(&mut self) {
        self.last_edit += 1;
        let edit = withdraw(self.last_edit, "withdrawn");
        self.accepted = self.entries[0].accept(&edit).await;
        self.withdrawn_at = Some(TokioClock.now());
    }

    /// Checks the invariants: open queues are served, no revision decreases, and a withdrawn key works nowhere once any
    /// proof from before its withdrawal has expired.
    fn check(&mut self) {
        let now = TokioClock.now();
        for (entry, seen) in self.entries.iter().zip(&mut self.revisions) {
            assert_eq!(entry.send_open(), Ok(()), "open queues are served");
            let revision = entry.revision();
            assert!(revision >= *seen, "revision {revision} after {seen}");
            *seen = revision;
            let is_expired = |at: Instant| now >= at + Bound::DEFAULT.age_max;
            if self.withdrawn_at.is_some_and(is_expired) {
                assert!(entry.send_keyed("withdrawn").is_err());
            }
        }
    }

    /// Lets time pass and checks the invariants and `extra_check` after every `step`.
    async fn pass(&mut self, time: Duration, step: Duration, extra_check: impl Fn(&Self)) {
        let end = TokioClock.now() + time;
        while TokioClock.now() < end {
            tokio::time::sleep(step).await;
            self.check();
            extra_check(self);
        }
    }

    fn set_down(&self, number: usize, down: bool) {
        for entry in self.of_dc(number) {
            entry.store.set_faults(Faults {
                down,
                latency: LATENCY,
                ..Faults::default()
            });
        }
    }

    /// Checks every millisecond until all entries have the last accepted revision in force, and returns the time taken.
    async fn until_in_force(&mut self) -> Duration {
        let (start, last) = (TokioClock.now(), self.accepted);
        let step = Duration::from_millis(1);
        while self.entries.iter().any(|entry| entry.revision() < last) {
            self.pass(step, step, |_| {}).await;
            assert!(TokioClock.now() < start + IN_FORCE_WITHIN, "too late");
        }
        TokioClock.now() - start
    }
}

fn keyed_works(entries: &[&Linked]) {
    for entry in entries {
        assert_eq!(entry.send_keyed("kept"), Ok(()), "keyed work goes on");
    }
}

#[tokio::test(start_paused = true)]
async fn cut_off_dc_for_an_hour() {
    let mut world = World::settled().await;
    world.network.cut([dc(2)]);
    world.set_down(2, true);
    world.withdraw().await;
    let bound = Bound::DEFAULT.age_max;
    let connected = |world: &World| {
        let connected: Vec<&Linked> = world.of_dc(0).chain(world.of_dc(1)).collect();
        keyed_works(&connected);
    };
    world
        .pass(bound, Duration::from_millis(10), connected)
        .await;
    let refused = |world: &World| {
        connected(world);
        for entry in world.of_dc(2) {
            assert_eq!(entry.send_keyed("kept"), Err(NotRunCode::KeysNotFresh));
            assert_eq!(entry.revision(), 1);
        }
    };
    for _ in 0..CUT_FOR.as_secs() / EDIT_INTERVAL.as_secs() {
        world.accept_next().await;
        world
            .pass(EDIT_INTERVAL, Duration::from_millis(250), refused)
            .await;
    }
    world.network.cut([]);
    world.set_down(2, false);
    let took = world.until_in_force().await;
    println!("in force {took:?} after the return");
    let left = IN_FORCE_WITHIN.saturating_sub(took);
    world.pass(left, Duration::from_millis(1), connected).await;
    let all = |world: &World| keyed_works(&world.entries.iter().collect::<Vec<_>>());
    world
        .pass(Duration::from_mins(1), Duration::from_millis(10), all)
        .await;
}

#[tokio::test(start_paused = true)]
async fn service_down_for_all_for_an_hour() {
    let mut world = World::settled().await;
    world.withdraw().await;
    world
        .pass(IN_FORCE_WITHIN, Duration::from_millis(10), |_| {})
        .await;
    for number in 0..DCS {
        world.set_down(number, true);
    }
    let all = |world: &World| keyed_works(&world.entries.iter().collect::<Vec<_>>());
    world
        .pass(Duration::from_mins(1), Duration::from_millis(10), all)
        .await;
    world.pass(CUT_FOR, Duration::from_millis(250), all).await;
    for number in 0..DCS {
        world.set_down(number, false);
    }
    world
        .pass(Duration::from_secs(20), Duration::from_millis(10), all)
        .await;
    world.store.expire_leases();
    world.accept_next().await;
    let took = world.until_in_force().await;
    println!("in force {took:?} after the acceptance");
}
