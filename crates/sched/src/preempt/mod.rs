//! Preemption: running tasks save their state and stop for urgent tasks, and for teams below their share.
//!
//! Only a task that can save its state is preempted, and at most `preemptions_max` times, so no task is preempted for
//! ever. For an urgent task the worker with the least cost is chosen. The cost of a preemption is the time that the
//! task has run since its start, weighted by its size and its class, interactive tasks most. The worker is held for the
//! urgent task until the preempted tasks have stopped.

use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{TaskId, TeamId, VmId};
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use crate::decision::{Command, CommandKind, Decisions};
use crate::order::need;
use crate::reason::Reason;
use crate::state::{Hold, Phase, State, dominant};

/// The cost of losing the progress of an interactive task, relative to a batch task.
const INTERACTIVE_COST_WEIGHT: f64 = 4.0;

/// The usage relative to the entitlement above which tasks of a team are preempted for a team below its share.
const ABOVE_SHARE_RATIO: f64 = 1.1;

/// The tasks to preempt on one worker.
type Victims = SmallVec<[TaskId; 8]>;

/// The search state that [`for_urgent`] keeps from round to round.
#[derive(Debug, Default)]
pub struct PreemptScratch {
    /// The position in the index of a pool at which the search for a worker continues.
    cursor: usize,
    /// The number of workers that may still be examined in this round.
    budget: usize,
}

/// Preempts tasks for the urgent tasks in `unplaced`. A search that exhausts the budget continues at its position in
/// the next round.
pub fn for_urgent(
    state: &mut State,
    scratch: &mut PreemptScratch,
    unplaced: &[TaskId],
    now: Instant,
    out: &mut Decisions,
) {
    let mut moves = 0;
    scratch.budget = state.cfg.preempt_search_max;
    for id in unplaced {
        let task = &state.tasks[*id];
        let class = state.lanes[task.lane].class;
        let is_held = matches!(task.reason, Reason::Held { .. } | Reason::Preempting { .. });
        if class != Class::Urgent || is_held || moves >= state.cfg.preempt_moves_max {
            continue;
        }
        if scratch.budget == 0 {
            return;
        }
        let Some((vm, victims)) = cheapest(state, scratch, *id, now) else {
            continue;
        };
        moves += victims.len();
        let Some(need) = need(state, *id) else {
            continue;
        };
        let hold = Hold {
            task: *id,
            need,
            until: now + state.cfg.checkpoint_grace,
            is_preempting: true,
        };
        state.workers.hold(vm, hold);
        let key = state.tasks[*id].key;
        state.tasks[*id].reason = Reason::Preempting {
            worker: vm,
            tasks: victims.len(),
        };
        for victim in victims {
            let reason = Reason::ForUrgent { task: key };
            issue_command(state, victim, CommandKind::Checkpoint, reason, now, out);
        }
    }
}

/// Returns the worker on which freeing enough for `id` costs least, and the tasks to preempt there.
fn cheapest(
    state: &State,
    scratch: &mut PreemptScratch,
    id: TaskId,
    now: Instant,
) -> Option<(VmId, Victims)> {
    let need = need(state, id)?;
    let index = state
        .workers
        .in_pool(state.lanes[state.tasks[id].lane].pool);
    let avoid = &state.tasks[id].avoid;
    let mut best: Option<(f64, VmId, Victims)> = None;
    let candidates = state
        .cfg
        .preempt_search_each
        .min(scratch.budget)
        .min(index.vms.len());
    scratch.budget -= candidates;
    for _ in 0..candidates {
        scratch.cursor = (scratch.cursor + 1) % index.vms.len();
        let vm = &index.vms[scratch.cursor];
        let worker = &state.workers[*vm];
        let is_usable = worker.hold.is_none()
            && worker.capacity.fits(&need)
            && state.workers.takes_tasks(*vm, state.cfg.contact_max, now)
            && !avoid.contains(vm);
        if !is_usable {
            continue;
        }
        let limit = best.as_ref().map_or(f64::INFINITY, |(cost, ..)| *cost);
        if let Some((cost, victims)) = victims(state, *vm, &need, limit, now) {
            best = Some((cost, *vm, victims));
        }
    }
    best.map(|(_, vm, victims)| (vm, victims))
}

