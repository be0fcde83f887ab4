//! What the scheduler publishes: the teams' shares after each cycle, and on request the reason for a task's state.
//!
//! The shares are published in a channel of the [`World`](crate::world::World). Reasons are computed on request, since
//! a data centre can have tens of thousands of waiting tasks; the scheduler answers between two cycles.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_api::TeamShare;
use goldcrest_peer::usage::Usage;
use goldcrest_sched::Snapshot;
use goldcrest_types::names::{TaskKey, TeamName};
use goldcrest_types::units::Slots;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::world::World;

/// The most queries that wait for the scheduler.
pub const QUERIES_MAX: usize = 16;

/// How long a query waits for its answer. A cycle with its writes takes longer only if the key-value service is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A query for the reason of a task's state.
#[derive(Debug)]
pub struct TaskQuery {
    /// The task to explain.
    pub key: TaskKey,
    /// Receives the reason, or none if the scheduler does not have the task.
    pub answer: oneshot::Sender<Option<Box<str>>>,
}

/// Returns the reason for a task's state. None if this entry does not schedule the task, its query queue is full, or no
/// answer arrives within the timeout.
pub async fn task_reason(world: &World, key: TaskKey) -> Option<Box<str>> {
    let queries: mpsc::Sender<TaskQuery> = world.task_queries.borrow().clone()?;
    let (answer, answered) = oneshot::channel();
    queries.try_send(TaskQuery { key, answer }).ok()?;
    timeout(ANSWER_TIMEOUT, answered).await.ok()?.ok()?
}

/// Withdraws the published shares and closes the query channel when this entry stops scheduling.
pub fn withdraw(world: &World) {
    world.task_shares.send_replace(Vec::new());
    world.task_queries.send_replace(None);
}

/// Returns the running and waiting slots of each team's tasks. A waiting task counts as one slot.
#[must_use]
pub fn usage(snapshot: &Snapshot) -> BTreeMap<TeamName, Usage> {
    let teams = snapshot.teams.iter().map(|team| {
        let waiting = Slots::new(u32::try_from(team.waiting).unwrap_or(u32::MAX));
        let running = team.running;
        (team.team.clone(), Usage { running, waiting })
    });
    teams.collect()
}

/// Returns the ratio of the workers that each team uses, and the ratio that it is entitled to.
#[must_use]
pub fn shares(snapshot: &Snapshot) -> Vec<TeamShare> {
    let teams = snapshot.teams.iter().map(|team| TeamShare {
        team: team.team.clone(),
        used_ratio: team.used,
        entitled_ratio: team.entitled,
    });
    teams.collect()
}
