//! Membership of the entries, and the roles that they hold.
//!
//! Each entry and each held role is a key that is bound to the lease of its entry. An entry acquires a role by creating
//! the role's key, whose revision is the fencing token. Every entry watches these keys and sees from them which roles
//! are vacant. To spread the roles, entries try to acquire a vacant role one after the other, with a pause between
//! them: those that would have the most processor time per role go first, and a hash decides among equals. Once all roles
//! are held, an entry that holds more than its part hands one over, so that an entry that was slow to come back gets its
//! part too.

pub mod view;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::id::FencingToken;
use goldcrest_types::names::PoolName;
use tokio_util::task::AbortOnDropHandle;

use crate::entry::Entry;
use crate::keys::{self, Member, Role};
use crate::ports::{CallError, Committed, Conflict, Item, LeaseId, Platform, Put, Revision, Txn};
use crate::{fleet, pool};

pub use view::{RoleHolder, View};

/// How long a watch of the members waits. Until a watch whose connection is dead is noticed, this entry acquires no
/// vacant role.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// The delay after its start before an entry acquires roles, in which its peers register.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

/// How long after the end of its session an entry expects the others to register again. Their calls to a store that did
/// not answer time out within a second.
const RETURN_WINDOW: Duration = Duration::from_secs(2);

/// The delay before acquiring a vacant role, per entry that ranks before this one.
const RANK_PAUSE: Duration = Duration::from_millis(250);

/// The upper limit of the rank that counts for the delay.
const RANK_MAX: u32 = 4;

/// A role is handed over only if no role has changed hands for this long. A takeover is over by then.
const REBALANCE_DELAY: Duration = Duration::from_millis(700);

/// The delay before a failed store call is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest time between two checks for vacant roles and for roles to hand over.
const NEXT_ATTEMPT_MAX: Duration = Duration::from_secs(1);

/// The time limit for each role of a stopping entry to save its state.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A role that this entry holds.
#[derive(Debug, Clone)]
pub struct HeldRole {
    /// The scheduler of a pool, or the fleet role.
    pub role: Role,
    /// The revision at which the role's key was created; the fencing token.
    pub revision: Revision,
    /// The lease to which the role's key is bound.
    pub lease: LeaseId,
}

impl HeldRole {
    /// The fencing token of commands that are sent in this role.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        FencingToken(self.revision.0)
    }

    /// Whether the role is still held according to the conflict of a transaction that expected [`Self::guard`].
    #[must_use]
    pub fn is_held_in(&self, conflict: &Conflict) -> bool {
        let (key, revision) = self.guard();
        let mut items = conflict.items.iter();
        items.any(|item| item.key == key && item.revision == revision)
    }

    /// The expected key and revision with which a transaction conflicts once the role is lost.
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
    /// Until when entries that were known before the end of the last session are expected to register again.
    returning_until: Option<Instant>,
    /// Roles that this entry has handed over, each with the revision under which it held the role. It never acts in such
    /// a role again, as run numbers begin at the revision.
    released: BTreeMap<Role, Revision>,
    /// The holders of all roles when they last changed, and when that was.
    stable_since: Option<(BTreeMap<Role, RoleHolder>, Instant)>,
}

