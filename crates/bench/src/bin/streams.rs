//! The memory of an entry with many open streams.
//!
//! `cargo run --release -p goldcrest-bench --bin streams -- --streams N [--direct] [--http1]`
//!
//! Callers, entry and upstream share this process. With `--direct` the callers go to the upstream without an entry, so
//! the difference of two runs is the entry's part. By default both sides speak HTTP/2; with `--http1` each stream has
//! a connection of its own on each side, which takes four file descriptors a stream here.
//!
//! Many streams of HTTP/1.1 need more descriptors than one process may have. Then three processes, started by hand in
//! this order, hold them together; the entry speaks HTTP/2 to the upstream and prints its own memory:
//!
//! ```text
//! streams --part upstream                            # prints its address
//! streams --part entry --to ADDRESS --streams N      # prints its address, then its memory at N streams
//! streams --part callers --to ADDRESS --streams N    # HTTP/1.1, or HTTP/2 with --http2
//! ```

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use goldcrest_front::{
    Front, FrontCfg, KeyFreshness, TeamGrant, TeamGrants, UpstreamProtocol, UpstreamSet,
    UpstreamSpec,
};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::units::{Revision, Slots};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::{http1, http2};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

type AnyError = Box<dyn Error + Send + Sync>;

/// Streams of one HTTP/2 connection of a caller.
const STREAMS_A_CONNECTION: usize = 200;
/// What each stream has sent before it goes silent.
const FIRST: &[u8] = &[b's'; 1_024];

/// How long the callers of a run over three processes hold their streams.
const HOLD: Duration = Duration::from_secs(20);
/// The time between two looks at the streams of an entry.
const LOOK: Duration = Duration::from_millis(500);

/// What this process is in a run over three processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Upstream,
    Entry,
    Callers,
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "upstream" => Ok(Self::Upstream),
            "entry" => Ok(Self::Entry),
            "callers" => Ok(Self::Callers),
            _ => Err(format!(
                "'{text}' is no part: say upstream, entry or callers"
            )),
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut args = pico_args::Arguments::from_env();
    let part: Option<Part> = args.opt_value_from_str("--part")?;
    match part {
        Some(Part::Upstream) => {
            println!("{}", start_upstream().await?);
            std::future::pending().await
        }
        Some(Part::Entry) => {
            entry(
                args.value_from_str("--to")?,
                args.value_from_str("--streams")?,
            )
            .await
        }
        Some(Part::Callers) => {
            let is_h1 = !args.contains("--http2");
            let streams = args.value_from_str("--streams")?;
            let open = open_all(args.value_from_str("--to")?, streams, is_h1).await?;
            println!("{} streams open", open.len());
            tokio::time::sleep(HOLD).await;
            Ok(())
        }
        None => together(args).await,
    }
}

/// An entry that tells its memory before the first stream and with `streams` of them, and ends with the last.
async fn entry(upstream: SocketAddr, streams: u32) -> Result<(), AnyError> {
    let front = front(upstream, false)?;
    println!("{}", serve(&front).await?);
    let before = resident_kb()?;
    let running = || front.status().running.get();
    while running() < streams {
        tokio::time::sleep(LOOK).await;
    }
    let (after, open) = (resident_kb()?, std::fs::read_dir("/proc/self/fd")?.count());
    println!("{} streams run at the entry, {open} descriptors", running());
    println!(
        "resident before {before} kB, after {after} kB, {} kB more",
        after - before
    );
    Ok(())
}

async fn open_all(
    target: SocketAddr,
    streams: usize,
    is_h1: bool,
) -> Result<Vec<Incoming>, AnyError> {
    let mut open = Vec::with_capacity(streams);
    if is_h1 {
        for _ in 0..streams {
            open.push(open_h1(target).await?);
        }
    } else {
        while open.len() < streams {
            let count = STREAMS_A_CONNECTION.min(streams - open.len());
            open.extend(open_h2(target, count).await?);
        }
    }
    Ok(open)
}

async fn together(mut args: pico_args::Arguments) -> Result<(), AnyError> {
    let streams: usize = args.value_from_str("--streams")?;
    let is_direct = args.contains("--direct");
    let is_h1 = args.contains("--http1");
    let upstream = start_upstream().await?;
    let front = (!is_direct).then(|| front(upstream, is_h1)).transpose()?;
    let target = match &front {
        Some(front) => serve(front).await?,
        None => upstream,
    };
    let before = resident_kb()?;
    let open = open_all(target, streams, is_h1).await?;
    let after = resident_kb()?;
    let running = front
        .as_ref()
        .map_or(0, |front| front.status().running.get());
    let protocol = if is_h1 { "HTTP/1.1" } else { "HTTP/2" };
    let way = if is_direct {
        "direct"
    } else {
        "through an entry"
    };
    println!("{streams} streams of {protocol}, {way}, {running} running at the entry");
    println!(
        "resident before {before} kB, after {after} kB, {} kB more",
        after - before
    );
    drop(open);
    Ok(())
}

