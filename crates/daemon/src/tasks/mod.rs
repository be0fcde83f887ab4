//! The HTTP interface of task submitters.
//!
//! `POST /v1/tasks` accepts a task, `GET /v1/tasks/<key>` returns its state, `DELETE /v1/tasks/<key>` cancels it. A
//! submitter presents its team's key and sees only that team's tasks. A task is reported as accepted only once it is in
//! its document; a task that is sent again with the same task key is accepted once.

mod answer;

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use goldcrest_ledger::jobs::{Checkpoint, JobAnswer, JobsDoc, Task, TaskState};
use goldcrest_obs::logs::Part;
use goldcrest_session::UpdateError;
use goldcrest_types::catalogue::{Access, Catalogue, PoolKind};
use goldcrest_types::entity::TeamId;
use goldcrest_types::names::{QueueName, TaskKey};
use goldcrest_types::units::Resources;
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use self::answer::{Refusal, TaskView, accepted, found, refused};
use crate::http::{Answer, Door, bearer, read_json, serve as serve_http};
use crate::scheduler::intake::IntakeError;
use crate::scheduler::jobs_key;
use crate::scheduler::plan::shard_of;
use crate::world::World;

const TASKS: &str = "/v1/tasks";

/// The most open connections of submitters.
const CONNECTIONS_MAX: usize = 4_096;

/// The size that the body of a submission may have besides its payload, in bytes.
const ENVELOPE_BYTES: usize = 4 << 10;

/// A task as its submitter sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    /// The task's key, kept when a submitter sends the task again. Drawn at random if absent.
    key: Option<TaskKeyText>,
    /// The queue, whose pool must be of workers.
    queue: QueueName,
    /// The resources that the task needs on its worker.
    need: Resources,
    /// The expected run time in milliseconds.
    run_ms: u64,
    /// The payload, passed to the worker as it is.
    payload: Box<str>,
    /// Whether the task may be run again when it is unknown whether it ran.
    #[serde(default)]
    idempotent: bool,
    /// Whether the task can save a checkpoint and resume from it.
    #[serde(default = "can_checkpoint")]
    checkpointable: bool,
}

/// The platform's workers can checkpoint a task unless its submitter says otherwise.
const fn can_checkpoint() -> bool {
    true
}

/// A task key, parsed from its text form.
#[derive(Debug, Deserialize)]
#[serde(try_from = "Box<str>")]
struct TaskKeyText(TaskKey);

impl TryFrom<Box<str>> for TaskKeyText {
    type Error = goldcrest_types::names::NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse().map(Self)
    }
}

/// Serves the task interface until `stop` is cancelled.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let door = Door {
        part: Part::Scheduler,
        listener,
        connections_max: CONNECTIONS_MAX,
    };
    let handle = move |request| {
        let world = Arc::clone(&world);
        async move {
            match answer(&world, request).await {
                Ok(answer) => answer,
                Err(refusal) => refused(&refusal),
            }
        }
    };
    serve_http(door, stop, handle).await;
}

/// Writes the requests of the intake to the tasks documents until `stop` is cancelled.
pub async fn write(world: Arc<World>, stop: CancellationToken) {
    let mut writers = world.writers.lock().await;
    writers.run(&world, &stop).await;
}

async fn answer(world: &World, request: Request<Incoming>) -> Result<Answer, Refusal> {
    let path: Box<str> = request.uri().path().into();
    if *request.method() == Method::POST && &*path == TASKS {
        return submit(world, request).await;
    }
    let key: TaskKey = path
        .strip_prefix(TASKS)
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|text| text.parse().ok())
        .ok_or(Refusal::NoPath)?;
    let cat = catalogue_for(world, request.headers())?;
    let team = team_of_key(&cat, request.headers())?;
    match *request.method() {
        Method::GET => read_task(world, &cat, team, key)
            .await
            .map(|view| found(&view)),
        Method::DELETE => cancel(world, &cat, team, key).await,
        _ => Err(Refusal::NoPath),
    }
}

