//! Places idle tasks on workers, in the order of their jobs.
//!
//! A task goes to a worker that accepts work, has enough free capacity and the required label, and holds fewer tasks of
//! the step than the step's spread allows. Among these, workers on the rack of the task's data come first, then those
//! in the data centre of the job's last start, then the one with the least free processor time. A gang is placed whole
//! or not at all. A team's usage never exceeds its allowance; what the team could start beyond that, and the pool has
//! room for, is recorded in `shortfall`.

use std::time::Instant;

use crate::id::{JobId, Label, StepId, TaskId, WorkerRef};
use crate::job::{Beginning, Copies};
use crate::pool::bound::{self, Binding};
use crate::pool::free_capacity::FreeCapacity;
use crate::pool::{Command, Event, Pool, StartCommand};
use crate::resources::Resources;
use crate::share::WantedTasks;
use crate::spec::Step;
use crate::worker::{Executor, Origin, Phase, Run, Trust};

/// The most starts in one plan, so that reports are processed in between. The next plan continues where this one stops.
const STARTS_MAX: usize = 512;

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.shortfall.clear();
    pool.limited.clear();
    let mut free_capacity = FreeCapacity::new(pool, now);
    if free_capacity.is_empty() {
        return;
    }
    bound::run(pool, &mut free_capacity, now);
    let order = std::mem::take(&mut pool.queue_order);
    let mut open = Vec::new();
    for job in &order {
        if pool.commands.len() >= STARTS_MAX {
            break;
        }
        open_steps(pool, *job, &mut open);
        for step in &open {
            place_step(pool, &mut free_capacity, *step, now);
        }
    }
    pool.queue_order = order;
}

/// Fills `open` with the steps that have idle tasks and whose earlier steps are done.
fn open_steps(pool: &Pool, id: JobId, open: &mut Vec<StepId>) {
    open.clear();
    let Some(job) = pool.jobs.get(&id) else {
        return;
    };
    for (occurrence, state) in &job.occurrences {
        for (step, spec) in (0..).zip(&job.record.spec.steps) {
            if state.steps[step as usize].idle > 0 && state.is_open(spec) {
                open.push(StepId {
                    job: id,
                    occurrence: *occurrence,
                    step,
                });
            }
        }
    }
}

fn idle_tasks(pool: &Pool, step: StepId) -> Vec<TaskId> {
    let Some((_, state)) = pool.jobs.get(&step.job).and_then(|job| job.step(step)) else {
        return Vec::new();
    };
    (0..)
        .zip(&state.tasks)
        .filter(|(_, task)| task.is_idle())
        .map(|(index, _)| step.task(index))
        .collect()
}

fn spec_of(pool: &Pool, step: StepId) -> Option<Step> {
    let (spec, _) = pool.jobs.get(&step.job)?.step(step)?;
    Some(spec.clone())
}

fn place_step(pool: &mut Pool, free_capacity: &mut FreeCapacity, step: StepId, now: Instant) {
    let Some((spec, state)) = pool.jobs.get(&step.job).and_then(|job| job.step(step)) else {
        return;
    };
    let (reserved, idle, is_gang) = (spec.reserved(), state.idle, spec.is_gang());
    if free_capacity.is_unfit(reserved) {
        if !is_allowed(pool, step.job, reserved) {
            record_short(pool, free_capacity, step, idle);
        }
    } else if is_gang {
        place_gang(pool, free_capacity, step, now);
    } else {
        place_tasks(pool, free_capacity, step, now);
    }
}

fn place_tasks(pool: &mut Pool, free_capacity: &mut FreeCapacity, step: StepId, now: Instant) {
    let Some(spec) = spec_of(pool, step) else {
        return;
    };
    let reserved = spec.reserved();
    let tasks = idle_tasks(pool, step);
    for (placed, task) in tasks.iter().enumerate() {
        if !is_allowed(pool, step.job, reserved) {
            let left = u32::try_from(tasks.len() - placed).unwrap_or(u32::MAX);
            record_short(pool, free_capacity, step, left);
            return;
        }
        let is_suspect = pool.suspects.contains(task);
        if is_suspect && !pool.may_start_suspect(*task) {
            continue;
        }
        if pool.binding(*task, now) == Binding::Pending {
            continue;
        }
        let is_not_isolated = pool.not_isolated.contains(task);
        let Some(worker) = free_capacity.choose(pool, step, &spec, is_not_isolated) else {
            return;
        };
        free_capacity.reserve(worker, reserved);
        start(pool, *task, &spec, worker, None, now);
    }
}

