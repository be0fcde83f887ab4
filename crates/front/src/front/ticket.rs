//! A request's place in the decisions: its slot, and the send it has open.
//!
//! Dropping a [`Ticket`] ends both, so a caller that goes away at any point leaves nothing behind. If an upstream may
//! still work on the request then, the slot counts as running until the upstream must have stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::WorkId;
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_serve::routing::{Finish, UpstreamId};
use tokio::runtime::Handle;

use super::Shared;

/// A request's slot and open send.
pub(crate) struct Ticket {
    shared: Arc<Shared>,
    work: WorkId,
    deadline: Instant,
    send: Option<UpstreamId>,
    may_run_on: bool,
    finish: Finish,
}

impl Ticket {
    pub(crate) const fn new(shared: Arc<Shared>, work: WorkId, deadline: Instant) -> Self {
        Self {
            shared,
            work,
            deadline,
            send: None,
            may_run_on: false,
            finish: Finish::Neutral,
        }
    }

    pub(crate) const fn work(&self) -> WorkId {
        self.work
    }

    /// The time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.shared.clock.now())
    }

    /// When the request has to be answered.
    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether the request may still be sent now.
    pub(crate) fn may_send(&self) -> Result<(), NotRunCode> {
        let work = self.work;
        self.shared.desk(|d, now| d.admission().may_send(work, now))
    }

    /// Picks an upstream and opens a send to it, unless the request may not be sent any more.
    pub(crate) fn open_send(
        &mut self,
        tried: Option<UpstreamId>,
    ) -> Result<(UpstreamId, SocketAddr), NotRunCode> {
        debug_assert!(self.send.is_none(), "one send is open at a time");
        let work = self.work;
        let picked = self.shared.desk(|d, now| {
            let id = d.pick(work, tried, now)?;
            Ok((id, d.router().upstream(id).spec.address))
        });
        self.send = picked.ok().map(|(id, _)| id);
        self.finish = Finish::Neutral;
        picked
    }

    /// Records that bytes may leave from now on.
    pub(crate) const fn sending(&mut self) {
        self.may_run_on = true;
    }

    /// Records how the open send will have ended, without ending it.
    pub(crate) const fn set_finish(&mut self, how: Finish) {
        self.finish = how;
    }

    /// Records that the upstream does certainly not work on the request any more.
    pub(crate) const fn stopped(&mut self) {
        self.may_run_on = false;
    }

    /// Ends the open send but keeps the slot.
    pub(crate) fn close_send(&mut self, how: Finish) {
        if let Some(upstream) = self.send.take() {
            let work = self.work;
            self.shared.desk(|d, now| d.sent(work, upstream, how, now));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let send = self.send.take().map(|upstream| (upstream, self.finish));
        let wait = self.left().min(self.shared.cfg.cancel_bound);
        let (shared, work) = (Arc::clone(&self.shared), self.work);
        if self.may_run_on
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
