//! A request is forwarded completely, without the caller's hop-by-hop fields and without the secret of its key.

use crate::common::caller::{Caller, ask, request};
use crate::common::upstream::{Act, Upstream};
use crate::common::{DESK, Entry};

#[tokio::test]
async fn forward_keyed_request() {
    let upstream = Upstream::start(&[Act::Answer("merged")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let headers =
        "connection: x-mine\r\nx-mine: 1\r\nx-other: 2\r\nx-team: tours\r\nte: trailers\r\n";
    let answer = ask(
        entry.address,
        &request("POST", "/q/merge/a/b?c=d", headers, "body"),
    )
    .await;
    assert_eq!((answer.status, answer.text()), (200, "merged"));
    let seen = upstream.seen(0);
    assert!(
        seen.head.starts_with("POST /a/b?c=d HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-other"), Some("2"));
    assert_eq!(seen.header("x-team"), Some("desk"));
    for gone in ["connection", "x-mine", "te", "authorization"] {
        assert_eq!(seen.header(gone), None, "{gone}");
    }
    assert!(!seen.head.contains(DESK));
    assert_eq!(seen.header("x-request-id"), answer.header("x-request-id"));
    let left: u64 = seen
        .header("x-deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!(left < 30_000, "{left}");
    assert_eq!(entry.front.status().outcomes.answered, 1);
}

#[tokio::test]
async fn forward_keep_alive() {
    let upstream = Upstream::start(&[Act::Answer("again")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    for _ in 0..20 {
        let answer = caller.ask(&request("GET", "/q/merge/x", "", "")).await;
        assert_eq!((answer.status, answer.text()), (200, "again"));
    }
    assert_eq!(upstream.runs(), 20);
    let connections = upstream
        .state
        .connections
        .load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(connections, 1);
}
