//! Why a task is where it is, and how the teams stand.

use std::fmt;
use std::time::Instant;

use goldcrest_types::names::{QueueName, TaskKey, TeamName, VmName};
use goldcrest_types::units::Slots;

use super::Scheduler;
use crate::order::is_throttled;
use crate::reason::Reason;
use crate::state::{Outcome, State, Task, TaskState, dominant};

/// Where a task stands, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The task.
    pub key: TaskKey,
    /// The team it runs for.
    pub team: Option<TeamName>,
    /// The queue it came through.
    pub queue: Option<QueueName>,
    /// The worker it is on.
    pub worker: Option<VmName>,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
    /// How often it was started.
    pub attempts: u32,
    /// Why it stands where it does.
    pub reason: Reason,
    /// The same for people, with names.
    pub text: Box<str>,
}

/// A reason with the names of its worker and team.
struct Named<'a> {
    reason: &'a Reason,
    state: &'a State,
}

impl fmt::Display for Named<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none: &dyn fmt::Display = &"";
        let workers = &self.state.workers.names;
        let teams = &self.state.teams.names;
        let worker = self.reason.worker().and_then(|id| workers.name(id));
        let team = self.reason.team().and_then(|id| teams.name(id));
        let worker = worker.map_or(none, |name| name);
        let team = team.map_or(none, |name| name);
        self.reason.write_with(f, worker, team)
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task {}", self.key)?;
        if let Some(team) = &self.team {
            write!(f, " of team {team}")?;
        }
        if let Some(queue) = &self.queue {
            write!(f, " in queue {queue}")?;
        }
        if let Some(worker) = &self.worker {
            write!(f, " on {worker}")?;
        }
        if let Some(outcome) = &self.outcome {
            write!(f, " ended as {outcome:?}")?;
        }
        write!(f, ", {} starts: {}", self.attempts, self.text)
    }
}

/// How a team stands.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// Its running tasks.
    pub running: Slots,
    /// How many it may have running here now.
    pub usable: Slots,
    /// Its waiting tasks.
    pub waiting: usize,
    /// The dominant part of the whole that it uses.
    pub used: f64,
    /// The dominant part of the whole that it is entitled to.
    pub entitled: f64,
}

/// How a scheduler stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The teams.
    pub teams: Vec<TeamStatus>,
    /// The tasks that were not forgotten.
    pub tasks: usize,
    /// The workers that are listed.
    pub workers: usize,
    /// The workers that take tasks.
    pub open_workers: usize,
}

impl Scheduler {
    /// Why a task stands where it does, or none if there is no such task.
    #[must_use]
    pub fn explain(&self, key: &TaskKey, now: Instant) -> Option<Explanation> {
        let state = &self.state;
        let task = &state.tasks[state.tasks.find(key)?];
        let lane = &state.lanes[task.lane];
        let worker = task.run().map(|run| run.worker);
        let reason = self.reason(task, now);
        let text = self.describe(&reason);
        Some(Explanation {
            key: task.key,
            team: state.teams.names.name(lane.team).cloned(),
            queue: state.teams.queue_names.name(lane.queue).cloned(),
            worker: worker.and_then(|vm| state.workers.names.name(vm).cloned()),
            outcome: match task.state {
                TaskState::Ended(outcome) => Some(outcome),
                _ => None,
            },
            attempts: task.attempt,
            reason,
            text,
        })
    }

    /// A reason for people, with the names of its worker and team.
    #[must_use]
    pub fn describe(&self, reason: &Reason) -> Box<str> {
        let state = &self.state;
        Named { reason, state }.to_string().into()
    }

    /// The reason that a task carries, or for a waiting one the first that holds for its team and queue.
    fn reason(&self, task: &Task, now: Instant) -> Reason {
        let state = &self.state;
        let lane = &state.lanes[task.lane];
        let team = &state.teams[lane.team];
        if !matches!(task.state, TaskState::Waiting) {
            return task.reason.clone();
        }
        let usable = team.usable(now);
        if team.running >= usable {
            return Reason::AtUpperLimit {
                team: lane.team,
                running: team.running,
                usable,
            };
        }
        if is_throttled(state, task.lane) {
            return Reason::QueueFails;
        }
        match &task.reason {
            Reason::Accepted | Reason::AtUpperLimit { .. } if lane.waiting > 1 => Reason::Behind,
            reason => reason.clone(),
        }
    }

    /// How the teams and workers stand.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let state = &self.state;
        let whole = state.whole();
        let teams = state.teams.iter().filter_map(|(id, team)| {
            let waiting = team.lanes.iter().map(|lane| state.lanes[*lane].waiting);
            Some(TeamStatus {
                team: state.teams.names.name(id)?.clone(),
                running: team.running,
                usable: team.usable(now),
                waiting: waiting.sum(),
                used: dominant(&(team.charge + team.elsewhere), &whole),
                entitled: team.entitled,
            })
        });
        Snapshot {
            teams: teams.collect(),
            tasks: state.tasks.len(),
            workers: state.workers.iter().count(),
            open_workers: state.workers.iter().filter(|(_, w)| w.is_open()).count(),
        }
    }
}
