//! Marks and reclaims the quota rows of departed entries.
//!
//! The relay of a data centre runs this every few seconds. Two observers at once do no harm: the document refuses edits
//! that no longer fit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_ledger::quota::reclaim::{
    ObservedState, ReclaimBounds, ReclaimContext, plan_reclaim,
};
use goldcrest_ledger::quota::{DcEdit, DcQuota};
use goldcrest_ports::store::Store;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{EntryId, VmName};
use log::{debug, info};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::cached::Cached;
use crate::keys;
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between reconcile cycles.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);

/// The platform's list of VMs and the time bounds for reclaiming rows, provided by the daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformListing {
    /// The VMs with the number of their boots, or `None` while the list can't be read.
    pub vms: Option<BTreeMap<VmName, u64>>,
    /// The longest time that admitted work can still run, by the catalogue in force.
    pub run_max: Duration,
    /// The longest time until a started VM appears on the list.
    pub list_lag_max: Duration,
}

/// Marks and reclaims rows of its data centre while this entry is the relay.
pub struct Observer<S, C> {
    session: Session<S, C>,
    is_relay: watch::Receiver<bool>,
    listed: watch::Receiver<PlatformListing>,
    doc: Cached<DcQuota>,
    ctx: ReclaimContext,
}

impl<S: Store, C: Clock> Observer<S, C> {
    /// Creates an observer that acts only while `is_relay` is true.
    #[must_use]
    pub fn new(
        session: Session<S, C>,
        is_relay: watch::Receiver<bool>,
        listed: watch::Receiver<PlatformListing>,
    ) -> Self {
        let key = keys::quota(&session.cfg().dc);
        Self {
            session,
            is_relay,
            listed,
            doc: Cached::new(key),
            ctx: ReclaimContext::new(),
        }
    }

    /// Runs reconcile cycles until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            if *self.is_relay.borrow() {
                match stop.run_until_cancelled(self.reconcile()).await {
                    None => return,
                    Some(Ok(())) => {}
                    Some(Err(error)) => debug!(target: part::QUOTA, "Rows not reclaimed: {error}."),
                }
            }
            let pause = tokio::time::sleep(RECONCILE_INTERVAL);
            if stop.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    async fn reconcile(&mut self) -> Result<(), UpdateError> {
        let now = self.session.now();
        self.doc.invalidate();
        self.doc.refresh(&self.session, Duration::ZERO).await?;
        let live = self.session.sessions().await;
        let live = live.map_err(UpdateError::NotApplied)?;
        let live: BTreeSet<EntryId> = live.iter().map(|session| session.entry).collect();
        let listed = self.listed.borrow().clone();
        let rows = self.doc.doc().rows().values();
        let observed = ObservedState {
            expired_sessions: rows
                .filter(|row| !live.contains(&row.owner))
                .map(|row| row.session)
                .collect(),
            listed: listed.vms,
        };
        let bounds = ReclaimBounds {
            run_max: listed.run_max,
            list_lag_max: listed.list_lag_max,
        };
        let edits = plan_reclaim(&mut self.ctx, self.doc.doc(), &observed, bounds, now);
        for edit in edits {
            self.apply(edit).await?;
        }
        Ok(())
    }

    async fn apply(&mut self, step: DcEdit) -> Result<(), UpdateError> {
        let edit = self.session.new_edit_id();
        let steps = [step];
        let change = |doc: &mut DcQuota| doc.apply(edit, &steps);
        match self.session.update(self.doc.key(), edit, change).await? {
            Updated::Applied { .. } | Updated::AppliedEarlier => {
                info!(target: part::QUOTA, "Quota rows edited: {steps:?}.");
            }
            Updated::Refused(refusal) => debug!(target: part::QUOTA, "Edit refused: {refusal}."),
        }
        Ok(())
    }
}
