//! Explanations of single tasks, and a snapshot of the usage and entitlement of the teams.

use std::fmt;
use std::time::Instant;

use goldcrest_types::names::{QueueName, TaskKey, TeamName, VmName};
use goldcrest_types::units::Slots;

use super::Scheduler;
use crate::order::is_throttled;
use crate::reason::Reason;
use crate::state::{Outcome, State, Task, TaskState, dominant};

/// The state of one task and the reason for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The key under which the task was submitted.
    pub key: TaskKey,
    /// The team that is charged for the task.
    pub team: Option<TeamName>,
    /// The queue to which the task was submitted.
    pub queue: Option<QueueName>,
    /// The worker that runs the task; none while the task does not count as running.
    pub worker: Option<VmName>,
    /// How the task ended; none before its end.
    pub outcome: Option<Outcome>,
    /// The number of attempts that were started.
    pub attempts: u32,
    /// The last decision about the task, or what keeps it waiting.
    pub reason: Reason,
    /// The reason as text, with the names of worker and team in place of their ids.
    pub text: Box<str>,
}

/// Displays a reason with the names of its worker and team.
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

/// The usage and the entitlement of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamStatus {
    /// The team, by its name in the catalogue.
    pub team: TeamName,
    /// The number of tasks that count as running in this data centre.
    pub running: Slots,
    /// The number of tasks that may run here now: the grant, capped by the upper limit; 0 after the grant has expired.
    pub usable: Slots,
    /// The number of tasks that wait in the lanes of the team; delayed and parked tasks are not counted.
    pub waiting: usize,
    /// The dominant fraction of the total capacity, 0 to 1, that the team uses in all data centres.
    pub used: f64,
    /// The dominant fraction of the total capacity, 0 to 1, to which the team is entitled.
    pub entitled: f64,
}

/// The state of a scheduler in numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// Every team that was ever in a catalogue.
    pub teams: Vec<TeamStatus>,
    /// The number of tasks that the scheduler holds, in any state.
    pub tasks: usize,
    /// The number of workers that were ever listed, removed ones included.
    pub workers: usize,
    /// The number of workers that accepted tasks in the last round.
    pub open_workers: usize,
}

impl Scheduler {
    /// Explains the state of a task. Returns none if the scheduler does not hold the task.
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

    /// Returns a reason as text, with the names of its worker and team.
    #[must_use]
    pub fn describe(&self, reason: &Reason) -> Box<str> {
        let state = &self.state;
        Named { reason, state }.to_string().into()
    }

    /// Returns the stored reason of a task. For a waiting task, conditions of its team and queue come first: the upper
    /// limit, then a failing queue.
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

    /// Returns the numbers of teams, tasks and workers at `now`.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let state = &self.state;
        let whole = state.total_capacity();
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
