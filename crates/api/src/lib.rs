//! The messages between the operators' tool and an entry, in JSON over HTTP.
//!
//! Every path below `/v1` requires an operator's key as a bearer token. Start with [`path`], which lists each path with
//! its request and response types. An error response of a path below `/v1` has a [`Problem`] as its body.

use std::fmt;

use goldcrest_ledger::catalogue::CatalogueEdit;
use goldcrest_types::catalogue::{CatalogueSpec, PoolKind};
use goldcrest_types::names::{DcName, EditId, EntryId, PoolName, TeamName, VmName};
use goldcrest_types::units::{Revision, Share, Slots, VmCount};
use serde::{Deserialize, Serialize};

/// The paths of the operators' interface.
pub mod path {
    /// `GET`: 200 while the process runs.
    pub const HEALTH: &str = "/healthz";
    /// `GET`: 200 while the balancer may route callers to the entry, otherwise 503 with the reason as text.
    pub const READY: &str = "/readyz";
    /// `GET`: the metrics as `OpenMetrics` text.
    pub const METRICS: &str = "/metrics";
    /// `GET`: a [`CatalogueView`](super::CatalogueView).
    pub const CATALOGUE: &str = "/v1/catalogue";
    /// `POST` of an [`EditRequest`](super::EditRequest): an [`EditAnswer`](super::EditAnswer) if it was accepted.
    pub const EDITS: &str = "/v1/catalogue/edits";
    /// `GET`: an [`InForce`](super::InForce).
    pub const IN_FORCE: &str = "/v1/in-force";
    /// `GET`: a [`Status`](super::Status).
    pub const STATUS: &str = "/v1/status";
    /// `GET` with `/<subject>/<id>` appended, see [`Subject`](super::Subject): an
    /// [`Explanation`](super::Explanation).
    pub const EXPLAIN: &str = "/v1/explain";
}

/// The catalogue in force at one entry; empty if the entry has not read any.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct CatalogueView {
    /// The revision at which the catalogue was accepted; 0 if none has been read.
    pub revision: Revision,
    /// The catalogue in its written form.
    pub spec: CatalogueSpec,
}

/// An operator's edit of the catalogue. The entry adds the name of the operator whose key came with the request.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditRequest {
    /// The id of the edit. A retry has the same id, so that the edit is applied at most once.
    pub id: EditId,
    /// The changes, which are applied all together or not at all.
    pub changes: Vec<goldcrest_ledger::catalogue::Change>,
}

/// The answer to an accepted edit.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The id from the [`EditRequest`].
    pub edit: EditId,
    /// The catalogue revision that resulted from the edit.
    pub revision: Revision,
}

impl EditRequest {
    /// Converts the request to an edit in the name of `operator`.
    #[must_use]
    pub fn signed(self, operator: goldcrest_types::names::OperatorName) -> CatalogueEdit {
        CatalogueEdit {
            id: self.id,
            operator,
            changes: self.changes,
        }
    }
}

/// The catalogue revision in force at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRevision {
    /// The entry process.
    pub entry: EntryId,
    /// The VM that the entry runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DcName,
    /// The last revision that the entry has reported to the other entries of its data centre. It may lag behind; 0
    /// before the first report.
    pub revision: Revision,
}

/// The revisions in force in the whole fleet.
#[derive(Debug, Serialize, Deserialize)]
pub struct InForce {
    /// All known entries, including the one that answers.
    pub entries: Vec<EntryRevision>,
}

impl InForce {
    /// Returns the entries that still have an older revision than `revision`.
    pub fn missing(&self, revision: Revision) -> impl Iterator<Item = &EntryRevision> {
        self.entries
            .iter()
            .filter(move |entry| entry.revision < revision)
    }
}

/// The state of one pool in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The data centre.
    pub data_centre: DcName,
    /// Whether the pool's VMs serve requests, run tasks or are spare.
    pub kind: PoolKind,
    /// The number of VMs in service.
    pub serving_vms: VmCount,
    /// The number of VMs that are draining.
    pub draining_vms: VmCount,
    /// The number of VMs that are rebooting.
    pub rebooting_vms: VmCount,
    /// The number of VMs that have failed.
    pub failed_vms: VmCount,
    /// The number of VMs that are joining the pool.
    pub joining_vms: VmCount,
    /// The availability budget: the most VMs of the pool that may be out of service at a time in one data centre.
    pub max_unavailable_vms: VmCount,
}

