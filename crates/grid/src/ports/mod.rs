//! The traits through which an entry uses the platform: its store, operators, registry, workers, VMs and permit
//! service.
//!
//! Every call has a certain outcome or returns an explicit "unknown", such as [`CallError::Unknown`]; callers never
//! guess. Calls return by themselves within the timeout that is passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{FencingToken, RunNumber, StepId, TaskId, VmId, WorkerId};
use goldcrest_jobs::pool::permits::PermitGrants;
use goldcrest_jobs::pool::{StartAnswer, StartCommand};
use goldcrest_jobs::upkeep::{Vm, Wave};
use goldcrest_jobs::worker::{Report, WorkerInfo};
use goldcrest_types::names::{DcName, PoolName};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The call was certainly not carried out and will not be.
        NotDone(why: Box<str>) {
            display("not carried out ({why}): try again later")
        }
        /// There was no answer; the call may have been carried out, or still be.
        Unknown(why: Box<str>) {
            display("no answer ({why}): read what is there before trying again")
        }
        /// The lease of the call has ended; its keys are removed.
        LeaseEnded {
            display("the lease has ended: open another one")
        }
        /// The store no longer has the changes after the revision of the watch.
        HistoryGone {
            display("the history is gone: list the keys again")
        }
        /// The answer can't be decoded.
        Malformed(why: Box<str>) {
            display("the answer can't be read ({why}): check the versions of both sides")
        }
    }
}

/// A revision of the store: the number of changes up to and including one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Expected by a transaction for a key that must not exist.
    pub const ABSENT: Self = Self(0);
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The id of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The full key.
    pub key: Box<str>,
    /// The encoded value.
    pub value: Vec<u8>,
    /// The revision of the key's last change.
    pub revision: Revision,
    /// The lease to which the key is bound: the store removes the key when the lease ends.
    pub lease: Option<LeaseId>,
}

/// A change that a watch returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was removed, or ended with its lease.
    Removed {
        /// The full key.
        key: Box<str>,
        /// The revision of the removal.
        revision: Revision,
    },
}

/// A page of a listing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there are more items after the last one.
    pub has_more: bool,
    /// The revision of the store at which the page was read.
    pub revision: Revision,
}

/// The result of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watched {
    /// The changes in the order of their revisions; empty if there was none within the wait.
    pub changes: Vec<Change>,
    /// The revision from which the next watch continues.
    pub revision: Revision,
}

/// An atomic change of several keys. It is carried out only if all expectations hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The revision that the catalogue must still have.
    pub expect_catalogue: Option<Revision>,
    /// Keys with the revision that each must still have; [`Revision::ABSENT`] for one that must not exist.
    pub expect: Vec<(Box<str>, Revision)>,
    /// The writes.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<Box<str>>,
}

impl Txn {
    /// The number of rows of the transaction, which the store limits.
    #[must_use]
    pub fn rows(&self) -> usize {
        usize::from(self.expect_catalogue.is_some())
            + self.expect.len()
            + self.puts.len()
            + self.remove.len()
    }
}

/// A write of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The full key.
    pub key: Box<str>,
    /// The encoded value.
    pub value: Vec<u8>,
    /// The lease to bind the key to.
    pub lease: Option<LeaseId>,
}

/// The certain outcome of a transaction.
#[derive(Debug, Clone)]
pub enum Committed {
    /// The transaction was carried out, at this revision.
    Done(Revision),
    /// An expectation did not hold; nothing was changed.
    Conflict(Conflict),
}

/// The present content of the expected keys of a transaction that was not carried out.
#[derive(Debug, Clone, Default)]
pub struct Conflict {
    /// Those of the keys that exist.
    pub items: Vec<Item>,
    /// The newer catalogue, if it has changed.
    pub catalogue: Option<StoredCatalogue>,
}

/// A catalogue with its revision in the store.
#[derive(Debug, Clone)]
pub struct StoredCatalogue {
    /// The parsed catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The revision of its last change.
    pub revision: Revision,
}

/// A maintenance wave as the operators have stored it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredWave {
    /// The wave.
    pub wave: Wave,
    /// The key of the operators' request.
    pub key: Box<str>,
    /// The revision of the request's last change.
    pub revision: Revision,
}

/// The platform's key-value store.
pub trait Store {
    /// Reads a key, linearizably. Returns `None` if it does not exist.
    fn read(
        &self,
        key: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<Item>, CallError>>;

    /// Returns a page of the keys with a prefix: the first one, or the one after the key `after`. The pages of a
    /// listing are not a consistent snapshot. A stale page is cheaper and may be some seconds old.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        is_stale: bool,
        timeout: Duration,
    ) -> impl Future<Output = Result<Page, CallError>>;

    /// Waits for changes of the keys with a prefix after a revision, for at most `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, CallError>>;

    /// Commits a transaction.
    fn commit(
        &self,
        txn: &Txn,
        timeout: Duration,
    ) -> impl Future<Output = Result<Committed, CallError>>;

    /// Opens a lease. Returns its validity, counted from the arrival of the call at the store.
    fn open_lease(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), CallError>>;

    /// Renews a lease. Returns its validity, counted from the arrival of the call at the store.
    fn renew_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Duration, CallError>>;

    /// Ends a lease, which removes the keys that are bound to it.
    fn end_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CallError>>;
}

/// The cordons in an answer: the data centres in which the operators want no task to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cordons {
    /// All cordoned data centres.
    All(BTreeSet<DcName>),
    /// The data centres that were cordoned (`true`) or opened again since the last answer.
    Changed(BTreeMap<DcName, bool>),
}

impl Default for Cordons {
    fn default() -> Self {
        Self::Changed(BTreeMap::new())
    }
}

