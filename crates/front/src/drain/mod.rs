//! The graceful stop of the serving path.
//!
//! The steps: the entry becomes not ready, so that the balancer routes nothing new to it; after the settle time the
//! listeners close and every HTTP/1.1 answer carries `connection: close`; after the idle grace period connections close
//! as soon as they have no request; at the bound the remaining connections are cut and counted.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were answered completely or refused during the drain.
    pub ended: u64,
    /// Requests that were cut off at the bound. Zero if no connection was cut.
    pub cut: u64,
    /// Connections that were still open at the bound and were cut.
    pub connections_cut: u64,
}

/// The steps of a drain as tokens that other parts wait for, cancelled in the order of the fields.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// The readiness check fails from here on.
    pub(crate) not_ready: CancellationToken,
    /// The listeners stop accepting.
    pub(crate) closing: CancellationToken,
    /// Connections close as soon as they have no request.
    pub(crate) graceful: CancellationToken,
    /// Connections close at once.
    pub(crate) cut: CancellationToken,
    /// The tasks of open connections.
    pub(crate) connections: TaskTracker,
    /// The listeners that still accept connections or their backlog.
    pub(crate) listeners: TaskTracker,
}

impl Drain {
    /// Runs the steps and returns how many connections were cut at `bound`.
    pub(crate) async fn run(&self, settle: Duration, idle_grace: Duration, bound: Duration) -> u64 {
        let end = tokio::time::Instant::now() + bound;
        self.not_ready.cancel();
        tokio::time::sleep(settle.min(bound)).await;
        self.closing.cancel();
        self.listeners.close();
        self.listeners.wait().await;
        self.connections.close();
        let idle_end = (tokio::time::Instant::now() + idle_grace).min(end);
        tokio::select! {
            () = self.connections.wait() => return 0,
            () = tokio::time::sleep_until(idle_end) => {}
        }
        self.graceful.cancel();
        tokio::select! {
            () = self.connections.wait() => return 0,
            () = tokio::time::sleep_until(end) => {}
        }
        let remaining = self.connections.len();
        self.cut.cancel();
        self.connections.wait().await;
        u64::try_from(remaining).unwrap_or(u64::MAX)
    }
}