/// Returns the cheapest tasks on `vm` whose preemption frees enough for `need`, with their total cost; none if the cost
/// reaches `limit` or the preemptible tasks do not suffice.
fn victims(
    state: &State,
    vm: VmId,
    need: &Resources,
    limit: f64,
    now: Instant,
) -> Option<(f64, Victims)> {
    let worker = &state.workers[vm];
    let mut preemptible: SmallVec<[(f64, TaskId, Resources); 16]> = SmallVec::new();
    let mut occupied = worker.reserved;
    for id in &worker.tasks {
        let Some(run) = state.tasks[*id].run() else {
            continue;
        };
        if matches!(
            run.phase,
            Phase::Checkpointing { .. } | Phase::Stopping { .. }
        ) {
            // The task is stopping already, so its reservation becomes free at no further cost.
            occupied -= run.reserved;
        } else if is_preemptible(state, *id) {
            preemptible.push((cost(state, *id, now), *id, run.reserved));
        }
    }
    preemptible.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut lost = 0.0;
    let mut victims = Victims::new();
    for (cost, id, reserved) in preemptible {
        if (worker.capacity - occupied).fits(need) {
            break;
        }
        lost += cost;
        if lost >= limit {
            return None;
        }
        occupied -= reserved;
        victims.push(id);
    }
    (worker.capacity - occupied)
        .fits(need)
        .then_some((lost, victims))
}

/// Returns whether a running task may be preempted.
#[must_use]
pub fn is_preemptible(state: &State, id: TaskId) -> bool {
    let task = &state.tasks[id];
    let is_confirmed = task
        .run()
        .is_some_and(|run| matches!(run.phase, Phase::Confirmed));
    is_confirmed
        && task.checkpointable
        && task.preemptions < state.cfg.preemptions_max
        && state.lanes[task.lane].class != Class::Urgent
}

/// Returns the cost of preempting a running task: its fraction of the worker times its run time in seconds, weighted by
/// its class and by how often it was preempted.
#[must_use]
pub fn cost(state: &State, id: TaskId, now: Instant) -> f64 {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return 0.0;
    };
    let class = match state.lanes[task.lane].class {
        Class::Urgent | Class::Interactive => INTERACTIVE_COST_WEIGHT,
        Class::Batch => 1.0,
    };
    let size = dominant(&run.reserved, &state.workers[run.worker].capacity);
    let ran = now.saturating_duration_since(run.since).as_secs_f64();
    // The fixed second is the cost of the move itself.
    class * size * (1.0 + ran) * f64::from(1 + task.preemptions)
}

/// Adds a command to a running task to `out` and updates the phase of its run.
pub fn issue_command(
    state: &mut State,
    id: TaskId,
    kind: CommandKind,
    reason: Reason,
    now: Instant,
    out: &mut Decisions,
) {
    let task = &mut state.tasks[id];
    let key = task.key;
    task.reason = reason.clone();
    let Some(run) = task.run_mut() else {
        return;
    };
    match kind {
        CommandKind::Checkpoint => run.phase = Phase::Checkpointing { since: now },
        CommandKind::Stop => run.phase = Phase::Stopping { since: now },
        CommandKind::Throttle => run.is_throttled = true,
        CommandKind::Renew => {}
    }
    if matches!(kind, CommandKind::Checkpoint | CommandKind::Stop) {
        run.stop = Some(reason.clone());
    }
    out.commands.push(Command {
        key,
        worker: run.worker,
        attempt: run.attempt,
        kind,
        reason,
    });
}

/// Preempts a task of a team above its share for each team that has waited well below its share for `reclaim_after`.
pub fn reclaim_shares(state: &mut State, now: Instant, out: &mut Decisions) {
    let cfg = &state.cfg;
    let is_due = |team: &crate::state::Team| {
        let waited = team
            .starved_since
            .is_some_and(|since| now.saturating_duration_since(since) >= cfg.reclaim_after);
        let is_interval_over = team
            .reclaimed_at
            .is_none_or(|last| now.saturating_duration_since(last) >= cfg.reclaim_interval);
        waited && is_interval_over
    };
    let due: Vec<TeamId> = state
        .teams
        .iter()
        .filter(|(_, team)| is_due(team))
        .map(|(id, _)| id)
        .take(cfg.reclaim_teams_max)
        .collect();
    for team in due {
        state.teams[team].reclaimed_at = Some(now);
        if let Some(victim) = cheapest_lent(state, team, now) {
            let reason = Reason::ShareReclaimed { team };
            issue_command(state, victim, CommandKind::Checkpoint, reason, now, out);
        }
    }
}

/// Returns the cheapest preemptible task of a team above its share, in a pool for which tasks of `team` wait.
fn cheapest_lent(state: &State, team: TeamId, now: Instant) -> Option<TaskId> {
    let mut best: Option<(f64, TaskId)> = None;
    let waits = |lane: &&crate::state::LaneId| state.lanes[**lane].waiting > 0;
    for lane in state.teams[team].lanes.iter().filter(waits) {
        for vm in &state.workers.in_pool(state.lanes[*lane].pool).vms {
            for id in &state.workers[*vm].tasks {
                let other = &state.teams[state.lanes[state.tasks[*id].lane].team];
                if other.dominant <= ABOVE_SHARE_RATIO * other.entitled
                    || !is_preemptible(state, *id)
                {
                    continue;
                }
                let cost = cost(state, *id, now);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, *id));
                }
            }
        }
    }
    best.map(|(_, id)| id)
}
