//! Gives room to tasks, in the order of their jobs.
//!
//! A task goes to a worker that takes work, has room and the required label, and holds fewer tasks of the step than its
//! spread allows. Among these the rack of its data goes first, then the worker with the least processor time left. A
//! gang is placed whole or not at all. A team's usage never passes its allowance; what it could use beyond that is
//! noted in `short`.

use std::time::Instant;

use crate::id::{JobId, Label, StepId, TaskId, WorkerRef};
use crate::pool::rooms::Rooms;
use crate::pool::{Event, Order, Pool, StartOrder};
use crate::resources::Resources;
use crate::spec::Step;
use crate::worker::{Origin, Phase, Run};

/// The most starts of one plan. The next plan goes on where this one stops, and reports get their share of the time.
const STARTS_MAX: usize = 512;

/// Runs the pass.
pub fn run(pool: &mut Pool, now: Instant) {
    pool.short.clear();
    let mut rooms = Rooms::new(pool, now);
    if rooms.is_empty() {
        return;
    }
    let order = std::mem::take(&mut pool.queue_order);
    let mut open = Vec::new();
    for job in &order {
        if pool.orders.len() >= STARTS_MAX {
            break;
        }
        open_steps(pool, *job, &mut open);
        for step in &open {
            place_step(pool, &mut rooms, *step, now);
        }
    }
    pool.queue_order = order;
}

/// The steps that have idle tasks and whose earlier steps are done.
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

fn place_step(pool: &mut Pool, rooms: &mut Rooms, step: StepId, now: Instant) {
    let Some((spec, state)) = pool.jobs.get(&step.job).and_then(|job| job.step(step)) else {
        return;
    };
    let (reserved, idle, is_gang) = (spec.reserved(), state.idle, spec.is_gang());
    if rooms.is_unfit(reserved) {
        if !is_allowed(pool, step.job, reserved) {
            note_short(pool, step.job, reserved, u64::from(idle));
        }
    } else if is_gang {
        place_gang(pool, rooms, step, now);
    } else {
        place_tasks(pool, rooms, step, now);
    }
}

fn place_tasks(pool: &mut Pool, rooms: &mut Rooms, step: StepId, now: Instant) {
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
        let Some(worker) = rooms.choose(pool, step, &spec) else {
            return;
        };
        rooms.take(worker, reserved);
        start(pool, *task, &spec, worker, None, now);
    }
}

/// Places all members of a gang at once.
fn place_gang(pool: &mut Pool, rooms: &mut Rooms, step: StepId, now: Instant) {
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
    let Some(workers) = choose_gang(pool, rooms, step, &spec) else {
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
        rooms.take(worker, reserved);
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
fn choose_gang(pool: &Pool, rooms: &Rooms, id: StepId, spec: &Step) -> Option<Vec<WorkerRef>> {
    let all = rooms.for_gang(pool, id, spec);
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
    let permit = pool.permit(task.step, worker, now);
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
            task.is_copy_wanted = false;
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
        progressed_at: now,
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
        permit,
    }));
}
