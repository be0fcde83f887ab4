//! The entries that are up, and the roles that they hold.
//!
//! Entries and role holders are keys that end with their entry's lease. A role is taken by creating its key; the key's
//! revision is the fencing token. Every entry follows these keys and knows from them which roles are vacant. To spread
//! the roles, the entry that would have the most processor time for each of its roles takes a vacant role first, and
//! others only after a pause, in the order that hashing gives.

mod view;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::FencingToken;
use goldcrest_types::names::PoolName;
use tokio_util::task::AbortOnDropHandle;

use crate::entry::Entry;
use crate::keys::{self, Member, Role};
use crate::ports::{CallError, Committed, Conflict, LeaseId, Platform, Put, Revision, Txn};
use crate::{fleet, pool};

pub use view::{RoleHolder, View};

/// How long a watch of the members waits. Until a silent one is noticed, this entry takes no vacant role.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// After its start an entry lets the others register before it takes a role.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

/// The pause for each entry that goes before this one at a vacant role.
const RANK_PAUSE: Duration = Duration::from_millis(250);

/// The most such pauses.
const RANK_MAX: u32 = 4;

/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a leaving entry's roles may take to save what they hold.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A role that this entry holds.
#[derive(Debug, Clone)]
pub struct HeldRole {
    /// The role.
    pub role: Role,
    /// Its key's revision.
    pub revision: Revision,
    /// The lease that it ends with.
    pub lease: LeaseId,
}

impl HeldRole {
    /// The token that goes with the role's orders.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        FencingToken(self.revision.0)
    }

    /// Whether a refused transaction with this role's guard shows that the role still stands.
    #[must_use]
    pub fn is_held_in(&self, conflict: &Conflict) -> bool {
        let (key, revision) = self.guard();
        let mut items = conflict.items.iter();
        items.any(|item| item.key == key && item.revision == revision)
    }

    /// The row that makes a transaction fail once the role is lost.
    #[must_use]
    pub fn guard(&self) -> (Box<str>, Revision) {
        (keys::role(&self.role), self.revision)
    }
}

struct Running {
    held: HeldRole,
    task: AbortOnDropHandle<()>,
    hand_over: tokio_util::sync::CancellationToken,
}

struct Members<P: Platform> {
    entry: Rc<Entry<P>>,
    view: View,
    running: BTreeMap<Role, Running>,
    vacant_since: BTreeMap<Role, Instant>,
    started_at: Instant,
}

/// Follows the members and holds roles until the entry stops; then hands the roles over.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let started_at = entry.now();
    let mut members = Members {
        entry,
        view: View::default(),
        running: BTreeMap::new(),
        vacant_since: BTreeMap::new(),
        started_at,
    };
    let stopping = members.entry.stopping.clone();
    tokio::select! {
        () = members.follow() => {}
        () = stopping.cancelled() => {}
    }
    members.hand_over().await;
}

impl<P: Platform> Members<P> {
    async fn follow(&mut self) {
        loop {
            let Some(lease) = self.register().await else {
                tokio::time::sleep(RETRY_AFTER).await;
                continue;
            };
            self.follow_session(lease).await;
            self.stop_all();
        }
    }

