//! Connections of operators, the balancer's checks and the metrics' collector.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_api::{CatalogueView, EditRequest, Problem, ProblemCode, Subject, path};
use goldcrest_obs::logs::Part;
use goldcrest_obs::metrics::CONTENT_TYPE as METRICS_TYPE;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::OperatorName;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{edits, explain, status};
use crate::world::World;

const PART: &str = Part::Operator.as_str();

/// The most connections at one time.
const CONNECTIONS_MAX: usize = 256;

/// The longest wait for a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest a connection stays open.
const CONNECTION_TIMEOUT: Duration = Duration::from_mins(2);

/// The largest edit, in bytes.
const EDIT_BYTES_MAX: usize = 4 << 20;

/// The operator's name while the catalogue names none.
const FIRST_OPERATOR: &str = "first-operator";

type Answer = Response<Full<Bytes>>;

/// Serves the operators' interface. The listener stays open while this part is restarted.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let listener = match listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: PART, "The listener can't be used: {error}.");
            return;
        }
    };
    let free = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else {
            log::warn!(target: PART, "Too many connections.");
            continue;
        };
        let world = Arc::clone(&world);
        let stop = stop.clone();
        tokio::spawn(async move {
            connection(world, stream, stop).await;
            drop(permit);
        });
    }
}

async fn connection(world: Arc<World>, stream: TcpStream, stop: CancellationToken) {
    let service = service_fn(move |request| {
        let world = Arc::clone(&world);
        async move { Ok::<_, std::convert::Infallible>(answer(&world, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        ended = tokio::time::timeout(CONNECTION_TIMEOUT, serving) => {
            if let Ok(Err(error)) = ended {
                log::debug!(target: PART, "Connection ended: {error}.");
            }
        }
    }
}

async fn answer(world: &World, request: Request<Incoming>) -> Answer {
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::GET, path::HEALTH) => text(StatusCode::OK, "running\n"),
        (&Method::GET, path::READY) => ready(world),
        (&Method::GET, path::METRICS) => metrics(world),
        _ => match operator(world, request.headers()) {
            Some(operator) => operators_answer(world, operator, &path, request).await,
            None => problem(
                StatusCode::UNAUTHORIZED,
                ProblemCode::Unauthorized,
                "no operator's key, or one that is not in the catalogue: send it as a bearer token",
            ),
        },
    }
}

async fn operators_answer(
    world: &World,
    operator: OperatorName,
    path: &str,
    request: Request<Incoming>,
) -> Answer {
    match (request.method(), path) {
        (&Method::GET, path::CATALOGUE) => json(&catalogue(world)),
        (&Method::GET, path::IN_FORCE) => json(&status::in_force(world).await),
        (&Method::GET, path::STATUS) => json(&status::status(world)),
        (&Method::POST, path::EDITS) => match read_edit(request).await {
            Ok(edit) => edits::apply(world, operator, edit).await,
            Err(refusal) => refusal,
        },
        (&Method::GET, path) => explain_path(world, path).await,
        _ => not_found(),
    }
}

/// Who signs with the key in these headers. While the catalogue names no operator, the key of the settings counts.
fn operator(world: &World, headers: &HeaderMap) -> Option<OperatorName> {
    let header = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let secret = header.strip_prefix("Bearer ")?;
    let cat = world.cat();
    if let Some(cat) = cat.as_ref().filter(|cat| !cat.operators.is_empty()) {
        return cat.operator(secret).cloned();
    }
    let first = world.settings.entry.first_operator_digest?;
    let is_first = first == KeyDigest::of(secret);
    is_first.then(|| FIRST_OPERATOR.parse().ok()).flatten()
}

fn ready(world: &World) -> Answer {
    match status::not_ready(world) {
        None => text(StatusCode::OK, "ready\n"),
        Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n")),
    }
}

fn metrics(world: &World) -> Answer {
    let mut answer = text(StatusCode::OK, &world.metrics.text());
    let kind = HeaderValue::from_static(METRICS_TYPE);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn catalogue(world: &World) -> CatalogueView {
    let in_force = world.catalogue.borrow();
    CatalogueView {
        revision: world.revision(),
        spec: in_force
            .as_ref()
            .map(|in_force| in_force.spec.as_ref().clone())
            .unwrap_or_default(),
    }
}

async fn read_edit(request: Request<Incoming>) -> Result<EditRequest, Answer> {
    let body = Limited::new(request.into_body(), EDIT_BYTES_MAX);
    let Ok(whole) = body.collect().await else {
        return Err(bad_request(
            "the edit is cut short or over 4 MiB: send fewer changes at a time",
        ));
    };
    serde_json::from_slice(&whole.to_bytes())
        .map_err(|error| bad_request(&format!("{error}: send an edit as goldcrestctl does")))
}

async fn explain_path(world: &World, path: &str) -> Answer {
    let rest = path.strip_prefix(path::EXPLAIN).unwrap_or("");
    let mut parts = rest.trim_start_matches('/').splitn(2, '/');
    let subject = parts.next().and_then(|text| text.parse::<Subject>().ok());
    let (Some(subject), Some(id)) = (subject, parts.next()) else {
        return not_found();
    };
    match explain::explain(world, subject, id).await {
        Some(explanation) => json(&explanation),
        None => problem(
            StatusCode::NOT_FOUND,
            ProblemCode::NotFound,
            &format!(
                "nothing is known here about {subject} '{id}': ask the entry that took it, or check the id"
            ),
        ),
    }
}

/// An answer in JSON.
pub(super) fn json<T: Serialize>(message: &T) -> Answer {
    match serde_json::to_vec(message) {
        Ok(body) => with_type(StatusCode::OK, body.into(), "application/json"),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// An answer that says what went wrong.
pub(super) fn problem(status: StatusCode, code: ProblemCode, detail: &str) -> Answer {
    let problem = Problem {
        code,
        detail: detail.into(),
    };
    let mut answer = json(&problem);
    *answer.status_mut() = status;
    answer
}

fn bad_request(detail: &str) -> Answer {
    problem(StatusCode::BAD_REQUEST, ProblemCode::BadRequest, detail)
}

fn not_found() -> Answer {
    problem(
        StatusCode::NOT_FOUND,
        ProblemCode::NotFound,
        "there is no such path: use a goldcrestctl of this version",
    )
}

fn text(status: StatusCode, body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    with_type(status, body, "text/plain; charset=utf-8")
}

fn with_type(status: StatusCode, body: Bytes, kind: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
