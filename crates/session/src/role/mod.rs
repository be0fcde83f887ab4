//! Roles that one entry holds at a time, each with a fencing epoch.
//!
//! The candidate for a role is chosen by rendezvous hashing among the live sessions in the role's [`Scope`], so roles
//! spread over all entries and a role moves only when its candidate changes. Only the candidate and the holder call the
//! service for a role. The holder releases a role for which it is no longer the candidate; the candidate acquires a
//! role that is free or whose holder's session has ended. [`Roles::epoch`] returns an epoch only while the lease under
//! which the role was acquired is valid; callers query it right before each effect.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcrest_ledger::quota::SessionId;
use goldcrest_ledger::role::{Holder, RoleDoc, RoleEdit, RoleRefusal};
use goldcrest_ports::store::{Store, StoreKey, StoreKeyError};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EntryId};
use goldcrest_types::rendezvous::HashKey;
use goldcrest_types::units::Epoch;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::keys;
use crate::lease::{HeldLease, LiveSession};
use crate::part;
use crate::session::Session;
use crate::update::{UpdateError, Updated};

/// The time between checks of which roles this entry must acquire or release.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// The name of a role: the single segment after `role/` in its store key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoleName(Box<str>);

impl RoleName {
    /// Returns the name without the `role/` prefix.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RoleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for RoleName {
    type Err = StoreKeyError;

    fn from_str(text: &str) -> Result<Self, StoreKeyError> {
        let key: StoreKey = format!("role/{text}").parse()?;
        if key.as_str().split('/').count() != 2 {
            return Err(StoreKeyError::Form(text.into()));
        }
        Ok(Self(text.into()))
    }
}

/// The set of entries that may hold a role.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All entries of the fleet.
    Fleet,
    /// The entries of one data centre. The role has no holder while none of them has a live session.
    DataCentre(DcName),
}

impl Scope {
    fn contains(&self, session: &LiveSession) -> bool {
        match self {
            Self::Fleet => true,
            Self::DataCentre(dc) => session.dc == *dc,
        }
    }
}

/// A role with the entries that may hold it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Role {
    name: RoleName,
    scope: Scope,
}

impl Role {
    /// Creates a role that every entry may hold.
    #[must_use]
    pub const fn new(name: RoleName) -> Self {
        Self {
            name,
            scope: Scope::Fleet,
        }
    }

    /// Restricts the role to entries of `dc`.
    #[must_use]
    pub fn with_data_centre(self, dc: DcName) -> Self {
        Self {
            scope: Scope::DataCentre(dc),
            ..self
        }
    }

