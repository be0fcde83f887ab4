//! The names that a queue has had.
//!
//! A job's status is stored under the name that its queue had when the job was accepted, while submitters address a queue by host
//! name and prefix ([`RouteId`]). Operators may rename it. Invariants:
//!
//! - A status is created only by a transaction which expects the stored names of its route to contain its queue's name, or
//!   adds that name.
//! - The same transaction expects that the job has no status under any of these names.
//!
//! So one id is one job on a route whatever its name was, and statuses are looked for under all names. Versions that
//! store no names accept jobs as well: before a name is added, the names under which statuses are stored and which no
//! queue has any more are added with it.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use goldcrest_jobs::catalogue::Queue;
use goldcrest_jobs::id::JobId;
use goldcrest_types::names::QueueName;

use crate::calls::Admitted;
use crate::entry::Entry;
use crate::keys::{self, RouteNames};
use crate::ports::{CallError, Item, Platform, Put, Revision, StoredCatalogue};

/// The most names of a route. Each is a row in the transactions that accept jobs.
const NAMES_MAX: usize = 16;

/// The names of a route, as far as an entry knows them.
#[derive(Debug, Clone)]
pub(crate) struct KnownNames {
    /// The names, the newest first. Statuses of jobs may be stored under each.
    names: Vec<QueueName>,
    /// Whether all of them are stored, at `revision`.
    is_stored: bool,
    /// The revision of the stored names.
    revision: Revision,
    /// The catalogue that was in force when they were read.
    catalogue: Revision,
}

impl KnownNames {
    /// Decodes the stored names of a route that were read while `catalogue` was in force.
    fn decode(item: Option<Item>, catalogue: Revision) -> Result<Self, CallError> {
        let revision = item.as_ref().map_or(Revision::ABSENT, |item| item.revision);
        let stored = item.map(|item| keys::decode::<RouteNames>(&item.key, &item.value));
        let stored = stored.transpose().map_err(|error| {
            log::error!(target: "calls", error:%; "The names of a queue can't be decoded.");
            CallError::Malformed(error.to_string().into())
        })?;
        Ok(Self {
            names: stored.map_or_else(Vec::new, |stored| stored.names),
            is_stored: true,
            revision,
            catalogue,
        })
    }

    /// Adds the present name of a queue, and others under which versions that store no names may have accepted its jobs.
    fn add(&mut self, queue: &QueueName, unused: &BTreeSet<QueueName>) {
        self.is_stored = false;
        self.names.insert(0, queue.clone());
        self.names.extend(unused.iter().cloned());
        let mut seen = BTreeSet::new();
        self.names.retain(|name| seen.insert(name.clone()));
        if self.names.len() > NAMES_MAX {
            log::error!(target: "calls", queue:%, names = self.names.len(); "A queue was renamed too often; jobs accepted under its oldest names are not found.");
            self.names.truncate(NAMES_MAX);
        }
        if self.names.len() > 1 {
            log::info!(target: "calls", queue:%, names = self.names.len(); "Jobs of a queue are looked for under its earlier names, too.");
        }
    }

    /// The keys under which a job may have a status.
    pub(super) fn status_keys(&self, id: JobId) -> impl Iterator<Item = Box<str>> + '_ {
        self.names.iter().map(move |name| keys::job(name, id))
    }

    /// The expectations of a transaction that creates a status: the names are the stored ones, and there is no status under any.
    pub(super) fn expectations(&self, admitted: &Admitted, id: JobId) -> Vec<(Box<str>, Revision)> {
        let names = (keys::route(admitted.route), self.revision);
        let statuses = self.status_keys(id).map(|key| (key, Revision::ABSENT));
        [names].into_iter().chain(statuses).collect()
    }

    /// The write of the names, unless they are stored.
    pub(super) fn put(&self, admitted: &Admitted) -> Option<Put> {
        let names = RouteNames {
            names: self.names.clone(),
        };
        (!self.is_stored).then(|| Put {
            key: keys::route(admitted.route),
            value: keys::encode(&names),
            lease: None,
        })
    }
}

/// Reads the names of queues once they are in the catalogue, so that the first calls need not wait for them. Runs until
/// the task is aborted.
pub(crate) async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let (mut stored, mut newer) = entry.catalogue.follow();
    loop {
        if let Some(stored) = stored.take()
            && let Err(error) = entry.learn_names(&stored).await
        {
            log::info!(target: "calls", error:%; "The names of queues were not read; the next call to each reads them.");
        }
        match newer.next().await {
            Some(next) => stored = next,
            None => return,
        }
    }
}

