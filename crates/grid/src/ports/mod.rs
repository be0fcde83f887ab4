//! What an entry needs of the outside, as traits.
//!
//! Every call has an outcome that is certain or [`CallError::Unknown`]; a caller of these traits never guesses. Calls
//! end by themselves within the time that is passed in.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_jobs::catalogue::Catalogue;
use goldcrest_jobs::id::{FencingToken, RunNumber, StepId, TaskId, VmId, WorkerId};
use goldcrest_jobs::pool::permits::Granted;
use goldcrest_jobs::pool::{StartAnswer, StartOrder};
use goldcrest_jobs::upkeep::{Vm, Wave};
use goldcrest_jobs::worker::{Report, WorkerInfo};
use goldcrest_types::names::PoolName;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a call to the platform has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// Certainly not carried out.
        NotDone(why: Box<str>) {
            display("not carried out ({why}): try again later")
        }
        /// No answer: it may have been carried out, or still be.
        Unknown(why: Box<str>) {
            display("no answer ({why}): read what is there before trying again")
        }
        /// The lease has ended.
        LeaseEnded {
            display("the lease has ended: open another one")
        }
        /// The history that a watch continues from is gone.
        HistoryGone {
            display("the history is gone: list the keys again")
        }
        /// The answer can't be read.
        Malformed(why: Box<str>) {
            display("the answer can't be read ({why}): check the versions of both sides")
        }
    }
}

/// A count of the store's changes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Box<str>,
    /// Its value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: Revision,
    /// The lease that it ends with.
    pub lease: Option<LeaseId>,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed {
        /// The key.
        key: Box<str>,
        /// When.
        revision: Revision,
    },
}

/// Part of a listing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// There are more after the last one.
    pub has_more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// What a watch returned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watched {
    /// The changes, in their order.
    pub changes: Vec<Change>,
    /// Where to continue.
    pub revision: Revision,
}

/// A change that is made whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The catalogue must not have changed since this revision.
    pub expect_catalogue: Option<Revision>,
    /// Keys that must not have changed since.
    pub expect: Vec<(Box<str>, Revision)>,
    /// Keys to write.
    pub put: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<Box<str>>,
}

impl Txn {
    /// How many rows it has. The store bounds that.
    #[must_use]
    pub fn rows(&self) -> usize {
        usize::from(self.expect_catalogue.is_some())
            + self.expect.len()
            + self.put.len()
            + self.remove.len()
    }
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Box<str>,
    /// Its value.
    pub value: Vec<u8>,
    /// The lease that it ends with.
    pub lease: Option<LeaseId>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone)]
pub enum Committed {
    /// It was made, at this revision.
    Done(Revision),
    /// A key has changed. Nothing was done.
    Conflict(Conflict),
}

/// What the keys of a refused transaction hold now.
#[derive(Debug, Clone, Default)]
pub struct Conflict {
    /// Those that exist.
    pub items: Vec<Item>,
    /// The catalogue, if it has changed.
    pub catalogue: Option<StoredCatalogue>,
}

/// A catalogue and where it stands in the store.
#[derive(Debug, Clone)]
pub struct StoredCatalogue {
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// Its last change.
    pub revision: Revision,
}

