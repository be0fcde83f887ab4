//! The records of the catalogue in the written form, which operators edit and the key-value service stores.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;
use crate::names::{DcName, KeyName, OperatorName, PoolName, QueueName, RegionName, TeamName};
use crate::units::{Bytes, Share, Slots, VmCount};

/// The whole catalogue in the written form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CatalogueSpec {
    /// The data centres.
    pub data_centres: Vec<DcSpec>,
    /// The pools of VMs.
    pub pools: Vec<PoolSpec>,
    /// The teams.
    pub teams: Vec<TeamSpec>,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The granted keys of callers.
    pub keys: Vec<KeySpec>,
    /// The operators with their keys.
    pub operators: Vec<OperatorSpec>,
    /// The costs by which decisions are weighed.
    pub weights: Weights,
    /// The settings of the maintenance of VMs.
    pub maintenance: MaintenanceSpec,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DcSpec {
    /// The name of the data centre.
    pub name: DcName,
    /// The region of the data centre.
    pub region: RegionName,
}

/// The purpose of a pool's VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// The VMs are upstreams, which serve requests.
    Upstreams,
    /// The VMs are workers, which run tasks.
    Workers,
    /// The VMs do no work and may be moved to another pool.
    Spare,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The name of the pool.
    pub name: PoolName,
    /// The purpose of the pool's VMs.
    pub kind: PoolKind,
    /// The least number of VMs that the pool may be sized to, over all data centres.
    #[serde(default)]
    pub min_vms: VmCount,
    /// The greatest number of VMs that the pool may be sized to, over all data centres.
    #[serde(default = "max_vms")]
    pub max_vms: VmCount,
    /// The availability budget: how many of the pool's VMs in one data centre may be out of service at one time.
    pub max_unavailable_vms: VmCount,
    /// The target number of concurrent requests or tasks on one VM, by which the pool is sized to its demand. With 0
    /// the pool is not sized to its demand.
    #[serde(default, skip_serializing_if = "is_default")]
    pub vm_slots: Slots,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn max_vms() -> VmCount {
    VmCount::MAX
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The name of the team.
    pub name: TeamName,
    /// The weight of the team when the fleet has no free capacity.
    pub share: Share,
    /// The most slots that the team may have running across the fleet.
    pub upper_limit_slots: Slots,
}

/// The priority class of a queue's work. Classes are served in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// The work starts within seconds and may preempt other work.
    Urgent,
    /// A caller waits for the answer.
    Interactive,
    /// The work may wait, but is completed eventually.
    Batch,
}

quick_error! {
    /// The error for a text that names no class.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ClassError {
        /// The text is not the name of a class.
        Unknown {
            display("no such class: use urgent, interactive or batch")
        }
    }
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Interactive, Self::Batch];

    /// Returns the index of the class in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Urgent => "urgent",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        })
    }
}

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        Self::ALL
            .into_iter()
            .find(|class| class.to_string() == text)
            .ok_or(ClassError::Unknown)
    }
}

/// Which callers may send work to a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Only callers with a key. The work counts for the key's team.
    #[default]
    Keyed,
    /// All callers. Work without a key counts for the queue's owner.
    Open,
}

/// A queue with its owner, class and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// The name of the queue. Its requests have paths that begin with `/q/` and this name.
    pub name: QueueName,
    /// The team that owns the queue.
    pub owner: TeamName,
    /// The priority class of the queue's work.
    pub class: Class,
    /// The pool whose VMs do the queue's work.
    pub pool: PoolName,
    /// Which callers may send work to the queue.
    #[serde(default)]
    pub access: Access,
    /// The limits of the queue.
    #[serde(default)]
    pub limits: QueueLimits,
}

/// The least repeat window, in milliseconds. Entries take up to this long to learn of each other.
pub const REPEAT_WINDOW_MIN_MS: u64 = 10_000;

/// The greatest repeat window, in milliseconds.
pub const REPEAT_WINDOW_MAX_MS: u64 = 300_000;

