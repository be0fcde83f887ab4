//! Gives room to tasks, in the order of their jobs.
//!
//! A task goes to a worker that takes work, has room and the required label, and holds fewer tasks of the step than its
//! spread allows. Among these the rack of its data goes first, then the worker with the most processor time left. A
//! gang is placed whole or not at all. A team's usage never passes its allowance; what it could use beyond that is
//! noted in `short`.

use std::time::Instant;

use crate::id::{JobId, Label, StepId, TaskId, WorkerRef};
use crate::pool::{Event, Order, Pool, StartOrder};
use crate::resources::Resources;
use crate::spec::Step;
use crate::worker::{Origin, Phase, Run, Worker};

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.short.clear();
    let order = std::mem::take(&mut pool.queue_order);
    for job in &order {
        if most_room(pool, now) == Resources::ZERO {
            break;
        }
        place_job(pool, *job, now);
    }
    pool.queue_order = order;
}

/// The most room of any worker, each kind by itself.
fn most_room(pool: &Pool, now: Instant) -> Resources {
    pool.workers
        .values()
        .filter(|it| it.takes_work(now))
        .fold(Resources::ZERO, |most, it| most.max(it.room()))
}

fn place_job(pool: &mut Pool, id: JobId, now: Instant) {
    for step in open_steps(pool, id) {
        let is_gang = pool
            .jobs
            .get(&id)
            .and_then(|job| job.step(step))
            .is_some_and(|(spec, _)| spec.is_gang());
        if is_gang {
            place_gang(pool, step, now);
        } else {
            place_step(pool, step, now);
        }
    }
}

/// The steps that have idle tasks and whose earlier steps are done.
fn open_steps(pool: &Pool, id: JobId) -> Vec<StepId> {
    let Some(job) = pool.jobs.get(&id) else {
        return Vec::new();
    };
    let mut open = Vec::new();
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
    open
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

fn place_step(pool: &mut Pool, step: StepId, now: Instant) {
    let Some(spec) = spec_of(pool, step) else {
        return;
    };
    let reserved = spec.reserved();
    let tasks = idle_tasks(pool, step);
    for (placed, task) in tasks.iter().enumerate() {
        if !is_allowed(pool, step.job, reserved) {
            let left = u64::try_from(tasks.len() - placed).unwrap_or(u64::MAX);
            note_short(pool, step.job, reserved, left);
            return;
        }
        let Some(worker) = choose(pool, step, &spec, now) else {
            return;
        };
        start(pool, *task, &spec, worker, None, now);
    }
}

/// Places all members of a gang at once.
fn place_gang(pool: &mut Pool, step: StepId, now: Instant) {
    let Some(spec) = spec_of(pool, step) else {
        return;
    };
    let tasks = idle_tasks(pool, step);
    if tasks.len() != spec.tasks as usize {
        return;
    }
    let reserved = spec.reserved();
    let count = u64::from(spec.tasks);
    let total = reserved.zip(Resources::ZERO, |amount, _| amount.saturating_mul(count));
    if !is_allowed(pool, step.job, total) {
        note_short(pool, step.job, reserved, count);
        return;
    }
    let Some(workers) = choose_gang(pool, &spec, now) else {
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

/// A worker for each member of a gang: on one rack if that helps and is possible.
fn choose_gang(pool: &Pool, spec: &Step, now: Instant) -> Option<Vec<WorkerRef>> {
    let all: Vec<(WorkerRef, Resources)> = pool
        .workers
        .iter()
        .filter(|(_, it)| it.takes_work(now) && has_required(it, spec))
        .map(|(worker, it)| (*worker, it.room()))
        .collect();
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
            fill(of_rack, spec)
        });
        if on_one_rack.is_some() {
            return on_one_rack;
        }
    }
    fill(all, spec)
}

fn fill(mut rooms: Vec<(WorkerRef, Resources)>, spec: &Step) -> Option<Vec<WorkerRef>> {
    let reserved = spec.reserved();
    let mut on_worker = vec![0_u32; rooms.len()];
    let mut chosen = Vec::with_capacity(spec.tasks as usize);
    for _ in 0..spec.tasks {
        let (at, _) = rooms
            .iter()
            .enumerate()
            .filter(|(at, (_, room))| {
                reserved.fits(room) && spec.spread.is_none_or(|most| on_worker[*at] < most)
            })
            .max_by_key(|(_, (_, room))| room.cpu_millis)?;
        rooms[at].1 -= reserved;
        on_worker[at] += 1;
        chosen.push(rooms[at].0);
    }
    Some(chosen)
}

fn has_required(worker: &Worker, spec: &Step) -> bool {
    spec.requires
        .as_ref()
        .is_none_or(|label| worker.has_label(label))
}