fn resident_kb() -> Result<u64, AnyError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.ok_or("no VmRSS: run it on Linux")?.parse()?)
}

/// An upstream whose answers begin and never end.
async fn start_upstream() -> Result<SocketAddr, AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<Incoming>| async move {
                let first =
                    stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from_static(FIRST)))]);
                let body = StreamBody::new(first.chain(stream::pending()));
                let mut answer = Response::new(body);
                if let Some(id) = request.headers().get("x-request-id") {
                    answer.headers_mut().insert("x-request-id", id.clone());
                }
                Ok::<_, Infallible>(answer)
            });
            tokio::spawn(async move {
                let mut http = auto::Builder::new(TokioExecutor::new());
                http.http2().max_concurrent_streams(100_000);
                http.serve_connection(TokioIo::new(stream), service).await
            });
        }
    });
    Ok(address)
}

fn front(upstream: SocketAddr, is_h1: bool) -> Result<Front, AnyError> {
    let text = "data_centres: [{name: dc1, region: west}]
pools: [{name: web, kind: upstreams, max_unavailable_vms: 1}]
teams: [{name: desk, share: 1, upper_limit_slots: 100000}]
queues: [{name: open, owner: desk, class: interactive, pool: web, access: open, limits: {running_slots: 100000, upstream_slots: 60000, deadline_ms: 300000}}]
";
    let spec = parse(text).map_err(|findings| format!("{findings:?}"))?;
    let cat = Catalogue::resolve(&spec, Revision::new(1));
    let cat = cat.map_err(|findings| format!("{findings:?}"))?;
    let protocol = if is_h1 {
        UpstreamProtocol::Http1
    } else {
        UpstreamProtocol::Http2
    };
    let cfg = FrontCfg::new("dc1".parse()?).with_upstream_protocol(protocol);
    let front = Front::new(cfg, Arc::new(SystemClock));
    front.set_catalogue(Arc::new(cat));
    front.set_grants(TeamGrants {
        teams: vec![TeamGrant {
            team: "desk".parse()?,
            floor: Slots::new(100_000),
            lent: Slots::ZERO,
        }],
        lent_until: None,
    });
    let until = Some(Instant::now() + Duration::from_hours(1));
    front.set_key_freshness(KeyFreshness { until });
    front.set_upstreams(UpstreamSet {
        upstreams: vec![UpstreamSpec {
            vm: "vm1".parse()?,
            pool: "web".parse()?,
            dc: "dc1".parse()?,
            address: upstream,
            leaving: false,
        }],
    });
    Ok(front)
}

async fn serve(front: &Front) -> Result<SocketAddr, AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let front = front.clone();
    tokio::spawn(async move { front.serve(listener, CancellationToken::new()).await });
    Ok(address)
}

fn request(host: SocketAddr) -> Result<Request<Empty<Bytes>>, AnyError> {
    let request = Request::get(format!("http://{host}/q/open/item"));
    Ok(request
        .header("host", host.to_string())
        .body(Empty::new())?)
}

/// Reads the first frame, after which the stream is silent.
async fn first_frame(answer: Response<Incoming>) -> Result<Incoming, AnyError> {
    if !answer.status().is_success() {
        return Err(format!("status {}: raise the limits", answer.status()).into());
    }
    let mut body = answer.into_body();
    body.frame().await.ok_or("no first frame")??;
    Ok(body)
}

async fn open_h1(target: SocketAddr) -> Result<Incoming, AnyError> {
    let stream = TcpStream::connect(target).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    first_frame(sender.send_request(request(target)?).await?).await
}

async fn open_h2(target: SocketAddr, count: usize) -> Result<Vec<Incoming>, AnyError> {
    let stream = TcpStream::connect(target).await?;
    let io = TokioIo::new(stream);
    let (mut sender, conn) = http2::handshake(TokioExecutor::new(), io).await?;
    tokio::spawn(conn);
    let mut open = Vec::with_capacity(count);
    for _ in 0..count {
        sender.ready().await?;
        let answer = sender.send_request(request(target)?).await?;
        open.push(first_frame(answer).await?);
    }
    Ok(open)
}
