//! The graceful stop of the serving path.
//!
//! The order: not ready, so that the balancer sends nothing new; after the settle time the listeners close and every
//! answer asks its caller to close; after the idle grace connections close as soon as they have no request; at the
//! bound what is left is cut and counted.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// What a drain came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were answered or refused while the drain ran.
    pub ended: u64,
    /// Requests that the bound cut off.
    pub cut: u64,
    /// Connections that were still open at the bound.
    pub connections_cut: u64,
}

/// The steps of a drain, each of which other parts wait for.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// The balancer is to send nothing new.
    pub(crate) not_ready: CancellationToken,
    /// The listeners close.
    pub(crate) closing: CancellationToken,
    /// Connections close as soon as they have no request.
    pub(crate) graceful: CancellationToken,
    /// Connections close now.
    pub(crate) cut: CancellationToken,
    /// The connections that are open.
    pub(crate) connections: TaskTracker,
    /// The listeners that are open or take what waits on them.
    pub(crate) listeners: TaskTracker,
}

impl Drain {
    /// Goes through the steps. Answers how many connections were cut at `bound`.
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
        let left = self.connections.len();
        self.cut.cancel();
        self.connections.wait().await;
        u64::try_from(left).unwrap_or(u64::MAX)
    }
}
