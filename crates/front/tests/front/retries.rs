//! Retries: only of requests that are idempotent or did not run, within the retry budget and the deadline.

use crate::common::caller::{Caller, ask, request};
use crate::common::upstream::{Act, Dead, Upstream};
use crate::common::{DESK, TOURS};
use crate::common::{Entry, catalogue, set};

const REFUSED: &str =
    "HTTP/1.1 503 Busy\r\nx-request-id: {id}\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

#[tokio::test]
async fn retry_idempotent_lost_answer() {
    let upstream = Upstream::start(&[Act::Close, Act::Answer("second")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let answer = ask(entry.address, &request("GET", "/q/merge/x", "", "")).await;
    assert_eq!((answer.status, answer.text()), (200, "second"));
    assert_eq!(upstream.runs(), 2);
    assert_eq!(entry.front.status().outcomes.retries, 1);
}

#[tokio::test]
async fn retry_by_header() {
    let upstream = Upstream::start(&[Act::Close, Act::Answer("second")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let post = request("POST", "/q/merge/x", "x-idempotent: true\r\n", "");
    assert_eq!(ask(entry.address, &post).await.text(), "second");
    let upstream = Upstream::start(&[Act::Close, Act::Answer("second")]).await;
    entry.front.set_upstreams(set(&[upstream.address], false));
    let get = request("GET", "/q/merge/x", "x-idempotent: false\r\n", "");
    assert_eq!(ask(entry.address, &get).await.code(), "upstream-lost");
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn retry_never_after_body_was_taken() {
    let upstream = Upstream::start(&[Act::Close, Act::Answer("second")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let answer = ask(entry.address, &request("PUT", "/q/merge/x", "", "body")).await;
    assert_eq!(answer.refusal(), ("upstream-lost".to_owned(), "unknown"));
    assert_eq!(upstream.runs(), 1);
}

#[tokio::test]
async fn retry_unreachable_upstream_elsewhere() {
    let upstream = Upstream::start(&[Act::Answer("here")]).await;
    let dead = Dead::new();
    let entry = Entry::plain(&[dead.address, upstream.address]).await;
    for _ in 0..20 {
        // No part of the request was sent to the dead upstream, so even a POST is sent to the other.
        let answer = ask(entry.address, &request("POST", "/q/merge/x", "", "b")).await;
        assert_eq!((answer.status, answer.text()), (200, "here"));
    }
    assert_eq!(upstream.runs(), 20);
}

#[tokio::test]
async fn retry_unreachable_upstreams_all() {
    let dead = Dead::new();
    let entry = Entry::plain(&[dead.address]).await;
    let answer = ask(entry.address, &request("POST", "/q/merge/x", "", "b")).await;
    assert_eq!(
        answer.refusal(),
        ("upstream-unreachable".to_owned(), "not-run")
    );
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn retry_refused_by_upstream() {
    let upstream = Upstream::start(&[Act::Raw(REFUSED), Act::Answer("second")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let answer = ask(entry.address, &request("POST", "/q/merge/x", "", "")).await;
    assert_eq!((answer.status, answer.text()), (200, "second"));
    let upstream = Upstream::start(&[Act::Raw(REFUSED)]).await;
    entry.front.set_upstreams(set(&[upstream.address], false));
    let answer = ask(entry.address, &request("POST", "/q/merge/x", "", "")).await;
    assert_eq!(answer.refusal(), ("upstream-refused".to_owned(), "not-run"));
}

#[tokio::test]
async fn retry_budget_spent() {
    let upstream = Upstream::start(&[Act::Close]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    for _ in 0..10 {
        let answer = ask(entry.address, &request("GET", "/q/merge/x", "", "")).await;
        assert_eq!(answer.refusal(), ("upstream-lost".to_owned(), "unknown"));
    }
    // The clock does not advance, so only the floor of the retry budget is available.
    assert_eq!(entry.front.status().outcomes.retries, 3);
    assert_eq!(upstream.runs(), 13);
}

#[tokio::test]
async fn retry_never_on_stale_connection() {
    // The upstream closes the connection after its answer, so the next request may find a connection that is about to
    // close.
    let upstream = Upstream::start(&[Act::AnswerClose("once")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    let mut answered = 0;
    for sent in 1..=200 {
        let answer = caller.ask(&request("POST", "/q/merge/x", "", "b")).await;
        match answer.status {
            200 => answered += 1,
            // The request may have run, and the upstream received it at most once.
            502 => assert_eq!(answer.refusal(), ("upstream-lost".to_owned(), "unknown")),
            other => panic!("{other}: {}", answer.text()),
        }
        assert!(upstream.runs() <= sent, "a POST was sent twice");
    }
    let outcomes = entry.front.status().outcomes;
    assert_eq!(outcomes.answered, answered);
    assert!(upstream.runs() >= usize::try_from(answered).expect("a count"));
}

#[tokio::test]
async fn retry_leaving_upstream_gets_nothing_new() {
    let leaving = Upstream::start(&[Act::Answer("leaving")]).await;
    let staying = Upstream::start(&[Act::Answer("staying")]).await;
    let entry = Entry::plain(&[leaving.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    let text = request("GET", "/q/merge/x", "", "");
    assert_eq!(caller.ask(&text).await.text(), "leaving");
    let mut set = set(&[leaving.address, staying.address], false);
    set.upstreams[0].leaving = true;
    entry.front.set_upstreams(set);
    for _ in 0..20 {
        assert_eq!(caller.ask(&text).await.text(), "staying");
    }
    entry
        .front
        .set_catalogue(catalogue(2, &[("desk", DESK), ("tours", TOURS)]));
    assert_eq!(caller.ask(&text).await.text(), "staying");
    assert_eq!(leaving.runs(), 1);
}
