//! The platform's store, by the users' page PROTOCOL.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, base64};

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Every change: its revision, its key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    leases_made: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

const LEASE_CHECK: Duration = Duration::from_millis(10);

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> Vec<(String, Json)> {
    vec![
        ("key".to_owned(), Json::text(key)),
        ("value".to_owned(), Json::text(&item.value)),
        ("revision".to_owned(), Json::int(item.revision)),
        ("created".to_owned(), Json::int(item.created)),
        ("lease".to_owned(), Json::int(item.lease)),
    ]
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let of_thread = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LEASE_CHECK);
                of_thread.end_due_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the state")
    }

    fn end_due_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let due = state.leases.iter().filter(|(_, (until, _))| now >= *until);
        let due: Vec<u64> = due.map(|(lease, _)| *lease).collect();
        for lease in &due {
            state.end_lease(*lease);
        }
        drop(state);
        if !due.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Writes a key as the platform or the operator does. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(value.write().as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Whether a key holds this value.
    pub fn holds(&self, key: &str, value: &[u8]) -> bool {
        let state = self.lock();
        let item = state.items.get(key);
        item.is_some_and(|item| item.value == base64(value))
    }

    /// Removes a key as the platform does.
    pub fn erase(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Answer {
        let path = request.path.strip_prefix("/goldcreststile/").unwrap_or("");
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), path) {
            ("GET", "kv-key") => self.read(request),
            ("GET", "kv-range") => self.list(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.commit(&body),
            ("POST", "kv-lease") => self.open_lease(&body),
            _ => self.lease_call(request, path),
        }
    }

    fn read(&self, request: &Request) -> Answer {
        let key = request.parameter("key").unwrap_or_default();
        let state = self.lock();
        let Some(item) = state.items.get(key) else {
            return (404, "{}".to_owned());
        };
        let mut fields = row(key, item);
        fields.push(("storeRevision".to_owned(), Json::int(state.revision)));
        (200, Json::Object(fields).write())
    }

    fn list(&self, request: &Request) -> Answer {
        const PAGE: usize = 500;
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.lock();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Json> = found
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| Json::Object(row(key, item)))
            .collect();
        let answer = Json::object(&[
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(found.next().is_some())),
            ("storeRevision", Json::int(state.revision)),
        ]);
        (200, answer.write())
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut state = self.lock();
        loop {
            let changes = state.history.iter().rev();
            let changes = changes.take_while(|(revision, ..)| *revision > after);
            let mut events: Vec<Json> = changes
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => Json::Object(row(key, item)),
                    None => Json::object(&[
                        ("key", Json::text(key)),
                        ("revision", Json::int(*revision)),
                        ("tombstone", Json::Bool(true)),
                    ]),
                })
                .collect();
            events.reverse();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let answer = Json::object(&[
                    ("events", Json::List(events)),
                    ("storeRevision", Json::int(state.revision)),
                ]);
                return (200, answer.write());
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.expect("no thread panics with the state").0;
        }
    }

    fn commit(&self, body: &Json) -> Answer {
        let mut state = self.lock();
        let expected = body.list("expected");
        let present = |row: &Json| {
            let item = state.items.get(row.str("key").unwrap_or_default());
            item.map_or(0, |item| item.revision)
        };
        let is_met = |row: &Json| Some(present(row)) == row.u64("revision");
        if !expected.iter().all(is_met) {
            let items = expected.iter().filter_map(|expected| {
                let key = expected.str("key")?;
                let item = state.items.get(key)?;
                Some(Json::Object(row(key, item)))
            });
            let items = Json::List(items.collect());
            return (412, Json::object(&[("items", items)]).write());
        }
        let puts = body.list("puts");
        let lease_of = |put: &Json| put.u64("lease").unwrap_or_default();
        let is_lease_open = |put: &Json| {
            let lease = lease_of(put);
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_lease_open) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let key = put.str("key").unwrap_or_default();
            let value = put.str("value").unwrap_or_default().to_owned();
            state.put(key, value, lease_of(put));
        }
        for key in body.list("remove").iter().filter_map(Json::as_str) {
            state.remove(key);
        }
        let answer = Json::object(&[("revision", Json::int(state.revision))]);
        drop(state);
        self.changed.notify_all();
        (200, answer.write())
    }

    fn open_lease(&self, body: &Json) -> Answer {
        let ttl_ms = body.u64("ttlMs").unwrap_or_default().max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.leases_made += 1;
        let lease = state.leases_made;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, lease_answer(lease, ttl_ms))
    }

    fn lease_call(&self, request: &Request, path: &str) -> Answer {
        let (call, lease) = path.split_once('/').unwrap_or_default();
        let lease: u64 = lease.parse().unwrap_or_default();
        let mut state = self.lock();
        let Some((until, ttl)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        match (request.method.as_str(), call) {
            ("POST", "kv-keep") => {
                *until = Instant::now() + *ttl;
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
                (200, lease_answer(lease, ttl_ms))
            }
            ("DELETE", "kv-lease-end") => {
                state.end_lease(lease);
                drop(state);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn lease_answer(lease: u64, ttl_ms: u64) -> String {
    Json::object(&[("lease", Json::int(lease)), ("ttlMs", Json::int(ttl_ms))]).write()
}
