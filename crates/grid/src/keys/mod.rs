//! The keys under which entries store durable state, and the types of their values.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `job/QUEUE/ID` | [`JobStatus`]: what callers see; its creation accepts the job, or cancels it beforehand | the accepting or cancelling entry, then the scheduler |
//! | `in/POOL/job/ID` | the job as it was submitted; removed when it has ended | the accepting entry; a cancelling one |
//! | `in/POOL/evacuate` | [`Evacuation`]: VMs to evacuate | the holder of the fleet role |
//! | `run/POOL/ID` | the progress of an open job | the pool's scheduler |
//! | `lost/POOL/ID` | [`SuspectTasks`](goldcrest_jobs::suspect::SuspectTasks): the unreported runs of an open job; only while it has some | the pool's scheduler |
//! | `crew/POOL` | [`AssignedWorkers`]: the assigned workers, on which the pool's runs may be, and their longest lease | the pool's scheduler |
//! | `at/POOL` | [`PoolStatus`]; bound to the scheduler's lease | the pool's scheduler |
//! | `share/TEAM` | the team's rows, one per pool | the schedulers |
//! | `wave/N` | the progress of a wave | the holder of the fleet role |
//! | `ordered` | VMs to which commands were recently sent or are about to be | the holder of the fleet role |
//! | `homes` | the home pool of each VM: the pool in which it was first listed | the holder of the fleet role |
//! | `turns` | [`BusyPeriodRecord`]: the pools in a busy period or in the cooldown after it | the holder of the fleet role |
//! | `who/entry/NAME` | [`Member`]; bound to the entry's lease | the entry |
//! | `who/role/ROLE` | the name of the role's holder; bound to its lease; its revision is the token | the holder |
//!
//! Values are CBOR.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use goldcrest_jobs::id::{JobId, RouteId, VmId, WorkerId};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::size::may_be_busy_period;
use goldcrest_jobs::spec::JobState;
use goldcrest_types::names::{PoolName, QueueName, TeamName};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a stored value can't be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValueError {
        /// The value is no CBOR of the expected type.
        Form(key: Box<str>, why: Box<str>) {
            display("the value of {key} can't be read ({why}): it was written by another program or version; remove it if it is not needed")
        }
    }
}

/// Encodes a value as CBOR.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Encoding plain data into memory does not fail.
    let is_written = ciborium::into_writer(value, &mut bytes).is_ok();
    debug_assert!(is_written);
    bytes
}

/// The key of the pools' busy periods and cooldowns.
pub const BUSY_PERIODS: &str = "turns";

/// The pools' busy periods and cooldowns. Times are in milliseconds since 1970.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusyPeriodRecord {
    /// The begin of each busy period, for pools that are in one.
    pub began_ms: BTreeMap<PoolName, u64>,
    /// The end of each cooldown, for pools that are in one.
    pub rest_until_ms: BTreeMap<PoolName, u64>,
}

/// The resources of an entry, as it registers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The processor time that the entry may use, in thousandths of a core.
    pub cpu_millis: u64,
}

/// Decodes a value.
///
/// # Errors
///
/// Returns an error if the value is no CBOR of type `T`.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, ValueError> {
    ciborium::from_reader(value)
        .map_err(|error| ValueError::Form(key.into(), error.to_string().into()))
}

/// The status of a job, which answers queries for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The pool whose scheduler runs it.
    pub pool: PoolName,
    /// The state of the job.
    pub state: JobState,
    /// When the job ended, in milliseconds since 1970; `None` until then.
    pub ended_ms: Option<u64>,
    /// Whether the job was cancelled before any submission of it was stored. To callers there is no such job. The key
    /// keeps submissions from being accepted that are carried out later.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_tombstone: bool,
}

/// The names that a queue has had.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteNames {
    /// The names, the newest first.
    pub names: Vec<QueueName>,
}

/// The VMs of a pool that its scheduler must evacuate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The VMs to evacuate, by the worker on each.
    pub vms: BTreeMap<WorkerId, VmId>,
}

