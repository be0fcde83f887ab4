//! A local view of the entries that are up and of the holders of the roles, from the listings and watches of their
//! keys.
//!
//! Load pattern: an outage of the store ends the leases of all entries, and they register again one after the other
//! within about a second. To the first of them it looks as if it were alone, and if it then took every role, an entry
//! with little processor time could hold several pools for good. The entries that were known before the outage
//! therefore rank like registered ones for a while.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::keys::{self, Member, Role};
use crate::ports::{Change, Item, LeaseId, Revision};

/// The scale of processor time per role, so that its integer division does not lose fractions of a thousandth of a
/// core.
const CPU_PRECISION: u64 = 1_000;

/// Entries whose keys were removed at most this long before the end of a session ended in the same outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(5);

/// A role is handed over only if its next holder would have at least this share of the processor time per role that
/// the present one has, in percent. With less, entries would pass a role back and forth.
const REBALANCE_PERCENT: u64 = 150;

/// The holder of a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleHolder {
    /// The name of the entry that holds the role.
    pub name: Box<str>,
    /// The lease to which the role's key is bound.
    pub lease: LeaseId,
    /// The revision of the role's key; the fencing token.
    pub revision: Revision,
}

/// The known entries and the holders of roles. A role that is absent is vacant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The processor time that each entry may use, in thousandths of a core.
    entries: BTreeMap<Box<str>, u64>,
    /// Entries that were known before this entry's last session ended and have not registered again, with their
    /// processor time. They rank like the registered ones.
    returning: BTreeMap<Box<str>, u64>,
    /// Entries that were recently removed, with their processor time and the time of the removal.
    removed: BTreeMap<Box<str>, (u64, Instant)>,
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
    /// Builds the view from a listing of all members.
    #[must_use]
    pub fn new(items: &[Item]) -> Self {
        let mut view = Self::default();
        for item in items {
            view.put(item);
        }
        view
    }

    /// Builds the view from a listing that follows the end of this entry's session. The entries of `before` that are
    /// not registered again yet count as returning.
    #[must_use]
    pub fn after_outage(items: &[Item], before: &Self, now: Instant) -> Self {
        let mut view = Self::new(items);
        let ended_with_it = before
            .removed
            .iter()
            .filter(|(_, (_, at))| now.saturating_duration_since(*at) < OUTAGE_WINDOW)
            .map(|(name, (cpu_millis, _))| (name, cpu_millis));
        let known = before.entries.iter().chain(&before.returning);
        for (name, cpu_millis) in known.chain(ended_with_it) {
            if !view.entries.contains_key(name) {
                view.returning.insert(name.clone(), *cpu_millis);
            }
        }
        view
    }

    /// Forgets the entries that have not registered again.
    pub fn forget_returning(&mut self) {
        self.returning.clear();
    }

    /// Ingests a key of an entry or a role. Ignores a value that can't be decoded.
    pub fn put(&mut self, item: &Item) {
        if let Some(entry) = item.key.strip_prefix(keys::ENTRIES) {
            match keys::decode::<Member>(&item.key, &item.value) {
                Ok(member) => {
                    self.returning.remove(entry);
                    self.entries.insert(entry.into(), member.cpu_millis);
                }
                Err(error) => log::warn!(target: "members", error:%; "Ignoring a malformed entry."),
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
            Err(error) => log::warn!(target: "members", error:%; "Ignoring a malformed role key."),
        }
    }

    /// Sets the holder of a role, unless a holder with a higher revision is known.
    pub fn set_role(&mut self, role: Role, holder: RoleHolder) {
        let is_newer = self
            .roles
            .get(&role)
            .is_none_or(|known| known.revision <= holder.revision);
        if is_newer {
            self.roles.insert(role, holder);
        }
    }

    /// Applies the changes of a watch, in their order.
    pub fn apply(&mut self, changes: Vec<Change>, now: Instant) {
        for change in changes {
            match change {
                Change::Put(item) => self.put(&item),
                Change::Removed { key, revision } => self.remove(&key, revision, now),
            }
        }
    }

    /// Removes an entry or a role's holder. A removal that is older than the known holder is outdated and ignored.
    fn remove(&mut self, key: &str, revision: Revision, now: Instant) {
        if let Some(entry) = key.strip_prefix(keys::ENTRIES) {
            self.removed
                .retain(|_, (_, at)| now.saturating_duration_since(*at) < OUTAGE_WINDOW);
            if let Some(cpu_millis) = self.entries.remove(entry) {
                self.removed.insert(entry.into(), (cpu_millis, now));
            }
        } else if let Some(role) = parse_role(key)
            && self
                .roles
                .get(&role)
                .is_some_and(|known| known.revision < revision)
        {
            self.roles.remove(&role);
        }
    }

    /// The roles whose keys are bound to a lease, with the revisions of the keys.
    #[must_use]
    pub fn held_under(&self, lease: LeaseId) -> BTreeMap<Role, Revision> {
        self.roles
            .iter()
            .filter(|(_, holder)| holder.lease == lease)
            .map(|(role, holder)| (role.clone(), holder.revision))
            .collect()
    }

    /// The holders of the roles that are held.
    #[must_use]
    pub fn roles(&self) -> &BTreeMap<Role, RoleHolder> {
        &self.roles
    }

    /// Removes a role that this entry has handed over.
    pub fn release(&mut self, role: &Role) {
        self.roles.remove(role);
    }

    /// The role that `own_entry` should hand over, because another entry has much more processor time for it. `None`
    /// while any required role is vacant.
    ///
    /// At most one entry has such a role at a time: the one with the least processor time per role. It keeps the fleet
    /// role longest, as the next holder must not send commands to the same VMs for some seconds.
    #[must_use]
    pub fn role_to_hand_over(&self, own_entry: &str, required_roles: &[Role]) -> Option<Role> {
        if required_roles
            .iter()
            .any(|role| !self.roles.contains_key(role))
        {
            return None;
        }
        let mut held: BTreeMap<&str, u64> = BTreeMap::new();
        for holder in self.roles.values() {
            *held.entry(&holder.name).or_default() += 1;
        }
        let cpu_per_role = |cpu_millis: u64, roles: u64| cpu_millis * CPU_PRECISION / roles;
        let (most_loaded, least) = held
            .iter()
            .filter_map(|(name, roles)| {
                let cpu_millis = self.entries.get(*name)?;
                Some((*name, cpu_per_role(*cpu_millis, *roles)))
            })
            .min_by_key(|(name, cpu)| (*cpu, *name))?;
        let most = self
            .entries
            .iter()
            .map(|(name, cpu_millis)| {
                let roles = held.get(&**name).copied().unwrap_or_default();
                cpu_per_role(*cpu_millis, roles + 1)
            })
            .max()?;
        if most_loaded != own_entry || most * 100 < least * REBALANCE_PERCENT {
            return None;
        }
        let mut own_roles = self.roles.iter();
        let first = own_roles.find(|(_, holder)| &*holder.name == own_entry);
        first.map(|(role, _)| role.clone())
    }

    /// For each vacant role, the number of entries that rank before `own_entry`, which is a name and a processor time
    /// in thousandths of a core.
    ///
    /// Entries rank by the processor time per role that they would have with one more role, most first.
    #[must_use]
    pub fn ranks(&self, own_entry: (&str, u64), required_roles: &[Role]) -> BTreeMap<Role, u32> {
        let (own_entry, own_cpu_millis) = own_entry;
        let entries = self.entries.iter().chain(&self.returning);
        let entries = entries.map(|(name, cpu)| (&**name, (*cpu, 0)));
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
