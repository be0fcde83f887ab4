//! Usage of each pool by entry, for the one entry that sizes the pools.
//!
//! It is requested and not replicated with the heartbeats, since only one entry needs it: the other links carry none of
//! it, and the requester knows of every figure how old it is and for which entries it has none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use goldcrest_types::clock::Clock;
use goldcrest_types::names::{EntryId, PoolName};

use super::Peers;
use crate::dial::Dial;
use crate::message::{PoolUsageRequest, PoolUsageTold, Reply, Request};
use crate::usage::{Board, CELLS_MAX_WANTED, Usage};

/// Usage of the pools as received from the entry at one address. `have` and `board` are of the process `entry`, and
/// start anew if another process answers.
#[derive(Debug, Clone, Default)]
pub struct PoolUsageHeard {
    entry: Option<EntryId>,
    have: u64,
    board: Board<EntryId, PoolName>,
    is_whole: bool,
    asked_at: Option<Instant>,
}

impl PoolUsageHeard {
    /// Creates a state without any usage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the request for what has changed since the last reply.
    #[must_use]
    pub const fn ask(&self) -> PoolUsageRequest {
        PoolUsageRequest {
            entry: self.entry,
            have: self.have,
        }
    }

    /// Ingests the reply to a request sent at `asked_at`. A reply of another process replaces all usage.
    pub fn take(&mut self, told: &PoolUsageTold, asked_at: Instant) {
        if self.entry != Some(told.entry) {
            *self = Self::new();
            self.entry = Some(told.entry);
        }
        self.board.apply(&told.delta, None);
        self.have = told.delta.upto;
        self.is_whole = told.delta.cells.len() < CELLS_MAX_WANTED;
        if self.is_whole {
            self.asked_at = Some(asked_at);
        }
    }

    /// Returns when the last request was sent whose reply left no change outstanding, or none if there is none yet. The
    /// usage is at most as old as that.
    #[must_use]
    pub const fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Returns the entry's usage of each pool.
    #[must_use]
    pub fn usage(&self) -> BTreeMap<PoolName, Usage> {
        self.board.sums()
    }
}

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Sets the usage of each pool from this entry. Pools that are not given are set to zero.
    pub fn set_pool_usage(&self, usage: &BTreeMap<PoolName, Usage>) {
        let own = self.hello().member.entry;
        self.state().pools.set_all(&own, usage);
    }

    /// Requests the changed usage of the pools from the entry at `address` until none is outstanding, and adds it to
    /// `heard`. If a request gets no reply, `heard` keeps its age.
    pub async fn hear_pool_usage(&self, address: SocketAddr, heard: &mut PoolUsageHeard) {
        loop {
            let asked_at = self.now();
            let Some(told) = self.query_pool_usage(address, heard.ask()).await else {
                return;
            };
            heard.take(&told, asked_at);
            if heard.is_whole {
                return;
            }
        }
    }

    async fn query_pool_usage(
        &self,
        address: SocketAddr,
        ask: PoolUsageRequest,
    ) -> Option<PoolUsageTold> {
        if address == self.hello().member.address {
            return Some(self.pool_usage_reply(ask));
        }
        let request = Request::PoolUsage(ask);
        match self.inner.links.call(address, &request).await {
            Ok(Reply::PoolUsage(told)) => Some(told),
            Ok(_) | Err(_) => None,
        }
    }

    pub(super) fn pool_usage_reply(&self, ask: PoolUsageRequest) -> PoolUsageTold {
        let entry = self.hello().member.entry;
        let have = if ask.entry == Some(entry) {
            ask.have
        } else {
            0
        };
        let delta = self.state().pools.delta(have, None, CELLS_MAX_WANTED);
        PoolUsageTold { entry, delta }
    }
}
