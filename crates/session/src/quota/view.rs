//! One data centre as the mover sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_ledger::quota::portions::{DcView, idle_slots};
use goldcrest_ledger::quota::rebalance::IDLE_SLOTS;
use goldcrest_ledger::quota::{DcEdit, DcQuota, FleetQuota, QuotaRefusal};
use goldcrest_ports::store::Store;
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::Slots;
use log::{debug, warn};

use super::cached::Cached;
use crate::keys;
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// How old a document may be right after an edit whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_secs(1);

/// A data centre's quota document as it is known, and its demand.
pub struct View {
    /// The data centre.
    pub dc: DcName,
    /// Its quota document.
    pub quota: Cached<DcQuota>,
    /// What its entries want of each team: running and waiting together.
    pub demand: BTreeMap<TeamName, Slots>,
}

impl View {
    /// A data centre of which nothing is known.
    #[must_use]
    pub fn new(dc: DcName) -> Self {
        Self {
            quota: Cached::new(keys::quota(&dc)),
            dc,
            demand: BTreeMap::new(),
        }
    }

    /// Whether the document is known.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.quota.read_at().is_some()
    }

    /// Reads the document if what is known is older than `age_max`. One that can't be read is not known any longer, and
    /// is left out of what is planned.
    pub async fn refresh<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        age_max: Duration,
    ) {
        if let Err(error) = self.quota.refresh(session, age_max).await {
            debug!(target: part::QUOTA, "{} can't be read: {error}.", self.quota.key());
            self.quota.expire();
        }
    }

    /// The view that plans are made on.
    #[must_use]
    pub fn as_planned(&self) -> DcView<'_> {
        DcView {
            dc: &self.dc,
            quota: self.quota.doc(),
            demand: &self.demand,
        }
    }

    /// Whether rows have been asked back and not all of it has come yet.
    #[must_use]
    pub fn is_asked_back(&self) -> bool {
        let mut teams = self.quota.doc().teams().values();
        teams.any(|quota| quota.keep.is_some())
    }

    /// Whether this data centre wants more of a team than it has while others have some.
    #[must_use]
    pub fn is_short(&self, fleet: &FleetQuota) -> bool {
        self.demand.iter().any(|(team, wanted)| {
            let portions = fleet.teams().get(team);
            portions.is_some_and(|portions| {
                let has = portions.portion(&self.dc);
                *wanted > has && portions.limit > has
            })
        })
    }

    /// What this data centre is due of each team without any demand.
    #[must_use]
    pub fn due(&self) -> Slots {
        idle_slots(self.quota.doc()).max(IDLE_SLOTS)
    }

    /// Applies `steps` in one edit to the document, which is known as changed after.
    ///
    /// # Errors
    ///
    /// Why it is not certain that the edit is in the document.
    pub async fn edit<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        steps: &[DcEdit],
    ) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        let edit = session.draw_edit();
        let sent = session.now();
        let mut next = None;
        let change = |doc: &mut DcQuota| -> Result<(), QuotaRefusal> {
            doc.apply(edit, steps)?;
            next = Some(doc.clone());
            Ok(())
        };
        let (key, base) = (self.quota.key(), self.quota.base());
        let updated = session.update_from(key, edit, base, change).await?;
        match (updated, next) {
            (Updated::Applied { version, .. }, Some(doc)) => self.quota.put(doc, version, sent),
            (Updated::Refused(refusal), _) => {
                warn!(target: part::QUOTA, "{refusal}.");
                self.quota.expire();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.quota.expire(),
        }
        self.quota.refresh(session, AGE_MAX_EDITED).await
    }
}