/// The best worker for a task of the step.
pub(super) fn choose(pool: &Pool, step: StepId, spec: &Step, now: Instant) -> Option<WorkerRef> {
    let reserved = spec.reserved();
    pool.workers
        .iter()
        .filter(|(_, it)| {
            it.takes_work(now)
                && it.clock.is_some()
                && reserved.fits(&it.room())
                && has_required(it, spec)
                && spec
                    .spread
                    .is_none_or(|most| tasks_of_step(it, step) < most as usize)
        })
        .max_by_key(|(worker, it)| {
            let is_near = spec.near.as_ref().is_some_and(|rack| it.has_label(rack));
            (is_near, it.room().cpu_millis, std::cmp::Reverse(**worker))
        })
        .map(|(worker, _)| *worker)
}

fn tasks_of_step(worker: &Worker, step: StepId) -> usize {
    worker
        .runs
        .keys()
        .filter(|(task, _)| task.step == step)
        .count()
}

/// Whether the job's team may have this much more running.
fn is_allowed(pool: &Pool, job: JobId, more: Resources) -> bool {
    let Some(team) = pool.jobs.get(&job).and_then(|job| job.record.team.as_ref()) else {
        return true;
    };
    let Some(cap) = pool.catalogue.team(team).map(|team| team.cap) else {
        return true;
    };
    let wanted = pool.usage.get(team).copied().unwrap_or_default() + more;
    let allowance = pool.allowance(team);
    // No cap on a kind of resource is written as 0.
    let limit = cap.zip(
        allowance,
        |cap, allowance| {
            if cap == 0 { u64::MAX } else { allowance }
        },
    );
    wanted.fits(&limit)
}

fn note_short(pool: &mut Pool, job: JobId, reserved: Resources, tasks: u64) {
    if let Some(team) = pool.jobs.get(&job).and_then(|job| job.record.team.clone()) {
        *pool.short.entry(team).or_default() +=
            reserved.zip(Resources::ZERO, |amount, _| amount.saturating_mul(tasks));
    }
}

type GangStart = (Option<crate::id::RunNumber>, Option<Box<str>>);

fn start(
    pool: &mut Pool,
    task: TaskId,
    spec: &Step,
    worker: WorkerRef,
    gang: Option<GangStart>,
    now: Instant,
) {
    let Some(job) = pool.jobs.get_mut(&task.step.job) else {
        return;
    };
    let run = gang
        .as_ref()
        .and_then(|(run, _)| *run)
        .unwrap_or_else(|| job.next_run(task));
    let Some(it) = pool.workers.get_mut(&worker) else {
        return;
    };
    let Some(until_ms) = it.deadline_ms(now, pool.bounds.start_window) else {
        return;
    };
    if !job.has_begun {
        job.has_begun = true;
        pool.unsaved.insert(task.step.job);
    }
    let checkpoint = job
        .step(task.step)
        .and_then(|(_, state)| state.tasks.get(task.index as usize))
        .and_then(|task| task.checkpoint.clone());
    let checkpoint = gang.map_or(checkpoint, |(_, of_gang)| of_gang);
    if job.workers.insert(it.info.id.clone()) {
        pool.unsaved.insert(task.step.job);
    }
    let waited = now.saturating_duration_since(job.accepted_at);
    let payload = job.record.spec.payload.clone();
    let team = job.record.team.clone();
    if let Some((_, state)) = job.step_mut(task.step) {
        state.update(task.index, |task| {
            task.live += 1;
            task.last_run = Some(run);
        });
    }
    pool.events.push(Event::Started {
        worker: it.info.id.clone(),
        task,
        run,
        room: it.room(),
        waited,
    });
    let ordered = Run {
        reserved: Resources::ZERO,
        phase: Phase::Ordered,
        started_at: now,
        origin: if checkpoint.is_some() {
            Origin::Resumed
        } else {
            Origin::Started
        },
        start_until_ms: until_ms,
        closed_at: None,
        stop_sent_at: None,
        percent: 0,
        checkpoint: checkpoint.clone(),
        load: 0.0,
        pace_percent: 100,
        is_service: false,
        is_best_effort: false,
        tail_target: None,
    }
    .with_step(spec);
    let reserved = ordered.reserved;
    it.lease_until_ms = it.lease_until_ms.max(until_ms);
    it.add((task, run), ordered);
    if let Some(team) = team {
        *pool.usage.entry(team).or_default() += reserved;
    }
    pool.orders.push(Order::Start(StartOrder {
        worker,
        task,
        run,
        payload,
        checkpoint,
        until_ms,
    }));
}
