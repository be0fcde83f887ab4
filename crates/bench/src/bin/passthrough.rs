//! The serving path against a bare hyper pass-through, in one run on the same number of threads.
//!
//! `cargo run --release -p goldcrest-bench --bin passthrough -- [--threads N] [--callers N] [--rounds N] [--round-ms N]`
//!
//! Callers, proxy and upstream each have a runtime of their own in this process. A caller sends its next request as
//! soon as it has an answer. Throughput is taken in rounds that alternate between the two proxies. Latency is taken
//! with the fewest callers under which the serving path has half of its throughput.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_front::{
    Front, FrontCfg, KeyFreshness, TeamGrant, TeamGrants, UpstreamSet, UpstreamSpec,
};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::units::{Revision, Slots};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

type AnyError = Box<dyn Error + Send + Sync>;

const SECRET: &str = "bench-secret";
const ANSWER: &[u8] = &[b'a'; 256];

#[derive(Debug, Clone, Copy)]
struct Load {
    callers: usize,
    round: Duration,
}

fn main() -> Result<(), AnyError> {
    let mut args = pico_args::Arguments::from_env();
    let threads = args.opt_value_from_str("--threads")?.unwrap_or(2);
    let rounds: usize = args.opt_value_from_str("--rounds")?.unwrap_or(5);
    let round_ms = args.opt_value_from_str("--round-ms")?.unwrap_or(2_000);
    let load = Load {
        callers: args.opt_value_from_str("--callers")?.unwrap_or(64),
        round: Duration::from_millis(round_ms),
    };
    let upstreams = runtime(2)?;
    let proxies = runtime(threads)?;
    let callers = runtime(2)?;
    let upstream = upstreams.block_on(start_upstream())?;
    let bare = proxies.block_on(start_bare(upstream))?;
    let front = proxies.block_on(start_front(upstream))?;
    let mut bare_rates = Vec::new();
    let mut front_rates = Vec::new();
    for _ in 0..rounds {
        bare_rates.push(callers.block_on(run(bare, load))?.rate);
        front_rates.push(callers.block_on(run(front, load))?.rate);
    }
    let (bare_rate, front_rate) = (median(&mut bare_rates), median(&mut front_rates));
    let ratio = front_rate / bare_rate;
    println!(
        "threads of the proxy: {threads}, callers: {}, rounds: {rounds}",
        load.callers
    );
    println!("throughput, median of rounds: bare {bare_rate:.0}/s, serving path {front_rate:.0}/s");
    println!("ratio: {ratio:.3}");
    let half = half_load(&callers, front, load, front_rate / 2.0)?;
    let mut added = Vec::new();
    for _ in 0..rounds {
        let direct = callers.block_on(run(upstream, half))?;
        let bare = callers.block_on(run(bare, half))?;
        let front = callers.block_on(run(front, half))?;
        println!(
            "{} callers: median direct {} us, bare {} us at {:.0}/s, serving path {} us at {:.0}/s",
            half.callers, direct.median_us, bare.median_us, bare.rate, front.median_us, front.rate
        );
        let over_bare = front.median_us.saturating_sub(bare.median_us);
        added.push((over_bare, front.median_us.saturating_sub(direct.median_us)));
    }
    added.sort_unstable();
    let (over_bare, over_direct) = added[added.len() / 2];
    println!("added median latency: {over_bare} us over bare, {over_direct} us over direct");
    if ratio < 0.75 || over_bare >= 100 {
        return Err("under 0.75 of the bare pass-through, or 100 us and more added".into());
    }
    Ok(())
}

fn runtime(threads: usize) -> Result<Runtime, AnyError> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

fn median(rates: &mut [f64]) -> f64 {
    rates.sort_unstable_by(f64::total_cmp);
    rates[rates.len() / 2]
}

async fn start_upstream() -> Result<SocketAddr, AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let service = service_fn(|request: Request<Incoming>| async move {
                let mut answer = Response::new(Full::new(Bytes::from_static(ANSWER)));
                if let Some(id) = request.headers().get("x-request-id") {
                    answer.headers_mut().insert("x-request-id", id.clone());
                }
                Ok::<_, Infallible>(answer)
            });
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

