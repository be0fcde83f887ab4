//! A graceful stop cuts no request that ends before the bound.

use std::time::Duration;

use tokio::net::TcpStream;

use crate::common::caller::{Caller, request};
use crate::common::upstream::{Act, Upstream};
use crate::common::{Entry, cfg};

#[tokio::test(start_paused = true)]
async fn drain_under_load() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let cfg = cfg().with_drain(Duration::from_secs(3), Duration::from_secs(2));
    let entry = Entry::start(cfg, &[upstream.address]).await;
    let text = request("POST", "/q/merge/x", "", "b");
    let mut running = Vec::new();
    for _ in 0..8 {
        let mut caller = Caller::connect(entry.address).await;
        caller.write(&text).await;
        running.push(caller);
    }
    upstream.arrived(8).await;
    let mut idle = Caller::connect(entry.address).await;
    upstream.open_gate();
    let front = entry.front.clone();
    let drain = tokio::spawn(async move { front.drain(Duration::from_secs(20)).await });
    entry.until(|status| !status.is_ready).await;
    // Until the balancer has noticed that the entry is not ready, requests are still admitted.
    for _ in 0..8 {
        upstream.open_gate();
    }
    assert_eq!(idle.ask(&text).await.text(), "done");
    for caller in &mut running {
        assert_eq!(caller.answer().await.text(), "done");
    }
    let report = drain.await.expect("no panic");
    assert_eq!(
        (report.ended, report.cut, report.connections_cut),
        (9, 0, 0)
    );
    entry.served.await.expect("serving has ended");
    assert!(TcpStream::connect(entry.address).await.is_err());
    assert_eq!(upstream.runs(), 9);
}

#[tokio::test(start_paused = true)]
async fn drain_waits_for_long_answer() {
    let upstream = Upstream::start(&[Act::Gated("late")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.write(&request("POST", "/q/merge/x", "", "b")).await;
    upstream.arrived(1).await;
    let front = entry.front.clone();
    let drain = tokio::spawn(async move { front.drain(Duration::from_secs(20)).await });
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(!drain.is_finished());
    upstream.open_gate();
    let answer = caller.answer().await;
    assert_eq!(
        (answer.text(), answer.header("connection")),
        ("late", Some("close"))
    );
    let report = drain.await.expect("no panic");
    assert_eq!((report.ended, report.cut), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn drain_bound_reached() {
    let upstream = Upstream::start(&[Act::Hang]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.write(&request("POST", "/q/merge/x", "", "b")).await;
    upstream.arrived(1).await;
    let report = entry.front.drain(Duration::from_secs(5)).await;
    assert_eq!((report.cut, report.connections_cut), (1, 1));
    assert_eq!(caller.closed().await, b"");
    entry.served.await.expect("serving has ended");
}

#[tokio::test]
async fn drain_by_stop() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let entry = Entry::plain(&[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.write(&request("POST", "/q/merge/x", "", "b")).await;
    upstream.arrived(1).await;
    entry.stop.cancel();
    upstream.open_gate();
    assert_eq!(caller.answer().await.text(), "done");
    entry.served.await.expect("serving has ended");
}

#[tokio::test]
async fn drain_shows_not_ready() {
    let entry = Entry::plain(&[]).await;
    let mut caller = Caller::connect(entry.address).await;
    let ready = "GET /ready HTTP/1.1\r\nhost: entry\r\n\r\n";
    assert_eq!(caller.ask(ready).await.status, 200);
    let cfg = cfg().with_drain(Duration::from_hours(1), Duration::ZERO);
    let entry = Entry::start(cfg, &[]).await;
    let front = entry.front.clone();
    let drain = tokio::spawn(async move { front.drain(Duration::from_hours(2)).await });
    entry.until(|status| !status.is_ready).await;
    let mut caller = Caller::connect(entry.address).await;
    assert_eq!(caller.ask(ready).await.status, 503);
    drain.abort();
}

#[tokio::test(start_paused = true)]
async fn drain_with_all_connections_taken() {
    let upstream = Upstream::start(&[Act::Gated("done")]).await;
    let entry = Entry::start(cfg().with_connections_max(1), &[upstream.address]).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.write(&request("POST", "/q/merge/x", "", "b")).await;
    upstream.arrived(1).await;
    let front = entry.front.clone();
    let drain = tokio::spawn(async move { front.drain(Duration::from_secs(20)).await });
    upstream.open_gate();
    assert_eq!(caller.answer().await.text(), "done");
    assert_eq!(drain.await.expect("no panic").connections_cut, 0);
}
