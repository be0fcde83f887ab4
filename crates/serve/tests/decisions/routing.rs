//! Routing: which upstream gets a request, and which are ejected, leaving or removed.

use std::collections::HashMap;
use std::time::Duration;

use goldcrest_serve::admission::WorkId;
use goldcrest_serve::routing::{SendOutcome, UpstreamId, UpstreamState};

use crate::fixture::{Fixture, upstream};

const QUICK: SendOutcome = SendOutcome::Answered(Duration::from_millis(1));

impl Fixture {
    fn pick(&mut self) -> (WorkId, UpstreamId) {
        let work = self.start("merge", "desk");
        let id = self
            .dispatch
            .pick(work, None, self.now)
            .expect("an upstream");
        self.check();
        (work, id)
    }

    /// Sends one request and returns the index of its upstream.
    fn send(&mut self, outcome: impl Fn(u16) -> SendOutcome) -> u16 {
        let (work, id) = self.pick();
        let index = self.dispatch.router().upstream(id).spec.address.port() - 1_000;
        self.dispatch
            .record_send_outcome(work, id, outcome(index), self.now);
        self.end(work);
        index
    }

    fn counts(&mut self, sends: u32, outcome: impl Fn(u16) -> SendOutcome) -> HashMap<u16, u32> {
        let mut counts = HashMap::new();
        for _ in 0..sends {
            *counts.entry(self.send(&outcome)).or_default() += 1;
        }
        counts
    }
}

#[test]
fn pick_own_data_centre_first() {
    let mut f = Fixture::new();
    f.set(vec![
        upstream(0, "dc1"),
        upstream(1, "dc2"),
        upstream(2, "dc2"),
    ]);
    assert_eq!(f.counts(50, |_| QUICK), HashMap::from([(0, 50)]));
    let mut leaving = upstream(0, "dc1");
    leaving.leaving = true;
    f.set(vec![leaving, upstream(1, "dc2"), upstream(2, "dc2")]);
    let counts = f.counts(50, |_| QUICK);
    assert_eq!(counts.get(&0), None);
    assert_eq!(counts[&1] + counts[&2], 50);
}

#[test]
fn pick_least_loaded() {
    let mut f = Fixture::new();
    let mut open = HashMap::<UpstreamId, u32>::new();
    for _ in 0..4 {
        *open.entry(f.pick().1).or_default() += 1;
    }
    assert!(open.values().all(|count| *count == 2), "{open:?}");
}

#[test]
fn pick_avoids_slow_upstream() {
    let mut f = Fixture::new();
    f.pass(Duration::from_secs(30));
    let slow =
        |index| SendOutcome::Answered(Duration::from_millis(if index == 0 { 500 } else { 1 }));
    f.counts(20, slow);
    let counts = f.counts(200, slow);
    assert!(counts.get(&0).copied().unwrap_or(0) < 40, "{counts:?}");
}

#[test]
fn eject_failing_upstream_for_a_time() {
    let mut f = Fixture::new();
    let fails = |index| {
        if index == 0 {
            SendOutcome::Failed
        } else {
            QUICK
        }
    };
    f.counts(60, fails);
    let state = |f: &Fixture| {
        let all = f.dispatch.router().iter();
        let found = all.filter(|(_, u)| u.spec.address.port() == 1_000);
        found.map(|(_, u)| u.state(f.now)).next()
    };
    assert_eq!(state(&f), Some(UpstreamState::Ejected));
    assert_eq!(f.counts(50, fails), HashMap::from([(1, 50)]));
    f.pass(Duration::from_secs(3));
    assert_eq!(state(&f), Some(UpstreamState::SlowStart));
    f.pass(Duration::from_secs(10));
    let counts = f.counts(100, |_| QUICK);
    assert!(counts.contains_key(&0), "{counts:?}");
}

#[test]
fn eject_never_more_than_half() {
    let mut f = Fixture::new();
    f.set((0..6).map(|index| upstream(index, "dc1")).collect());
    f.counts(200, |_| SendOutcome::Failed);
    let all = f.dispatch.router().iter();
    let ejected = all.filter(|(_, u)| u.state(f.now) == UpstreamState::Ejected);
    assert_eq!(ejected.count(), 3);
}

#[test]
fn slow_start_gives_less() {
    let mut f = Fixture::new();
    f.set((0..2).map(|index| upstream(index, "dc1")).collect());
    f.pass(Duration::from_secs(30));
    f.counts(50, |_| QUICK);
    f.set((0..3).map(|index| upstream(index, "dc1")).collect());
    let mut new = 0;
    for _ in 0..50 {
        let burst: Vec<_> = (0..4).map(|_| f.pick()).collect();
        for (work, id) in burst {
            new += u32::from(f.dispatch.router().upstream(id).spec.address.port() == 1_002);
            f.dispatch.record_send_outcome(work, id, QUICK, f.now);
            f.end(work);
        }
    }
    // Its full part would be a third of 200 requests, 66.
    assert!(new < 33, "{new}");
}

#[test]
fn gone_upstream_ends_its_work_and_returns_as_new() {
    let mut f = Fixture::new();
    f.set(vec![upstream(0, "dc1")]);
    let (work, id) = f.pick();
    f.set(vec![upstream(1, "dc1")]);
    assert_eq!(
        f.dispatch.router().upstream(id).state(f.now),
        UpstreamState::Removed
    );
    assert_eq!(f.send(|_| QUICK), 1);
    f.dispatch.record_send_outcome(work, id, QUICK, f.now);
    f.end(work);
    f.set(vec![upstream(0, "dc1")]);
    assert_eq!(f.send(|_| QUICK), 0);
    assert_eq!(f.dispatch.router().iter().count(), 1);
}

#[test]
fn pick_another_than_tried() {
    let mut f = Fixture::new();
    for _ in 0..20 {
        let (work, id) = f.pick();
        f.dispatch
            .record_send_outcome(work, id, SendOutcome::Neutral, f.now);
        let second = f.dispatch.pick(work, Some(id), f.now).expect("another");
        assert_ne!(second, id);
        f.dispatch.record_send_outcome(work, second, QUICK, f.now);
        f.end(work);
    }
}

#[test]
fn readmit_when_pool_shrinks() {
    let mut f = Fixture::new();
    let fails = |index| {
        if index == 0 {
            SendOutcome::Failed
        } else {
            QUICK
        }
    };
    f.counts(60, fails);
    // Only the ejected upstream remains.
    f.set(vec![upstream(0, "dc1")]);
    assert_eq!(f.send(|_| QUICK), 0);
}