async fn submit(world: &World, request: Request<Incoming>) -> Result<Answer, Refusal> {
    if world.stopping.is_cancelled() {
        return Err(Refusal::NotReady);
    }
    let headers = request.headers().clone();
    // Checked before the body is read, to refuse early.
    catalogue_for(world, &headers)?;
    let payload_max = usize::try_from(world.settings.front.task_bytes.get()).unwrap_or(usize::MAX);
    let bytes_max = payload_max.saturating_add(ENVELOPE_BYTES);
    let sent: Submission = read_json(request.into_body(), bytes_max)
        .await
        .map_err(|error| Refusal::Message(error.to_string().into()))?;
    // Checked again: the key may have been withdrawn while the body was received.
    let cat = catalogue_for(world, &headers)?;
    let queue = cat.queue(sent.queue.as_str()).ok_or(Refusal::NoQueue)?;
    let record = &cat.queues[queue];
    if cat.pools[record.pool].kind != PoolKind::Workers {
        return Err(Refusal::NoWorkers);
    }
    let has_key = bearer(&headers).is_some();
    let team = if record.access == Access::Open && !has_key {
        record.owner
    } else {
        team_of_key(&cat, &headers)?
    };
    let key = sent
        .key
        .map_or_else(|| TaskKey::new(rand::random()), |key| key.0);
    let task = Task {
        queue: sent.queue,
        team: cat.teams[team].name.clone(),
        class: record.class,
        need: sent.need,
        run_ms: sent.run_ms,
        payload: sent.payload,
        is_idempotent: sent.idempotent,
        attempts: 0,
        checkpoint: if sent.checkpointable {
            Checkpoint::Possible
        } else {
            Checkpoint::Impossible
        },
        is_cancelled: false,
        state: TaskState::Waiting,
    };
    let answer = world.intake.accept(key, task).await;
    answer.map_err(|error| intake_refusal(key, error))?;
    Ok(accepted(key))
}

/// Returns the catalogue in force. A request with a key is refused unless the catalogue is proven fresh.
fn catalogue_for(world: &World, headers: &HeaderMap) -> Result<Arc<Catalogue>, Refusal> {
    if bearer(headers).is_some() && !world.freshness.borrow().holds(world.now()) {
        return Err(Refusal::KeysNotFresh);
    }
    // Read after the proof, so the catalogue is at least of the revision that the proof covers.
    world.cat().ok_or(Refusal::NotReady)
}

/// Returns the team whose key the request carries.
fn team_of_key(cat: &Catalogue, headers: &HeaderMap) -> Result<TeamId, Refusal> {
    let secret = bearer(headers).ok_or(Refusal::NoKey)?;
    let key = cat.key(secret).ok_or(Refusal::UnknownKey)?;
    Ok(cat.keys[key].team)
}

/// Reads the state of a task. A task of another team is refused as unknown.
async fn read_task(
    world: &World,
    cat: &Catalogue,
    team: TeamId,
    key: TaskKey,
) -> Result<TaskView, Refusal> {
    let dc = &world.settings.entry.data_centre;
    let doc_key = jobs_key(dc, shard_of(key));
    let read = world.session.read::<JobsDoc>(&doc_key).await;
    let (doc, _) = read.map_err(|error: UpdateError| Refusal::Store(error.to_string().into()))?;
    if let Some(task) = doc.tasks().get(&key) {
        let is_own = task.team == cat.teams[team].name;
        return is_own
            .then(|| TaskView::of(key, task))
            .ok_or(Refusal::NoTask);
    }
    let outcome = doc.outcome(key).ok_or(Refusal::NoTask)?;
    Ok(TaskView::ended(key, outcome))
}

async fn cancel(
    world: &World,
    cat: &Catalogue,
    team: TeamId,
    key: TaskKey,
) -> Result<Answer, Refusal> {
    let view = read_task(world, cat, team, key).await?;
    if view.is_ended() {
        return Ok(found(&view));
    }
    let answer = world.intake.cancel(key).await;
    let answer = answer.map_err(|error| intake_refusal(key, error))?;
    Ok(match answer {
        JobAnswer::Ended(outcome) => found(&TaskView::ended(key, outcome)),
        JobAnswer::Done | JobAnswer::Known | JobAnswer::Stopping | JobAnswer::Repeated => {
            accepted(key)
        }
    })
}

fn intake_refusal(key: TaskKey, error: IntakeError) -> Refusal {
    match error {
        IntakeError::Refused(cause) => Refusal::Document(cause.to_string().into()),
        IntakeError::Busy => Refusal::Busy,
        IntakeError::Unknown => Refusal::Unknown(key),
    }
}
