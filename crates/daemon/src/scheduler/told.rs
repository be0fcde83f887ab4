//! What the scheduler tells of its decisions: the teams' shares each round, and on request why a task stands where it does.
//!
//! The shares lie in a channel of the [`World`](crate::world::World) for anybody to read. Reasons are made on request, since a
//! data centre can have tens of thousands of tasks waiting; the scheduler answers between two rounds.

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

/// How many questions wait for the scheduler at most.
pub const QUESTIONS_MAX: usize = 16;

/// How long an answer is waited for. A round of writes takes no longer unless the key-value service is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A question why a task stands where it does.
#[derive(Debug)]
pub struct TaskQuestion {
    /// The task.
    pub key: TaskKey,
    /// Takes the reason, or none if the scheduler does not have the task.
    pub answer: oneshot::Sender<Option<Box<str>>>,
}

/// Why a task stands where it does, if this entry schedules it.
pub async fn task_reason(world: &World, key: TaskKey) -> Option<Box<str>> {
    let questions: mpsc::Sender<TaskQuestion> = world.task_questions.borrow().clone()?;
    let (answer, answered) = oneshot::channel();
    questions.try_send(TaskQuestion { key, answer }).ok()?;
    timeout(ANSWER_TIMEOUT, answered).await.ok()?.ok()?
}

/// Withdraws what was told, as this entry no longer schedules.
pub fn end(world: &World) {
    world.task_shares.send_replace(Vec::new());
    world.task_questions.send_replace(None);
}

/// What the tasks of each team run and have waiting.
#[must_use]
pub fn usage(snapshot: &Snapshot) -> BTreeMap<TeamName, Usage> {
    let teams = snapshot.teams.iter().map(|team| {
        let waiting = Slots::new(u32::try_from(team.waiting).unwrap_or(u32::MAX));
        let running = team.running;
        (team.team.clone(), Usage { running, waiting })
    });
    teams.collect()
}

/// What part of the workers each team uses, beside what it is entitled to.
#[must_use]
pub fn shares(snapshot: &Snapshot) -> Vec<TeamShare> {
    let teams = snapshot.teams.iter().map(|team| TeamShare {
        team: team.team.clone(),
        used_ratio: team.used,
        entitled_ratio: team.entitled,
    });
    teams.collect()
}