/// The limits of one team, and its use of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// The weight of the team when the fleet has no free capacity.
    pub share: Share,
    /// The team's upper limit over the whole fleet.
    pub upper_limit_slots: Slots,
    /// The slots that this entry may use for the team now: its floor, and what is lent to it as long as that is valid.
    pub usable_slots: Slots,
    /// The slots that the team's running requests take at this entry.
    pub running_slots: Slots,
    /// The slots that the team's waiting requests would take at this entry.
    pub waiting_slots: Slots,
}

/// A team's dominant share of the workers of one data centre, and the share that it is entitled to when they are full.
/// Both are fractions from 0 to 1 of the resource of which the team uses the largest fraction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// The fraction that the team's tasks use.
    pub used_ratio: f64,
    /// The fraction that the team is entitled to.
    pub entitled_ratio: f64,
}

/// The state of an entry's connection to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The number of calls since the entry started, including long-polling watches.
    pub calls: u64,
    /// The number of calls since the entry started that got no answer.
    pub failed_calls: u64,
    /// Whether the entry's session is valid.
    pub has_session: bool,
    /// Whether work with a key is accepted, with the kind of proof that the keys are fresh or the reason why not.
    pub key_freshness: Box<str>,
}

/// The state of one entry, and of the fleet as far as the entry knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry process.
    pub entry: EntryId,
    /// The VM that the entry runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DcName,
    /// The catalogue revision in force at this entry.
    pub revision: Revision,
    /// `ready` while the balancer may route callers to this entry, otherwise the reason why not.
    pub ready: Box<str>,
    /// The connection to the key-value service.
    pub store: StoreStatus,
    /// One row per pool and known data centre.
    pub pools: Vec<PoolStatus>,
    /// One row per team of the catalogue.
    pub teams: Vec<TeamStatus>,
    /// The teams' shares of the workers of this data centre; empty while no entry schedules its tasks.
    #[serde(default)]
    pub shares: Vec<TeamShare>,
    /// The maintenance waves, as lines of text.
    pub waves: Vec<Box<str>>,
    /// The number of tasks by state in this data centre, as lines of text; an error line if they can't be read.
    pub tasks: Vec<Box<str>>,
}

/// The kind of thing that an explanation is requested for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its id.
    Request,
    /// A task, by its key.
    Task,
    /// A VM, by its name.
    Vm,
    /// A team, by its name.
    Team,
    /// A refusal, by its code.
    Refusal,
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 5] = [
        Self::Request,
        Self::Task,
        Self::Vm,
        Self::Team,
        Self::Refusal,
    ];
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Request => "request",
            Self::Task => "task",
            Self::Vm => "vm",
            Self::Team => "team",
            Self::Refusal => "refusal",
        })
    }
}

impl std::str::FromStr for Subject {
    type Err = UnknownSubject;

    fn from_str(text: &str) -> Result<Self, UnknownSubject> {
        Self::ALL
            .into_iter()
            .find(|subject| subject.to_string() == text)
            .ok_or(UnknownSubject)
    }
}

/// The error for a text that names no [`Subject`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownSubject;

impl fmt::Display for UnknownSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such subject: use request, task, vm, team or refusal")
    }
}

impl std::error::Error for UnknownSubject {}

/// The reasons for the state of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The reasons as lines of text, the oldest first.
    pub lines: Vec<Box<str>>,
}

/// The error answer to a call of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable code for programs.
    pub code: ProblemCode,
    /// The error and its remedy, for people.
    pub detail: Box<str>,
}

/// The kinds of error answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// The request has no operator's key, or an unknown one.
    Unauthorized,
    /// The path, or what it names, does not exist.
    NotFound,
    /// The request body can't be decoded.
    BadRequest,
    /// The edit was refused; nothing was changed.
    EditRefused,
    /// The edit was not applied. It can be sent again.
    NotApplied,
    /// The edit may have been applied. It must be sent again with the same id.
    OutcomeUnknown,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Problem {}
