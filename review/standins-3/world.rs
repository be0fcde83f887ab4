//! What the stand-ins have seen, with the time since the script began, and the jobs that the clients have sent.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use crate::advice::Advice;
use crate::json::Json;

/// A step of a job, as far as a minion and the checks need it.
#[derive(Debug, Clone, Default)]
pub struct Step {
    pub cpu: u64,
    pub mem_mb: u64,
    pub is_filling: bool,
    pub target_ms: u64,
}

/// A job that a client has sent.
#[derive(Debug, Clone)]
pub struct Job {
    pub tenant: String,
    pub steps: Vec<Step>,
}

/// A run of a task that a minion has begun.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, String)>,
    /// When the system took note of its end.
    pub noted_ms: Option<u64>,
    /// What the tenant had running with it, in thousandths of a core.
    pub tenant_cpu: u64,
}

impl RunRecord {
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

pub struct World {
    began: Instant,
    record: Mutex<File>,
    runs: Mutex<Vec<RunRecord>>,
    jobs: Mutex<HashMap<String, Job>>,
    /// The service whose tickets the starts must carry, if there is one.
    pub advice: OnceLock<Advice>,
}

impl World {
    pub fn new(record: File) -> Self {
        Self {
            began: Instant::now(),
            record: Mutex::new(record),
            runs: Mutex::default(),
            jobs: Mutex::default(),
            advice: OnceLock::new(),
        }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line of the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().expect("no thread panics here");
        let _ = writeln!(record, "{:>8} ms  {text}", self.ms());
    }

    pub fn add_job(&self, id: &str, tenant: &str, body: &Json) {
        let steps = body.list("steps").iter().map(|step| Step {
            cpu: step.u64("cpu").unwrap_or_default(),
            mem_mb: step.u64("memMb").unwrap_or_default(),
            is_filling: step.get("fills") == Some(&Json::Bool(true)),
            target_ms: step.u64("targetMs").unwrap_or_default(),
        });
        let job = Job {
            tenant: tenant.to_owned(),
            steps: steps.collect(),
        };
        let mut jobs = self.jobs.lock().expect("no thread panics here");
        jobs.insert(id.to_owned(), job);
    }

    /// The tenant and the step of a task `ID.K.STEP.INDEX`.
    pub fn step_of(&self, task: &str) -> Option<(String, Step)> {
        let mut parts = task.split('.');
        let jobs = self.jobs.lock().expect("no thread panics here");
        let job = jobs.get(parts.next()?)?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        Some((job.tenant.clone(), job.steps.get(step)?.clone()))
    }

    pub fn runs(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.runs.lock().expect("no thread panics here")
    }

    /// Records that a minion has begun a run. Returns its index.
    pub fn begin_run(&self, task: &str, run: u64, minion: &str) -> usize {
        let tenant = self.step_of(task).map(|(tenant, _)| tenant);
        let mut runs = self.runs();
        runs.push(RunRecord {
            task: task.to_owned(),
            run,
            minion: minion.to_owned(),
            began_ms: self.ms(),
            ended: None,
            noted_ms: None,
            tenant_cpu: 0,
        });
        let live = runs.iter().filter(|run| run.ended.is_none());
        let steps = live.filter_map(|run| self.step_of(&run.task));
        let cpu = steps
            .filter(|(of, step)| Some(of) == tenant.as_ref() && !step.is_filling)
            .map(|(_, step)| step.cpu)
            .sum();
        let at = runs.len() - 1;
        runs[at].tenant_cpu = cpu;
        drop(runs);
        self.note(&format!(
            "run begins: {task} run {run} on {minion}; its tenant has {cpu} thousandths of a core running"
        ));
        at
    }

    pub fn end_run(&self, at: usize, how: &str) {
        let mut runs = self.runs();
        let run = &mut runs[at];
        run.ended = Some((self.ms(), how.to_owned()));
        let text = format!(
            "run ends: {} run {} on {}: {how}",
            run.task, run.run, run.minion
        );
        drop(runs);
        self.note(&text);
    }

    pub fn note_end(&self, at: usize) {
        let mut runs = self.runs();
        runs[at].noted_ms.get_or_insert(self.ms());
    }
}
