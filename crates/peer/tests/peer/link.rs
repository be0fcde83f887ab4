//! One link: handshake, refusals, bounds, and redialling.

use std::sync::Arc;
use std::time::Duration;

use goldcrest_peer::handshake::{HandshakeError, Hello};
use goldcrest_peer::link::{Link, LinkError};
use goldcrest_peer::message::{CatalogueRequest, ExplainAsk, Reply, Request};
use goldcrest_peer::pace::RateLimiter;
use goldcrest_peer::server::{Handler, PeerServer};
use goldcrest_types::clock::{Clock, SystemClock};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::units::{PerSecond, Revision};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::common::{hello, limits, soon, unreached};

/// Replies to explain queries with their own id, and to no other request.
struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: &Hello, request: Request) -> Reply {
        match request {
            Request::Explain(ask) => Reply::Explain(Some(ask.id)),
            _ => std::future::pending().await,
        }
    }
}

fn explain(id: &str) -> Request {
    Request::Explain(ExplainAsk { id: id.into() })
}

fn serve(listener: TcpListener, own: Hello) -> CancellationToken {
    let stop = CancellationToken::new();
    let server = PeerServer::new(listener, own, Arc::new(Echo));
    tokio::spawn(server.run(stop.clone()));
    stop
}

async fn listen() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn linked() -> (Link<SystemClock>, CancellationToken) {
    let (listener, address) = listen().await;
    let server_stop = serve(listener, hello(unreached(1, "lis-1")));
    let link = Link::new(address, hello(unreached(2, "lis-2")), limits(), SystemClock);
    tokio::spawn(link.clone().run(server_stop.clone()));
    soon(link.ready()).await;
    (link, server_stop)
}

#[tokio::test]
async fn call_answers_do_not_cross() {
    let (link, stop) = linked().await;
    let ids: Vec<String> = (0..64).map(|n| format!("task-{n}")).collect();
    let requests: Vec<Request> = ids.iter().map(|id| explain(id)).collect();
    let calls = requests.iter().map(|request| link.call(request));
    let answers = soon(futures_util::future::join_all(calls)).await;
    for (id, answer) in ids.iter().zip(answers) {
        assert_eq!(answer, Ok(Reply::Explain(Some(id.as_str().into()))));
    }
    assert_eq!(link.member(), Some(unreached(1, "lis-1")));
    stop.cancel();
}

#[tokio::test]
async fn call_beyond_in_flight_fails_at_once() {
    let (link, stop) = linked().await;
    let ask = Request::Catalogue(CatalogueRequest {
        above: Revision::ZERO,
    });
    let calls = (0..65).map(|_| link.call(&ask));
    let answers = soon(futures_util::future::join_all(calls)).await;
    let busy = answers.iter().filter(|a| **a == Err(LinkError::Busy));
    assert_eq!(busy.count(), 1);
    let unanswered = answers.iter().filter(|a| **a == Err(LinkError::NoAnswer));
    assert_eq!(unanswered.count(), 64);
    stop.cancel();
}

#[test]
fn try_acquire_beyond_rate_is_refused() {
    let mut now = SystemClock.now();
    let mut limiter = RateLimiter::new(PerSecond::new(10), 5, now);
    assert_eq!((0..20).filter(|_| limiter.try_acquire(now)).count(), 5);
    now += Duration::from_millis(200);
    assert_eq!((0..20).filter(|_| limiter.try_acquire(now)).count(), 2);
}

#[tokio::test]
async fn call_link_down_fails_at_once() {
    let (listener, address) = listen().await;
    drop(listener);
    let link = Link::new(address, hello(unreached(2, "lis-2")), limits(), SystemClock);
    assert_eq!(link.call(&explain("task-1")).await, Err(LinkError::Down));
}

#[tokio::test]
async fn run_redials_after_listener_restart() {
    let (listener, address) = listen().await;
    let first = serve(listener, hello(unreached(1, "lis-1")));
    let link = Link::new(address, hello(unreached(2, "lis-2")), limits(), SystemClock);
    let stop = CancellationToken::new();
    tokio::spawn(link.clone().run(stop.clone()));
    soon(link.ready()).await;
    first.cancel();
    soon(async {
        while link.call(&explain("task-1")).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address).expect("the same port");
    let listener = socket.listen(16).expect("a listener");
    let second = serve(listener, hello(unreached(3, "lis-1")));
    soon(link.ready()).await;
    assert_eq!(link.member(), Some(unreached(3, "lis-1")));
    assert_eq!(link.counts().set_up, 2);
    second.cancel();
    stop.cancel();
}

#[test]
fn check_versions_and_secret() {
    let own = hello(unreached(1, "lis-1"));
    let newer = Hello {
        version: 7,
        ..hello(unreached(2, "lis-1"))
    };
    assert_eq!(own.check(&newer), Ok(1));
    let too_new = Hello {
        version_oldest: 7,
        ..newer.clone()
    };
    assert_eq!(own.check(&too_new), Err(HandshakeError::Version(7, 1)));
    let stranger = Hello::new(unreached(2, "lis-1"), KeyDigest::of("another"));
    assert_eq!(own.check(&stranger), Err(HandshakeError::Secret));
    let own_entry = own.member.entry;
    assert_eq!(own.check(&own), Err(HandshakeError::Own(own_entry)));
}

#[tokio::test]
async fn initiate_stranger_learns_nothing() {
    let (listener, address) = listen().await;
    let stop = serve(listener, hello(unreached(1, "lis-1")));
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("a socket");
    let url = format!("ws://{address}/peer");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream)
        .await
        .expect("a WebSocket");
    let stranger = Hello::new(unreached(2, "lis-1"), KeyDigest::of("another"));
    let outcome = soon(goldcrest_peer::handshake::initiate(&mut socket, &stranger)).await;
    assert!(
        matches!(outcome, Err(HandshakeError::NoHello(_))),
        "{outcome:?}"
    );
    stop.cancel();
}
