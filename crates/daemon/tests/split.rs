//! One quota row, divided between requests and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_daemon::quota::split::Split;
use goldcrest_front::{Front, FrontCfg};
use goldcrest_ledger::quota::{Grants, Part};
use goldcrest_peer::usage::Usage;
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::names::TeamName;
use goldcrest_types::units::{Revision, Slots};

const WORKERS: &str = "
data_centres: [{name: dc1, region: r1}]
pools: [{name: p, kind: workers, max_unavailable_vms: 1}]
teams: [{name: a, share: 1, upper_limit_slots: 6}]
queues: [{name: q, owner: a, class: batch, pool: p}]
";

/// The team's slots in the row.
const HELD: Slots = Slots::new(6);

struct Row {
    split: Split,
    front: Front,
    cat: Catalogue,
    team: TeamName,
    start: Instant,
}

impl Row {
    fn new(catalogue: &str) -> Self {
        let spec = parse(catalogue).expect("a catalogue");
        let dc = "dc1".parse().expect("a name");
        let row = Self {
            split: Split::new(),
            front: Front::new(FrontCfg::new(dc), Arc::new(SystemClock)),
            cat: Catalogue::resolve(&spec, Revision::new(1)).expect("a catalogue"),
            team: "a".parse().expect("a name"),
            start: Instant::now(),
        };
        row.install(0);
        row
    }

    fn at(&self, seconds: u64) -> Instant {
        self.start + Duration::from_secs(seconds)
    }

    /// Puts the row in force, and returns the slots of the team that count as in use.
    fn install(&self, seconds: u64) -> Slots {
        let mut grants = Grants::new();
        let team = self.cat.team("a").expect("the team");
        grants.set(team, Part::new(HELD, Slots::ZERO));
        let now = self.at(seconds);
        let running: BTreeMap<TeamName, Slots> =
            self.split.install(&self.front, &self.cat, &grants, now);
        running.get(&self.team).copied().unwrap_or(Slots::ZERO)
    }

    fn reserve(&self, running: u32, waiting: u32, seconds: u64) -> Slots {
        let tasks = Usage {
            running: Slots::new(running),
            waiting: Slots::new(waiting),
        };
        let now = self.at(seconds);
        self.split.reserve(&self.front, &self.team, tasks, now)
    }

    fn reserve_until(&self, running: u32, seconds: u64, until_seconds: u64) {
        let (now, until) = (self.at(seconds), self.at(until_seconds));
        let running = Slots::new(running);
        self.split
            .reserve_until(&self.front, &self.team, running, now, until);
    }

    fn for_requests(&self) -> Slots {
        let grants = self.split.front_grants();
        grants.teams.iter().map(|grant| grant.floor).sum()
    }
}

fn with_upstreams() -> String {
    WORKERS.replace(
        "pools: [",
        "pools: [{name: u, kind: upstreams, max_unavailable_vms: 1}, ",
    )
}

/// A backlog of tasks leaves a slot for requests, and takes all slots where the catalogue has no upstreams.
#[test]
fn reserve_backlog_leaves_a_slot() {
    let row = Row::new(&with_upstreams());
    assert_eq!(row.reserve(0, 500, 0), Slots::new(5));
    assert_eq!(row.for_requests(), Slots::new(1));
    assert_eq!(row.reserve(5, 500, 1), Slots::new(5));
    let row = Row::new(WORKERS);
    assert_eq!(row.reserve(0, 500, 0), HELD);
}

/// Running tasks keep their slots, even the one left to requests, which becomes free when a task has ended.
#[test]
fn reserve_more_runs_than_is_left() {
    let row = Row::new(&with_upstreams());
    assert_eq!(row.reserve(6, 500, 0), HELD);
    assert_eq!(row.for_requests(), Slots::ZERO);
    assert_eq!(row.reserve(5, 500, 1), Slots::new(5));
    assert_eq!(row.for_requests(), Slots::new(1));
}

/// An entry that loses the scheduler's role, regains it and loses it again keeps the last reservation until the later
/// expiry.
#[test]
fn keep_role_lost_twice() {
    let row = Row::new(&with_upstreams());
    row.reserve(3, 0, 0);
    row.reserve_until(3, 0, 300);
    row.reserve(3, 0, 100);
    row.reserve_until(3, 200, 500);
    assert_eq!(
        row.install(300),
        Slots::new(3),
        "the later term's tasks may run"
    );
    assert_eq!(row.install(499), Slots::new(3));
    assert_eq!(row.install(500), Slots::ZERO);
    assert_eq!(row.for_requests(), HELD);
}

/// While this entry schedules, the expiry of an earlier term's reservation changes nothing.
#[test]
fn keep_role_taken_again() {
    let row = Row::new(&with_upstreams());
    row.reserve(2, 0, 0);
    row.reserve_until(2, 0, 300);
    row.reserve(4, 0, 100);
    assert_eq!(row.install(301), Slots::new(4));
}
