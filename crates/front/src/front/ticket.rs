//! A request's slot and its open send, as the dispatcher knows them.
//!
//! Dropping a [`Ticket`] ends both, so a caller that disconnects at any point leaks neither. If an upstream may
//! still work on the request then, the slot counts as running until the upstream must have stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::WorkId;
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_serve::routing::{SendOutcome, UpstreamId};
use tokio::runtime::Handle;

use super::Shared;

/// A request's slot and open send. `upstream_may_run` is set from the first byte that may leave until the upstream is
/// known to have ended its work; while it is set, a drop delays the end by up to [`FrontCfg::cancel_bound`].
///
/// [`FrontCfg::cancel_bound`]: crate::FrontCfg::cancel_bound
pub(crate) struct Ticket {
    shared: Arc<Shared>,
    work: WorkId,
    deadline: Instant,
    send: Option<UpstreamId>,
    upstream_may_run: bool,
    finish: SendOutcome,
}

impl Ticket {
    pub(crate) const fn new(shared: Arc<Shared>, work: WorkId, deadline: Instant) -> Self {
        Self {
            shared,
            work,
            deadline,
            send: None,
            upstream_may_run: false,
            finish: SendOutcome::Neutral,
        }
    }

    pub(crate) const fn work(&self) -> WorkId {
        self.work
    }

    /// Returns the time until the deadline, or zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.shared.clock.now())
    }

    /// Returns the time by which the caller must have the whole answer.
    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Checks that the request may still be sent now.
    pub(crate) fn may_send(&self) -> Result<(), NotRunCode> {
        let work = self.work;
        self.shared
            .with_dispatch(|d, now| d.admission().may_send(work, now))
    }

    /// Picks an upstream, other than `tried` where possible, and opens a send to it. Returns the refusal code if the
    /// request may no longer be sent or no upstream is available.
    pub(crate) fn open_send(
        &mut self,
        tried: Option<UpstreamId>,
    ) -> Result<(UpstreamId, SocketAddr), NotRunCode> {
        debug_assert!(self.send.is_none(), "one send is open at a time");
        let work = self.work;
        let picked = self.shared.with_dispatch(|d, now| {
            let id = d.pick(work, tried, now)?;
            Ok((id, d.router().upstream(id).spec.address))
        });
        self.send = picked.ok().map(|(id, _)| id);
        self.finish = SendOutcome::Neutral;
        picked
    }

    /// Marks that bytes may leave for the upstream from now on.
    pub(crate) const fn mark_sending(&mut self) {
        self.upstream_may_run = true;
    }

    /// Sets the result that the open send is reported with when the ticket is dropped.
    pub(crate) const fn set_finish(&mut self, how: SendOutcome) {
        self.finish = how;
    }

    /// Marks that the upstream has certainly stopped working on the request.
    pub(crate) const fn mark_stopped(&mut self) {
        self.upstream_may_run = false;
    }

    /// Ends the open send and keeps the slot.
    pub(crate) fn close_send(&mut self, how: SendOutcome) {
        if let Some(upstream) = self.send.take() {
            let work = self.work;
            self.shared
                .with_dispatch(|d, now| d.record_send_outcome(work, upstream, how, now));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let send = self.send.take().map(|upstream| (upstream, self.finish));
        let wait = self.time_left().min(self.shared.cfg.cancel_bound);
        let (shared, work) = (Arc::clone(&self.shared), self.work);
        if self.upstream_may_run
            && !wait.is_zero()
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(async move {
                tokio::time::sleep(wait).await;
                shared.end(work, send);
            });
            return;
        }
        shared.end(work, send);
    }
}