    /// Returns the entry among the live ones that is to hold the role, or `None` if none of them may.
    fn candidate(&self, live: &[LiveSession]) -> Option<EntryId> {
        let eligible = live.iter().filter(|session| self.scope.contains(session));
        let entries = eligible.map(|session| session.entry);
        HashKey::of_name(self.name.as_str()).home(entries)
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldRole {
    epoch: Epoch,
    generation: u64,
}

#[derive(Debug, Default)]
struct State {
    roles: BTreeSet<Role>,
    live: Option<Vec<LiveSession>>,
    held: BTreeMap<RoleName, HeldRole>,
}

struct Inner<S, C> {
    session: Session<S, C>,
    state: Mutex<State>,
}

/// Acquires and releases the roles of this entry. Clones share their state.
pub struct Roles<S, C> {
    inner: Arc<Inner<S, C>>,
}

impl<S, C> Clone for Roles<S, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<S: Store, C: Clock> Roles<S, C> {
    /// Creates an instance that knows no roles and no live sessions yet, so it acquires nothing.
    #[must_use]
    pub fn new(session: Session<S, C>) -> Self {
        let inner = Inner {
            session,
            state: Mutex::new(State::default()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the set of roles that exist. A role that is left out is no longer acquired or released.
    pub fn set_roles(&self, roles: BTreeSet<Role>) {
        self.state().roles = roles;
    }

    /// Replaces the list of entries with a live session, from which candidates are chosen.
    pub fn set_live(&self, live: Vec<LiveSession>) {
        self.state().live = Some(live);
    }

    /// Returns the epoch in which this entry holds `role` now, or `None` if it does not hold it. Callers query it right
    /// before each effect, since the lease may expire at any time.
    #[must_use]
    pub fn epoch(&self, role: &RoleName) -> Option<Epoch> {
        let lease = self.lease()?;
        let state = self.state();
        let held = state.held.get(role)?;
        (held.generation == lease.generation).then_some(held.epoch)
    }

    /// Returns the roles that this entry holds now, empty without a valid lease.
    #[must_use]
    pub fn held(&self) -> Vec<RoleName> {
        let Some(lease) = self.lease() else {
            return Vec::new();
        };
        let state = self.state();
        let held = state.held.iter();
        let valid = held.filter(|(_, held)| held.generation == lease.generation);
        valid.map(|(role, _)| role.clone()).collect()
    }

    fn lease(&self) -> Option<HeldLease> {
        let session = &self.inner.session;
        session.inner.lease.borrow().valid(session.now())
    }

    /// Acquires and releases roles until `stop`, then releases all that it holds.
    pub async fn run(self, stop: CancellationToken) {
        let ended = stop.run_until_cancelled(self.reconcile()).await;
        debug_assert!(ended.is_none(), "reconciling ends only by the token");
        for role in self.held() {
            self.release(&role).await;
        }
    }

    async fn reconcile(&self) {
        loop {
            if let Some(lease) = self.lease() {
                self.reconcile_once(lease).await;
            }
            tokio::time::sleep(RECONCILE_INTERVAL).await;
        }
    }

    async fn reconcile_once(&self, lease: HeldLease) {
        let own = self.inner.session.cfg().entry;
        for (role, candidate) in self.candidates() {
            let is_held = self.epoch(&role).is_some();
            if candidate == own && !is_held {
                self.acquire(&role, lease).await;
            } else if candidate != own && is_held {
                self.release(&role).await;
            }
        }
    }

    /// Returns each role with its candidate, without the roles that no live entry may hold.
    fn candidates(&self) -> Vec<(RoleName, EntryId)> {
        let state = self.state();
        let Some(live) = &state.live else {
            return Vec::new();
        };
        let candidate = |role: &Role| Some((role.name.clone(), role.candidate(live)?));
        state.roles.iter().filter_map(candidate).collect()
    }

    async fn acquire(&self, role: &RoleName, lease: HeldLease) {
        match self.try_acquire(role, lease).await {
            Ok(Some(epoch)) => {
                let generation = lease.generation;
                let held = HeldRole { epoch, generation };
                self.state().held.insert(role.clone(), held);
                info!(target: part::ROLES, "{role} held in epoch {epoch}.");
            }
            Ok(None) => {}
            Err(error) => warn!(target: part::ROLES, "{role} not acquired: {error}."),
        }
    }

    /// Acquires a role if it is free or its holder's session has ended. Returns `None` if another entry holds it.
    async fn try_acquire(
        &self,
        role: &RoleName,
        lease: HeldLease,
    ) -> Result<Option<Epoch>, UpdateError> {
        let session = &self.inner.session;
        let own = Holder {
            entry: session.cfg().entry,
            session: SessionId::new(lease.lease.get()),
        };
        let key = keys::role(role);
        let (doc, _) = session.read::<RoleDoc>(&key).await?;
        let gone = match doc.holder() {
            Some(holder) if holder == own => return Ok(Some(doc.epoch())),
            Some(holder) if holder.entry != own.entry => {
                // The sessions are read after the document, so if the holder's is missing, it ended after it acquired
                // the role.
                let live = session.sessions().await.map_err(UpdateError::NotApplied)?;
                if live.iter().any(|live| live.entry == holder.entry) {
                    return Ok(None);
                }
                Some(holder.session)
            }
            Some(_) | None => None,
        };
        let edit = session.new_edit_id();
        let take = RoleEdit::Take { holder: own, gone };
        let change = |doc: &mut RoleDoc| doc.apply(edit, take);
        match session.update(&key, edit, change).await? {
            Updated::Applied { value, .. } => Ok(Some(value)),
            Updated::AppliedEarlier | Updated::Refused(_) => Ok(None),
        }
    }

    /// Releases a role. This entry no longer counts as its holder from here on, even if the call fails.
    async fn release(&self, role: &RoleName) {
        let Some(held) = self.state().held.remove(role) else {
            return;
        };
        let session = &self.inner.session;
        let edit = session.new_edit_id();
        let release = RoleEdit::Release {
            entry: session.cfg().entry,
            epoch: held.epoch,
        };
        let change = |doc: &mut RoleDoc| doc.apply(edit, release);
        let released: Result<Updated<Epoch, RoleRefusal>, UpdateError> =
            session.update(&keys::role(role), edit, change).await;
        match released {
            Ok(_) => info!(target: part::ROLES, "{role} released."),
            Err(error) => {
                warn!(target: part::ROLES, "{role} not released, stays held until the session expires: {error}.");
            }
        }
    }
}