/// Places all members of a gang at once.
fn place_gang(pool: &mut Pool, free_capacity: &mut FreeCapacity, step: StepId, now: Instant) {
    let Some(spec) = spec_of(pool, step) else {
        return;
    };
    let tasks = idle_tasks(pool, step);
    let is_startable =
        |task: &TaskId| !pool.suspects.contains(task) || pool.may_start_suspect(*task);
    if tasks.len() != spec.tasks as usize || !tasks.iter().all(is_startable) {
        return;
    }
    let reserved = spec.reserved();
    if !is_allowed(pool, step.job, spec.reserved_at_once()) {
        record_short(pool, free_capacity, step, spec.tasks);
        return;
    }
    let bindings: Vec<Binding> = tasks.iter().map(|task| pool.binding(*task, now)).collect();
    if bindings.contains(&Binding::Pending) {
        return;
    }
    let Some(workers) = choose_gang(pool, free_capacity, step, &spec, &bindings) else {
        return;
    };
    let Some(job) = pool.jobs.get(&step.job) else {
        return;
    };
    let run = tasks.iter().map(|task| job.next_run(*task)).max();
    let checkpoint = job
        .step(step)
        .and_then(|(_, state)| state.tasks.iter().find_map(|task| task.checkpoint.clone()));
    for (task, worker) in tasks.into_iter().zip(workers) {
        free_capacity.reserve(worker, reserved);
        start(
            pool,
            task,
            &spec,
            worker,
            Some((run, checkpoint.clone())),
            now,
        );
    }
}

/// Chooses a worker for each member of a gang: the ones that members are bound to, or all on one rack if the step prefers that,
/// as far as it is possible.
fn choose_gang(
    pool: &Pool,
    free_capacity: &FreeCapacity,
    id: StepId,
    spec: &Step,
    bindings: &[Binding],
) -> Option<Vec<WorkerRef>> {
    let all = free_capacity.for_gang(pool, id, spec);
    let is_bound = bindings.iter().any(|binding| *binding != Binding::None);
    if is_bound && let Some(chosen) = fill(all.clone(), spec, bindings) {
        return Some(chosen);
    }
    if spec.is_same_rack() {
        let mut racks: Vec<&Label> = Vec::new();
        for (worker, _) in &all {
            racks.extend(&pool.workers[worker].info.labels);
        }
        racks.sort_unstable();
        racks.dedup();
        let on_one_rack = racks.into_iter().find_map(|rack| {
            let of_rack = all
                .iter()
                .filter(|(worker, _)| pool.workers[worker].has_label(rack))
                .copied()
                .collect();
            fill(of_rack, spec, &[])
        });
        if on_one_rack.is_some() {
            return on_one_rack;
        }
    }
    fill(all, spec, &[])
}

/// Chooses a worker for each member of a gang by free capacity. Members without a binding come after those with one.
fn fill(
    mut free_capacity: Vec<(WorkerRef, Resources)>,
    spec: &Step,
    bindings: &[Binding],
) -> Option<Vec<WorkerRef>> {
    let reserved = spec.reserved();
    let binding = |member: &usize| bindings.get(*member).copied().unwrap_or(Binding::None);
    let mut members: Vec<usize> = (0..spec.tasks as usize).collect();
    members.sort_by_key(|member| binding(member) == Binding::None);
    let mut on_worker = vec![0_u32; free_capacity.len()];
    let mut chosen = vec![None; members.len()];
    for member in members {
        let (at, _) = free_capacity
            .iter()
            .enumerate()
            .filter(|(_, (worker, _))| match binding(&member) {
                Binding::None | Binding::Pending => true,
                Binding::To(bound) => bound == *worker,
            })
            .filter(|(at, (_, free))| {
                reserved.fits(free) && spec.spread.is_none_or(|most| on_worker[*at] < most)
            })
            .max_by_key(|(_, (_, free))| free.cpu_millis)?;
        free_capacity[at].1 -= reserved;
        on_worker[at] += 1;
        chosen[member] = Some(free_capacity[at].0);
    }
    chosen.into_iter().collect()
}

/// Whether the job's team may reserve `more` in addition to its usage.
pub(super) fn is_allowed(pool: &Pool, job: JobId, more: Resources) -> bool {
    let Some(team) = pool.jobs.get(&job).and_then(|job| job.record.team.as_ref()) else {
        return true;
    };
    let Some(cap) = pool.cap(team) else {
        return true;
    };
    let allowance = pool.allowance(team);
    let wanted = pool.usage_within(team, allowance) + more;
    // A cap of 0 means that this kind of resource is not limited.
    let limit = cap.zip(
        allowance,
        |cap, allowance| {
            if cap == 0 { u64::MAX } else { allowance }
        },
    );
    wanted.fits(&limit)
}

