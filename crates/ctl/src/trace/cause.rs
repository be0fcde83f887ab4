//! Derives a job's outcome and its reasons from the log lines about the job, and from those about the store and the
//! pool's scheduler around that time.

use std::fmt;

use crate::trace::line::Line;

/// Lines about the store and the pool's scheduler count as related to a job if they were written at most this long
/// before the job's first line or after its last one.
const RELATED_WINDOW_MS: u64 = 5_000;

/// A wait for the first start that exceeds this is reported as a reason: a job that can start does so sooner.
const START_WAIT_MAX_MS: u64 = 500;

/// The outcome of a job, as far as the logs show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// No line shows that an entry accepted the job.
    NotAccepted,
    /// The job was accepted, and no line shows its end.
    Open,
    /// The job completed within its objective, or its end names none.
    InTime,
    /// The job completed later than its objective.
    Late {
        /// The time that the job took, from the field `took_ms`.
        took_ms: u64,
        /// The objective for that time, from the field `objective_ms`.
        objective_ms: u64,
    },
    /// The job failed, because a task used up its attempts.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

/// A reason for an outcome, with the line that shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// The reason in words, as `trace` prints it.
    pub text: String,
    /// The log line from which the reason was derived.
    pub evidence: Line,
}

/// A job's outcome and the reasons for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The outcome, from the job's own lines.
    pub outcome: Outcome,
    /// The reasons, ordered by the time of their lines, without adjacent repeats.
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

/// Derives the verdict on the job `id`. `lines` holds the lines of all entries, sorted by time.
///
/// Lines about the surroundings are considered only if the job did not complete in time.
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
    let is_related = |line: &&Line| {
        line.time_ms() + RELATED_WINDOW_MS >= span.0 && line.time_ms() <= span.1 + RELATED_WINDOW_MS
    };
    if outcome != Outcome::InTime {
        let pool = own.iter().find_map(|line| line.field("pool"));
        let entries: Vec<&str> = own.iter().map(|line| &*line.entry).collect();
        let related = lines.iter().filter(is_related);
        reasons.extend(related.filter_map(|line| surrounding_reason(line, pool, &entries)));
    }
    reasons.sort_by_key(|reason| reason.evidence.time_ms());
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
        evidence: line.clone(),
    }
}

/// Returns the reason that a line about the job gives for a refusal, a delay or a failure.
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
        "Run lost with its worker." if line.field("exposure") != Some("Established") => format!(
            "task {task} had just started when worker {worker} was lost, {} other runs beside it",
            line.field("beside").unwrap_or("?")
        ),
        "Job given up: a task of it crashes the workers that start it." => format!(
            "given up: task {task} crashes the workers that start it ({})",
            line.field("workers").unwrap_or("?")
        ),
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

/// Returns a reason if the first start took longer than [`START_WAIT_MAX_MS`].
fn waited(own: &[&Line]) -> Option<Reason> {
    let started = own.iter().find(|line| line.message() == "Task started.")?;
    let waited_ms = started.number("waited_ms")?;
    (waited_ms > START_WAIT_MAX_MS).then(|| {
        reason(
            format!("it waited {waited_ms} ms for its first start"),
            started,
        )
    })
}

/// Returns a reason for each task that was started again although no line shows the end of its previous run.
fn restarted(own: &[&Line]) -> Vec<Reason> {
    let is_start = |line: &&&Line| line.message() == "Task started.";
    let mut reasons = Vec::new();
    for (index, restart) in own.iter().enumerate().filter(|(_, line)| is_start(line)) {
        let of_task = |line: &&&Line| line.field("task") == restart.field("task");
        let Some(first) = own[..index].iter().filter(of_task).rfind(is_start) else {
            continue;
        };
        let has_ended = own[..index]
            .iter()
            .filter(of_task)
            .any(|line| line.message() == "Run ended." && line.field("run") == first.field("run"));
        if !has_ended {
            let (task, worker) = (restart.field("task"), first.field("worker"));
            let text = format!(
                "task {} was started again after {} ms: no end came from worker {}",
                task.unwrap_or("?"),
                restart.time_ms().saturating_sub(first.time_ms()),
                worker.unwrap_or("?"),
            );
            reasons.push(reason(text, restart));
        }
    }
    reasons
}

/// Returns the reason that a line gives which is not about the job itself: a lost store or a save that failed, a new
/// scheduler of the job's pool, or a change of the cordons. `entries` are those that have written about the job.
fn surrounding_reason(line: &Line, pool: Option<&str>, entries: &[&str]) -> Option<Reason> {
    let text = match line.message() {
        "The store did not carry out a call." if entries.contains(&&*line.entry) => {
            format!("entry {} lost the store", line.entry)
        }
        "Pool taken over." if pool.is_some() && line.field("pool") == pool => {
            format!("entry {} took over the pool's scheduler", line.entry)
        }
        "Cordoned data centres changed: nothing is started on their workers."
            if pool.is_some() && line.field("pool") == pool =>
        {
            match line.field("dcs").filter(|dcs| !dcs.is_empty()) {
                Some(dcs) => format!("the operators cordoned {dcs}: nothing was started there"),
                None => "the operators opened all data centres again".into(),
            }
        }
        "Jobs not saved; trying again." if pool.is_some() && line.field("pool") == pool => {
            format!("entry {} could not store the pool's jobs", line.entry)
        }
        _ => return None,
    };
    Some(reason(text, line))
}