/// The platform's key-value store.
pub trait Store {
    /// Reads a key. The answer is linearizable.
    fn read(
        &self,
        key: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<Item>, CallError>>;

    /// Lists the keys with a prefix, after `after` if it is given. Pages are not a snapshot of one moment. A stale
    /// listing is cheaper and may be seconds old.
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

    /// Makes a transaction.
    fn commit(
        &self,
        txn: &Txn,
        timeout: Duration,
    ) -> impl Future<Output = Result<Committed, CallError>>;

    /// Opens a lease; returns the time that it lasts from the call's arrival.
    fn open_lease(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), CallError>>;

    /// Renews a lease; returns the time that it lasts from the call's arrival.
    fn renew_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Duration, CallError>>;

    /// Ends a lease.
    fn end_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CallError>>;
}

/// What the operators have ordered.
#[derive(Debug, Clone, Default)]
pub struct OperatorOrders {
    /// The catalogue, if it was part of what was read.
    pub catalogue: Option<StoredCatalogue>,
    /// Maintenance waves that were part of what was read.
    pub waves: Vec<Wave>,
    /// Where to continue.
    pub revision: Revision,
}

/// The operators' orders.
pub trait Operators {
    /// Reads all orders that stand.
    fn read_orders(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<OperatorOrders, CallError>>;

    /// Waits for new orders after a revision, for at most `wait`.
    fn watch_orders(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorOrders, CallError>>;

    /// The row of a transaction that shows the operators how far a wave is.
    fn wave_status(&self, wave: u64, is_completed: bool) -> Put;
}

/// The platform's registry of workers.
pub trait Registry {
    /// All workers, with the pool of each.
    fn workers(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<Vec<(PoolName, WorkerInfo)>, CallError>>;
}

/// Who sends a worker an order, and to whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recipient {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: Box<str>,
    /// The sender's token.
    pub token: FencingToken,
}

/// How a worker refused an order other than a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// It has seen a higher token.
    Fenced,
    /// It is another worker, or another life of it.
    WrongWorker,
    /// The order had no effect.
    Refused(Box<str>),
    /// The order did not arrive.
    NotSent(Box<str>),
    /// No answer.
    Unknown(Box<str>),
}

/// Orders to workers.
pub trait Workers {
    /// Starts a run.
    fn start(
        &self,
        to: &Recipient,
        order: &StartOrder,
        timeout: Duration,
    ) -> impl Future<Output = StartAnswer>;

    /// Stops a run. A run that is not there yet will be refused.
    fn stop(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Lets a run work at a share of its speed.
    fn pace(
        &self,
        to: &Recipient,
        task: TaskId,
        run: RunNumber,
        percent: u32,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Extends the leases of all runs up to `until_ms` on the worker's clock, takes note of its ends up to
    /// `ends_acknowledged`, and waits up to `wait` for an end.
    fn report(
        &self,
        to: &Recipient,
        until_ms: Option<u64>,
        ends_acknowledged: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Report, OrderError>>;
}

/// The sender of an order about a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: Box<str>,
    /// Its token.
    pub token: FencingToken,
    /// After this time on the entry's clock its role may be over, and no order may leave any more. The platform may not
    /// check tokens, so nothing behind the sender stops an order that a paused process sends late.
    pub valid_until: Instant,
}

/// How the platform refused an order about a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOrderError {
    /// Another holder has sent a higher token.
    Fenced,
    /// The VM is not up.
    Busy,
    /// The order does not fit the VM, and will not.
    Invalid,
    /// Certainly not carried out.
    NotDone(Box<str>),
    /// No answer.
    Unknown(Box<str>),
}

/// The platform's list of VMs.
pub trait Vms {
    /// All VMs.
    fn vms(&self, timeout: Duration)
    -> impl Future<Output = Result<BTreeMap<VmId, Vm>, CallError>>;

    /// Moves a VM to another pool. What runs on it ends at once.
    fn move_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        pool: &PoolName,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), VmOrderError>>;

    /// Takes a VM down for maintenance. What runs on it ends at once.
    fn maintain_vm(
        &self,
        by: &Holder,
        vm: &VmId,
        wave: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), VmOrderError>>;
}

/// The service that knows which workers may run a step.
pub trait PermitService {
    /// Asks for permits.
    fn permits(
        &self,
        step: StepId,
        workers: &[WorkerId],
        timeout: Duration,
    ) -> impl Future<Output = Result<Granted, CallError>>;
}

/// All that an entry needs of the outside.
pub trait Platform: Store + Operators + Registry + Workers + Vms + PermitService + 'static {}

impl<T: Store + Operators + Registry + Workers + Vms + PermitService + 'static> Platform for T {}