/// The assigned workers of a pool: those on which its runs may be. Stored before anything is started on them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedWorkers {
    /// The ids of the assigned workers.
    pub workers: BTreeSet<WorkerId>,
    /// The longest lease, in milliseconds, that these workers may hold. Older versions did not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// When each worker's incarnation started, in milliseconds since 1970, if known; also of workers that have departed, while
    /// commands to them may still be carried out. Older versions did not write it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub started_ms: BTreeMap<WorkerId, u64>,
    /// The same of present incarnations that may be used while `started_ms` still has the one before, whose losses are not stored
    /// yet. Older versions did not write it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub present_ms: BTreeMap<WorkerId, u64>,
    /// The workers that may hold a lease longer than `lease_ms`, because a command to an earlier incarnation may have
    /// extended it. Older versions did not write it: then any worker may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stray_leases: Option<BTreeSet<WorkerId>>,
}

impl AssignedWorkers {
    /// Whether these, once stored, need no write to become `wanted`: departed workers may stay, and a worker that is listed
    /// as possibly holding a longer lease makes a successor wait longer at most. The last of them are removed together.
    #[must_use]
    pub fn suffice_for(&self, wanted: &Self) -> bool {
        let (Some(stored), Some(wanted_strays)) = (&self.stray_leases, &wanted.stray_leases) else {
            return self == wanted;
        };
        let is_cleared = wanted_strays.is_empty() && !stored.is_empty();
        let is_rest_equal = (&self.workers, self.lease_ms) == (&wanted.workers, wanted.lease_ms);
        let mut incarnations = wanted.started_ms.iter();
        let are_known = incarnations.all(|(id, at)| self.started_ms.get(id) == Some(at));
        let are_known = are_known && self.present_ms == wanted.present_ms;
        is_rest_equal && are_known && wanted_strays.is_subset(stored) && !is_cleared
    }

    /// The longest lease that the workers may hold, if it is stored.
    #[must_use]
    pub fn lease(&self) -> Option<Duration> {
        self.lease_ms.map(Duration::from_millis)
    }
}

/// The status that a pool's scheduler publishes, for queries and for the holder of the fleet role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The number of jobs without a started task, by queue.
    pub waiting: BTreeMap<Box<str>, u64>,
    /// VMs to evacuate on which nothing runs any more and nothing will be started.
    pub evacuated: BTreeSet<VmId>,
    /// The sum of the capacities of the pool's listed workers outside cordoned data centres.
    pub capacity: Resources,
    /// The resources that runs reserve on these workers.
    pub used: Resources,
    /// The work of tasks that wait only for free capacity, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// The demand of services and of arriving work, in thousandths of a core. Older versions did not write it.
    #[serde(default)]
    pub demand_millis: u64,
    /// Workers that the pool can give up, the most lightly loaded first.
    pub light: Vec<WorkerId>,
}

impl PoolStatus {
    /// Whether the pool needs so much of its capacity that its busy period may have begun.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        may_be_busy_period(self.needed_millis(), self.capacity.cpu_millis)
    }

    /// The larger of usage and demand, in thousandths of a core.
    #[must_use]
    pub fn needed_millis(&self) -> u64 {
        self.used.cpu_millis.max(self.demand_millis)
    }
}

/// A role that at most one entry holds at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// The scheduler of a pool.
    Pool(PoolName),
    /// Maintenance waves and pool sizes of the whole fleet.
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

/// The prefix of the keys of entries and roles.
pub const MEMBERS: &str = "who/";

/// The prefix of the keys of entries.
pub const ENTRIES: &str = "who/entry/";

/// The prefix of the keys of roles.
pub const ROLES: &str = "who/role/";

/// The prefix of the keys of pool statuses.
pub const POOL_STATUSES: &str = "at/";

/// The prefix of the keys of team shares.
pub const SHARES: &str = "share/";

