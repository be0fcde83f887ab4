//! Refusals have the right code and outcome, and a refused request never reaches an upstream.

use std::time::Duration;

use goldcrest_front::KeyFreshness;
use goldcrest_types::clock::Clock;

use crate::common::caller::{Caller, ask, request};
use crate::common::upstream::{Act, Upstream};
use crate::common::{DESK, Entry, TOURS, catalogue, grants, set};

const PLAIN: &str = "GET /q/public/x HTTP/1.1\r\nhost: entry\r\n\r\n";

#[tokio::test]
async fn refuse_key_missing_or_unknown() {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let missing = ask(entry.address, "GET /q/merge/x HTTP/1.1\r\nhost: e\r\n\r\n").await;
    assert_eq!(missing.refusal(), ("key-missing".to_owned(), "not-run"));
    let wrong = request("GET", "/q/merge/x", "", "").replace(DESK, "guess");
    let wrong = ask(entry.address, &wrong).await;
    assert_eq!(
        (wrong.status, wrong.code()),
        (401, "key-unknown".to_owned())
    );
    assert_eq!(upstream.runs(), 0);
}

#[tokio::test]
async fn refuse_withdrawn_key_at_next_request() {
    let upstream = Upstream::start(&[Act::Answer("yes")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    let text = request("GET", "/q/merge/x", "", "");
    assert_eq!(caller.ask(&text).await.status, 200);
    entry.front.set_catalogue(catalogue(2, &[("tours", TOURS)]));
    let answer = caller.ask(&text).await;
    assert_eq!(answer.refusal(), ("key-unknown".to_owned(), "not-run"));
    // A catalogue with an older revision does not restore the key.
    entry
        .front
        .set_catalogue(catalogue(1, &[("desk", DESK), ("tours", TOURS)]));
    assert_eq!(caller.ask(&text).await.status, 401);
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn refuse_withdrawn_key_while_waiting() {
    let upstream = Upstream::start(&[Act::Gated("first")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut first = Caller::connect(entry.address).await;
    first.write(&request("POST", "/q/slow/x", "", "")).await;
    upstream.arrived(1).await;
    let mut second = Caller::connect(entry.address).await;
    second.write(&request("POST", "/q/slow/x", "", "")).await;
    entry.until(|status| status.waiting.get() == 1).await;
    entry.front.set_catalogue(catalogue(2, &[("tours", TOURS)]));
    // The answer comes at once, while the first request still runs.
    let answer = second.answer().await;
    assert_eq!(answer.refusal(), ("key-withdrawn".to_owned(), "not-run"));
    upstream.open_gate();
    assert_eq!(first.answer().await.text(), "first");
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn refuse_keys_not_fresh() {
    let upstream = Upstream::start(&[Act::Answer("open")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let until = Some(entry.clock.now() + Duration::from_secs(5));
    entry.front.set_key_freshness(KeyFreshness { until });
    let text = request("GET", "/q/merge/x", "", "");
    assert_eq!(ask(entry.address, &text).await.status, 200);
    entry.clock.advance(Duration::from_secs(5));
    let answer = ask(entry.address, &text).await;
    assert_eq!(answer.refusal(), ("keys-not-fresh".to_owned(), "not-run"));
    assert!(answer.header("retry-after").is_some());
    // Queues that are open to all admit requests with and without a key.
    assert_eq!(ask(entry.address, PLAIN).await.status, 200);
    let keyed = request("GET", "/q/public/x", "", "");
    assert_eq!(ask(entry.address, &keyed).await.status, 200);
    assert_eq!(upstream.runs(), 3);
}

#[tokio::test]
async fn refuse_lapsed_quota() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let until = Some(entry.clock.now() + Duration::from_secs(5));
    entry.front.set_grants(grants(0, 2, until));
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut caller = Caller::connect(entry.address).await;
        caller.write(&request("GET", "/q/merge/x", "", "")).await;
        callers.push(caller);
    }
    upstream.arrived(2).await;
    entry.clock.advance(Duration::from_secs(5));
    let mut late = Caller::connect(entry.address).await;
    late.write(&request("GET", "/q/merge/x", "", "")).await;
    entry.until(|status| status.waiting.get() == 1).await;
    // Running requests end, and their slots are not used again.
    upstream.open_gate();
    upstream.open_gate();
    for caller in &mut callers {
        assert_eq!(caller.answer().await.status, 200);
    }
    entry.until(|status| status.running.get() == 0).await;
    assert_eq!(upstream.runs(), 2);
    entry.front.set_grants(grants(1, 0, None));
    upstream.open_gate();
    assert_eq!(late.answer().await.status, 200);
}

#[tokio::test]
async fn refuse_queue_full() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut callers = Vec::new();
    for count in 0..3 {
        let mut caller = Caller::connect(entry.address).await;
        caller.write(&request("GET", "/q/slow/x", "", "")).await;
        entry
            .until(|s| s.running.get() + s.waiting.get() > count)
            .await;
        callers.push(caller);
    }
    let answer = ask(entry.address, &request("GET", "/q/slow/x", "", "")).await;
    assert_eq!(answer.refusal(), ("queue-full".to_owned(), "not-run"));
    assert_eq!(answer.status, 429);
    assert!(answer.header("retry-after").is_some());
    for caller in &mut callers {
        upstream.open_gate();
        assert_eq!(caller.answer().await.status, 200);
    }
    assert_eq!(upstream.runs(), 3);
}

#[tokio::test(start_paused = true)]
async fn refuse_deadline_while_waiting() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut first = Caller::connect(entry.address).await;
    first.write(&request("GET", "/q/slow/x", "", "")).await;
    upstream.arrived(1).await;
    let second = request("GET", "/q/slow/x", "x-deadline-ms: 200\r\n", "");
    let answer = ask(entry.address, &second).await;
    assert_eq!(answer.refusal(), ("deadline-passed".to_owned(), "not-run"));
    assert!(answer.header("retry-after").is_some());
    upstream.open_gate();
    assert_eq!(first.answer().await.status, 200);
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn refuse_no_upstream() {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    entry.front.set_upstreams(set(&[upstream.address], true));
    let answer = ask(entry.address, &request("GET", "/q/merge/x", "", "")).await;
    assert_eq!(answer.refusal(), ("no-upstream".to_owned(), "not-run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(upstream.runs(), 0);
}

#[tokio::test]
async fn refuse_bad_heads() {
    let upstream = Upstream::start(&[Act::Answer("no")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let cases = [
        (request("GET", "/other", "", ""), "bad-path"),
        (request("GET", "/q/merge/../x", "", ""), "bad-path"),
        (request("GET", "/q/merge/%2e%2E/x", "", ""), "bad-path"),
        (request("GET", "/q/merge/a%2Fb", "", ""), "bad-path"),
        (request("GET", "/q/merge/a%5cb", "", ""), "bad-path"),
        (request("GET", "/q/merge/a%252fb", "", ""), "bad-path"),
        (request("GET", "/q/merge/..;a/x", "", ""), "bad-path"),
        (request("GET", "/q/none/x", "", ""), "queue-unknown"),
        (
            request("GET", "/q/merge/x", "x-deadline-ms: soon\r\n", ""),
            "bad-request",
        ),
        (
            request("GET", "/q/merge/x", "x-idempotent: maybe\r\n", ""),
            "bad-request",
        ),
        (
            request("GET", "/q/merge/x", "authorization: Bearer b\r\n", ""),
            "bad-request",
        ),
        (
            request("POST", "/q/merge/x", "", &"b".repeat(4_097)),
            "request-too-large",
        ),
    ];
    for (text, code) in cases {
        let answer = ask(entry.address, &text).await;
        assert_eq!(answer.refusal(), (code.to_owned(), "not-run"), "{text}");
    }
    assert_eq!(upstream.runs(), 0);
}

#[tokio::test]
async fn refuse_open_queue_not_for_stale_keys() {
    let upstream = Upstream::start(&[Act::Answer("yes")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    entry.front.set_grants(grants(0, 0, None));
    let address = entry.address;
    let text = request("GET", "/q/public/x", "", "");
    let asking = tokio::spawn(async move { ask(address, &text).await });
    entry.until(|status| status.waiting.get() == 1).await;
    // The request's key ceases to be fresh while the request waits.
    entry.front.set_key_freshness(KeyFreshness { until: None });
    entry.front.set_grants(grants(1, 0, None));
    assert_eq!(asking.await.expect("no panic").status, 200);
    assert_eq!(upstream.runs(), 1);
}
