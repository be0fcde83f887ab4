//! Notifications that the quota document of a data centre has changed.
//!
//! [`QuotaNotices`] holds the data centres whose entries are still to be notified, each once however often its document
//! has changed. A lost notification only costs time: entries also poll the document.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use futures_util::future::join_all;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::DcName;
use log::debug;
use tokio::sync::Notify;

use super::targets::Target;
use super::{Peers, lock};
use crate::dial::Dial;
use crate::message::Request;
use crate::part;

/// Notifications about quota documents: those to be sent, and a signal for those received.
#[derive(Debug, Default)]
pub(super) struct QuotaNotices {
    due: Mutex<BTreeSet<DcName>>,
    wake: Notify,
    received: Arc<Notify>,
}

impl QuotaNotices {
    pub(super) fn new() -> Self {
        Self::default()
    }
}

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Returns a signal that fires when a peer reports that the quota document of this data centre has changed.
    #[must_use]
    pub fn quota_told(&self) -> Arc<Notify> {
        Arc::clone(&self.inner.quota.received)
    }

    /// Enqueues a notification to every member in `dc` that its quota document has changed.
    pub fn tell_quota_changed(&self, dc: &DcName) {
        lock(&self.inner.quota.due).insert(dc.clone());
        self.inner.quota.wake.notify_one();
    }

    /// Sends the enqueued notifications to the members of their data centres. Never returns.
    pub(super) async fn notify_quota_changes(&self) {
        loop {
            self.inner.quota.wake.notified().await;
            let dcs = std::mem::take(&mut *lock(&self.inner.quota.due));
            let members = {
                let state = self.state();
                let members = dcs.iter().flat_map(|dc| state.members.members_of(dc));
                members.map(Target::of).collect::<Vec<_>>()
            };
            join_all(members.iter().map(|member| self.notify_member(member))).await;
        }
    }

    async fn notify_member(&self, to: &Target) {
        if to.address == self.inner.hello.member.address {
            self.quota_told().notify_one();
            return;
        }
        let received = self.inner.links.call(to.address, &Request::QuotaChanged);
        if let Err(error) = received.await {
            debug!(target: part::PEERS, "Quota notification to {} failed: {error}.", to.address);
        }
    }
}
