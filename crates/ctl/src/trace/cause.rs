//! Names what became of a job and why, from the lines about it and those about what it depended on.

use std::fmt;

use crate::trace::line::Line;

/// Lines about the store and the roles up to this long before or after a job's own are taken as its surroundings.
const NEAR_MS: u64 = 5_000;

/// A job waits longer than this for its first start only if there is a reason.
const WAIT_MS: u64 = 500;

/// What became of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// No entry has accepted it.
    NotAccepted,
    /// It is accepted and has not ended, as far as the logs go.
    Open,
    /// It has completed within its objective.
    InTime,
    /// It has completed later than that.
    Late {
        /// How long it took.
        took_ms: u64,
        /// What was expected.
        objective_ms: u64,
    },
    /// A task has failed too often.
    Failed,
    /// Its submitter has cancelled it.
    Cancelled,
}

/// A reason, with the line that shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// What it is.
    pub text: String,
    /// The line.
    pub shown_by: Line,
}

/// What became of a job, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What became of it.
    pub outcome: Outcome,
    /// The reasons, in order of time.
    pub reasons: Vec<Reason>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAccepted => f.write_str("never accepted: it has not run and never will"),
            Self::Open => f.write_str("accepted, not ended yet"),
            Self::InTime => f.write_str("completed within its objective"),
            Self::Late {
                took_ms,
                objective_ms,
            } => write!(
                f,
                "completed after {took_ms} ms, expected within {objective_ms} ms"
            ),
            Self::Failed => f.write_str("failed: a task has used up its attempts"),
            Self::Cancelled => f.write_str("cancelled by its submitter"),
        }
    }
}

/// Judges a job by all lines, which are in order of time.
#[must_use]
pub fn judge(id: &str, lines: &[Line]) -> Verdict {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let outcome = outcome(&own);
    let mut reasons: Vec<Reason> = own.iter().filter_map(|line| own_reason(line)).collect();
    reasons.extend(waited(&own));
    reasons.extend(restarted(&own));
    let span = (
        own.first().map_or(0, |line| line.time_ms()),
        own.last().map_or(0, |line| line.time_ms()),
    );
    let is_near =
        |line: &&Line| line.time_ms() + NEAR_MS >= span.0 && line.time_ms() <= span.1 + NEAR_MS;
    if outcome != Outcome::InTime {
        let pool = own.iter().find_map(|line| line.field("pool"));
        let entries: Vec<&str> = own.iter().map(|line| &*line.entry).collect();
        let near = lines.iter().filter(is_near);
        reasons.extend(near.filter_map(|line| surrounding_reason(line, pool, &entries)));
    }
    reasons.sort_by_key(|reason| reason.shown_by.time_ms());
    reasons.dedup_by(|next, last| next.text == last.text);
    Verdict { outcome, reasons }
}

fn outcome(own: &[&Line]) -> Outcome {
    let ended = own.iter().rfind(|line| line.message() == "Job ended.");
    if let Some(ended) = ended {
        let took_ms = ended.number("took_ms").unwrap_or_default();
        let objective_ms = ended.number("objective_ms").unwrap_or(u64::MAX);
        return match ended.field("state") {
            Some("Failed") => Outcome::Failed,
            Some("Cancelled") => Outcome::Cancelled,
            _ if took_ms > objective_ms => Outcome::Late {
                took_ms,
                objective_ms,
            },
            _ => Outcome::InTime,
        };
    }
    let is_known = |line: &&&Line| {
        matches!(
            line.message(),
            "Job accepted." | "Job is accepted already." | "Job taken in." | "Task started."
        )
    };
    if own.iter().any(|line| is_known(&line)) {
        Outcome::Open
    } else {
        Outcome::NotAccepted
    }
}

fn reason(text: String, line: &Line) -> Reason {
    Reason {
        text,
        shown_by: line.clone(),
    }
}

/// What a line about the job says against it.
fn own_reason(line: &Line) -> Option<Reason> {
    let worker = line.field("worker").unwrap_or("?");
    let task = line.field("task").unwrap_or("?");
    let text = match line.message() {
        "Job refused: the store did not take it." => {
            let error = line.field("error").unwrap_or("?");
            format!("entry {} refused it: {error}", line.entry)
        }
        "Run ended." => match line.field("how")? {
            "failed" => format!("task {task} failed on worker {worker}"),
            "done" | "stopped" => return None,
            how => format!("task {task} was lost on worker {worker}: {how}"),
        },
        "Run stopped." if line.field("reason") == Some("StandsStill") => {
            format!("task {task} made no progress on worker {worker}")
        }
        "Task not started." => {
            let answer = line.field("answer").unwrap_or("?");
            format!("a start was not carried out ({answer})")
        }
        "No answer about placement permits." => "the permit service gave no answer".into(),
        message if message.starts_with("Job waits: no worker") => {
            format!(
                "no worker could run step {}",
                line.field("step").unwrap_or("?")
            )
        }
        _ => return None,
    };
    Some(reason(text, line))
}

/// A long wait for the first start.
fn waited(own: &[&Line]) -> Option<Reason> {
    let started = own.iter().find(|line| line.message() == "Task started.")?;
    let waited_ms = started.number("waited_ms")?;
    (waited_ms > WAIT_MS).then(|| {
        reason(
            format!("it waited {waited_ms} ms for its first start"),
            started,
        )
    })
}

/// Tasks that were started again although no end of the run before was reported.
fn restarted(own: &[&Line]) -> Vec<Reason> {
    let is_start = |line: &&&Line| line.message() == "Task started.";
    let mut reasons = Vec::new();
    for (at, again) in own.iter().enumerate().filter(|(_, line)| is_start(line)) {
        let of_task = |line: &&&Line| line.field("task") == again.field("task");
        let Some(first) = own[..at].iter().filter(of_task).rfind(is_start) else {
            continue;
        };
        let has_ended = own[..at]
            .iter()
            .filter(of_task)
            .any(|line| line.message() == "Run ended." && line.field("run") == first.field("run"));
        if !has_ended {
            let (task, worker) = (again.field("task"), first.field("worker"));
            let text = format!(
                "task {} was started again after {} ms: no end came from worker {}",
                task.unwrap_or("?"),
                again.time_ms().saturating_sub(first.time_ms()),
                worker.unwrap_or("?"),
            );
            reasons.push(reason(text, again));
        }
    }
    reasons
}

/// What a line about the surroundings explains.
fn surrounding_reason(line: &Line, pool: Option<&str>, entries: &[&str]) -> Option<Reason> {
    let text = match line.message() {
        "The store did not carry out a call." if entries.contains(&&*line.entry) => {
            format!("entry {} lost the store", line.entry)
        }
        "Pool taken over." if pool.is_some() && line.field("pool") == pool => {
            format!("entry {} took over the pool's scheduler", line.entry)
        }
        "Jobs not saved; trying again." if pool.is_some() && line.field("pool") == pool => {
            format!("entry {} could not store the pool's jobs", line.entry)
        }
        _ => return None,
    };
    Some(reason(text, line))
}
