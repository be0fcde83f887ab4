//! The messages between the operators' tool and an entry, in JSON over HTTP.
//!
//! Every path below `/v1` needs an operator's key as a bearer token. Start with [`path`], which lists the paths with
//! what each takes and gives.

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
    /// `GET`: 200 when the balancer may send callers, 503 with the reason when not.
    pub const READY: &str = "/readyz";
    /// `GET`: the metrics as text.
    pub const METRICS: &str = "/metrics";
    /// `GET`: a [`CatalogueView`](super::CatalogueView).
    pub const CATALOGUE: &str = "/v1/catalogue";
    /// `POST` of an [`EditRequest`](super::EditRequest): an [`EditAnswer`](super::EditAnswer).
    pub const EDITS: &str = "/v1/catalogue/edits";
    /// `GET`: an [`InForce`](super::InForce).
    pub const IN_FORCE: &str = "/v1/in-force";
    /// `GET`: a [`Status`](super::Status).
    pub const STATUS: &str = "/v1/status";
    /// `GET` with `/<kind>/<id>` behind it: an [`Explanation`](super::Explanation).
    pub const EXPLAIN: &str = "/v1/explain";
}

/// The catalogue in force at one entry.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct CatalogueView {
    /// Its revision.
    pub revision: Revision,
    /// The catalogue.
    pub spec: CatalogueSpec,
}

/// An operator's edit. The entry signs it with the name that belongs to the key.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditRequest {
    /// The edit's id, which a retry keeps.
    pub id: EditId,
    /// What it changes.
    pub changes: Vec<goldcrest_ledger::catalogue::Change>,
}

/// An accepted edit.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The edit.
    pub edit: EditId,
    /// The revision that it made.
    pub revision: Revision,
}

impl EditRequest {
    /// The edit, signed.
    #[must_use]
    pub fn signed(self, operator: goldcrest_types::names::OperatorName) -> CatalogueEdit {
        CatalogueEdit {
            id: self.id,
            operator,
            changes: self.changes,
        }
    }
}

/// The revision that one entry works by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRevision {
    /// The process.
    pub entry: EntryId,
    /// The VM it runs on.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DcName,
    /// The revision, as far as its data centre has heard.
    pub revision: Revision,
}

/// On which entries a revision is in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct InForce {
    /// Every entry that is known, this one among them.
    pub entries: Vec<EntryRevision>,
}

impl InForce {
    /// The entries on which `revision` is not yet in force.
    pub fn missing(&self, revision: Revision) -> impl Iterator<Item = &EntryRevision> {
        self.entries
            .iter()
            .filter(move |entry| entry.revision < revision)
    }
}

/// One pool in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The data centre.
    pub data_centre: DcName,
    /// What its VMs do.
    pub kind: PoolKind,
    /// VMs in service.
    pub serving_vms: VmCount,
    /// VMs that drain.
    pub draining_vms: VmCount,
    /// VMs that reboot.
    pub rebooting_vms: VmCount,
    /// VMs that have failed.
    pub failed_vms: VmCount,
    /// VMs that join.
    pub joining_vms: VmCount,
    /// The availability budget.
    pub max_unavailable_vms: VmCount,
}

/// One team at one entry and in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// Its weight when the fleet is full.
    pub share: Share,
    /// Its upper limit over the fleet.
    pub upper_limit_slots: Slots,
    /// What this entry may run for it now.
    pub usable_slots: Slots,
    /// What runs for it through this entry.
    pub running_slots: Slots,
    /// What waits for it at this entry.
    pub waiting_slots: Slots,
}

/// What part of the workers of one data centre a team's tasks use, beside what the team is entitled to when all is full.
/// Both are parts of the whole from 0 to 1, of the resource of which the team uses the largest part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// What its tasks use.
    pub used_ratio: f64,
    /// What it is entitled to.
    pub entitled_ratio: f64,
}

/// How an entry stands with the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Calls so far, waiting watches among them.
    pub calls: u64,
    /// Calls without an answer so far.
    pub failed_calls: u64,
    /// Whether the entry's session holds.
    pub has_session: bool,
    /// Whether keyed work is taken, and on what proof or why not.
    pub key_freshness: Box<str>,
}

/// What one entry knows of itself and the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The process.
    pub entry: EntryId,
    /// The VM it runs on.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DcName,
    /// The catalogue's revision in force here.
    pub revision: Revision,
    /// Whether the balancer may send callers, or why not.
    pub ready: Box<str>,
    /// The key-value service.
    pub store: StoreStatus,
    /// The pools of every data centre that is known.
    pub pools: Vec<PoolStatus>,
    /// The teams.
    pub teams: Vec<TeamStatus>,
    /// The teams' shares of the workers of this data centre; empty while nobody schedules its tasks.
    #[serde(default)]
    pub shares: Vec<TeamShare>,
    /// The maintenance waves, a line each.
    pub waves: Vec<Box<str>>,
    /// The tasks, a line each count.
    pub tasks: Vec<Box<str>>,
}

/// What an explanation is asked about.
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
    /// Every subject.
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

/// The text names no subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownSubject;

impl fmt::Display for UnknownSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such subject: use request, task, vm, team or refusal")
    }
}

impl std::error::Error for UnknownSubject {}

/// Why something is as it is, oldest line first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The lines.
    pub lines: Vec<Box<str>>,
}

/// What went wrong with a call of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable word for programs.
    pub code: ProblemCode,
    /// What is wrong and what to do.
    pub detail: Box<str>,
}

/// The kinds of problems.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// No operator's key, or a wrong one.
    Unauthorized,
    /// No such path or thing.
    NotFound,
    /// The message can't be read.
    BadRequest,
    /// The edit was refused; nothing was changed.
    EditRefused,
    /// The edit was not applied; it may be sent again.
    NotApplied,
    /// The edit may have been applied; send it again with the same id.
    OutcomeUnknown,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Problem {}