/// Records that the team of a step can't start `tasks` of its tasks, as far as they could be started now: they are
/// within the team's upper limit, and workers have the capacity. For others the team's share of this pool is not
/// raised, as other pools may use it.
fn record_short(pool: &mut Pool, free_capacity: &FreeCapacity, id: StepId, tasks: u32) {
    let Some((job, (spec, _))) = pool
        .jobs
        .get(&id.job)
        .and_then(|job| Some((job, job.step(id)?)))
    else {
        return;
    };
    let Some(team) = job
        .record
        .team
        .clone()
        .filter(|_| pool.is_within_cap(job, spec))
    else {
        return;
    };
    let fitting = free_capacity.room_for(pool, id, spec).min(u64::from(tasks));
    let each = spec.reserved_at_once();
    let count = if spec.is_gang() {
        u64::from(fitting == u64::from(tasks))
    } else {
        fitting
    };
    if count > 0 {
        let shortfall = pool.shortfall.entry(team.clone()).or_default();
        match shortfall.last_mut() {
            Some(last) if last.each == each => last.count += count,
            _ => shortfall.push(WantedTasks { each, count }),
        }
    }
    pool.limited.insert(team);
}

type GangStart = (Option<crate::id::RunNumber>, Option<Box<str>>);

/// Plans the start of a task.
pub(super) fn start(
    pool: &mut Pool,
    task: TaskId,
    spec: &Step,
    worker_ref: WorkerRef,
    gang: Option<GangStart>,
    now: Instant,
) {
    let permit = pool.permit(task.step, worker_ref, now);
    let is_bound_by_starts = pool.is_bound_by_starts(task);
    let Some(job) = pool.jobs.get_mut(&task.step.job) else {
        return;
    };
    let run = gang
        .as_ref()
        .and_then(|(run, _)| *run)
        .unwrap_or_else(|| job.next_run(task));
    let Some(worker) = pool.workers.get_mut(&worker_ref) else {
        return;
    };
    let Some(until_ms) = worker.deadline_ms(now, pool.bounds.start_window) else {
        return;
    };
    if job.beginning == Beginning::Waiting {
        job.beginning = Beginning::Ordered;
        pool.unsaved.insert(task.step.job);
    }
    let checkpoint = job
        .step(task.step)
        .and_then(|(_, state)| state.tasks.get(task.index as usize))
        .and_then(|task| task.checkpoint.clone());
    let checkpoint = gang.map_or(checkpoint, |(_, of_gang)| of_gang);
    if job.workers.insert(worker.info.id.clone()) {
        pool.unsaved.insert(task.step.job);
    }
    if is_bound_by_starts {
        let id = &worker.info.id;
        if let Some((_, state)) = job.step_mut(task.step) {
            state.update(task.index, |task| task.open_start(id, run));
        }
        pool.unsaved.insert(task.step.job);
    }
    if job.dc != worker.info.dc {
        job.dc.clone_from(&worker.info.dc);
    }
    let is_suspect = job.step(task.step).is_some_and(|(_, state)| {
        let task = state.tasks.get(task.index as usize);
        task.is_some_and(|task| !task.unreported.is_empty() || task.live > 0)
    });
    let trust = if pool.suspects.contains(&task) && worker.runs.is_empty() {
        Trust::Isolated
    } else {
        Trust::Fresh
    };
    let waited = now.saturating_duration_since(job.accepted_at);
    let payload = job.record.spec.payload.clone();
    let team = job.record.team.clone();
    if let Some((_, state)) = job.step_mut(task.step) {
        state.update(task.index, |task| {
            task.live += 1;
            task.last_run = Some(run);
            task.copies = Copies::Denied;
            task.isolation_awaited_since = None;
        });
    }
    pool.events.push(Event::Started {
        worker: worker.info.id.clone(),
        task,
        run,
        started_ms: worker.info.started_ms,
        room: worker.free(),
        waited,
    });
    let new_run = starting_run(checkpoint.clone(), until_ms, trust, now).with_step(spec);
    let reserved = new_run.reserved;
    worker.record_lease(until_ms, now);
    worker.add((task, run), new_run);
    if let Some(team) = team {
        *pool.usage.entry(team).or_default() += reserved;
    }
    if is_suspect {
        pool.record_suspect_start((task, run), worker_ref, now);
    }
    pool.commands.push(Command::Start(StartCommand {
        worker: worker_ref,
        task,
        run,
        payload,
        checkpoint,
        until_ms,
        permit,
    }));
}

/// A run whose start is about to be sent.
fn starting_run(checkpoint: Option<Box<str>>, until_ms: u64, trust: Trust, now: Instant) -> Run {
    Run {
        reserved: Resources::ZERO,
        phase: Phase::Starting,
        started_at: now,
        origin: if checkpoint.is_some() {
            Origin::Resumed
        } else {
            Origin::Started
        },
        executor: Executor::Unknown { since: now },
        start_until_ms: until_ms,
        closed_at: None,
        stop_sent_at: None,
        progressed_at: now,
        percent: 0,
        checkpoint,
        load: 0.0,
        speed_percent: 100,
        is_service: false,
        is_best_effort: false,
        is_demand_known: false,
        tail_target: None,
        trust,
    }
}
