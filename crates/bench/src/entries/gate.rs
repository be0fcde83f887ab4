//! What the teams of one entry want and run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use goldcrest_ledger::quota::Grants;
use goldcrest_ledger::quota::rebalance::Demand;
use goldcrest_peer::peers::Peers;
use goldcrest_peer::usage::Usage;
use goldcrest_session::HeadCopy;
use goldcrest_session::quota::{DcDemand, Gate, MoverHost};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::Slots;
use tokio::sync::watch;

use super::store::TokioClock;

#[derive(Debug, Default)]
struct State {
    grants: Grants,
    wanted: BTreeMap<TeamName, Slots>,
    running: BTreeMap<TeamName, Slots>,
}

/// What the teams of one entry want and run.
pub struct Load {
    head: watch::Receiver<Option<HeadCopy>>,
    peers: Peers<TokioClock>,
    state: Mutex<State>,
}

impl Load {
    pub(super) fn new(head: watch::Receiver<Option<HeadCopy>>, peers: Peers<TokioClock>) -> Self {
        Self {
            head,
            peers,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what a team wants to run here.
    pub fn want(&self, team: TeamName, slots: Slots) {
        self.state().wanted.insert(team, slots);
    }

    /// Runs as much of what is wanted as the grants allow, and ends what is wanted no longer.
    pub fn admit(&self, now: Instant) {
        let Some(cat) = Gate::catalogue(self) else {
            return;
        };
        let state = &mut *self.state();
        for (team, wanted) in &state.wanted {
            if let Some(id) = cat.team(team.as_str()) {
                let usable = state.grants.usable(id, now);
                let running = state.running.entry(team.clone()).or_default();
                *running = (*running).min(*wanted).max((*wanted).min(usable));
            }
        }
    }

    /// What runs of a team.
    pub fn running(&self, team: &TeamName) -> Slots {
        let state = self.state();
        state.running.get(team).copied().unwrap_or(Slots::ZERO)
    }

    /// What runs and waits of every team.
    pub fn usage(&self) -> BTreeMap<TeamName, Usage> {
        let state = self.state();
        let usage = state.wanted.iter().map(|(team, wanted)| {
            let running = state.running.get(team).copied().unwrap_or(Slots::ZERO);
            let waiting = *wanted - running;
            (team.clone(), Usage { running, waiting })
        });
        usage.collect()
    }
}

impl Gate for Load {
    fn install(&self, grants: &Grants) -> BTreeMap<TeamName, Slots> {
        let mut state = self.state();
        state.grants = grants.clone();
        state.running.clone()
    }

    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        let head = self.head.borrow();
        head.as_ref().map(|head| Arc::clone(&head.catalogue))
    }

    fn demand(&self) -> Demand {
        self.peers.demand()
    }
}

impl MoverHost for Load {
    fn catalogue(&self) -> Option<Arc<Catalogue>> {
        Gate::catalogue(self)
    }

    fn demand(&self) -> Vec<DcDemand> {
        let usage = self.peers.dc_usage().into_iter();
        let demand = usage.map(|cell| DcDemand {
            dc: cell.dc,
            team: cell.team,
            slots: cell.usage.demand(),
        });
        demand.collect()
    }

    fn notify_changed(&self, dc: &DcName) {
        self.peers.tell_quota_changed(dc);
    }
}
