//! What each pool has from each entry, for the one entry that sizes the pools.
//!
//! It is asked for and not passed on with the heartbeats, since only one entry needs it: the other links carry nothing
//! of it, and the asker knows of every figure how old it is and of which entries it has none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use goldcrest_types::clock::Clock;
use goldcrest_types::names::{EntryId, PoolName};

use super::Peers;
use crate::dial::Dial;
use crate::message::{PoolUsageRequest, PoolUsageTold, Reply, Request};
use crate::usage::{Board, CELLS_MAX_WANTED, Usage};

/// What is known of the pools' usage from the entry at one address.
#[derive(Debug, Clone, Default)]
pub struct PoolUsageHeard {
    entry: Option<EntryId>,
    have: u64,
    board: Board<EntryId, PoolName>,
    is_whole: bool,
    asked_at: Option<Instant>,
}

impl PoolUsageHeard {
    /// Nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The question for what has changed.
    #[must_use]
    pub const fn ask(&self) -> PoolUsageRequest {
        PoolUsageRequest {
            entry: self.entry,
            have: self.have,
        }
    }

    /// Takes in the answer to a question of `asked_at`.
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

    /// When the answer was asked for that told the rest; none if there is no such answer yet.
    #[must_use]
    pub const fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// What each pool has from the entry.
    #[must_use]
    pub fn usage(&self) -> BTreeMap<PoolName, Usage> {
        self.board.sums()
    }
}

impl<C: Clock + Clone, D: Dial> Peers<C, D> {
    /// Notes what each pool has running and waiting from this entry.
    pub fn set_pool_usage(&self, usage: &BTreeMap<PoolName, Usage>) {
        let own = self.hello().member.entry;
        self.state().pools.set_all(&own, usage);
    }

    /// Asks the entry at `address` what each pool has from it, and adds the answer to what was heard before. Without an
    /// answer what was heard stays as old as it is.
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
