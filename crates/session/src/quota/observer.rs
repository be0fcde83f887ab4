//! Tending the rows of entries that are gone.
//!
//! The relay of a data centre does this every few seconds; two at once do no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_ledger::quota::reclaim::{ReclaimBounds, ReclaimContext, Sightings, tend};
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

/// The time between looks.
const LOOK_PAUSE: Duration = Duration::from_secs(5);

/// What the daemon knows of the platform's list, for the observer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listed {
    /// The VMs with how often they have started; none while the list can't be read.
    pub vms: Option<BTreeMap<VmName, u64>>,
    /// The longest time that anything admitted can still run, by the catalogue in force.
    pub run_max: Duration,
    /// The longest time after which a started VM is on the list.
    pub list_lag_max: Duration,
}

/// Tends the rows of a data centre while this entry is its relay.
pub struct Observer<S, C> {
    session: Session<S, C>,
    is_relay: watch::Receiver<bool>,
    listed: watch::Receiver<Listed>,
    doc: Cached<DcQuota>,
    ctx: ReclaimContext,
}

impl<S: Store, C: Clock> Observer<S, C> {
    /// An observer that acts while `is_relay` says so.
    #[must_use]
    pub fn new(
        session: Session<S, C>,
        is_relay: watch::Receiver<bool>,
        listed: watch::Receiver<Listed>,
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

    /// Tends rows until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            if *self.is_relay.borrow() {
                match stop.run_until_cancelled(self.look()).await {
                    None => return,
                    Some(Ok(())) => {}
                    Some(Err(error)) => debug!(target: part::QUOTA, "Rows not tended: {error}."),
                }
            }
            let pause = tokio::time::sleep(LOOK_PAUSE);
            if stop.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    async fn look(&mut self) -> Result<(), UpdateError> {
        let now = self.session.now();
        self.doc.expire();
        self.doc.refresh(&self.session, Duration::ZERO).await?;
        let live = self.session.sessions().await;
        let live = live.map_err(UpdateError::NotApplied)?;
        let live: BTreeSet<EntryId> = live.iter().map(|session| session.entry).collect();
        let listed = self.listed.borrow().clone();
        let rows = self.doc.doc().rows().values();
        let sightings = Sightings {
            gone: rows
                .filter(|row| !live.contains(&row.owner))
                .map(|row| row.session)
                .collect(),
            listed: listed.vms,
        };
        let bounds = ReclaimBounds {
            run_max: listed.run_max,
            list_lag_max: listed.list_lag_max,
        };
        let edits = tend(&mut self.ctx, self.doc.doc(), &sightings, bounds, now);
        for edit in edits {
            self.apply(edit).await?;
        }
        Ok(())
    }

    async fn apply(&mut self, step: DcEdit) -> Result<(), UpdateError> {
        let edit = self.session.draw_edit();
        let steps = [step];
        let change = |doc: &mut DcQuota| doc.apply(edit, &steps);
        match self.session.update(self.doc.key(), edit, change).await? {
            Updated::Applied { .. } | Updated::AppliedEarlier => {
                info!(target: part::QUOTA, "{steps:?}.");
            }
            Updated::Refused(refusal) => debug!(target: part::QUOTA, "{refusal}."),
        }
        Ok(())
    }
}