impl Cordons {
    /// Returns the cordoned data centres after this answer; `before` are those before it.
    #[must_use]
    pub fn apply(&self, before: &BTreeSet<DcName>) -> BTreeSet<DcName> {
        match self {
            Self::All(cordoned) => cordoned.clone(),
            Self::Changed(changes) => {
                let kept = before.iter().filter(|dc| !changes.contains_key(*dc));
                let added = changes.iter().filter(|(_, is_cordoned)| **is_cordoned);
                kept.chain(added.map(|(dc, _)| dc)).cloned().collect()
            }
        }
    }

    /// Whether the answer leaves the cordons as they are.
    #[must_use]
    pub fn is_unchanged(&self) -> bool {
        matches!(self, Self::Changed(changes) if changes.is_empty())
    }
}

/// The operators' requests: the catalogue, the maintenance waves and the cordons.
#[derive(Debug, Clone, Default)]
pub struct OperatorRequests {
    /// The catalogue, if the answer contains it.
    pub catalogue: Option<StoredCatalogue>,
    /// The maintenance waves that the answer contains.
    pub waves: Vec<StoredWave>,
    /// The cordons.
    pub cordons: Cordons,
    /// The revision from which the next watch continues.
    pub revision: Revision,
}

/// The source of the operators' requests.
pub trait Operators {
    /// Reads the catalogue, and all waves and cordons in effect.
    fn read_requests(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<OperatorRequests, CallError>>;

    /// Waits for changes of the catalogue, the waves or the cordons after a revision, for at most `wait`.
    fn watch_requests(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorRequests, CallError>>;

    /// Returns the write that shows the state of a wave to the operators, for use in a transaction.
    fn wave_status(&self, wave: u64, is_completed: bool) -> Put;
}

/// The platform's registry of workers.
pub trait Registry {
    /// Returns all registered workers with their pools. Those that do not state when they started are not used.
    fn workers(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<Vec<(PoolName, WorkerInfo)>, CallError>>;
}

/// The recipient of a command to a worker, with the fencing token of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recipient {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The address at which the worker receives commands.
    pub address: Box<str>,
    /// The fencing token of the sender's role.
    pub token: FencingToken,
}

/// Why a command to a worker, other than a start, failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The worker has received a command with a higher fencing token.
    Fenced,
    /// Another worker answered, or another incarnation of this one.
    WrongWorker,
    /// The worker refused the command, which had no effect. The text gives the reason.
    Refused(Box<str>),
    /// The command certainly did not reach the worker.
    NotSent(Box<str>),
    /// There was no answer; the command may have been carried out, or still be.
    Unknown(Box<str>),
}

/// A worker's reply to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartReply {
    /// What became of the start.
    pub answer: StartAnswer,
    /// What the clock of the worker showed, in milliseconds, if it has answered.
    pub clock_ms: Option<u64>,
}

impl From<StartAnswer> for StartReply {
    fn from(answer: StartAnswer) -> Self {
        Self {
            answer,
            clock_ms: None,
        }
    }
}

/// Commands to workers.
pub trait Workers {
    /// Starts a run of a task.
    fn start(
        &self,
        to: &Recipient,
        order: &StartCommand,
        timeout: Duration,
    ) -> impl Future<Output = StartReply>;

    /// Stops a run. The worker then refuses a start of this run that arrives later.
    fn stop(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CommandError>>;

    /// Throttles a run to a percentage of its speed.
    fn throttle(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        percent: u32,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CommandError>>;

    /// Requests a worker's report. The worker extends the leases of all its runs up to `until_ms` on its own clock,
    /// drops its ends of runs up to the number `ends_acknowledged`, and waits for up to `wait` for an end before it
    /// answers.
    fn report(
        &self,
        to: &Recipient,
        until_ms: Option<u64>,
        ends_acknowledged: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Report, CommandError>>;
}

/// The sender of commands to VMs: the holder of the fleet role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The name of the entry.
    pub entry: Box<str>,
    /// The fencing token of its role.
    pub token: FencingToken,
    /// The end, on the entry's monotonic clock, of the time for which it certainly holds the role. No command may be
    /// sent after it: the platform may not check fencing tokens, so nothing else would stop a command that a paused
    /// process sends late.
    pub valid_until: Instant,
}

/// Why a command to a VM failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmCommandError {
    /// Another holder has sent a command with a higher fencing token.
    Fenced,
    /// The VM is not up, so it can neither be moved nor maintained now.
    Busy,
    /// The command is not valid for the VM; a retry will not succeed.
    Invalid,
    /// The command was certainly not carried out and will not be.
    NotDone(Box<str>),
    /// There was no answer; the command may have been carried out, or still be.
    Unknown(Box<str>),
}

/// The platform's list of VMs.
pub trait Vms {
    /// Returns all VMs of the fleet.
    fn vms(&self, timeout: Duration)
    -> impl Future<Output = Result<BTreeMap<VmId, Vm>, CallError>>;

    /// Moves a VM to another pool. Runs on it end at once.
    fn move_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        pool: &PoolName,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), VmCommandError>>;

    /// Takes a VM down for maintenance in a wave. Runs on it end at once.
    fn maintain_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        wave: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), VmCommandError>>;
}

/// The service that permits steps of some queues to run on workers.
pub trait PermitService {
    /// Requests permits for a step on each of these workers.
    fn permits(
        &self,
        step: StepId,
        workers: &[WorkerId],
        timeout: Duration,
    ) -> impl Future<Output = Result<PermitGrants, CallError>>;
}

/// The platform: everything outside the process that an entry uses.
pub trait Platform: Store + Operators + Registry + Workers + Vms + PermitService + 'static {}

impl<T: Store + Operators + Registry + Workers + Vms + PermitService + 'static> Platform for T {}