/// A proxy that does nothing but forward.
async fn start_bare(upstream: SocketAddr) -> Result<SocketAddr, AnyError> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Incoming> = Client::builder(TokioExecutor::new()).build(connector);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let client = client.clone();
            let service = service_fn(move |request| forward(client.clone(), upstream, request));
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn forward(
    client: Client<HttpConnector, Incoming>,
    upstream: SocketAddr,
    mut request: Request<Incoming>,
) -> Result<Response<Incoming>, AnyError> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(upstream.to_string());
    *request.uri_mut() = uri.path_and_query(path).build()?;
    Ok(client.request(request).await?)
}

async fn start_front(upstream: SocketAddr) -> Result<SocketAddr, AnyError> {
    let digest = KeyDigest::of(SECRET);
    let text = format!(
        "data_centres: [{{name: dc1, region: west}}]
pools: [{{name: web, kind: upstreams, max_unavailable_vms: 1}}]
teams: [{{name: desk, share: 1, upper_limit_slots: 10000}}]
queues: [{{name: merge, owner: desk, class: interactive, pool: web, limits: {{running_slots: 4096, upstream_slots: 4096}}}}]
keys: [{{name: desk-key, team: desk, digest: \"{digest}\"}}]
"
    );
    let spec = parse(&text).map_err(|findings| format!("{findings:?}"))?;
    let cat = Catalogue::resolve(&spec, Revision::new(1));
    let cat = cat.map_err(|findings| format!("{findings:?}"))?;
    let front = Front::new(FrontCfg::new("dc1".parse()?), Arc::new(SystemClock));
    front.set_catalogue(Arc::new(cat));
    front.set_grants(TeamGrants {
        teams: vec![TeamGrant {
            team: "desk".parse()?,
            floor: Slots::new(4_096),
            lent: Slots::ZERO,
        }],
        lent_until: None,
    });
    front.set_upstreams(UpstreamSet {
        upstreams: vec![UpstreamSpec {
            vm: "vm1".parse()?,
            pool: "web".parse()?,
            dc: "dc1".parse()?,
            address: upstream,
            leaving: false,
        }],
    });
    let until = Some(Instant::now() + Duration::from_hours(1));
    front.set_key_freshness(KeyFreshness { until });
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move { front.serve(listener, CancellationToken::new()).await });
    Ok(address)
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, AnyError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    Ok(sender)
}

async fn ask(sender: &mut SendRequest<Empty<Bytes>>) -> Result<(), AnyError> {
    let request = Request::get("/q/merge/item")
        .header("host", "entry")
        .header("authorization", format!("Bearer {SECRET}"))
        .body(Empty::new())?;
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(format!("status {}", answer.status()).into());
    }
    let body = answer.into_body().collect().await?.to_bytes();
    if body.len() != ANSWER.len() {
        return Err("the answer is not whole".into());
    }
    Ok(())
}

/// What one round came to.
#[derive(Debug)]
struct Round {
    rate: f64,
    median_us: u64,
}

/// The fewest callers under which the serving path has half of its throughput.
fn half_load(
    callers: &Runtime,
    front: SocketAddr,
    load: Load,
    rate: f64,
) -> Result<Load, AnyError> {
    for count in 1..=load.callers {
        let half = Load {
            callers: count,
            round: load.round / 4,
        };
        if callers.block_on(run(front, half))?.rate >= rate {
            return Ok(Load {
                callers: count,
                ..load
            });
        }
    }
    Err("half of the throughput was not reached: run it on an idle machine".into())
}

/// Every caller sends its next request as soon as it has an answer.
async fn run(address: SocketAddr, load: Load) -> Result<Round, AnyError> {
    let end = Instant::now() + load.round;
    let mut tasks = Vec::new();
    for _ in 0..load.callers {
        tasks.push(tokio::spawn(async move {
            let mut sender = connect(address).await?;
            let mut times = Histogram::<u64>::new(3)?;
            while Instant::now() < end {
                let sent = Instant::now();
                ask(&mut sender).await?;
                times.record(u64::try_from(sent.elapsed().as_micros())?)?;
            }
            Ok::<_, AnyError>(times)
        }));
    }
    let mut all = Histogram::<u64>::new(3)?;
    for task in tasks {
        all.add(task.await??)?;
    }
    let count = u32::try_from(all.len())?;
    Ok(Round {
        rate: f64::from(count) / load.round.as_secs_f64(),
        median_us: all.value_at_quantile(0.5),
    })
}
