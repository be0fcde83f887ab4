//! A non-idempotent request that is sent twice with the same idempotency key runs at most once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use goldcrest_front::{Claim, Claims, Front, FrontCfg, KeyFreshness, LocalClaims};
use goldcrest_types::clock::{Clock, ManualClock};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{QueueName, RequestId};

use tokio::sync::Notify;

use crate::common::caller::{ask, request};
use crate::common::upstream::{Act, Dead, Upstream};
use crate::common::{Entry, TOURS, catalogue, cfg, grants, set};

const KEY: &str = "idempotency-key: booking-7\r\n";

/// How long claims are kept in these tests.
const KEEP: Duration = Duration::from_mins(5);

/// A store of claims that gives a fixed answer and records the released claims.
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

/// Starts two entries that share one store of claims.
async fn two_entries(upstream: &Upstream) -> [Entry; 2] {
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(LocalClaims::new(clock.clone()));
    let front = || Front::new(cfg(), clock.clone()).with_claims(claims.clone());
    [
        Entry::serve(front(), clock.clone(), &[upstream.address]).await,
        Entry::serve(front(), clock.clone(), &[upstream.address]).await,
    ]
}

#[tokio::test]
async fn once_over_two_entries() {
    let upstream = Upstream::start(&[Act::Answer("applied")]).await;
    let entries = two_entries(&upstream).await;
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
    // Another key, and the same key of another team, identify other requests.
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
        // An idempotent request needs no claim.
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

/// A store of claims that does not answer until the test permits it.
#[derive(Debug, Default)]
struct Held {
    requested: Notify,
    permit: Notify,
    released: AtomicUsize,
}

impl Claims for Held {
    async fn claim(&self, _: &QueueName, _: KeyDigest, _: RequestId) -> Claim {
        self.requested.notify_one();
        self.permit.notified().await;
        Claim::Granted { keep: KEEP }
    }

    async fn release(&self, _: &QueueName, _: KeyDigest, _: RequestId) {
        self.released.fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns the refusal code of a request, and the number of requests that reached the upstream, if `change` happens
/// while the request waits for its claim.
async fn held_back(change: impl FnOnce(&Entry)) -> (String, usize) {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(Held::default());
    let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
    let entry = Entry::serve(front, clock.clone(), &[upstream.address]).await;
    let address = entry.address;
    let asking =
        tokio::spawn(async move { ask(address, &request("POST", "/q/merge/x", KEY, "b")).await });
    claims.requested.notified().await;
    change(&entry);
    claims.permit.notify_one();
    let answer = asking.await.expect("no panic");
    let (code, outcome) = answer.refusal();
    assert_eq!(outcome, "not-run");
    assert_eq!(claims.released.load(Ordering::SeqCst), 1, "{code}");
    (code, upstream.runs())
}

/// If keys, key or deadline expire while a request waits for its claim, the request is refused when it requests its
/// slot, and the claim is released.
#[tokio::test]
async fn once_lapsed_before_slot() {
    let stale =
        held_back(|entry| entry.front.set_key_freshness(KeyFreshness { until: None })).await;
    assert_eq!(stale, ("keys-not-fresh".to_owned(), 0));
    let withdrawn =
        held_back(|entry| entry.front.set_catalogue(catalogue(2, &[("tours", TOURS)]))).await;
    assert_eq!(withdrawn, ("key-unknown".to_owned(), 0));
    let late = held_back(|entry| entry.clock.advance(Duration::from_secs(31)));
    assert_eq!(late.await, ("deadline-passed".to_owned(), 0));
}

/// A request that waits for an unresponsive store of claims holds no slot: a request that needs no claim is served
/// meanwhile.
#[tokio::test]
async fn once_silent_home_holds_no_slot() {
    let upstream = Upstream::start(&[Act::Answer("read")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(Held::default());
    let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
    let entry = Entry::serve(front, clock, &[upstream.address]).await;
    let address = entry.address;
    // The queue has one slot.
    let text = request("POST", "/q/slow/x", KEY, "b");
    let waiting = tokio::spawn(async move { ask(address, &text).await });
    claims.requested.notified().await;
    let read = ask(address, &request("GET", "/q/slow/x", "", "")).await;
    assert_eq!(read.text(), "read");
    claims.permit.notify_one();
    assert_eq!(waiting.await.expect("no panic").status, 200);
}

/// If a caller disconnects while its request waits for a slot, the claim is released.
#[tokio::test]
async fn once_released_if_caller_goes() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(Held::default());
    let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
    let entry = Entry::serve(front, clock, &[upstream.address]).await;
    let address = entry.address;
    let first = request("GET", "/q/slow/x", "", "");
    let first = tokio::spawn(async move { ask(address, &first).await });
    upstream.arrived(1).await;
    let text = request("POST", "/q/slow/x", KEY, "b");
    let goes = tokio::spawn(async move { ask(address, &text).await });
    claims.requested.notified().await;
    claims.permit.notify_one();
    entry.until(|status| status.waiting.get() == 1).await;
    goes.abort();
    while claims.released.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    upstream.open_gate();
    assert_eq!(first.await.expect("no panic").text(), "done");
    assert_eq!(upstream.runs(), 1);
}

/// A claim that is granted after the wait for it has timed out is released: the caller got `not-run`, and may send the
/// request again with the same key.
#[tokio::test]
async fn once_released_if_granted_late() {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let clock = Arc::new(ManualClock::new());
    let claims = Arc::new(Held::default());
    let short = FrontCfg {
        claim_timeout: Duration::ZERO,
        ..cfg()
    };
    let front = Front::new(short, clock.clone()).with_claims(claims.clone());
    let entry = Entry::serve(front, clock, &[upstream.address]).await;
    let refused = ask(entry.address, &request("POST", "/q/merge/x", KEY, "b")).await;
    let code = ("claims-unavailable".to_owned(), "not-run");
    assert_eq!(refused.refusal(), code);
    claims.requested.notified().await;
    assert_eq!(claims.released.load(Ordering::SeqCst), 0);
    claims.permit.notify_one();
    while claims.released.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(upstream.runs(), 0);
}

/// On a queue that is open to all, a team's key counts at one entry and not at another, whose keys are not fresh. The
/// same request sent to both entries still runs once.
#[tokio::test]
async fn once_open_queue_stale_entry() {
    let upstream = Upstream::start(&[Act::Answer("applied")]).await;
    let entries = two_entries(&upstream).await;
    entries[1]
        .front
        .set_key_freshness(KeyFreshness { until: None });
    let text = request("POST", "/q/public/x", KEY, "b");
    let text = text.replace(crate::common::DESK, TOURS);
    assert_eq!(ask(entries[0].address, &text).await.text(), "applied");
    let again = ask(entries[1].address, &text).await;
    assert_eq!(again.code(), "duplicate-request");
    assert_eq!(upstream.runs(), 1);
}

/// A clock that advances only once, by [`PAUSE`] before the reading number `paused_before`, as if the process had been
/// paused there.
#[derive(Debug)]
struct PauseClock {
    time: Arc<ManualClock>,
    readings: AtomicUsize,
    paused_before: usize,
}

impl PauseClock {
    fn readings(&self) -> usize {
        self.readings.load(Ordering::SeqCst)
    }
}

impl Clock for PauseClock {
    fn now(&self) -> Instant {
        if self.readings.fetch_add(1, Ordering::SeqCst) == self.paused_before {
            self.time.advance(PAUSE);
        }
        self.time.now()
    }

    fn wall(&self) -> SystemTime {
        self.time.wall()
    }
}

/// How long the process is paused. [`DEADLINE`] is 50 ms longer.
const PAUSE: Duration = Duration::from_secs(10);

/// The caller's deadline. It is close to the end of the pause, so that the test does not wait long for a request that
/// lost its slot to the pause.
const DEADLINE: &str = "x-deadline-ms: 10050\r\n";

/// The right that expires during the pause.
#[derive(Debug, Clone, Copy)]
enum Expiry {
    Claim,
    Quota,
    Freshness,
}

/// A store of claims that records the number of clock readings before the claim.
#[derive(Debug)]
struct Short {
    clock: Arc<PauseClock>,
    readings: AtomicUsize,
    keep: Duration,
}

impl Claims for Short {
    async fn claim(&self, _: &QueueName, _: KeyDigest, _: RequestId) -> Claim {
        self.readings.store(self.clock.readings(), Ordering::SeqCst);
        Claim::Granted { keep: self.keep }
    }

    async fn release(&self, _: &QueueName, _: KeyDigest, _: RequestId) {}
}

/// An entry that is paused before one reading of its clock, one of its requests, and the upstream.
struct Paused {
    upstream: Upstream,
    clock: Arc<PauseClock>,
    claims: Arc<Short>,
    asking: tokio::task::JoinHandle<crate::common::caller::Answer>,
}

impl Paused {
    async fn start(paused_before: usize, body: &'static str, expiry: Expiry) -> Self {
        let upstream = Upstream::start(&[Act::Gated("done")]).await;
        let time = Arc::new(ManualClock::new());
        let clock = Arc::new(PauseClock {
            time: Arc::clone(&time),
            // Starts high, so that no reading during the setup is the paused one.
            readings: AtomicUsize::new(usize::MAX / 2),
            paused_before,
        });
        let claims = Arc::new(Short {
            clock: Arc::clone(&clock),
            readings: AtomicUsize::new(usize::MAX),
            keep: if let Expiry::Claim = expiry {
                PAUSE
            } else {
                KEEP
            },
        });
        let front = Front::new(cfg(), clock.clone()).with_claims(claims.clone());
        let entry = Entry::serve(front, Arc::clone(&time), &[upstream.address]).await;
        let until = Some(time.now() + PAUSE);
        match expiry {
            Expiry::Claim => {}
            Expiry::Quota => entry.front.set_grants(grants(0, 1, until)),
            Expiry::Freshness => entry.front.set_key_freshness(KeyFreshness { until }),
        }
        clock.readings.store(0, Ordering::SeqCst);
        let address = entry.address;
        let text = request("POST", "/q/merge/x", &format!("{KEY}{DEADLINE}"), body);
        let asking = tokio::spawn(async move { ask(address, &text).await });
        Self {
            upstream,
            clock,
            claims,
            asking,
        }
    }
}

/// An entry that is paused anywhere between the claim and the first byte does not send the request if its claim, the
/// team's slots or the key freshness expired meanwhile. The test pauses it before each reading of the clock in turn.
#[tokio::test]
async fn once_paused_after_claim() {
    for expiry in [Expiry::Claim, Expiry::Quota, Expiry::Freshness] {
        for body in ["", "b"] {
            never_sent_after_pause(expiry, body).await;
        }
    }
}

async fn never_sent_after_pause(expiry: Expiry, body: &'static str) {
    let whole = Paused::start(usize::MAX, body, expiry).await;
    whole.upstream.arrived(1).await;
    let last = whole.clock.readings();
    whole.upstream.open_gate();
    assert_eq!(whole.asking.await.expect("no panic").text(), "done");
    let first = whole.claims.readings.load(Ordering::SeqCst);
    assert!(first < last, "{first} {last}");
    for reading in first..last {
        let paused = Paused::start(reading, body, expiry).await;
        paused.upstream.open_gate();
        let answer = paused.asking.await.expect("no panic");
        let place = format!("{expiry:?}, {reading} of {last}");
        assert!(answer.header("x-outcome").is_some(), "{place}");
        assert_eq!(paused.upstream.runs(), 0, "{place}");
    }
}
