//! Which entries are up and who holds which role, as far as this entry has heard.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::keys::{self, Member, Role};
use crate::ports::{Change, Item, LeaseId, Revision};

/// Keeps shares of processor time apart that differ by less than a thousandth of a core.
const CPU_PRECISION: u64 = 1_000;

/// Who holds a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleHolder {
    /// The entry.
    pub name: Box<str>,
    /// The lease that the role ends with.
    pub lease: LeaseId,
    /// The role's token.
    pub revision: Revision,
}

/// Entries and roles.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The processor time that each entry may use, in thousandths of a core.
    entries: BTreeMap<Box<str>, u64>,
    roles: BTreeMap<Role, RoleHolder>,
}

fn parse_role(key: &str) -> Option<Role> {
    let name = key.strip_prefix(keys::ROLES)?;
    if name == "fleet" {
        return Some(Role::Fleet);
    }
    let pool = name.strip_prefix("pool/")?.parse().ok()?;
    Some(Role::Pool(pool))
}

fn score(role: &Role, entry: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    role.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

impl View {
    /// Takes a listing.
    #[must_use]
    pub fn new(items: &[Item]) -> Self {
        let mut view = Self::default();
        for item in items {
            view.put(item);
        }
        view
    }

    /// Takes a key that was written.
    pub fn put(&mut self, item: &Item) {
        if let Some(entry) = item.key.strip_prefix(keys::ENTRIES) {
            match keys::decode::<Member>(&item.key, &item.value) {
                Ok(member) => {
                    self.entries.insert(entry.into(), member.cpu_millis);
                }
                Err(error) => log::warn!(target: "members", error:%; "An entry's key is skipped."),
            }
            return;
        }
        let Some(role) = parse_role(&item.key) else {
            return;
        };
        match keys::decode(&item.key, &item.value) {
            Ok(name) => {
                let lease = item.lease.unwrap_or(LeaseId(0));
                let revision = item.revision;
                self.set_role(
                    role,
                    RoleHolder {
                        name,
                        lease,
                        revision,
                    },
                );
            }
            Err(error) => log::warn!(target: "members", error:%; "A role's key is skipped."),
        }
    }

    /// Takes who holds a role.
    pub fn set_role(&mut self, role: Role, holder: RoleHolder) {
        let is_newer = self
            .roles
            .get(&role)
            .is_none_or(|known| known.revision <= holder.revision);
        if is_newer {
            self.roles.insert(role, holder);
        }
    }

    /// Takes changes in their order.
    pub fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(item) => self.put(&item),
                Change::Removed { key, revision } => self.remove(&key, revision),
            }
        }
    }

    /// Takes a removal. One that is older than what is known of the role was seen late.
    fn remove(&mut self, key: &str, revision: Revision) {
        if let Some(entry) = key.strip_prefix(keys::ENTRIES) {
            self.entries.remove(entry);
        } else if let Some(role) = parse_role(key)
            && self
                .roles
                .get(&role)
                .is_some_and(|it| it.revision < revision)
        {
            self.roles.remove(&role);
        }
    }

    /// The roles that are held under a lease, with their tokens.
    #[must_use]
    pub fn held_under(&self, lease: LeaseId) -> BTreeMap<Role, Revision> {
        self.roles
            .iter()
            .filter(|(_, holder)| holder.lease == lease)
            .map(|(role, holder)| (role.clone(), holder.revision))
            .collect()
    }

    /// For each vacant role how many entries go before `own_entry`, which is given with its processor time.
    ///
    /// An entry goes before another if it would have more processor time for each role with one more.
    #[must_use]
    pub fn ranks(&self, own_entry: (&str, u64), required_roles: &[Role]) -> BTreeMap<Role, u32> {
        let (own_entry, own_cpu_millis) = own_entry;
        let entries = self.entries.iter().map(|(name, cpu)| (&**name, (*cpu, 0)));
        let mut load: BTreeMap<&str, (u64, u64)> = entries.collect();
        load.insert(own_entry, (own_cpu_millis, 0));
        for holder in self.roles.values() {
            if let Some((_, roles)) = load.get_mut(&*holder.name) {
                *roles += 1;
            }
        }
        let mut ranks = BTreeMap::new();
        for role in required_roles
            .iter()
            .filter(|role| !self.roles.contains_key(role))
        {
            let mut order: Vec<(Reverse<u64>, u64, &str)> = load
                .iter()
                .map(|(entry, (cpu_millis, roles))| {
                    let cpu_per_role = cpu_millis * CPU_PRECISION / (roles + 1);
                    (Reverse(cpu_per_role), score(role, entry), *entry)
                })
                .collect();
            order.sort_unstable();
            let rank = (0..)
                .zip(&order)
                .find(|(_, (_, _, entry))| *entry == own_entry)
                .map_or(0, |(rank, _)| rank);
            ranks.insert(role.clone(), rank);
            if let Some((_, _, first)) = order.first()
                && let Some((_, roles)) = load.get_mut(first)
            {
                *roles += 1;
            }
        }
        ranks
    }
}
