//! Checks of the invariants of a pool's state and of its commands. Each returns every breach, with its ids.

use std::collections::BTreeMap;

use goldcrest_types::names::TeamName;

use crate::id::TaskId;
use crate::pool::{Command, Pool, StartCommand};
use crate::resources::Resources;
use crate::suspect::CrashLimit;
use crate::worker::{Origin, Worker};

/// Runs all checks of a pool's state.
#[must_use]
pub fn pool(pool: &Pool) -> Vec<Box<str>> {
    let mut breaches = single_run(pool);
    breaches.extend(reservations(pool));
    breaches.extend(usage(pool));
    breaches.extend(steps(pool));
    breaches.extend(unreported(pool));
    breaches.extend(queries(pool));
    breaches
}

/// Checks that at most one query for placement permits is pending.
#[must_use]
pub fn queries(pool: &Pool) -> Vec<Box<str>> {
    let pending = pool.pending_queries();
    let is_breach = pending.len() > 1;
    let pending = pending.into_iter().filter(|_| is_breach);
    pending
        .map(|step| format!("step {step}: queried beside another step").into())
        .collect()
}

/// Checks that no planned start goes to a worker of a cordoned data centre.
#[must_use]
pub fn cordons(pool: &Pool, commands: &[Command]) -> Vec<Box<str>> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start(order) => Some(order),
        Command::Stop { .. } | Command::Throttle { .. } | Command::QueryPermits(_) => None,
    });
    let is_cordoned = |order: &&StartCommand| {
        let worker = pool.worker(order.worker);
        worker.is_some_and(Worker::is_cordoned)
    };
    starts
        .filter(is_cordoned)
        .map(|order| format!("task {}: started in a cordoned data centre", order.task).into())
        .collect()
}

/// Checks that no planned start brings a worker over its present capacity.
#[must_use]
pub fn capacities(pool: &Pool, commands: &[Command]) -> Vec<Box<str>> {
    let started = commands.iter().filter_map(|command| match command {
        Command::Start(order) => pool.worker(order.worker),
        Command::Stop { .. } | Command::Throttle { .. } | Command::QueryPermits(_) => None,
    });
    started
        .filter(|worker| {
            let is_within = worker.is_described() && worker.used.fits(&worker.info.capacity);
            !is_within || worker.unknown_demands > 0
        })
        .map(|worker| format!("worker {}: started beyond its capacity", worker.info.id).into())
        .collect()
}

/// Checks that no task has more unreported runs than its limit allows.
#[must_use]
pub fn unreported(pool: &Pool) -> Vec<Box<str>> {
    let most = CrashLimit::unreported_max();
    let suspects = pool.jobs().values().filter_map(|job| {
        let tasks = job.to_suspects()?.tasks;
        Some(tasks.into_iter().map(|task| (job.id(), task)))
    });
    suspects
        .flatten()
        .filter(|(_, task)| task.runs.len() > most)
        .map(|(job, task)| {
            format!(
                "job {job}: task {} of step {} has {} unreported runs",
                task.index,
                task.step,
                task.runs.len()
            )
            .into()
        })
        .collect()
}

/// Checks that a task which may not run in copies has at most one live run, and that its count of live runs is right.
#[must_use]
pub fn single_run(pool: &Pool) -> Vec<Box<str>> {
    let mut live: BTreeMap<TaskId, u32> = BTreeMap::new();
    for worker in pool.workers().values() {
        for (task, _) in worker.runs.keys() {
            *live.entry(*task).or_default() += 1;
        }
    }
    let mut breaches = Vec::new();
    for (task, runs) in live {
        let Some((step, state)) = pool
            .jobs()
            .get(&task.step.job)
            .and_then(|job| job.step(task.step))
        else {
            continue;
        };
        let Some(counted) = state.tasks.get(task.index as usize) else {
            continue;
        };
        let is_found = |worker: &Worker| {
            let mut of_task = worker
                .runs
                .iter()
                .filter(|((run_task, _), _)| *run_task == task);
            of_task.any(|(_, run)| matches!(run.origin, Origin::Adopted | Origin::CarriedOver))
        };
        // Runs that were found on workers may be duplicates; these are stopped once they are known.
        if runs > 1 && !step.is_speculative() && !pool.workers().values().any(is_found) {
            breaches.push(format!("task {task}: {runs} runs").into());
        }
        if counted.live != runs {
            breaches.push(format!("task {task}: {runs} runs, counted {}", counted.live).into());
        }
    }
    breaches
}

/// Checks that each worker's `used` is the sum of what its runs reserve, and `unknown_demands` the number of the others.
#[must_use]
pub fn reservations(pool: &Pool) -> Vec<Box<str>> {
    pool.workers()
        .values()
        .filter_map(|worker| {
            let sum = worker
                .runs
                .values()
                .fold(Resources::ZERO, |sum, run| sum + run.reserved);
            let unknown = worker.runs.values().filter(|run| !run.is_demand_known);
            let is_right = sum == worker.used && unknown.count() == worker.unknown_demands as usize;
            (!is_right).then(|| {
                format!(
                    "worker {}: {sum} reserved, counted {}",
                    worker.info.id, worker.used
                )
                .into()
            })
        })
        .collect()
}

/// Checks that each team's usage is the sum of what its runs reserve.
#[must_use]
pub fn usage(pool: &Pool) -> Vec<Box<str>> {
    let mut sums: BTreeMap<&TeamName, Resources> = BTreeMap::new();
    for worker in pool.workers().values() {
        for ((task, _), run) in &worker.runs {
            let job = pool.jobs().get(&task.step.job);
            if let Some(team) = job.and_then(|job| job.record.team.as_ref()) {
                *sums.entry(team).or_default() += run.reserved;
            }
        }
    }
    pool.usage()
        .iter()
        .filter_map(|(team, counted)| {
            let sum = sums.get(team).copied().unwrap_or_default();
            (sum != *counted)
                .then(|| format!("team {team}: {sum} running, counted {counted}").into())
        })
        .collect()
}

/// Checks that no task was started before the steps that its step waits for were done. A run that an earlier scheduler
/// started may be found before the ends that its start depended on.
#[must_use]
pub fn steps(pool: &Pool) -> Vec<Box<str>> {
    let runs = pool.workers().values().flat_map(|worker| &worker.runs);
    let started = runs.filter(|(_, run)| matches!(run.origin, Origin::Started | Origin::Resumed));
    let mut breaches = Vec::new();
    for ((task, _), _) in started {
        let job = pool.jobs().get(&task.step.job);
        let occurrence = job.and_then(|job| job.occurrences.get(&task.step.occurrence));
        let step = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        if let (Some(occurrence), Some(step)) = (occurrence, step)
            && !occurrence.is_open(step)
        {
            breaches.push(format!("task {task}: runs before its step's turn").into());
        }
    }
    breaches
}
