//! Routing and authentication of the operators' interface. Health, readiness and metrics need no key.

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use goldcrest_api::{CatalogueView, EditRequest, Problem, ProblemCode, Subject, path};
use goldcrest_obs::logs::Part;
use goldcrest_obs::metrics::CONTENT_TYPE as METRICS_TYPE;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::OperatorName;
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use super::{edits, explain, status};
use crate::http::{Answer, Door, bearer, json, read_json, serve as serve_http, text, with_type};
use crate::world::World;

/// The most open connections of operators.
const CONNECTIONS_MAX: usize = 256;

/// The largest body of an edit, in bytes.
const EDIT_BYTES_MAX: usize = 4 << 20;

/// The name under which edits are signed with the key of the settings, while the catalogue names no operator.
const FIRST_OPERATOR: &str = "first-operator";

/// Serves the operators' interface until `stop` is cancelled.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let door = Door {
        part: Part::Operator,
        listener,
        connections_max: CONNECTIONS_MAX,
    };
    let handle = move |request| {
        let world = Arc::clone(&world);
        async move { answer(&world, request).await }
    };
    serve_http(door, stop, handle).await;
}

async fn answer(world: &World, request: Request<Incoming>) -> Answer {
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::GET, path::HEALTH) => text(StatusCode::OK, "running\n"),
        (&Method::GET, path::READY) => ready(world),
        (&Method::GET, path::METRICS) => {
            let metrics = String::from(world.metrics.text());
            with_type(StatusCode::OK, metrics.into(), METRICS_TYPE)
        }
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
        (&Method::GET, path::CATALOGUE) => json(StatusCode::OK, &catalogue(world)),
        (&Method::GET, path::IN_FORCE) => json(StatusCode::OK, &status::in_force(world).await),
        (&Method::GET, path::STATUS) => json(StatusCode::OK, &status::whole_status(world).await),
        (&Method::POST, path::EDITS) => edit(world, operator, request).await,
        (&Method::GET, path) => explain_path(world, path).await,
        _ => not_found(),
    }
}

/// Returns the operator whose key the request carries. While the catalogue names no operator, the key of the settings
/// is accepted.
fn operator(world: &World, headers: &HeaderMap) -> Option<OperatorName> {
    let secret = bearer(headers)?;
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

fn catalogue(world: &World) -> CatalogueView {
    let in_force = world.catalogue.borrow().clone();
    match in_force {
        Some(in_force) => CatalogueView {
            revision: in_force.cat.revision(),
            spec: in_force.spec.as_ref().clone(),
        },
        None => CatalogueView::default(),
    }
}

async fn edit(world: &World, operator: OperatorName, request: Request<Incoming>) -> Answer {
    match read_json::<EditRequest>(request.into_body(), EDIT_BYTES_MAX).await {
        Ok(edit) => edits::apply(world, operator, edit).await,
        Err(error) => problem(
            StatusCode::BAD_REQUEST,
            ProblemCode::BadRequest,
            &error.to_string(),
        ),
    }
}

async fn explain_path(world: &World, path: &str) -> Answer {
    let rest = path.strip_prefix(path::EXPLAIN).unwrap_or("");
    let mut parts = rest.trim_start_matches('/').splitn(2, '/');
    let subject = parts.next().and_then(|text| text.parse::<Subject>().ok());
    let (Some(subject), Some(id)) = (subject, parts.next()) else {
        return not_found();
    };
    match explain::explain(world, subject, id).await {
        Some(explanation) => json(StatusCode::OK, &explanation),
        None => problem(
            StatusCode::NOT_FOUND,
            ProblemCode::NotFound,
            &format!("no entry knows anything about {subject} '{id}': check the id, or ask sooner"),
        ),
    }
}

/// Returns an error response with a problem document.
pub(super) fn problem(status: StatusCode, code: ProblemCode, detail: &str) -> Answer {
    let problem = Problem {
        code,
        detail: detail.into(),
    };
    json(status, &problem)
}

fn not_found() -> Answer {
    problem(
        StatusCode::NOT_FOUND,
        ProblemCode::NotFound,
        "there is no such path: use a goldcrestctl of this version",
    )
}