impl<P: Platform> Entry<P> {
    /// The names of a call's route, among them the present one. They may have changed since; a transaction expects them.
    pub(super) async fn names(&self, admitted: &Admitted) -> Result<KnownNames, CallError> {
        let known = self.cached_names(admitted);
        match known.filter(|known| known.names.contains(&admitted.queue)) {
            Some(known) => Ok(known),
            None => Box::pin(self.read_names(admitted)).await,
        }
    }

    /// The names of a call's route under which statuses may have been stored up to the catalogue by which the call was admitted.
    pub(super) async fn present_names(&self, admitted: &Admitted) -> Result<KnownNames, CallError> {
        let known = self.cached_names(admitted);
        match known.filter(|known| known.catalogue >= admitted.catalogue) {
            Some(known) => Ok(known),
            None => Box::pin(self.read_names(admitted)).await,
        }
    }

    /// The earlier names of a call's route that no queue has any more, as far as this entry has read them.
    pub(super) fn earlier_names(&self, admitted: &Admitted) -> Vec<QueueName> {
        let known = self.cached_names(admitted);
        let names = known.map_or_else(Vec::new, |known| known.names);
        let catalogue = self.catalogue.get();
        let is_free = |name: &QueueName| {
            let stored = catalogue.as_ref();
            stored.is_some_and(|stored| stored.catalogue.queue(name).is_none())
        };
        names.into_iter().filter(is_free).collect()
    }

    /// Records that the names of a route were written.
    pub(super) fn names_stored(&self, admitted: &Admitted, names: KnownNames, revision: Revision) {
        let stored = KnownNames {
            is_stored: true,
            revision,
            ..names
        };
        self.route_names.borrow_mut().insert(admitted.route, stored);
    }

    /// Forgets the names of a route if a conflict shows that others are stored. Returns whether it does.
    pub(super) fn have_names_changed(
        &self,
        admitted: &Admitted,
        names: &KnownNames,
        conflicting: &[Item],
    ) -> bool {
        let key = keys::route(admitted.route);
        let stored = conflicting.iter().find(|item| item.key == key);
        let revision = stored.map_or(Revision::ABSENT, |item| item.revision);
        let have_changed = revision != names.revision;
        if have_changed {
            self.route_names.borrow_mut().remove(&admitted.route);
        }
        have_changed
    }

    fn cached_names(&self, admitted: &Admitted) -> Option<KnownNames> {
        self.route_names.borrow().get(&admitted.route).cloned()
    }

    async fn read_names(&self, admitted: &Admitted) -> Result<KnownNames, CallError> {
        let item = self.read(&keys::route(admitted.route)).await?;
        let mut known = KnownNames::decode(item, admitted.catalogue)?;
        if !known.names.contains(&admitted.queue) {
            known.add(&admitted.queue, &self.unused_names().await?);
        }
        self.route_names
            .borrow_mut()
            .insert(admitted.route, known.clone());
        Ok(known)
    }

    /// Reads the names of all routes, if the present name of one is not known.
    async fn learn_names(&self, stored: &StoredCatalogue) -> Result<(), CallError> {
        let is_known = |queue: &Queue| {
            let known = self.route_names.borrow();
            let names = known.get(&queue.route());
            names.is_some_and(|known| known.names.contains(&queue.name))
        };
        let queues = stored.catalogue.queues().iter();
        let unknown: Vec<&Queue> = queues.filter(|queue| !is_known(queue)).collect();
        if unknown.is_empty() {
            return Ok(());
        }
        let items = self.list(keys::ROUTES, false).await?.items.into_iter();
        let mut by_key: HashMap<Box<str>, Item> =
            items.map(|item| (item.key.clone(), item)).collect();
        let mut unused = None;
        for queue in unknown {
            let item = by_key.remove(&keys::route(queue.route()));
            let mut known = KnownNames::decode(item, stored.revision)?;
            if !known.names.contains(&queue.name) {
                if unused.is_none() {
                    unused = Some(self.unused_names().await?);
                }
                known.add(&queue.name, unused.as_ref().unwrap_or(&BTreeSet::new()));
            }
            self.route_names.borrow_mut().insert(queue.route(), known);
        }
        Ok(())
    }

    /// The names under which statuses are stored and which no queue has.
    async fn unused_names(&self) -> Result<BTreeSet<QueueName>, CallError> {
        let statuses = self.list(keys::JOBS, false).await?;
        let names = statuses
            .items
            .iter()
            .filter_map(|item| keys::queue_of_job(&item.key));
        let stored = self.catalogue.get();
        let is_unused = |name: &QueueName| {
            let stored = stored.as_ref();
            stored.is_none_or(|stored| stored.catalogue.queue(name).is_none())
        };
        Ok(names.filter(is_unused).collect())
    }
}
