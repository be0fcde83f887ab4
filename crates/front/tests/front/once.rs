//! The same non-idempotent request twice runs at most once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use goldcrest_front::{Claim, Claims, Front, KeyFreshness, LocalClaims};
use goldcrest_types::clock::{Clock, ManualClock};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};

use tokio::sync::Notify;

use crate::common::caller::{ask, request};
use crate::common::upstream::{Act, Dead, Upstream};
use crate::common::{Entry, TOURS, catalogue, cfg, grants, set};

const KEY: &str = "idempotency-key: booking-7\r\n";

/// How long the claims of these tests are kept.
const KEEP: Duration = Duration::from_mins(5);

/// Claims that answer what a test says, and note what was given back.
#[derive(Debug)]
struct Scripted {
    answer: Claim,
    released: Mutex<Vec<RequestId>>,
}

impl Claims for Scripted {
    async fn claim(&self, _: &QueueName, _: KeyDigest, _: RequestId) -> Claim {
        self.answer
    }

    async fn release(&self, _: &QueueName, _: KeyDigest, request: RequestId) {
        self.released.lock().expect("no panic").push(request);
    }
}

#[tokio::test]
async fn once_over_two_entries() {
    let upstream = Upstream::start(&[Act::Answer("applied")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(LocalClaims::new(clock.clone()));
    let mut entries = Vec::new();
    for _ in 0..2 {
        let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
        entries.push(Entry::serve(front, clock.clone(), &[upstream.address]).await);
    }
    let text = request("POST", "/q/merge/x", KEY, "b");
    let (first, second) = tokio::join!(
        ask(entries[0].address, &text),
        ask(entries[1].address, &text)
    );
    let mut answers = [first, second];
    answers.sort_by_key(|answer| answer.status);
    assert_eq!(answers[0].text(), "applied");
    assert_eq!(
        answers[1].refusal(),
        ("duplicate-request".to_owned(), "unknown")
    );
    assert_eq!(upstream.runs(), 1);
    // Another key, and another team's same key, are other requests.
    let other = request("POST", "/q/merge/x", "idempotency-key: booking-8\r\n", "b");
    assert_eq!(ask(entries[1].address, &other).await.status, 200);
    let team = text.replace(crate::common::DESK, crate::common::TOURS);
    assert_eq!(ask(entries[1].address, &team).await.status, 200);
    assert_eq!(upstream.runs(), 3);
}

#[tokio::test]
async fn once_past_or_claims_not_known() {
    let cases = [
        (Claim::Unknown, "past-unknown", "unknown"),
        (Claim::Seen, "duplicate-request", "unknown"),
        (Claim::Unavailable, "claims-unavailable", "not-run"),
    ];
    for (answer, code, outcome) in cases {
        let upstream = Upstream::start(&[Act::Answer("no")]).await;
        let clock = Arc::new(ManualClock::new());
        let released = Mutex::default();
        let claims = Arc::new(Scripted { answer, released });
        let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
        let entry = Entry::serve(front, clock, &[upstream.address]).await;
        let refused = ask(entry.address, &request("POST", "/q/merge/x", KEY, "b")).await;
        assert_eq!(refused.refusal(), (code.to_owned(), outcome));
        assert_eq!(upstream.runs(), 0);
        assert!(claims.released.lock().expect("no panic").is_empty());
        // What may run twice needs no claim.
        let twice = ask(entry.address, &request("PUT", "/q/merge/x", KEY, "b")).await;
        assert_eq!(twice.status, 200);
    }
}

#[tokio::test]
async fn once_released_if_not_run() {
    let upstream = Upstream::start(&[Act::Answer("applied")]).await;
    let dead = Dead::new();
    let entry = Entry::plain(&[dead.address]).await;
    let text = request("POST", "/q/merge/x", KEY, "b");
    let refused = ask(entry.address, &text).await;
    assert_eq!(
        refused.refusal(),
        ("upstream-unreachable".to_owned(), "not-run")
    );
    entry.front.set_upstreams(set(&[upstream.address], false));
    assert_eq!(ask(entry.address, &text).await.text(), "applied");
    assert_eq!(ask(entry.address, &text).await.code(), "duplicate-request");
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn once_kept_if_it_may_have_run() {
    let upstream = Upstream::start(&[Act::Close, Act::Answer("again")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let text = request("POST", "/q/merge/x", KEY, "b");
    assert_eq!(ask(entry.address, &text).await.code(), "upstream-lost");
    assert_eq!(ask(entry.address, &text).await.code(), "duplicate-request");
    assert_eq!(upstream.runs(), 1);
}

/// Claims that hold a request back, as a pause of the process would, until the test lets it go.
#[derive(Debug)]
struct Held {
    asked: Notify,
    go: Notify,
}

impl Claims for Held {
    async fn claim(&self, _: &QueueName, _: KeyDigest, _: RequestId) -> Claim {
        self.asked.notify_one();
        self.go.notified().await;
        Claim::Granted { keep: KEEP }
    }

    async fn release(&self, _: &QueueName, _: KeyDigest, _: RequestId) {}
}

/// What a request gets if `change` happens between its start and its first byte.
async fn held_back(change: impl FnOnce(&Entry)) -> (String, usize) {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(Held {
        asked: Notify::new(),
        go: Notify::new(),
    });
    let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
    let entry = Entry::serve(front, clock.clone(), &[upstream.address]).await;
    let until = Some(clock.now() + Duration::from_secs(5));
    entry.front.set_grants(grants(0, 1, until));
    let address = entry.address;
    let asking =
        tokio::spawn(async move { ask(address, &request("POST", "/q/merge/x", KEY, "b")).await });
    claims.asked.notified().await;
    change(&entry);
    claims.go.notify_one();
    let answer = asking.await.expect("no panic");
    let (code, outcome) = answer.refusal();
    assert_eq!(outcome, "not-run");
    (code, upstream.runs())
}

#[tokio::test]
async fn once_lapsed_before_first_byte() {
    let quota = held_back(|entry| entry.clock.advance(Duration::from_secs(5))).await;
    assert_eq!(quota, ("quota-lapsed".to_owned(), 0));
    let stale =
        held_back(|entry| entry.front.set_key_freshness(KeyFreshness { until: None })).await;
    assert_eq!(stale, ("keys-not-fresh".to_owned(), 0));
    let withdrawn =
        held_back(|entry| entry.front.set_catalogue(catalogue(2, &[("tours", TOURS)]))).await;
    assert_eq!(withdrawn, ("key-withdrawn".to_owned(), 0));
    let late = held_back(|entry| {
        entry.front.set_grants(grants(1, 0, None));
        entry.clock.advance(Duration::from_secs(31));
    });
    assert_eq!(late.await, ("deadline-passed".to_owned(), 0));
}

/// A clock that stands still but for one look, before which the process was paused for longer than claims are kept.
#[derive(Debug)]
struct PauseClock {
    time: Arc<ManualClock>,
    looks: AtomicUsize,
    paused_before: usize,
}

impl PauseClock {
    fn looks(&self) -> usize {
        self.looks.load(Ordering::SeqCst)
    }
}

impl Clock for PauseClock {
    fn now(&self) -> Instant {
        if self.looks.fetch_add(1, Ordering::SeqCst) == self.paused_before {
            self.time.advance(SHORT_KEEP);
        }
        self.time.now()
    }

    fn wall(&self) -> SystemTime {
        self.time.wall()
    }
}

/// How long a claim is kept that a pause outlasts. The deadline is later.
const SHORT_KEEP: Duration = Duration::from_secs(10);

/// Claims that are kept for a short time, and note how many looks at the clock came before the first.
#[derive(Debug)]
struct Short {
    clock: Arc<PauseClock>,
    looks: AtomicUsize,
}

impl Claims for Short {
    async fn claim(&self, _: &QueueName, _: KeyDigest, _: RequestId) -> Claim {
        self.looks.store(self.clock.looks(), Ordering::SeqCst);
        Claim::Granted { keep: SHORT_KEEP }
    }

    async fn release(&self, _: &QueueName, _: KeyDigest, _: RequestId) {}
}

/// An entry that is paused before a look at its clock, one of its requests, and the upstream.
struct Paused {
    upstream: Upstream,
    clock: Arc<PauseClock>,
    claims: Arc<Short>,
    asking: tokio::task::JoinHandle<crate::common::caller::Answer>,
}

impl Paused {
    async fn start(paused_before: usize, body: &'static str) -> Self {
        let upstream = Upstream::start(&[Act::Gated("done")]).await;
        let time = Arc::new(ManualClock::new());
        let clock = Arc::new(PauseClock {
            time: Arc::clone(&time),
            looks: AtomicUsize::new(0),
            paused_before,
        });
        let claims = Arc::new(Short {
            clock: Arc::clone(&clock),
            looks: AtomicUsize::new(usize::MAX),
        });
        let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
        let address = Entry::serve(front, time, &[upstream.address]).await.address;
        let text = request("POST", "/q/merge/x", KEY, body);
        let asking = tokio::spawn(async move { ask(address, &text).await });
        Self {
            upstream,
            clock,
            claims,
            asking,
        }
    }
}

/// Wherever an entry is paused between its claim and the first byte, it does not send by a claim that has lapsed.
#[tokio::test]
async fn once_paused_after_claim() {
    for body in ["", "b"] {
        let whole = Paused::start(usize::MAX, body).await;
        whole.upstream.arrived(1).await;
        let last = whole.clock.looks();
        whole.upstream.open_gate();
        assert_eq!(whole.asking.await.expect("no panic").text(), "done");
        let first = whole.claims.looks.load(Ordering::SeqCst);
        assert!(first < last, "{first} {last}");
        for look in first..last {
            let paused = Paused::start(look, body).await;
            paused.upstream.open_gate();
            let answer = paused.asking.await.expect("no panic");
            assert!(answer.header("x-outcome").is_some(), "{look} of {last}");
            assert_eq!(paused.upstream.runs(), 0, "{look} of {last}");
        }
    }
}
