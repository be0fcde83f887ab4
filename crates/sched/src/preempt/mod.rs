//! Tasks that give way: to urgent ones, and to teams that are below their share.
//!
//! Only a task that can save its state gives way, and only a few times, so none is moved for ever. For an urgent task the
//! worker is chosen on which the least value is lost: what the tasks that give way have done since their start,
//! weighed by their size, most weight on interactive ones. The worker is held for the urgent task meanwhile.

use std::time::Instant;

use goldcrest_types::catalogue::Class;
use goldcrest_types::entity::{TaskId, TeamId, VmId};
use goldcrest_types::units::Resources;
use smallvec::SmallVec;

use crate::decision::{Command, CommandKind, Decisions};
use crate::order::need;
use crate::reason::Reason;
use crate::state::{Hold, Phase, State, dominant};

/// How much more an interactive than a batch task's progress is worth.
const INTERACTIVE_VALUE: f64 = 4.0;

/// The part of its entitlement that a team must be above to give way to one below.
const ABOVE: f64 = 1.1;

/// Tasks that give way on one worker.
type Victims = SmallVec<[TaskId; 8]>;

/// What [`for_urgent`] keeps from round to round.
#[derive(Debug, Default)]
pub struct PreemptScratch {
    /// Where the search for a worker goes on.
    cursor: usize,
    /// How many workers this round may still look at.
    budget: usize,
}

/// Lets tasks give way to urgent tasks that found no room. The search goes on in the next round where it stops.
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
            tell(state, victim, CommandKind::Checkpoint, reason, now, out);
        }
    }
}

/// The worker on which the least value is lost to make room for `id`, and who gives way there.
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
    let looks = state
        .cfg
        .preempt_search_each
        .min(scratch.budget)
        .min(index.vms.len());
    scratch.budget -= looks;
    for _ in 0..looks {
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
        let limit = best.as_ref().map_or(f64::INFINITY, |(value, ..)| *value);
        if let Some((value, victims)) = victims(state, *vm, &need, limit, now) {
            best = Some((value, *vm, victims));
        }
    }
    best.map(|(_, vm, victims)| (vm, victims))
}

/// The least valuable tasks on `vm` that make room for `need`, if their value is below `limit`.
fn victims(
    state: &State,
    vm: VmId,
    need: &Resources,
    limit: f64,
    now: Instant,
) -> Option<(f64, Victims)> {
    let worker = &state.workers[vm];
    let mut able: SmallVec<[(f64, TaskId, Resources); 16]> = SmallVec::new();
    let mut kept = worker.reserved;
    for id in &worker.tasks {
        let Some(run) = state.tasks[*id].run() else {
            continue;
        };
        if matches!(
            run.phase,
            Phase::Checkpointing { .. } | Phase::Stopping { .. }
        ) {
            // It makes room anyway.
            kept -= run.reserved;
        } else if may_give_way(state, *id) {
            able.push((value(state, *id, now), *id, run.reserved));
        }
    }
    able.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut lost = 0.0;
    let mut victims = Victims::new();
    for (value, id, reserved) in able {
        if (worker.capacity - kept).fits(need) {
            break;
        }
        lost += value;
        if lost >= limit {
            return None;
        }
        kept -= reserved;
        victims.push(id);
    }
    (worker.capacity - kept)
        .fits(need)
        .then_some((lost, victims))
}

/// Whether a running task can be made to give way.
#[must_use]
pub fn may_give_way(state: &State, id: TaskId) -> bool {
    let task = &state.tasks[id];
    let is_confirmed = task
        .run()
        .is_some_and(|run| matches!(run.phase, Phase::Confirmed));
    is_confirmed
        && task.checkpointable
        && task.preemptions < state.cfg.preemptions_max
        && state.lanes[task.lane].class != Class::Urgent
}

/// What is lost if a running task gives way.
#[must_use]
pub fn value(state: &State, id: TaskId, now: Instant) -> f64 {
    let task = &state.tasks[id];
    let Some(run) = task.run() else {
        return 0.0;
    };
    let class = match state.lanes[task.lane].class {
        Class::Urgent | Class::Interactive => INTERACTIVE_VALUE,
        Class::Batch => 1.0,
    };
    let size = dominant(&run.reserved, &state.workers[run.worker].capacity);
    let ran = now.saturating_duration_since(run.since).as_secs_f64();
    // A fixed part stands for the move itself.
    class * size * (1.0 + ran) * f64::from(1 + task.preemptions)
}

/// Tells a running task to give way or to stop.
pub fn tell(
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

/// Lets tasks of teams above their share give way to a team that has waited well below its share.
pub fn take_back(state: &mut State, now: Instant, out: &mut Decisions) {
    let cfg = &state.cfg;
    let is_due = |team: &crate::state::Team| {
        let waited = team
            .under_since
            .is_some_and(|since| now.saturating_duration_since(since) >= cfg.take_back_after);
        let rested = team
            .took_back
            .is_none_or(|last| now.saturating_duration_since(last) >= cfg.take_back_every);
        waited && rested
    };
    let due: Vec<TeamId> = state
        .teams
        .iter()
        .filter(|(_, team)| is_due(team))
        .map(|(id, _)| id)
        .take(cfg.take_back_teams_max)
        .collect();
    for team in due {
        state.teams[team].took_back = Some(now);
        if let Some(victim) = least_lent(state, team, now) {
            let reason = Reason::TakenBack { team };
            tell(state, victim, CommandKind::Checkpoint, reason, now, out);
        }
    }
}

/// The least valuable task that can give way, of a team above its share, in a pool in which `team` waits.
fn least_lent(state: &State, team: TeamId, now: Instant) -> Option<TaskId> {
    let mut best: Option<(f64, TaskId)> = None;
    let waits = |lane: &&crate::state::LaneId| state.lanes[**lane].waiting > 0;
    for lane in state.teams[team].lanes.iter().filter(waits) {
        for vm in &state.workers.in_pool(state.lanes[*lane].pool).vms {
            for id in &state.workers[*vm].tasks {
                let other = &state.teams[state.lanes[state.tasks[*id].lane].team];
                if other.dominant <= ABOVE * other.entitled || !may_give_way(state, *id) {
                    continue;
                }
                let value = value(state, *id, now);
                if best.is_none_or(|(least, _)| value < least) {
                    best = Some((value, *id));
                }
            }
        }
    }
    best.map(|(_, id)| id)
}
