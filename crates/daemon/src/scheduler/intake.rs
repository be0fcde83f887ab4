//! Accepts, cancels and releases tasks, on any entry.
//!
//! An [`Intake`] queues requests per tasks document; its [`Writers`] write them. Requests that arrive during a write
//! are batched into the next one, so hundreds of them cost one write. A request is answered only after its step is in
//! the document.

use std::sync::Arc;

use goldcrest_ledger::jobs::{JobAnswer, JobEdit, JobRefusal, Task};
use goldcrest_types::names::TaskKey;
use quick_error::quick_error;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::plan::{SHARDS, shard_of};
use super::{jobs_key, write};
use crate::world::World;

/// The most steps of one write.
const BATCH_MAX: usize = 256;

/// The most requests that wait for a write of one document.
const WAITING_MAX: usize = 1024;

quick_error! {
    /// Why a request about a task failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IntakeError {
        /// The document refused the step; nothing was changed.
        Refused(cause: JobRefusal) {
            display("{cause}")
            source(cause)
        }
        /// The queue of the document is full; nothing was changed.
        Busy {
            display("too many tasks wait to be stored: send the task again later")
        }
        /// The outcome of the write is unknown: the step may or may not be in the document.
        Unknown {
            display("nobody knows whether the task was stored: send it again with the same key")
        }
    }
}

struct Request {
    step: JobEdit,
    answer: oneshot::Sender<Result<JobAnswer, IntakeError>>,
}

/// Queues requests about tasks for the [`Writers`]. Cheap to clone.
#[derive(Clone)]
pub struct Intake {
    shards: Arc<[mpsc::Sender<Request>]>,
}

/// The receivers of an [`Intake`], which batch its requests into writes.
pub struct Writers {
    shards: Vec<mpsc::Receiver<Request>>,
}

impl Intake {
    /// Creates an intake and its writers.
    #[must_use]
    pub fn new() -> (Self, Writers) {
        let channels = (0..SHARDS).map(|_| mpsc::channel(WAITING_MAX));
        let (senders, receivers): (Vec<_>, Vec<_>) = channels.unzip();
        let intake = Self {
            shards: senders.into(),
        };
        (intake, Writers { shards: receivers })
    }

    /// Accepts a task durably. Accepting the same key again returns [`JobAnswer::Known`] or its outcome.
    ///
    /// # Errors
    ///
    /// [`IntakeError`]; after `Unknown` the task may have been accepted.
    pub async fn accept(&self, key: TaskKey, task: Task) -> Result<JobAnswer, IntakeError> {
        self.request(key, JobEdit::Accept { key, task }).await
    }

    /// Cancels a task durably.
    ///
    /// # Errors
    ///
    /// [`IntakeError`]; after `Unknown` the task may have been cancelled.
    pub async fn cancel(&self, key: TaskKey) -> Result<JobAnswer, IntakeError> {
        self.request(key, JobEdit::Cancel { key }).await
    }

    /// Returns a parked task to the waiting state durably.
    ///
    /// # Errors
    ///
    /// [`IntakeError`]; after `Unknown` the task may have been released.
    pub async fn release(&self, key: TaskKey) -> Result<JobAnswer, IntakeError> {
        self.request(key, JobEdit::Release { key }).await
    }

    async fn request(&self, key: TaskKey, step: JobEdit) -> Result<JobAnswer, IntakeError> {
        let (answer, answered) = oneshot::channel();
        let request = Request { step, answer };
        let sender = &self.shards[shard_of(key)];
        sender.try_send(request).map_err(|_| IntakeError::Busy)?;
        answered.await.unwrap_or(Err(IntakeError::Unknown))
    }
}

impl Writers {
    /// Writes queued requests until `stop` is cancelled, concurrently for each document.
    pub async fn run(&mut self, world: &World, stop: &CancellationToken) {
        let writes = self
            .shards
            .iter_mut()
            .enumerate()
            .map(|(shard, requests)| write_shard(world, shard, requests));
        let all = futures_util::future::join_all(writes);
        stop.run_until_cancelled(all).await;
    }
}

async fn write_shard(world: &World, shard: usize, requests: &mut mpsc::Receiver<Request>) {
    let key = jobs_key(&world.settings.entry.data_centre, shard);
    let mut batch = Vec::new();
    while requests.recv_many(&mut batch, BATCH_MAX).await > 0 {
        let (steps, answers): (Vec<_>, Vec<_>) = batch
            .drain(..)
            .map(|request| (request.step, request.answer))
            .unzip();
        let written = write(world, &key, &steps).await;
        let mut results = written.map(|written| written.answers.into_iter());
        for answer in answers {
            let result = match results.as_mut().and_then(Iterator::next) {
                Some(result) => result.map_err(IntakeError::Refused),
                None => Err(IntakeError::Unknown),
            };
            // A requester that has disconnected can look up the task by its key.
            drop(answer.send(result));
        }
    }
}