/// The limits of a queue. The limits on running and waiting slots apply per team and entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueLimits {
    /// The most concurrent requests of one team through one entry.
    pub running_slots: Slots,
    /// The most waiting requests of one team at one entry.
    pub waiting_slots: Slots,
    /// The most concurrent requests from one entry to one upstream.
    pub upstream_slots: Slots,
    /// The largest request body, in bytes.
    pub request_bytes: Bytes,
    /// The largest response body, in bytes.
    pub answer_bytes: Bytes,
    /// The default deadline of a request, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// The longest deadline of a request, in milliseconds. A request for a longer one gets this one.
    pub deadline_max_ms: u64,
    /// The repeat window: how long a repeated non-idempotent request is recognised by its idempotency key, in
    /// milliseconds. An entry that has been responsible for the key for a shorter time answers "outcome unknown".
    pub repeat_window_ms: u64,
    /// The number of retries allowed per hundred successful requests.
    pub retry_percent: u32,
    /// The longest run of a task, in milliseconds. A longer run is stopped.
    pub run_max_ms: u64,
}

impl QueueLimits {
    /// Returns the default deadline of a request.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the longest deadline of a request.
    #[must_use]
    pub const fn deadline_max(&self) -> Duration {
        Duration::from_millis(self.deadline_max_ms)
    }

    /// Returns how long a repeated non-idempotent request is recognised.
    #[must_use]
    pub const fn repeat_window(&self) -> Duration {
        Duration::from_millis(self.repeat_window_ms)
    }

    /// Returns the longest run of a task.
    #[must_use]
    pub const fn run_max(&self) -> Duration {
        Duration::from_millis(self.run_max_ms)
    }
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            running_slots: Slots::new(256),
            waiting_slots: Slots::new(512),
            upstream_slots: Slots::new(64),
            request_bytes: Bytes::new(16 << 20),
            answer_bytes: Bytes::new(64 << 20),
            deadline_ms: 30_000,
            deadline_max_ms: 300_000,
            repeat_window_ms: REPEAT_WINDOW_MAX_MS,
            retry_percent: 10,
            run_max_ms: 24 * 3_600_000,
        }
    }
}

/// A caller's key. A key that is not in the catalogue is withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// The name that operators gave the key; never its secret.
    pub name: KeyName,
    /// The team that work with this key counts for.
    pub team: TeamName,
    /// The SHA-256 digest of the key's secret.
    pub digest: KeyDigest,
}

/// An operator with a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    /// The operator's name, under which edits are recorded.
    pub name: OperatorName,
    /// The SHA-256 digest of the key's secret.
    pub digest: KeyDigest,
}

/// The relative costs by which decisions are weighed, each for one unit of a measure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// The cost of keeping one VM as a buffer for one hour.
    pub buffer_vm_hour: u32,
    /// The cost of unmet demand of one VM for one hour.
    pub unmet_vm_hour: u32,
    /// The cost of moving one VM to another pool, or one task to another worker.
    pub one_move: u32,
    /// The cost of one hour of a roll-out.
    pub roll_out_hour: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            buffer_vm_hour: 10,
            unmet_vm_hour: 100,
            one_move: 2,
            roll_out_hour: 5,
        }
    }
}

/// The settings of the maintenance of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MaintenanceSpec {
    /// Whether maintenance waves run.
    pub enabled: bool,
    /// The period in which each VM is maintained once, in hours.
    pub period_hours: u32,
    /// The longest drain of a VM, in milliseconds. If work still runs on the VM after that, the VM returns to service.
    pub drain_max_ms: u64,
    /// The longest reboot of a VM, in milliseconds. After that the VM counts as failed.
    pub reboot_max_ms: u64,
    /// The number of VMs in the first batch of a wave.
    pub first_batch_vms: VmCount,
    /// The number of failed VMs in a wave that stops it.
    pub stop_after_failed_vms: VmCount,
}

impl MaintenanceSpec {
    /// Returns the period in which each VM is maintained once.
    #[must_use]
    pub const fn period(&self) -> Duration {
        Duration::from_secs(self.period_hours as u64 * 3_600)
    }

    /// Returns the longest drain of a VM.
    #[must_use]
    pub const fn drain_max(&self) -> Duration {
        Duration::from_millis(self.drain_max_ms)
    }

    /// Returns the longest reboot of a VM.
    #[must_use]
    pub const fn reboot_max(&self) -> Duration {
        Duration::from_millis(self.reboot_max_ms)
    }
}

impl Default for MaintenanceSpec {
    fn default() -> Self {
        Self {
            enabled: true,
            period_hours: 28 * 24,
            drain_max_ms: 3_600_000,
            reboot_max_ms: 600_000,
            first_batch_vms: VmCount::new(1),
            stop_after_failed_vms: VmCount::new(2),
        }
    }
}