/// The prefix of the keys of the names that queues have had.
pub const ROUTES: &str = "route/";

/// The prefix of the keys of job statuses.
pub const JOBS: &str = "job/";

/// The key of the VMs to which commands were recently sent or are about to be.
pub const RECENT_COMMANDS: &str = "ordered";

/// The key of the VMs' home pools.
pub const HOMES: &str = "homes";

/// The prefix of the keys of the waves' progress.
pub const WAVES: &str = "wave/";

/// The key of a job's status.
#[must_use]
pub fn job(queue: &QueueName, id: JobId) -> Box<str> {
    format!("{JOBS}{queue}/{id}").into()
}

/// The prefix of the keys of the statuses of jobs that were accepted under a queue's name.
#[must_use]
pub fn jobs_of(queue: &QueueName) -> Box<str> {
    format!("{JOBS}{queue}/").into()
}

/// The queue in the key of a job's status; the inverse of [`job`]. `None` for other keys.
#[must_use]
pub fn queue_of_job(key: &str) -> Option<QueueName> {
    let (queue, _) = key.strip_prefix(JOBS)?.split_once('/')?;
    queue.parse().ok()
}

/// The key of the names that the queue with this host name and prefix has had.
#[must_use]
pub fn route(route: RouteId) -> Box<str> {
    format!("{ROUTES}{route}").into()
}

/// The prefix of the keys that a pool's scheduler watches as its inbox.
#[must_use]
pub fn inbox(pool: &PoolName) -> Box<str> {
    format!("in/{pool}/").into()
}

/// The key of a job as it was submitted.
#[must_use]
pub fn submitted(pool: &PoolName, id: JobId) -> Box<str> {
    format!("in/{pool}/job/{id}").into()
}

/// The job whose submission a key holds; the inverse of [`submitted`]. `None` for other keys.
#[must_use]
pub fn submitted_id(key: &str) -> Option<JobId> {
    let (of_pool, id) = key.rsplit_once('/')?;
    of_pool.ends_with("/job").then(|| id.parse().ok())?
}

/// The key of the VMs of a pool that are to be evacuated.
#[must_use]
pub fn evacuation(pool: &PoolName) -> Box<str> {
    format!("in/{pool}/evacuate").into()
}

/// The prefix of the keys of the progress of a pool's open jobs.
#[must_use]
pub fn progresses(pool: &PoolName) -> Box<str> {
    format!("run/{pool}/").into()
}

/// The key of an open job's progress.
#[must_use]
pub fn progress(pool: &PoolName, id: JobId) -> Box<str> {
    format!("run/{pool}/{id}").into()
}

/// The prefix of the keys of the unreported runs of a pool's open jobs.
#[must_use]
pub fn all_suspects(pool: &PoolName) -> Box<str> {
    format!("lost/{pool}/").into()
}

/// The key of an open job's unreported runs.
#[must_use]
pub fn suspects(pool: &PoolName, id: JobId) -> Box<str> {
    format!("lost/{pool}/{id}").into()
}

/// The key of a pool's assigned workers.
#[must_use]
pub fn assigned_workers(pool: &PoolName) -> Box<str> {
    format!("crew/{pool}").into()
}

/// The key of a pool's status.
#[must_use]
pub fn pool_status(pool: &PoolName) -> Box<str> {
    format!("{POOL_STATUSES}{pool}").into()
}

/// The key of a team's share.
#[must_use]
pub fn share(team: &TeamName) -> Box<str> {
    format!("{SHARES}{team}").into()
}

/// The key of a wave's progress.
#[must_use]
pub fn wave(number: u64) -> Box<str> {
    format!("{WAVES}{number}").into()
}

/// The key of an entry.
#[must_use]
pub fn entry(name: &str) -> Box<str> {
    format!("{ENTRIES}{name}").into()
}

/// The key of a role.
#[must_use]
pub fn role(role: &Role) -> Box<str> {
    format!("{ROLES}{role}").into()
}
