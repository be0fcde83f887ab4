//! The state of one data centre that the mover plans on: its quota document and its demand.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_ledger::quota::allocations::{DcView, idle_slots};
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

/// The maximum age of a document right after an edit whose version is not known.
const AGE_MAX_EDITED: Duration = Duration::from_secs(1);

/// The cached quota document of a data centre and its last reported demand.
pub struct View {
    /// The name of the data centre.
    pub dc: DcName,
    /// The data centre's quota document.
    pub quota: Cached<DcQuota>,
    /// The slots that its entries demand for each team: running and waiting together.
    pub demand: BTreeMap<TeamName, Slots>,
}

impl View {
    /// Creates a view without demand whose document is not read yet.
    #[must_use]
    pub fn new(dc: DcName) -> Self {
        Self {
            quota: Cached::new(keys::quota(&dc)),
            dc,
            demand: BTreeMap::new(),
        }
    }

    /// Whether the document was read and not invalidated since.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.quota.read_at().is_some()
    }

    /// Reads the document if the copy is `age_max` old or older. If it can't be read, it is invalidated, and the data
    /// centre is left out of plans.
    pub async fn refresh<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        age_max: Duration,
    ) {
        if let Err(error) = self.quota.refresh(session, age_max).await {
            debug!(target: part::QUOTA, "Quota document {} can't be read: {error}.", self.quota.key());
            self.quota.invalidate();
        }
    }

    /// Returns the planner's input for this data centre.
    #[must_use]
    pub fn planner_input(&self) -> DcView<'_> {
        DcView {
            dc: &self.dc,
            quota: self.quota.doc(),
            demand: &self.demand,
        }
    }

    /// Whether slots were recalled from rows (`keep` is set for a team) and not all have been given back yet.
    #[must_use]
    pub fn has_recall(&self) -> bool {
        let mut teams = self.quota.doc().teams().values();
        teams.any(|quota| quota.keep.is_some())
    }

    /// Whether this data centre demands more of a team than its allocation while the rest of the limit is elsewhere.
    #[must_use]
    pub fn is_short(&self, fleet: &FleetQuota) -> bool {
        self.demand.iter().any(|(team, demanded)| {
            let allocations = fleet.teams().get(team);
            allocations.is_some_and(|allocations| {
                let allocated = allocations.allocation(&self.dc);
                *demanded > allocated && allocations.limit > allocated
            })
        })
    }

    /// The slots of each team that this data centre gets without any demand: [`IDLE_SLOTS`] per entry that holds a row,
    /// and at least that for one.
    #[must_use]
    pub fn minimum(&self) -> Slots {
        idle_slots(self.quota.doc()).max(IDLE_SLOTS)
    }

    /// Applies `steps` to the document in one edit and updates the copy. An edit that the document refuses is logged.
    ///
    /// # Errors
    ///
    /// Fails if the edit was not applied or its outcome is unknown, or if the document can't be read back.
    pub async fn edit<S: Store, C: Clock>(
        &mut self,
        session: &Session<S, C>,
        steps: &[DcEdit],
    ) -> Result<(), UpdateError> {
        if steps.is_empty() {
            return Ok(());
        }
        let edit = session.new_edit_id();
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
                warn!(target: part::QUOTA, "Quota edit refused: {refusal}.");
                self.quota.invalidate();
            }
            (Updated::Applied { .. } | Updated::AppliedEarlier, _) => self.quota.invalidate(),
        }
        self.quota.refresh(session, AGE_MAX_EDITED).await
    }
}
