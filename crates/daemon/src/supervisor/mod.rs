//! The supervisor: starts the parts of a process, restarts a part that ends, and stops all of them.
//!
//! A part is an `async fn` that runs until its token is cancelled. A part that returns or panics before that is
//! restarted after a backoff that doubles with each quick failure, up to [`BACKOFF_MAX`].
//!
//! Invariant: no part holds state that another one needs. Shared state lives in channels and handles outside the parts,
//! so a restart loses none of it.

use std::future::Future;
use std::time::Duration;

use goldcrest_obs::logs::Part;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// The backoff before the first restart of a part.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The longest backoff before a restart.
pub const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// How long a part must run for its backoff to be reset to [`BACKOFF_MIN`].
pub const STEADY_RUN: Duration = Duration::from_secs(30);

/// The parts of a process.
#[derive(Debug)]
pub struct Supervisor {
    stop: CancellationToken,
    parts: JoinSet<Part>,
}

impl Supervisor {
    /// Creates a supervisor whose parts stop when `stop` is cancelled.
    #[must_use]
    pub fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            parts: JoinSet::new(),
        }
    }

    /// Starts a part. `make` is called again for each restart.
    pub fn spawn<M, F>(&mut self, part: Part, make: M)
    where
        M: Fn(CancellationToken) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.child_token();
        self.parts.spawn(async move {
            watch_over(part, stop, make).await;
            part
        });
    }

    /// Stops all parts and waits until they have ended.
    pub async fn shut_down(mut self) {
        self.stop.cancel();
        while let Some(ended) = self.parts.join_next().await {
            if let Ok(part) = ended {
                log::debug!(target: part.as_str(), "Stopped.");
            }
        }
    }
}

async fn watch_over<M, F>(part: Part, stop: CancellationToken, make: M)
where
    M: Fn(CancellationToken) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut backoff = BACKOFF_MIN;
    while !stop.is_cancelled() {
        let started = Instant::now();
        // A separate task isolates a panic of the part, and is aborted with the supervisor.
        let ended = AbortOnDropHandle::new(tokio::spawn(make(stop.clone()))).await;
        if stop.is_cancelled() {
            return;
        }
        match ended {
            Ok(()) => log::warn!(target: part.as_str(), "Part ended early, restarting."),
            Err(error) => {
                log::error!(target: part.as_str(), error:% = error; "Part failed, restarting.");
            }
        }
        if started.elapsed() >= STEADY_RUN {
            backoff = BACKOFF_MIN;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(backoff) => {}
        }
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}