    /// Registers this entry under a session; `None` if that failed.
    async fn register(&mut self) -> Option<LeaseId> {
        let mut session = self.entry.session.subscribe();
        let lease = session
            .wait_for(Option::is_some)
            .await
            .ok()?
            .as_ref()?
            .lease;
        let txn = Txn {
            put: vec![Put {
                key: keys::entry(&self.entry.settings().name),
                value: keys::encode(&Member {
                    cpu_millis: self.entry.settings().cpu_millis,
                }),
                lease: Some(lease),
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await {
            Ok(Committed::Done(_)) => Some(lease),
            Ok(Committed::Conflict(_)) => None,
            Err(error) => {
                log::warn!(target: "members", error:%; "This entry can't be registered.");
                None
            }
        }
    }

    /// Follows the members until the session ends.
    async fn follow_session(&mut self, lease: LeaseId) {
        loop {
            let page = match self.entry.list(keys::MEMBERS, false).await {
                Ok(page) => page,
                Err(error) => {
                    log::warn!(target: "members", error:%; "The members can't be listed.");
                    tokio::time::sleep(RETRY_AFTER).await;
                    if self.is_session_over(lease) {
                        return;
                    }
                    continue;
                }
            };
            let mut after = page.revision;
            self.view = View::new(&page.items);
            loop {
                self.reconcile(lease);
                self.acquire_vacant(lease).await;
                self.reconcile(lease);
                let wait = self.next_attempt();
                let mut session = self.entry.session.subscribe();
                let entry = Rc::clone(&self.entry);
                let watched = tokio::select! {
                    watched = entry.watch(keys::MEMBERS, after, WATCH_WAIT) => watched,
                    _ = session.wait_for(|it| it.is_none_or(|it| it.lease != lease)) => return,
                    () = tokio::time::sleep(wait) => continue,
                };
                match watched {
                    Ok(watched) => {
                        after = watched.revision;
                        self.view.apply(watched.changes);
                    }
                    Err(error) => {
                        log::info!(target: "members", error:%; "The members are listed again.");
                        tokio::time::sleep(RETRY_AFTER).await;
                        break;
                    }
                }
            }
            if self.is_session_over(lease) {
                return;
            }
        }
    }

    fn is_session_over(&self, lease: LeaseId) -> bool {
        self.entry
            .session
            .borrow()
            .is_none_or(|session| session.lease != lease)
    }

    /// The roles that are to be held by some entry.
    fn required_roles(&self) -> Vec<Role> {
        let catalogue = self.entry.catalogue.borrow();
        let Some(stored) = catalogue.as_ref() else {
            return Vec::new();
        };
        let pools = stored.catalogue.pools().iter();
        let names = pools
            .filter(|pool| !pool.is_spare)
            .map(|pool| Role::Pool(pool.name.clone()));
        names.chain([Role::Fleet]).collect()
    }

    /// Starts the roles that the view shows as held under this session, and stops others.
    fn reconcile(&mut self, lease: LeaseId) {
        let own_roles = self.view.held_under(lease);
        self.running.retain(|role, running| {
            let is_held = own_roles.get(role) == Some(&running.held.revision);
            if !is_held {
                log::warn!(target: "members", role:%; "Role lost.");
                running.task.abort();
            }
            is_held
        });
        for (role, revision) in own_roles {
            if !self.running.contains_key(&role) {
                let held = HeldRole {
                    role: role.clone(),
                    revision,
                    lease,
                };
                log::info!(target: "members", role:%, token = revision.0; "Role taken.");
                let running = self.start(held);
                self.running.insert(role, running);
            }
        }
        self.entry.metrics.set_roles(self.running.len());
    }

    fn start(&self, held: HeldRole) -> Running {
        let hand_over = tokio_util::sync::CancellationToken::new();
        let entry = Rc::clone(&self.entry);
        let (of_task, stop) = (held.clone(), hand_over.clone());
        let task = match held.role.clone() {
            Role::Pool(name) => tokio::task::spawn_local(run_pool(entry, name, of_task, stop)),
            Role::Fleet => tokio::task::spawn_local(fleet::run(entry, of_task, stop)),
        };
        Running {
            held,
            task: AbortOnDropHandle::new(task),
            hand_over,
        }
    }

    fn stop_all(&mut self) {
        for (role, running) in std::mem::take(&mut self.running) {
            log::warn!(target: "members", role:%; "Role lost with the session.");
            running.task.abort();
        }
        self.entry.metrics.set_roles(0);
    }

    /// This entry, with the processor time that it may use.
    fn name_and_cpu(&self) -> (Box<str>, u64) {
        let settings = self.entry.settings();
        (settings.name.clone(), settings.cpu_millis)
    }

    /// How long until this entry may take a role that is vacant now.
    fn next_attempt(&self) -> Duration {
        let now = self.entry.now();
        let settled_at = self.started_at + SETTLE_DELAY;
        let required_roles = self.required_roles();
        let (name, cpu_millis) = self.name_and_cpu();
        self.view
            .ranks((&name, cpu_millis), &required_roles)
            .into_iter()
            .filter_map(|(role, rank)| {
                let since = (*self.vacant_since.get(&role)?).max(settled_at);
                let at = since + RANK_PAUSE * rank.min(RANK_MAX);
                Some(at.saturating_duration_since(now).max(RETRY_AFTER / 4))
            })
            .min()
            .unwrap_or(Duration::from_secs(1))
    }

    async fn acquire_vacant(&mut self, lease: LeaseId) {
        let now = self.entry.now();
        let required_roles = self.required_roles();
        let (name, cpu_millis) = self.name_and_cpu();
        let ranks = self.view.ranks((&name, cpu_millis), &required_roles);
        self.vacant_since.retain(|role, _| ranks.contains_key(role));
        for role in ranks.keys() {
            self.vacant_since.entry(role.clone()).or_insert(now);
        }
        let settled_at = self.started_at + SETTLE_DELAY;
        if now < settled_at {
            return;
        }
        for (role, rank) in ranks {
            let since = self.vacant_since.get(&role).copied().unwrap_or(now);
            let since = since.max(settled_at);
            let is_due = now >= since + RANK_PAUSE * rank.min(RANK_MAX);
            if is_due && self.entry.valid_lease() == Some(lease) {
                self.acquire(role, lease).await;
            }
        }
    }

    async fn acquire(&mut self, role: Role, lease: LeaseId) {
        let key = keys::role(&role);
        let name = self.entry.settings().name.clone();
        let txn = Txn {
            expect: vec![(key.clone(), Revision::ABSENT)],
            put: vec![Put {
                key: key.clone(),
                value: keys::encode(&name),
                lease: Some(lease),
            }],
            ..Txn::default()
        };
        match self.entry.commit(&txn).await {
            Ok(Committed::Done(revision)) => {
                self.view.set_role(
                    role,
                    RoleHolder {
                        name,
                        lease,
                        revision,
                    },
                );
            }
            Ok(Committed::Conflict(conflict)) => {
                for item in &conflict.items {
                    self.view.put(item);
                }
            }
            // If it was carried out after all, the watch shows the role as this entry's.
            Err(error @ (CallError::Unknown(_) | CallError::NotDone(_))) => {
                log::warn!(target: "members", role:%, error:%; "A vacant role could not be taken.");
            }
            Err(error) => {
                log::warn!(target: "members", role:%, error:%; "A vacant role was not taken.");
            }
        }
    }

    /// Lets each role save what it holds, then gives up its key so that another entry takes it at once.
    async fn hand_over(&mut self) {
        let running = std::mem::take(&mut self.running);
        for it in running.values() {
            it.hand_over.cancel();
        }
        let mut remove = vec![keys::entry(&self.entry.settings().name)];
        let mut expect = Vec::new();
        for (role, it) in running {
            let ended = tokio::time::timeout(HAND_OVER_TIMEOUT, it.task).await;
            let is_saved = ended.is_ok();
            log::info!(target: "members", role:%, is_saved; "Role handed over.");
            remove.push(keys::role(&role));
            expect.push(it.held.guard());
        }
        let txn = Txn {
            expect,
            remove,
            ..Txn::default()
        };
        if let Err(error) = self.entry.commit(&txn).await {
            log::warn!(target: "members", error:%; "The roles end with the lease instead.");
        }
        // Copied out first: a renewal that is answered meanwhile replaces the session.
        let session = *self.entry.session.borrow();
        if let Some(session) = session {
            let ended = self
                .entry
                .platform
                .end_lease(session.lease, RETRY_AFTER * 2);
            if let Err(error) = ended.await {
                log::warn!(target: "store", error:%; "The lease was not ended.");
            }
        }
    }
}

async fn run_pool<P: Platform>(
    entry: Rc<Entry<P>>,
    name: PoolName,
    held: HeldRole,
    hand_over: tokio_util::sync::CancellationToken,
) {
    pool::run(entry, name, held, hand_over).await;
}
