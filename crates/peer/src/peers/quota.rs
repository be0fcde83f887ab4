//! Telling the entries of a data centre that its quota document has changed.
//!
//! [`QuotaNotices`] holds the data centres whose entries are still to be told, each once however often it has changed. A
//! word that is lost costs time only: entries read the document now and then anyway.

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

/// Words about quota documents, to others and from them.
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
    /// Is notified whenever another entry tells that the quota document of this data centre has changed.
    #[must_use]
    pub fn quota_told(&self) -> Arc<Notify> {
        Arc::clone(&self.inner.quota.received)
    }

    /// Tells every member in `dc` that its quota document has changed.
    pub fn tell_quota_changed(&self, dc: &DcName) {
        lock(&self.inner.quota.due).insert(dc.clone());
        self.inner.quota.wake.notify_one();
    }

    /// Tells the members of data centres for as long as it is polled.
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
            debug!(target: part::PEERS, "{}: {error}.", to.address);
        }
    }
}
