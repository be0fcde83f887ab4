//! Upstreams that count what they run and fail on demand.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::AnyError;

/// How long a request takes.
const SERVICE: Duration = Duration::from_millis(2);

type Body = BoxBody<Bytes, io::Error>;

/// What an upstream does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It refuses before it runs anything, and says so.
    Refuses,
    /// It takes this long.
    Slow(Duration),
    /// It answers with the id and body of the request before.
    Crosses,
    /// It breaks off in the middle of an answer.
    CutsOff,
}

#[derive(Debug)]
struct Upstream {
    address: SocketAddr,
    fault: Mutex<Fault>,
    last: Mutex<(String, String)>,
    taken: AtomicUsize,
    taken_wrong: AtomicUsize,
    killed: CancellationToken,
}

/// The upstreams of one scenario.
#[derive(Debug)]
pub struct Pool {
    upstreams: Vec<Arc<Upstream>>,
    struck: AtomicUsize,
    runs: Arc<Mutex<HashMap<usize, u32>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pool {
    /// Starts `count` upstreams.
    pub async fn start(count: usize) -> Result<Arc<Self>, AnyError> {
        let runs = Arc::new(Mutex::new(HashMap::new()));
        let mut upstreams = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let upstream = Arc::new(Upstream {
                address: listener.local_addr()?,
                fault: Mutex::new(Fault::None),
                last: Mutex::default(),
                taken: AtomicUsize::new(0),
                taken_wrong: AtomicUsize::new(0),
                killed: CancellationToken::new(),
            });
            tokio::spawn(serve(Arc::clone(&upstream), listener, Arc::clone(&runs)));
            upstreams.push(upstream);
        }
        let struck = AtomicUsize::new(0);
        Ok(Arc::new(Self {
            upstreams,
            struck,
            runs,
        }))
    }

    /// Where the upstreams listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.upstreams.iter().map(|up| up.address).collect()
    }

    /// Chooses the upstream that has taken the most requests by now: one that is drained would show nothing.
    pub fn choose(&self) {
        let taken = |index: &usize| self.upstreams[*index].taken.load(Ordering::Relaxed);
        let busiest = (0..self.upstreams.len()).max_by_key(taken);
        self.struck.store(busiest.unwrap_or(0), Ordering::Relaxed);
    }

    fn chosen(&self) -> &Upstream {
        &self.upstreams[self.struck.load(Ordering::Relaxed)]
    }

    /// Has the chosen upstream do something wrong from now on.
    pub fn set(&self, fault: Fault) {
        *lock(&self.chosen().fault) = fault;
    }

    /// Ends the chosen upstream with all its connections, in the midst of what it does.
    pub fn kill(&self) {
        self.chosen().killed.cancel();
    }

    /// How many requests the chosen upstream has taken: all of them if it was killed, else those while it did something
    /// wrong.
    pub fn struck(&self) -> usize {
        let upstream = self.chosen();
        let taken = if upstream.killed.is_cancelled() {
            &upstream.taken
        } else {
            &upstream.taken_wrong
        };
        taken.load(Ordering::Relaxed)
    }

    /// How often the request of this number ran.
    pub fn runs(&self, number: usize) -> u32 {
        lock(&self.runs).get(&number).copied().unwrap_or(0)
    }
}

async fn serve(
    upstream: Arc<Upstream>,
    listener: TcpListener,
    runs: Arc<Mutex<HashMap<usize, u32>>>,
) {
    let killed = upstream.killed.clone();
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let (up, runs) = (Arc::clone(&upstream), Arc::clone(&runs));
            let service = service_fn(move |request| {
                let (up, runs) = (Arc::clone(&up), Arc::clone(&runs));
                async move { Ok::<_, Infallible>(answer(&up, &runs, request).await) }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let conn = http.serve_connection(TokioIo::new(stream), service);
            let killed = upstream.killed.clone();
            tokio::spawn(async move { killed.run_until_cancelled(conn).await });
        }
    };
    killed.run_until_cancelled(accept).await;
}

async fn answer(
    upstream: &Upstream,
    runs: &Mutex<HashMap<usize, u32>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let (id, number) = (header("x-request-id"), header("x-number"));
    let fault = *lock(&upstream.fault);
    if number.parse::<usize>().is_ok() {
        upstream.taken.fetch_add(1, Ordering::Relaxed);
        let is_wrong = usize::from(fault != Fault::None);
        upstream.taken_wrong.fetch_add(is_wrong, Ordering::Relaxed);
    }
    if fault == Fault::Refuses {
        let mut refusal = reply(&id, "", Fault::None);
        *refusal.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        let outcome = hyper::header::HeaderValue::from_static("not-run");
        refusal.headers_mut().insert("x-outcome", outcome);
        return refusal;
    }
    if let Ok(number) = number.parse() {
        *lock(runs).entry(number).or_default() += 1;
    }
    let time = match fault {
        Fault::Slow(time) => time,
        _ => SERVICE,
    };
    tokio::time::sleep(time).await;
    let before = std::mem::replace(&mut *lock(&upstream.last), (id.clone(), number.clone()));
    match fault {
        Fault::Crosses => reply(&before.0, &before.1, fault),
        _ => reply(&id, &number, fault),
    }
}

fn reply(id: &str, body: &str, fault: Fault) -> Response<Body> {
    let text = Bytes::from(format!("done {body}"));
    let length = text.len();
    let body: Body = if fault == Fault::CutsOff {
        let half = text.slice(..length / 2);
        let frames = [Ok(Frame::data(half)), Err(io::Error::other("cut off"))];
        BodyExt::boxed(StreamBody::new(futures_util::stream::iter(frames)))
    } else {
        Full::new(text).map_err(|never| match never {}).boxed()
    };
    let mut answer = Response::new(body);
    let headers = answer.headers_mut();
    headers.insert("content-length", length.into());
    if let Ok(value) = id.parse() {
        headers.insert("x-request-id", value);
    }
    answer
}