/// Watches the members and runs the roles of this entry until the entry stops; then hands the roles over.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let started_at = entry.now();
    let mut members = Members {
        entry,
        view: View::default(),
        running: BTreeMap::new(),
        vacant_since: BTreeMap::new(),
        started_at,
        returning_until: None,
        released: BTreeMap::new(),
        stable_since: None,
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
        let mut has_lost_session = false;
        loop {
            let Some(lease) = self.register().await else {
                tokio::time::sleep(RETRY_AFTER).await;
                continue;
            };
            self.returning_until = has_lost_session.then(|| self.entry.now() + RETURN_WINDOW);
            self.follow_session(lease).await;
            self.stop_all();
            has_lost_session = true;
        }
    }

    /// Waits for a session and registers this entry under its lease. Returns `None` if that fails.
    async fn register(&mut self) -> Option<LeaseId> {
        self.entry.session.wait_for(Option::is_some).await;
        let lease = self.entry.session.get()?.lease;
        let txn = Txn {
            puts: vec![Put {
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
                log::warn!(target: "members", error:%; "Registering this entry failed; trying again.");
                None
            }
        }
    }

    /// Watches the members and acquires vacant roles until the session ends.
    async fn follow_session(&mut self, lease: LeaseId) {
        loop {
            let page = match self.entry.list(keys::MEMBERS, false).await {
                Ok(page) => page,
                Err(error) => {
                    log::warn!(target: "members", error:%; "Listing the members failed; trying again.");
                    tokio::time::sleep(RETRY_AFTER).await;
                    if self.is_session_over(lease) {
                        return;
                    }
                    continue;
                }
            };
            let mut after = page.revision;
            self.rebuild_view(&page.items);
            loop {
                self.reconcile(lease);
                self.end_return_window();
                self.acquire_vacant(lease).await;
                self.rebalance(lease).await;
                self.reconcile(lease);
                let wait = self.next_attempt();
                let entry = Rc::clone(&self.entry);
                let watched = tokio::select! {
                    watched = entry.watch(keys::MEMBERS, after, WATCH_WAIT) => watched,
                    () = entry.session.wait_for(|session| session.is_none_or(|session| session.lease != lease)) => return,
                    () = tokio::time::sleep(wait) => continue,
                };
                match watched {
                    Ok(watched) => {
                        after = watched.revision;
                        let now = self.entry.now();
                        self.view.apply(watched.changes, now);
                    }
                    Err(error) => {
                        log::info!(target: "members", error:%; "Watching the members failed; listing them again.");
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

    /// Rebuilds the view from a listing. While the return window is open, entries of the old view that are missing count
    /// as returning.
    fn rebuild_view(&mut self, items: &[Item]) {
        let now = self.entry.now();
        self.view = if self.returning_until.is_some() {
            View::after_outage(items, &self.view, now)
        } else {
            View::new(items)
        };
    }

    fn end_return_window(&mut self) {
        if self
            .returning_until
            .is_some_and(|until| self.entry.now() >= until)
        {
            self.returning_until = None;
            self.view.forget_returning();
        }
    }

    fn is_session_over(&self, lease: LeaseId) -> bool {
        self.entry
            .session
            .get()
            .is_none_or(|session| session.lease != lease)
    }

    /// The roles that must be held by some entry: one scheduler per pool that is not the spare pool, and the fleet
    /// role.
    fn required_roles(&self) -> Vec<Role> {
        let catalogue = self.entry.catalogue.get();
        let Some(stored) = catalogue.as_ref() else {
            return Vec::new();
        };
        let pools = stored.catalogue.pools().iter();
        let names = pools
            .filter(|pool| !pool.is_spare)
            .map(|pool| Role::Pool(pool.name.clone()));
        names.chain([Role::Fleet]).collect()
    }

    /// Starts the roles that the view shows as held under this lease, and aborts all others.
    fn reconcile(&mut self, lease: LeaseId) {
        let mut own_roles = self.view.held_under(lease);
        own_roles.retain(|role, revision| self.released.get(role) != Some(revision));
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

    /// The name of this entry and the processor time that it may use, in thousandths of a core.
    fn name_and_cpu(&self) -> (Box<str>, u64) {
        let settings = self.entry.settings();
        (settings.name.clone(), settings.cpu_millis)
    }

    /// The time until this entry may try to acquire a role that is vacant now, or hand one over; at most 1 s.
    fn next_attempt(&self) -> Duration {
        let now = self.entry.now();
        let settled_at = self.started_at + SETTLE_DELAY;
        let required_roles = self.required_roles();
        let (name, cpu_millis) = self.name_and_cpu();
        let attempts = self
            .view
            .ranks((&name, cpu_millis), &required_roles)
            .into_iter()
            .filter_map(|(role, rank)| {
                let since = (*self.vacant_since.get(&role)?).max(settled_at);
                let at = since + RANK_PAUSE * rank.min(RANK_MAX);
                Some(at)
            });
        let hand_over = self.role_to_hand_over().and(self.rebalance_at());
        attempts
            .chain(hand_over)
            .map(|at| at.saturating_duration_since(now).max(RETRY_AFTER / 4))
            .min()
            .unwrap_or(NEXT_ATTEMPT_MAX)
            .min(NEXT_ATTEMPT_MAX)
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
            puts: vec![Put {
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
            // If the transaction was or will be carried out, the watch shows this entry as the holder.
            Err(error @ (CallError::Unknown(_) | CallError::NotDone(_))) => {
                log::warn!(target: "members", role:%, error:%; "Acquiring a vacant role failed or had no answer.");
            }
            Err(error) => {
                log::warn!(target: "members", role:%, error:%; "Acquiring a vacant role failed.");
            }
        }
    }

    fn role_to_hand_over(&self) -> Option<Role> {
        let (name, _) = self.name_and_cpu();
        self.view.role_to_hand_over(&name, &self.required_roles())
    }

    /// From when on a role may be handed over; `None` before the holders were first seen.
    fn rebalance_at(&self) -> Option<Instant> {
        let (_, since) = self.stable_since.as_ref()?;
        Some(*since + REBALANCE_DELAY)
    }

    /// Hands one role over if another entry has much more processor time for it and no role has changed hands lately.
    async fn rebalance(&mut self, lease: LeaseId) {
        self.remove_released(lease).await;
        let now = self.entry.now();
        let roles = self.view.roles();
        let known = self.stable_since.as_ref().map(|(known, _)| known);
        if known != Some(roles) {
            self.stable_since = Some((roles.clone(), now));
        }
        let is_due = self.rebalance_at().is_some_and(|at| now >= at);
        if !is_due || self.entry.valid_lease() != Some(lease) {
            return;
        }
        let role = self.role_to_hand_over();
        let Some((role, active)) = role.and_then(|role| self.running.remove_entry(&role)) else {
            return;
        };
        active.hand_over.cancel();
        let ended = tokio::time::timeout(HAND_OVER_TIMEOUT, active.task).await;
        log::info!(target: "members", role:%, is_saved = ended.is_ok(); "Role handed over to an entry with more processor time.");
        self.released.insert(role, active.held.revision);
        self.remove_released(lease).await;
    }

    /// Removes the keys of released roles. A removal without a certain answer is tried again until the view shows it.
    async fn remove_released(&mut self, lease: LeaseId) {
        let held = self.view.held_under(lease);
        let released: Vec<(Role, Revision)> = held
            .into_iter()
            .filter(|(role, revision)| self.released.get(role) == Some(revision))
            .collect();
        for (role, revision) in released {
            let key = keys::role(&role);
            let txn = Txn {
                expect: vec![(key.clone(), revision)],
                remove: vec![key],
                ..Txn::default()
            };
            match self.entry.commit(&txn).await {
                Ok(Committed::Done(_) | Committed::Conflict(_)) => self.view.release(&role),
                Err(error) => {
                    log::warn!(target: "members", role:%, error:%; "Removing the key of a role that was handed over failed; trying again.");
                }
            }
        }
    }

    /// Lets each role save its state, then removes the keys of the roles and of this entry so that peers can acquire
    /// the roles at once.
    async fn hand_over(&mut self) {
        let running = std::mem::take(&mut self.running);
        for active in running.values() {
            active.hand_over.cancel();
        }
        let mut remove = vec![keys::entry(&self.entry.settings().name)];
        let mut expect = Vec::new();
        for (role, active) in running {
            let ended = tokio::time::timeout(HAND_OVER_TIMEOUT, active.task).await;
            let is_saved = ended.is_ok();
            log::info!(target: "members", role:%, is_saved; "Role handed over.");
            remove.push(keys::role(&role));
            expect.push(active.held.guard());
        }
        let txn = Txn {
            expect,
            remove,
            ..Txn::default()
        };
        if let Err(error) = self.entry.commit(&txn).await {
            log::warn!(target: "members", error:%; "Removing the roles' keys failed; the roles end with the lease.");
        }
        if let Some(session) = self.entry.session.get() {
            let ended = self
                .entry
                .platform
                .end_lease(session.lease, RETRY_AFTER * 2);
            if let Err(error) = ended.await {
                log::warn!(target: "store", error:%; "Ending the session's lease failed; it expires by itself.");
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
