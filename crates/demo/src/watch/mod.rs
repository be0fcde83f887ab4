//! What is looked at all the time, whatever a step does: pools, budgets and revisions.

use std::collections::BTreeMap;

use goldcrest_ledger::Document;
use goldcrest_ledger::fleet::FleetDoc;
use goldcrest_ledger::verify;
use goldcrest_session::keys;
use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::names::{DcName, PoolName, VmName};
use goldcrest_types::units::{Revision, VmCount};

use crate::account::Account;
use crate::lab::Lab;

/// How often each was looked at, and what was found broken.
#[derive(Debug, Default)]
pub struct Watch {
    budgets: BTreeMap<PoolName, VmCount>,
    revisions: BTreeMap<VmName, Revision>,
    looks: u64,
    with_permit: u64,
    revision_looks: u64,
    reverted: u64,
    pools: Breaches,
    budget: Breaches,
}

impl Watch {
    /// A watch over pools with these budgets.
    #[must_use]
    pub fn new(budgets: BTreeMap<PoolName, VmCount>) -> Self {
        Self {
            budgets,
            ..Self::default()
        }
    }

    /// How many looks found a VM out of service by permit.
    #[must_use]
    pub const fn with_permit(&self) -> u64 {
        self.with_permit
    }

    /// Looks at the fleet documents as stored, and at the revision of every entry.
    pub fn look(&mut self, lab: &Lab) {
        let docs: BTreeMap<DcName, FleetDoc> = lab
            .data_centres()
            .filter_map(|dc| {
                let value = lab.kv.value(&keys::fleet(dc))?;
                let doc = FleetDoc::decode(&value).ok()?;
                Some((dc.clone(), doc))
            })
            .collect();
        self.looks += 1;
        verify::one_pool(&docs, &mut self.pools);
        for doc in docs.values() {
            verify::budget(doc, &self.budgets, &mut self.budget);
            let has_permit = doc.vms().values().any(|vm| vm.permit.is_some());
            self.with_permit += u64::from(has_permit);
        }
        for (vm, revision) in lab.revisions() {
            let last = self.revisions.insert(vm, revision);
            self.revision_looks += 1;
            self.reverted += u64::from(last.is_some_and(|last| revision < last));
        }
    }

    /// Adds what was seen to the account.
    pub fn close(&self, account: &mut Account) {
        let count = |found: &Breaches| u64::try_from(found.iter().count()).unwrap_or(u64::MAX);
        let pools = count(&self.pools);
        account.check(
            Promise::OnePool,
            "looks at all fleet documents",
            self.looks,
            pools,
        );
        let what = "looks while a VM was out of service by permit";
        let budget = count(&self.budget);
        account.check(Promise::AvailabilityBudget, what, self.with_permit, budget);
        let what = "looks at every entry's revision";
        account.check(
            Promise::ConfigurationInForce,
            what,
            self.revision_looks,
            self.reverted,
        );
        for breach in self.pools.iter().chain(self.budget.iter()) {
            account.fail(breach.to_string());
        }
    }
}
