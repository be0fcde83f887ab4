//! Logs, with `log` and `fern`.
//!
//! A line is the time, the level, the part in brackets, a short sentence and key-values. The part is the record's
//! target, without what follows `::`; the closed list of parts is [`Part`]. Equal lines in a row are counted by [`repeat::Repeats`] and not
//! written again. Neither keys nor bodies are ever logged: no type that holds them implements `Display`.

pub mod bounded;
mod line;
pub mod repeat;

use std::fmt;
use std::io;
use std::str::FromStr;
use std::sync::Arc;

use goldcrest_types::clock::Clock;
use log::{LevelFilter, Log, Metadata};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use line::LogLine;
pub use repeat::Repeats;

/// The target of the scheduler's lines that tell what became of a job, and of the losses that count against it. They alone
/// tell why a job has failed.
pub const VERDICT: &str = "scheduler::verdict";

/// The part that a record's target names.
fn part_of(target: &str) -> &str {
    target.split_once("::").map_or(target, |(part, _)| part)
}

/// The parts of a process, by the names that logs and the supervisor use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// Start and stop of the process.
    Main,
    /// Callers' requests.
    Front,
    /// The session with the key-value service.
    Store,
    /// The catalogue in force.
    Catalogue,
    /// The list of VMs and the pools they are in.
    Fleet,
    /// The teams' quota.
    Quota,
    /// Links to the other entries.
    Peers,
    /// Tasks on workers.
    Scheduler,
    /// Maintenance waves.
    Maintenance,
    /// Pool sizes.
    Sizing,
    /// The operators' interface.
    Operator,
}

impl Part {
    /// The part's name, which is the target of its log records.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Main => "main",
            Self::Front => "front",
            Self::Store => "store",
            Self::Catalogue => "catalogue",
            Self::Fleet => "fleet",
            Self::Quota => "quota",
            Self::Peers => "peers",
            Self::Scheduler => "scheduler",
            Self::Maintenance => "maintenance",
            Self::Sizing => "sizing",
            Self::Operator => "operator",
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text, one line per record.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The lowest level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Level(LevelFilter);

quick_error! {
    /// An error of the set-up of the logs.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LogError {
        /// The text names no level.
        Level {
            display("no such level: use off, error, warn, info, debug or trace")
        }
        /// The writing thread can't be started.
        Thread {
            display("the thread that writes the logs can't be started: free some memory")
        }
        /// Another logger is installed already.
        InPlace {
            display("a logger is in place already: set up the logs once, at the start of the process")
        }
    }
}

impl Default for Level {
    fn default() -> Self {
        Self(LevelFilter::Info)
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0.as_str().to_ascii_lowercase())
    }
}

impl FromStr for Level {
    type Err = LogError;

    fn from_str(text: &str) -> Result<Self, LogError> {
        text.parse().map(Self).map_err(|_| LogError::Level)
    }
}

impl TryFrom<Box<str>> for Level {
    type Error = LogError;

    fn try_from(text: Box<str>) -> Result<Self, LogError> {
        text.parse()
    }
}

impl From<Level> for Box<str> {
    fn from(level: Level) -> Self {
        level.to_string().into()
    }
}

/// Sets up the logs of this process on standard output. Writing a line never blocks; see [`bounded`] for what is
/// dropped.
///
/// # Errors
///
/// Another logger is installed already, or the writing thread can't be started.
pub fn init_bounded(level: Level, format: Format, clock: Arc<dyn Clock>) -> Result<(), LogError> {
    let logger = bounded_logger(level, format, clock, io::stdout())?;
    log::set_boxed_logger(logger).map_err(|_| LogError::InPlace)?;
    log::set_max_level(level.0);
    Ok(())
}

/// The logger of [`init_bounded`], with an output of its own.
///
/// # Errors
///
/// The writing thread can't be started.
pub fn bounded_logger(
    level: Level,
    format: Format,
    clock: Arc<dyn Clock>,
    out: impl io::Write + Send + 'static,
) -> Result<Box<dyn Log>, LogError> {
    let wall = Arc::clone(&clock);
    let output = bounded::Output::new(out).map_err(|_| LogError::Thread)?;
    let verdicts: Box<dyn io::Write + Send> = Box::new(output.verdicts());
    let others: Box<dyn io::Write + Send> = Box::new(output);
    let is_verdict = |metadata: &Metadata<'_>| metadata.target() == VERDICT;
    let (_, inner) = fern::Dispatch::new()
        .level(level.0)
        .format(move |out, message, record| match format {
            Format::Text => line::text(out, message, record, wall.wall()),
            Format::Json => line::json(out, message, record, wall.wall()),
        })
        .chain(fern::Dispatch::new().filter(is_verdict).chain(verdicts))
        .chain(
            fern::Dispatch::new()
                .filter(move |metadata| !is_verdict(metadata))
                .chain(others),
        )
        .into_log();
    Ok(Box::new(bounded::Budget::new(inner, clock)))
}

/// Waits for twice [`bounded::WRITE_EVERY`], so that queued lines are written before the process ends.
pub fn flush() {
    log::logger().flush();
    std::thread::park_timeout(bounded::WRITE_EVERY * 2);
}

/// Sets up the logs of this process on standard error. Writing a line may block.
///
/// # Errors
///
/// Another logger is installed already.
pub fn init(level: Level, format: Format, clock: Arc<dyn Clock>) -> Result<(), LogError> {
    let wall = Arc::clone(&clock);
    let (max, inner) = fern::Dispatch::new()
        .level(level.0)
        // The library logs every caller that gives up. The parts that use it log the consequences themselves.
        .level_for("tarpc", LevelFilter::Off)
        .format(move |out, message, record| match format {
            Format::Text => line::text(out, message, record, wall.wall()),
            Format::Json => line::json(out, message, record, wall.wall()),
        })
        .chain(io::stderr())
        .into_log();
    log::set_boxed_logger(Box::new(Repeats::new(inner, clock))).map_err(|_| LogError::InPlace)?;
    log::set_max_level(max);
    Ok(())
}
