//! Identifiers of jobs, tasks, runs, workers and VMs, and fencing tokens.
//!
//! A [`TaskId`] names a task permanently; a [`RunNumber`] numbers its starts and only rises. A [`WorkerId`] names a
//! worker process on a VM, and a [`WorkerRef`] one incarnation of it.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use goldcrest_types::entity_id;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// The length of a job's id, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

quick_error! {
    /// Why a text is not an id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// A job's id has another form.
        Job {
            display("the job's id is not {JOB_ID_DIGITS} hexadecimal digits: draw 64 random bits and print them")
        }
        /// A route's id has another form.
        Route {
            display("the route's id is no hexadecimal number: copy it whole from the key of the queue's names")
        }
        /// A task's id has another form.
        Task {
            display("the task's id is not JOB.OCCURRENCE.STEP.INDEX: copy it whole from where it was printed")
        }
    }
}

/// Identifies a queue by what its submitters address: the host name and the prefix of its calls. Operators may give the queue
/// another name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteId(u64);

impl RouteId {
    /// The id of the queue with this host name and prefix.
    #[must_use]
    pub fn new(host: &str, prefix: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(host.as_bytes());
        // Neither contains a zero byte.
        hasher.write_u8(0);
        hasher.write(prefix.as_bytes());
        Self(hasher.finish())
    }
}

impl FromStr for RouteId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| IdError::Route)
    }
}

impl fmt::Display for RouteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The id of a job, drawn by its submitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct JobId([u8; JOB_ID_DIGITS]);

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits: [u8; JOB_ID_DIGITS] = text.as_bytes().try_into().map_err(|_| IdError::Job)?;
        if digits.iter().all(u8::is_ascii_hexdigit) {
            Ok(Self(digits))
        } else {
            Err(IdError::Job)
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The digits were checked to be ASCII when the id was made.
        f.pad(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl TryFrom<Box<str>> for JobId {
    type Error = IdError;

    fn try_from(text: Box<str>) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<JobId> for Box<str> {
    fn from(id: JobId) -> Self {
        id.to_string().into()
    }
}

/// A step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
}

impl StepId {
    /// The task with this index.
    #[must_use]
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// The index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(IdError::Task)?.parse()?;
        let mut number = || -> Result<u32, IdError> {
            let part = parts.next().ok_or(IdError::Task)?;
            part.parse().map_err(|_| IdError::Task)
        };
        let step = StepId {
            job,
            occurrence: number()?,
            step: number()?,
        };
        let task = step.task(number()?);
        if parts.next().is_some() {
            return Err(IdError::Task);
        }
        Ok(task)
    }
}

/// The number of a start of a task. It only rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunNumber(pub u64);

impl RunNumber {
    /// The number of a task's first run.
    pub const FIRST: Self = Self(1);

    /// The number after this one; the highest number for itself, which only a corrupt report can name.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A number that rises from one holder of a role to the next. A worker refuses commands with a lower token than it has
/// seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! opaque_name {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

opaque_name!(
    /// The id of a worker process. A restart may keep it; the start time distinguishes the incarnations.
    WorkerId
);
opaque_name!(
    /// The id of a VM in the platform's list. A VM outlives the workers that run on it.
    VmId
);
opaque_name!(
    /// A property of a worker: its kind or its rack.
    Label
);

entity_id!(
    /// A reference to one incarnation of a worker in memory.
    WorkerRef,
    "w"
);
