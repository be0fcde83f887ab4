//! A pool that is driven by the lines of a case file.

mod parse;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::{Catalogue, PoolSpec, Queue, Team};
use goldcrest_jobs::id::{FencingToken, VmId, WorkerId, WorkerRef};
use goldcrest_jobs::pool::permits::PermitGrants;
use goldcrest_jobs::pool::{Bounds, Command, Event, InheritedIncarnations, Pool};
use goldcrest_jobs::progress::{OccurrenceProgress, Progress, StepProgress};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobRecord, Schedule};
use goldcrest_jobs::worker::WorkerInfo;
use goldcrest_types::names::PoolName;

use parse::{answer, job_id, number, query_times, report, short_task, shown_event, step, task};

/// A pool and the state that the lines of its case have set up.
pub struct Case {
    start: Instant,
    now: Instant,
    wall_ms: u64,
    queues: Vec<Queue>,
    teams: Vec<(Team, Vec<Box<str>>)>,
    pool: Option<Pool>,
    infos: BTreeMap<String, WorkerInfo>,
    listed: BTreeSet<String>,
    /// The number of writes of the assigned workers.
    writes: u64,
    vms: BTreeMap<WorkerId, VmId>,
    schedule: Option<Schedule>,
    is_inheriting: bool,
    inherited: Vec<(JobRecord, Progress, Duration)>,
}

fn pool_name() -> PoolName {
    number("p")
}

