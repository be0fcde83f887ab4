//! Checks of the invariants over the whole state after a round.

use std::collections::HashSet;
use std::time::Instant;

use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::entity::{SecondaryMap, TeamId};
use goldcrest_types::units::{Resources, Slots};

use crate::decision::Decisions;
use crate::state::{Availability, State, TaskState};

/// Returns every violated invariant after a round at `now` that decided `out`.
#[must_use]
pub fn verify(state: &State, out: &Decisions, now: Instant) -> Breaches {
    let mut found = Breaches::new();
    upper_limits(state, out, now, &mut found);
    one_worker(state, &mut found);
    starts(state, out, &mut found);
    worker_sums(state, out, &mut found);
    team_sums(state, &mut found);
    lane_sums(state, &mut found);
    found
}

/// A round starts no task of a team above its upper limit here.
pub fn upper_limits(state: &State, out: &Decisions, now: Instant, found: &mut Breaches) {
    let mut checked: HashSet<TeamId> = HashSet::new();
    for start in &out.starts {
        let id = state.lanes[state.tasks[start.task].lane].team;
        let team = &state.teams[id];
        let usable = team.usable(now);
        if checked.insert(id) && team.running > usable {
            let detail = format!("{id}: {} running, {usable} usable here", team.running);
            found.push(Promise::UpperLimit, detail);
        }
    }
}

/// A running task is in the list of exactly the worker to which it is assigned, any other task in none.
pub fn one_worker(state: &State, found: &mut Breaches) {
    let mut listed = HashSet::new();
    for (vm, worker) in state.workers.iter() {
        for id in &worker.tasks {
            if !listed.insert(*id) {
                found.push(
                    Promise::AtMostOnce,
                    format!("{id}: listed twice, also on {vm}"),
                );
            }
            if state.run_on(*id, vm).is_none() {
                found.push(
                    Promise::AtMostOnce,
                    format!("{id}: listed on {vm}, not running there"),
                );
            }
        }
    }
    for (id, task) in state.tasks.iter() {
        if task.run().is_some() && !listed.contains(&id) {
            found.push(
                Promise::AtMostOnce,
                format!("{id}: running, on no worker's list"),
            );
        }
    }
}

/// A task is started at most once per round, is not cancelled, and its worker is open and lists it.
pub fn starts(state: &State, out: &Decisions, found: &mut Breaches) {
    let mut started = HashSet::new();
    for start in &out.starts {
        let id = start.task;
        if !started.insert(id) {
            found.push(
                Promise::AtMostOnce,
                format!("{id}: started twice in one round"),
            );
        }
        if state.run_on(id, start.worker).is_none() {
            let detail = format!("{id}: started on {}, not assigned there", start.worker);
            found.push(Promise::AtMostOnce, detail);
        }
        if state.tasks[id].cancelled {
            found.push(
                Promise::TrueRefusal,
                format!("{id}: started after its cancellation"),
            );
        }
        let availability = state.workers[start.worker].availability;
        if availability != Availability::Open {
            let detail = format!(
                "{id}: started on {}, which is {availability:?}",
                start.worker
            );
            found.push(Promise::LeavingUpstream, detail);
        }
    }
}

/// The reservation of a worker is the sum over its tasks, and within its capacity where the round starts a task.
pub fn worker_sums(state: &State, out: &Decisions, found: &mut Breaches) {
    for (vm, worker) in state.workers.iter() {
        let runs = worker.tasks.iter().filter_map(|id| state.tasks[*id].run());
        let sum = runs.fold(Resources::ZERO, |sum, run| sum + run.reserved);
        if sum != worker.reserved {
            let detail = format!("{vm}: reserved {:?}, its tasks {sum:?}", worker.reserved);
            found.push(Promise::SoundState, detail);
        }
    }
    for start in &out.starts {
        let worker = &state.workers[start.worker];
        if !worker.capacity.fits(&worker.reserved) {
            let detail = format!(
                "{}: {} started, reserved {:?}, capacity {:?}",
                start.worker, start.task, worker.reserved, worker.capacity
            );
            found.push(Promise::SoundState, detail);
        }
    }
}

/// The running tasks and the charge of a team are the sums over its tasks.
pub fn team_sums(state: &State, found: &mut Breaches) {
    let mut sums: SecondaryMap<TeamId, (Slots, Resources)> = SecondaryMap::new();
    for (_, task) in state.tasks.iter() {
        if let Some(run) = task.run() {
            let sum = &mut sums[state.lanes[task.lane].team];
            sum.0 += Slots::new(1);
            sum.1 += run.charge;
        }
    }
    for (id, team) in state.teams.iter() {
        let (running, charge) = sums[id];
        if running != team.running {
            let detail = format!("{id}: counts {} running, {running} run", team.running);
            found.push(Promise::UpperLimit, detail);
        }
        if charge != team.charge {
            let detail = format!("{id}: charged {:?}, its tasks {charge:?}", team.charge);
            found.push(Promise::SoundState, detail);
        }
    }
}

/// The counts of a lane match its waiting and running tasks.
pub fn lane_sums(state: &State, found: &mut Breaches) {
    let mut sums: SecondaryMap<crate::state::LaneId, (usize, u32)> = SecondaryMap::new();
    for (_, task) in state.tasks.iter() {
        match task.state {
            TaskState::Waiting => sums[task.lane].0 += 1,
            TaskState::Running(_) => sums[task.lane].1 += 1,
            TaskState::Delayed | TaskState::Parked | TaskState::Ended(_) => {}
        }
    }
    for (id, lane) in state.lanes.iter() {
        let (waiting, running) = sums[id];
        if waiting != lane.waiting || running != lane.running {
            let detail = format!(
                "{id}: counts {} waiting and {} running, {waiting} and {running} do",
                lane.waiting, lane.running
            );
            found.push(Promise::SoundState, detail);
        }
    }
}
