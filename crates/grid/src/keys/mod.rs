//! The keys under which entries keep what must last, and the form of their values.
//!
//! | key | holds | written by |
//! | --- | --- | --- |
//! | `job/QUEUE/ID` | [`JobStatus`]: what callers see; its creation accepts the job | the accepting entry, then the scheduler |
//! | `in/POOL/job/ID` | the job as it was submitted; removed when it has ended | the accepting entry; a cancelling one |
//! | `in/POOL/evacuate` | [`Evacuation`]: VMs to empty | the fleet's holder |
//! | `run/POOL/ID` | the progress of an open job | the pool's scheduler |
//! | `crew/POOL` | [`Crew`]: workers that may run something | the pool's scheduler |
//! | `at/POOL` | [`PoolStatus`]; ends with the scheduler's lease | the pool's scheduler |
//! | `share/TEAM` | the team's share of each pool | the schedulers |
//! | `wave/N` | the progress of a wave | the fleet's holder |
//! | `ordered` | VMs about which orders were sent of late, or are about to be | the fleet's holder |
//! | `homes` | the pool of each VM when it was first seen | the fleet's holder |
//! | `turns` | [`TurnRecord`]: which pools are busy, and which rest after that | the fleet's holder |
//! | `who/entry/NAME` | [`Member`]; ends with the entry's lease | the entry |
//! | `who/role/ROLE` | the name of the role's holder; ends with its lease; its revision is the fencing token | the holder |
//!
//! Values are CBOR.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use goldcrest_jobs::id::{JobId, VmId, WorkerId};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::size::may_begin;
use goldcrest_jobs::spec::JobState;
use goldcrest_types::names::{PoolName, QueueName, TeamName};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A stored value can't be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValueError {
        /// It has another form.
        Form(key: Box<str>, why: Box<str>) {
            display("the value of {key} can't be read ({why}): it was written by another program or version; remove it if it is not needed")
        }
    }
}

/// Writes a value.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing plain data into memory does not fail.
    let is_written = ciborium::into_writer(value, &mut bytes).is_ok();
    debug_assert!(is_written);
    bytes
}

/// The pools' turns and rests.
pub const BUSY_PERIODS: &str = "turns";

/// The pools' turns and rests, in milliseconds since 1970.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// When the turn of each busy pool began.
    pub began_ms: BTreeMap<PoolName, u64>,
    /// Until when each resting pool rests.
    pub rest_until_ms: BTreeMap<PoolName, u64>,
}

/// What an entry says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The processor time that it may use, in thousandths of a core.
    pub cpu_millis: u64,
}

/// Reads a value.
///
/// # Errors
///
/// It has another form than this version writes.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, ValueError> {
    ciborium::from_reader(value)
        .map_err(|error| ValueError::Form(key.into(), error.to_string().into()))
}

/// What callers see of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The pool whose scheduler runs it.
    pub pool: PoolName,
    /// Its state.
    pub state: JobState,
    /// When it ended, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
}

/// VMs of a pool that are to be emptied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The VMs, by the worker that runs on each.
    pub vms: BTreeMap<WorkerId, VmId>,
}

/// Workers on which something of a pool may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crew {
    /// The workers.
    pub workers: BTreeSet<WorkerId>,
}

/// What a pool's scheduler says of its pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Jobs by queue for which no task has started.
    pub waiting: BTreeMap<Box<str>, u64>,
    /// VMs that are to be emptied and on which nothing runs.
    pub evacuated: BTreeSet<VmId>,
    /// What its workers have.
    pub capacity: Resources,
    /// What its runs reserve.
    pub used: Resources,
    /// The work of tasks that could start if there were room, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// What its services and the work that arrives need, in thousandths of a core.
    #[serde(default)]
    pub demand_millis: u64,
    /// Workers that could leave, those with the least to lose first.
    pub light: Vec<WorkerId>,
}

impl PoolStatus {
    /// Whether the pool needs so much of what it has that its turn may have begun.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        may_begin(self.needed_millis(), self.capacity.cpu_millis)
    }

    /// What is in use, or needed for the work that arrives, in thousandths of a core.
    #[must_use]
    pub fn needed_millis(&self) -> u64 {
        self.used.cpu_millis.max(self.demand_millis)
    }
}

/// A role that one entry holds at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// The scheduler of a pool.
    Pool(PoolName),
    /// Maintenance and pool sizes of the whole fleet.
    Fleet,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool(pool) => write!(f, "pool/{pool}"),
            Self::Fleet => f.write_str("fleet"),
        }
    }
}

/// What all keys of entries and roles begin with.
pub const MEMBERS: &str = "who/";

/// What all keys of entries begin with.
pub const ENTRIES: &str = "who/entry/";

/// What all keys of roles begin with.
pub const ROLES: &str = "who/role/";

/// What the keys of all pools' statuses begin with.
pub const POOL_STATUSES: &str = "at/";

/// What the keys of all teams' shares begin with.
pub const SHARES: &str = "share/";

/// What the keys of all jobs' statuses begin with.
pub const JOBS: &str = "job/";

/// VMs about which orders were sent of late, or are about to be.
pub const RECENT_COMMANDS: &str = "ordered";

/// The pool of each VM when it was first seen.
pub const HOMES: &str = "homes";

/// What the keys of all waves' progress begin with.
pub const WAVES: &str = "wave/";

/// A job's status.
#[must_use]
pub fn job(queue: &QueueName, id: JobId) -> Box<str> {
    format!("{JOBS}{queue}/{id}").into()
}

/// What a pool's scheduler is to take in.
#[must_use]
pub fn inbox(pool: &PoolName) -> Box<str> {
    format!("in/{pool}/").into()
}

/// A submitted job.
#[must_use]
pub fn submitted(pool: &PoolName, id: JobId) -> Box<str> {
    format!("in/{pool}/job/{id}").into()
}

/// The VMs of a pool that are to be emptied.
#[must_use]
pub fn evacuation(pool: &PoolName) -> Box<str> {
    format!("in/{pool}/evacuate").into()
}

/// What the keys of the progress of a pool's open jobs begin with.
#[must_use]
pub fn progresses(pool: &PoolName) -> Box<str> {
    format!("run/{pool}/").into()
}

/// An open job's progress.
#[must_use]
pub fn progress(pool: &PoolName, id: JobId) -> Box<str> {
    format!("run/{pool}/{id}").into()
}

/// The workers of a pool on which something may run.
#[must_use]
pub fn assigned_workers(pool: &PoolName) -> Box<str> {
    format!("crew/{pool}").into()
}

/// A pool's status.
#[must_use]
pub fn pool_status(pool: &PoolName) -> Box<str> {
    format!("{POOL_STATUSES}{pool}").into()
}

/// A team's share.
#[must_use]
pub fn share(team: &TeamName) -> Box<str> {
    format!("{SHARES}{team}").into()
}

/// A wave's progress.
#[must_use]
pub fn wave(number: u64) -> Box<str> {
    format!("{WAVES}{number}").into()
}

/// An entry.
#[must_use]
pub fn entry(name: &str) -> Box<str> {
    format!("{ENTRIES}{name}").into()
}

/// A role.
#[must_use]
pub fn role(role: &Role) -> Box<str> {
    format!("{ROLES}{role}").into()
}