impl Case {
    /// A case before its first line.
    pub fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            wall_ms: 1_000_000,
            queues: Vec::new(),
            teams: Vec::new(),
            pool: None,
            infos: BTreeMap::new(),
            listed: BTreeSet::new(),
            writes: 0,
            vms: BTreeMap::new(),
            schedule: None,
            is_inheriting: false,
            inherited: Vec::new(),
        }
    }

    fn pool(&mut self) -> &mut Pool {
        self.pool.as_mut().expect("no 'pool' line")
    }

    fn worker(&self, name: &str) -> WorkerRef {
        let pool = self.pool.as_ref().expect("no 'pool' line");
        let newest = pool
            .workers()
            .iter()
            .filter(|(_, worker)| worker.info.id.as_str() == name)
            .map(|(worker, _)| *worker)
            .max();
        newest.unwrap_or_else(|| panic!("no worker '{name}'"))
    }

    /// Executes one line and returns its output.
    pub fn step(&mut self, line: &str) -> Vec<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let now = self.now;
        match words[0] {
            "queue" => self.add_queue(&words),
            "team" => self.add_team(&words),
            "pool" => self.begin_scheduler(number(words[1])),
            "allow" => {
                let allowance = Resources {
                    cpu_millis: number(words[2]),
                    memory_mb: number(words[3]),
                    accelerators: 0,
                };
                self.pool().set_allowance(number(words[1]), allowance);
            }
            "worker" => self.add_worker(&words),
            "vm" => {
                self.vms
                    .insert(WorkerId::from(words[1]), VmId::from(words[2]));
                let vms = self.vms.clone();
                self.pool().set_vms(&vms);
            }
            "dc" => self.info(words[1]).dc = Some(number(words[2])),
            "drain" => self.info(words[1]).is_draining = true,
            "born" => self.info(words[1]).started_ms = Some(number(words[2])),
            "unlist" => {
                self.listed.remove(words[1]);
            }
            "list" => self.list(now),
            "due" => {
                self.schedule = Some(Schedule {
                    occurrences: number(words[1]),
                    first_due_ms: number(words[2]),
                    interval: Duration::from_millis(number(words[3])),
                });
            }
            "job" => self.add_job(&words),
            "inherit" => self.is_inheriting = true,
            "met" => {
                let id = job_id(words[1]);
                let mut inherited = self.inherited.iter_mut();
                let found = inherited.find(|(record, ..)| record.id == id);
                let (_, progress, _) = found.expect("no such job is inherited");
                progress.has_begun = true;
                let workers = words[2..].iter().map(|name| WorkerId::from(*name));
                progress.workers.extend(workers);
            }
            "done" => self.add_done_tasks(&words),
            "takeover" => {
                let assigned_workers = words[1..].iter().map(|name| WorkerId::from(*name));
                let jobs = std::mem::take(&mut self.inherited);
                self.is_inheriting = false;
                let lease = Some(self.pool().bounds().lease);
                self.pool()
                    .take_over(jobs, assigned_workers.collect(), lease, now);
                let inherited = InheritedIncarnations {
                    has_predecessor: true,
                    started_ms: BTreeMap::new(),
                    present_ms: BTreeMap::new(),
                    stray_leases: Some(BTreeSet::new()),
                };
                self.pool().inherit_incarnations(inherited, now);
            }
            _ => return self.apply_event(&words),
        }
        Vec::new()
    }

    fn list(&mut self, now: Instant) {
        let listed = self.listed.iter().map(|name| self.infos[name].clone());
        let listed = listed.collect();
        self.pool().set_workers(listed, now);
        // Stored at once: the revision of the write rises with each line.
        self.writes += 1;
        let without_token = self.pool().workers_without_token();
        let token = FencingToken(self.pool().token().0 + self.writes);
        self.pool().set_tokens(&without_token, token);
        let vms = self.vms.clone();
        self.pool().set_vms(&vms);
    }

    /// Executes a line of an event after the scheduler has begun.
    fn apply_event(&mut self, words: &[&str]) -> Vec<String> {
        let now = self.now;
        match words[0] {
            "cancel" => self.pool().cancel(job_id(words[1])),
            "at" => {
                let to = self.start + Duration::from_millis(number(words[1]));
                self.wall_ms += u64::try_from((to - self.now).as_millis()).unwrap_or_default();
                self.now = to;
            }
            "wall" => self.wall_ms = number(words[1]),
            "started" => {
                let (worker, run) = (self.worker(words[3]), number(words[2]));
                let answer = answer(words[4]);
                if let Some(clock_ms) = words.get(5) {
                    let (task, run, clock_ms) = (task(words[1]), run_number(run), number(clock_ms));
                    self.pool()
                        .start_clock_read(worker, task, run, clock_ms, now);
                }
                self.pool()
                    .start_answered(worker, task(words[1]), run_number(run), answer, now);
            }
            "unanswered" => {
                let worker = self.worker(words[3]);
                let run = run_number(number(words[2]));
                let id = WorkerId::from(words[3]);
                self.pool()
                    .start_unanswered(worker, &id, task(words[1]), run, now);
            }
            "stopped" => {
                let worker = self.worker(words[3]);
                let run = run_number(number(words[2]));
                self.pool().stop_confirmed(worker, task(words[1]), run, now);
            }
            "report" => {
                let worker = self.worker(words[1]);
                let report = report(&words[2..]);
                let started_ms = report.started_ms;
                self.pool().report(worker, now, report.clone(), now);
                if self.pool().entries_awaited() > 0 {
                    // The registry shows the later incarnation right after its report, which is then requested again.
                    self.info(words[1]).started_ms = started_ms;
                    self.list(now);
                    let worker = self.worker(words[1]);
                    self.pool().report(worker, now, report, now);
                }
                let until: u64 = number(words[2]);
                let lease = u64::try_from(self.pool().bounds().lease.as_millis());
                let worker = self.worker(words[1]);
                self.pool()
                    .lease_offered(worker, until + lease.unwrap_or_default(), now);
            }
            "permits" => self.answer_permits(words),
            "silent" => {
                let worker = self.worker(words[1]);
                self.pool().mark_unresponsive(worker, now);
            }
            "evacuate" => {
                let vms = words[1..].iter().map(|vm| VmId::from(*vm)).collect();
                self.pool().set_evacuating(&vms, now);
            }
            "cordon" => {
                let dcs = words[1..].iter().map(|dc| number(dc)).collect();
                self.pool().set_cordoned(&dcs);
            }
            "plan" => return self.plan(),
            "events" => return self.events(),
            "state" => return self.state(words[1]),
            "evacuated" => {
                let empty = self.pool().evacuated();
                return empty.iter().map(ToString::to_string).collect();
            }
            other => panic!("'{other}' is no line of a case"),
        }
        Vec::new()
    }

    /// `permits STEP none` or `permits STEP ASKED,... VALID_MS WORKER=PERMIT...`.
    fn answer_permits(&mut self, words: &[&str]) {
        let now = self.now;
        let step = task(&format!("{}.0", words[1])).step;
        let granted = if words[2] == "none" {
            None
        } else {
            let rows = words[4..].iter().filter_map(|row| row.split_once('='));
            Some(PermitGrants {
                by_worker: rows
                    .map(|(id, text)| (WorkerId::from(id), text.into()))
                    .collect(),
                valid_for: Duration::from_millis(number(words[3])),
            })
        };
        self.pool().permits_answered(step, granted, now, now);
    }

    fn info(&mut self, name: &str) -> &mut WorkerInfo {
        self.infos
            .get_mut(name)
            .unwrap_or_else(|| panic!("no worker '{name}'"))
    }

    fn add_queue(&mut self, words: &[&str]) {
        self.queues.push(Queue {
            name: number(words[1]),
            host: "host".into(),
            prefix: format!("/{}/", words[1]).into(),
            pool: pool_name(),
            is_open: false,
            priority: number(words[2]),
            attempts_max: number(words[3]),
            stretch_milli: number(words[4]),
            target_latency: Duration::from_millis(number(words[5])),
            timeout: Duration::from_secs(3),
            permit_queries: words.get(6).and_then(|word| query_times(word)),
        });
    }

    fn add_team(&mut self, words: &[&str]) {
        let team = Team {
            name: number(words[1]),
            weight: 1_000,
            cap: Resources {
                cpu_millis: number(words[2]),
                memory_mb: number(words[3]),
                accelerators: 0,
            },
        };
        self.teams.push((team, Vec::new()));
    }

    fn begin_scheduler(&mut self, token: u64) {
        let pools = vec![PoolSpec {
            name: pool_name(),
            has_admission_control: true,
            is_spare: false,
        }];
        let catalogue = Catalogue::new(1, self.queues.clone(), pools, self.teams.clone());
        self.pool = Some(Pool::new(
            pool_name(),
            FencingToken(token),
            Bounds::default(),
            Arc::new(catalogue),
        ));
    }

    fn add_worker(&mut self, words: &[&str]) {
        let info = WorkerInfo {
            id: WorkerId::from(words[1]),
            started_ms: None,
            address: words[1].into(),
            dc: None,
            capacity: Resources {
                cpu_millis: number(words[2]),
                memory_mb: number(words[3]),
                accelerators: 0,
            },
            labels: words[4..].iter().map(|label| (*label).into()).collect(),
            is_draining: false,
            remaining: None,
            is_cold: false,
        };
        self.infos.insert(words[1].into(), info);
        self.listed.insert(words[1].into());
    }

    fn add_job(&mut self, words: &[&str]) {
        let spec = goldcrest_jobs::spec::JobSpec {
            payload: words[1].into(),
            steps: words[4..].iter().map(|text| step(text)).collect(),
            schedule: self.schedule.take(),
        };
        assert_eq!(spec.check(), Ok(()));
        let record = JobRecord {
            id: job_id(words[1]),
            queue: number(words[2]),
            team: (words[3] != "-").then(|| number(words[3])),
            accepted_ms: self.wall_ms,
            spec,
            is_cancelled: false,
            policy: None,
            route: None,
        };
        if self.is_inheriting {
            self.inherited
                .push((record, Progress::default(), Duration::ZERO));
        } else {
            let now = self.now;
            self.pool().submit(record, Duration::ZERO, now);
        }
    }

    /// Marks tasks of an inherited job as done.
    fn add_done_tasks(&mut self, words: &[&str]) {
        let id = job_id(words[1]);
        let (record, progress, _) = self
            .inherited
            .iter_mut()
            .find(|(record, ..)| record.id == id)
            .expect("no such job is inherited");
        progress.has_begun = true;
        if progress.occurrences.is_empty() {
            progress.occurrences.push(OccurrenceProgress {
                occurrence: 0,
                steps: vec![StepProgress::default(); record.spec.steps.len()],
            });
        }
        let step = &mut progress.occurrences[0].steps[number::<usize>(words[2])];
        for index in &words[3..] {
            step.done.insert(number(index));
        }
    }

    fn plan(&mut self) -> Vec<String> {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let orders = self.pool().plan(now, wall_ms);
        assert_eq!(
            goldcrest_jobs::verify::pool(self.pool()),
            Vec::<Box<str>>::new()
        );
        orders.iter().map(|order| self.show(order)).collect()
    }

    fn name(&self, worker: WorkerRef) -> String {
        let pool = self.pool.as_ref().expect("no 'pool' line");
        pool.worker(worker)
            .map_or_else(|| worker.to_string(), |worker| worker.info.id.to_string())
    }

    fn show(&self, order: &Command) -> String {
        match order {
            Command::Start(order) => {
                let checkpoint = order
                    .checkpoint
                    .as_ref()
                    .map(|checkpoint| format!(" from {checkpoint}"))
                    .unwrap_or_default();
                let permit = order.permit.as_ref();
                let permit = permit
                    .map(|permit| format!(" by {permit}"))
                    .unwrap_or_default();
                format!(
                    "start {} run {} on {}{checkpoint}{permit}",
                    short_task(order.task),
                    order.run,
                    self.name(order.worker)
                )
            }
            Command::Stop {
                worker,
                task,
                run,
                reason,
            } => format!(
                "stop {} run {run} on {}: {reason:?}",
                short_task(*task),
                self.name(*worker)
            ),
            Command::Throttle {
                worker,
                task,
                run,
                percent,
            } => format!(
                "pace {} run {run} on {} to {percent}",
                short_task(*task),
                self.name(*worker)
            ),
            Command::QueryPermits(query) => {
                let step = short_task(query.step.task(0));
                let step = step.strip_suffix(".0").unwrap_or(&step);
                let workers: Vec<&str> = query.workers.iter().map(WorkerId::as_str).collect();
                format!("ask for {step} on {}", workers.join(" "))
            }
        }
    }

    fn events(&mut self) -> Vec<String> {
        let events: Vec<Event> = self.pool().take_events();
        events.iter().filter_map(shown_event).collect()
    }

    fn state(&mut self, id: &str) -> Vec<String> {
        let id = job_id(id);
        let pool = self.pool();
        let Some(job) = pool.jobs().get(&id) else {
            return vec!["not open".into()];
        };
        vec![format!(
            "{:?}, {} live, to save: {}",
            job.state(),
            job.live(),
            pool.unsaved().contains(&id)
        )]
    }
}

fn run_number(number: u64) -> goldcrest_jobs::id::RunNumber {
    goldcrest_jobs::id::RunNumber(number)
}
