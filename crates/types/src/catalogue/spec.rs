//! The records of the catalogue as operators write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;
use crate::names::{DcName, KeyName, OperatorName, PoolName, QueueName, RegionName, TeamName};
use crate::units::{Bytes, Share, Slots, VmCount};

/// The whole catalogue as written.
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
    /// The callers' keys that are granted.
    pub keys: Vec<KeySpec>,
    /// The operators' keys.
    pub operators: Vec<OperatorSpec>,
    /// How the measures weigh against each other.
    pub weights: Weights,
    /// How VMs are maintained.
    pub maintenance: MaintenanceSpec,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DcSpec {
    /// Its name.
    pub name: DcName,
    /// The region it lies in.
    pub region: RegionName,
}

/// What the VMs of a pool do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// They answer requests.
    Upstreams,
    /// They run tasks.
    Workers,
    /// They stand by and may move to another pool.
    Spare,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolName,
    /// What its VMs do.
    pub kind: PoolKind,
    /// The fewest VMs it may be sized to, over all data centres.
    #[serde(default)]
    pub min_vms: VmCount,
    /// The most VMs it may be sized to, over all data centres.
    #[serde(default = "max_vms")]
    pub max_vms: VmCount,
    /// The availability budget: how many of its VMs in one data centre may be out of service at one time.
    pub max_unavailable_vms: VmCount,
    /// How many requests or tasks one of its VMs is meant to run at one time. Its size follows its demand by this; with
    /// 0 it does not.
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
    /// Its name.
    pub name: TeamName,
    /// Its weight when the fleet is full.
    pub share: Share,
    /// The most it may have running across the fleet.
    pub upper_limit_slots: Slots,
}

/// How urgent the work of a queue is. The order of the variants is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Starts within seconds and may preempt.
    Urgent,
    /// Somebody waits for the answer.
    Interactive,
    /// May wait, but finishes.
    Batch,
}

quick_error! {
    /// A text that names no class.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ClassError {
        /// Not one of the classes.
        Unknown {
            display("no such class: use urgent, interactive or batch")
        }
    }
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Interactive, Self::Batch];

    /// The index of the class in [`Class::ALL`].
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

/// Who may send work to a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Only callers with a key; the work counts for the key's team.
    #[default]
    Keyed,
    /// Everyone; work without a key counts for the queue's owner.
    Open,
}

/// One entry of the catalogue: a queue with its owner, class and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Its name, which is also the first part of its path.
    pub name: QueueName,
    /// The team that answers for it.
    pub owner: TeamName,
    /// How urgent its work is.
    pub class: Class,
    /// The pool whose VMs do its work.
    pub pool: PoolName,
    /// Who may send work to it.
    #[serde(default)]
    pub access: Access,
    /// Its bounds.
    #[serde(default)]
    pub limits: QueueLimits,
}

/// The shortest time for which a repetition is recognised, in milliseconds. Entries take up to this long to hear of each
/// other.
pub const REPEAT_WINDOW_MIN_MS: u64 = 10_000;

/// The longest time for which a repetition is recognised, in milliseconds.
pub const REPEAT_WINDOW_MAX_MS: u64 = 300_000;

/// The bounds of a queue. Those on slots hold for each team at each entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueLimits {
    /// The most requests of one team that run at one time through one entry.
    pub running_slots: Slots,
    /// The most requests of one team that wait at one time at one entry.
    pub waiting_slots: Slots,
    /// The most requests that one entry has open to one upstream.
    pub upstream_slots: Slots,
    /// The largest request body, in bytes.
    pub request_bytes: Bytes,
    /// The largest answer body, in bytes.
    pub answer_bytes: Bytes,
    /// The deadline of a request that brings none, in milliseconds.
    pub deadline_ms: u64,
    /// The longest deadline that a request may ask for, in milliseconds.
    pub deadline_max_ms: u64,
    /// How long a repetition of a non-idempotent request is recognised by its key, in milliseconds. An entry that has
    /// not been responsible for the key for as long answers "outcome unknown".
    pub repeat_window_ms: u64,
    /// Retries allowed for each hundred successes.
    pub retry_percent: u32,
    /// The longest run of a task, in milliseconds. It is stopped after that.
    pub run_max_ms: u64,
}

impl QueueLimits {
    /// The deadline of a request that brings none.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// The longest deadline that a request may ask for.
    #[must_use]
    pub const fn deadline_max(&self) -> Duration {
        Duration::from_millis(self.deadline_max_ms)
    }

    /// How long a repetition of a non-idempotent request is recognised by its key.
    #[must_use]
    pub const fn repeat_window(&self) -> Duration {
        Duration::from_millis(self.repeat_window_ms)
    }

    /// The longest run of a task.
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
    /// What operators call it.
    pub name: KeyName,
    /// The team it speaks for.
    pub team: TeamName,
    /// The SHA-256 digest of its secret.
    pub digest: KeyDigest,
}

/// An operator's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    /// The operator's name, as edits are signed.
    pub name: OperatorName,
    /// The SHA-256 digest of the key's secret.
    pub digest: KeyDigest,
}

/// How much one unit of each measure costs when a decision weighs them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// One VM held back as buffer for one hour.
    pub buffer_vm_hour: u32,
    /// One VM of unmet demand for one hour.
    pub unmet_vm_hour: u32,
    /// One VM moved to another pool, or one task moved.
    pub one_move: u32,
    /// One hour of a roll-out.
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

/// How VMs are maintained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MaintenanceSpec {
    /// Whether waves run at all.
    pub enabled: bool,
    /// Each VM is maintained once in this time, in hours.
    pub period_hours: u32,
    /// The longest wait for a VM's work to end before its wave gives up on it, in milliseconds.
    pub drain_max_ms: u64,
    /// The longest reboot before a VM counts as failed, in milliseconds.
    pub reboot_max_ms: u64,
    /// How many VMs the first batch of a wave holds.
    pub first_batch_vms: VmCount,
    /// How many failed VMs in one wave stop it.
    pub stop_after_failed_vms: VmCount,
}

impl MaintenanceSpec {
    /// The time in which each VM is maintained once.
    #[must_use]
    pub const fn period(&self) -> Duration {
        Duration::from_secs(self.period_hours as u64 * 3_600)
    }

    /// The longest wait for a VM's work to end.
    #[must_use]
    pub const fn drain_max(&self) -> Duration {
        Duration::from_millis(self.drain_max_ms)
    }

    /// The longest reboot before a VM counts as failed.
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
