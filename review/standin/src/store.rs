//! The platform's key-value store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Reply, Request};
use crate::json::{Json, num, object, text};
use crate::record::Record;

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The most items of a page.
const PAGE_ITEMS_MAX: usize = 500;

/// The largest value, in bytes: `valueBytes` of the settings.
const VALUE_BYTES_MAX: usize = 1_048_576;

#[derive(Debug, Clone)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    pub revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Default)]
struct Table {
    items: BTreeMap<String, Item>,
    log: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    leases_made: u64,
}

/// A transaction, decoded.
#[derive(Debug, Clone, Default)]
pub struct Txn {
    pub expected: Vec<(String, u64)>,
    pub puts: Vec<(String, Vec<u8>, u64)>,
    pub remove: Vec<String>,
}

/// What the store does with a call of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out and answered after this time.
    Slow(Duration),
    /// It is neither carried out nor answered.
    Silent,
    /// It is carried out after this time, if its condition then holds, and never answered.
    Late(Duration),
}

/// Decides about a call: the number of the entry, and the call.
pub type Rule = Box<dyn FnMut(usize, &Request) -> Fate + Send>;

pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
    rule: Mutex<Option<Rule>>,
    record: Arc<Record>,
}

enum Refusal {
    Conflict(Vec<Item>),
    NoLease,
    TooLarge(String, usize),
}

impl Table {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push(Event {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.log.push(Event {
                revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn expire(&mut self, ended: impl Fn(u64, &Lease) -> bool) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(id, lease)| ended(**id, lease))
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.leases.remove(id);
            let bound = self.items.values().filter(|item| item.lease == *id);
            let keys: Vec<String> = bound.map(|item| item.key.clone()).collect();
            self.revision += 1;
            let revision = self.revision;
            for key in keys {
                self.remove(&key, revision);
            }
        }
        !ended.is_empty()
    }

    fn commit(&mut self, txn: &Txn) -> Result<u64, Refusal> {
        let holds = |(key, revision): &(String, u64)| {
            self.items.get(key).map_or(0, |item| item.revision) == *revision
        };
        if !txn.expected.iter().all(holds) {
            let present = txn
                .expected
                .iter()
                .filter_map(|(key, _)| self.items.get(key));
            return Err(Refusal::Conflict(present.cloned().collect()));
        }
        for (key, value, lease) in &txn.puts {
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(Refusal::NoLease);
            }
            if value.len() > VALUE_BYTES_MAX {
                return Err(Refusal::TooLarge(key.clone(), value.len()));
            }
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in &txn.puts {
            self.put(key, value.clone(), *lease, revision);
        }
        for key in &txn.remove {
            self.remove(key, revision);
        }
        Ok(revision)
    }
}

fn row(item: &Item) -> Json {
    object([
        ("key", text(&*item.key)),
        ("value", text(base64::encode(&item.value))),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

/// Decodes the body of a transaction.
pub fn decode_txn(body: &Json) -> Txn {
    let key = |row: &Json| row.get("key").str().to_owned();
    Txn {
        expected: body
            .get("expected")
            .items()
            .iter()
            .map(|row| (key(row), row.get("revision").u64().unwrap_or(0)))
            .collect(),
        puts: body
            .get("puts")
            .items()
            .iter()
            .map(|row| {
                let value = base64::decode(row.get("value").str()).unwrap_or_default();
                (key(row), value, row.get("lease").u64().unwrap_or(0))
            })
            .collect(),
        remove: body
            .get("remove")
            .items()
            .iter()
            .map(|key| key.str().to_owned())
            .collect(),
    }
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            table: Mutex::default(),
            changed: Condvar::new(),
            rule: Mutex::default(),
            record,
        });
        let ticker = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let now = Instant::now();
                let mut table = ticker.table.lock().unwrap();
                if table.expire(|_, lease| now >= lease.until) {
                    ticker.changed.notify_all();
                }
            }
        });
        store
    }

    /// Sets the disruption. `None` ends it.
    pub fn set_rule(&self, rule: Option<Rule>) {
        *self.rule.lock().unwrap() = rule;
    }

    /// A write of the operators or of a server.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let mut table = self.table.lock().unwrap();
        table.revision += 1;
        let revision = table.revision;
        table.put(key, value.as_bytes().to_vec(), 0, revision);
        self.changed.notify_all();
        revision
    }

    /// A removal by the operators or by a server.
    pub fn erase(&self, key: &str) {
        let mut table = self.table.lock().unwrap();
        table.revision += 1;
        let revision = table.revision;
        table.remove(key, revision);
        self.changed.notify_all();
    }

    pub fn read(&self, key: &str) -> Option<Item> {
        self.table.lock().unwrap().items.get(key).cloned()
    }

    /// The entry that holds a role, by the end of the stored name.
    pub fn holder(&self, role: &str) -> Option<usize> {
        let item = self.read(&format!("who/role/{role}"))?;
        let name = String::from_utf8_lossy(&item.value).into_owned();
        name.rsplit('-').next()?.parse().ok()
    }

    /// Answers a call of an entry.
    pub fn answer(self: &Arc<Self>, entry: usize, request: &Request) -> Reply {
        let fate = match &mut *self.rule.lock().unwrap() {
            Some(rule) => rule(entry, request),
            None => Fate::Answered,
        };
        match fate {
            Fate::Answered => thread::sleep(ANSWER_TIME),
            // A watch that waits is answered late, not begun late.
            Fate::Slow(_) if request.path.ends_with("/kv-watch") => {}
            Fate::Slow(time) => thread::sleep(time),
            Fate::Silent => return Reply::Silence,
            Fate::Late(after) => {
                let txn = decode_txn(&request.json());
                let store = Arc::clone(self);
                let keys: Vec<String> = txn.puts.iter().map(|(key, ..)| key.clone()).collect();
                let keys = keys.join(" ");
                self.record.line("store", &format!("a write of {keys} by entry-{entry} gets no answer; it will be carried out in {} ms", after.as_millis()));
                thread::spawn(move || {
                    thread::sleep(after);
                    let is_done = store.table.lock().unwrap().commit(&txn).is_ok();
                    store.changed.notify_all();
                    let what = if is_done {
                        "is carried out"
                    } else {
                        "changes nothing: its condition does not hold"
                    };
                    store
                        .record
                        .line("store", &format!("the late write of {keys} {what}"));
                });
                return Reply::Silence;
            }
        }
        let method_and_path = (&*request.method, &*request.path);
        match method_and_path {
            ("GET", "/goldcreststile/kv-key") => self.get(request),
            ("GET", "/goldcreststile/kv-range") => self.range(request),
            ("GET", "/goldcreststile/kv-watch") => self.watch(entry, request),
            ("POST", "/goldcreststile/kv-txn") => self.txn(request),
            ("POST", "/goldcreststile/kv-lease") => {
                let ttl_ms = request
                    .json()
                    .get("ttlMs")
                    .u64()
                    .unwrap_or(1_000)
                    .max(1_000);
                let mut table = self.table.lock().unwrap();
                table.leases_made += 1;
                let id = 77_000 + table.leases_made;
                let ttl = Duration::from_millis(ttl_ms);
                let until = Instant::now() + ttl;
                table.leases.insert(id, Lease { ttl, until });
                Reply::Answer(200, object([("lease", num(id)), ("ttlMs", num(ttl_ms))]))
            }
            ("POST", path) if path.starts_with("/goldcreststile/kv-keep/") => {
                let id: u64 = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                match self.table.lock().unwrap().leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        Reply::Answer(200, object([("ttlMs", num(lease.ttl.as_millis() as u64))]))
                    }
                    None => Reply::Answer(404, Json::Null),
                }
            }
            ("DELETE", path) => {
                let id: u64 = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                self.table.lock().unwrap().expire(|known, _| known == id);
                self.changed.notify_all();
                Reply::Answer(200, object([]))
            }
            _ => Reply::Answer(400, Json::Null),
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let table = self.table.lock().unwrap();
        match table.items.get(&request.field("key")) {
            Some(item) => Reply::Answer(200, row(item)),
            None => Reply::Answer(404, Json::Null),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.field("prefix"), request.field("after"));
        let table = self.table.lock().unwrap();
        let found = table.items.range(prefix.clone()..);
        let found = found.take_while(|(key, _)| key.starts_with(&prefix));
        let mut found: Vec<&Item> = found
            .map(|(_, item)| item)
            .filter(|item| item.key > after)
            .collect();
        let has_more = found.len() > PAGE_ITEMS_MAX;
        found.truncate(PAGE_ITEMS_MAX);
        let rows = found.into_iter().map(row).collect();
        Reply::Answer(
            200,
            object([
                ("items", Json::List(rows)),
                ("hasMore", Json::Bool(has_more)),
                ("storeRevision", num(table.revision)),
            ]),
        )
    }

    fn watch(&self, entry: usize, request: &Request) -> Reply {
        let prefix = request.field("prefix");
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let wait_ms = request.field("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut table = self.table.lock().unwrap();
        loop {
            let is_new = |event: &&Event| event.revision > after && event.key.starts_with(&prefix);
            let events: Vec<Json> = table
                .log
                .iter()
                .rev()
                .take_while(|event| event.revision > after)
                .filter(is_new)
                .map(|event| match &event.item {
                    Some(item) => row(item),
                    None => object([
                        ("key", text(&*event.key)),
                        ("revision", num(event.revision)),
                        ("tombstone", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = table.revision;
                drop(table);
                // A disruption that began while the watch waited holds for its answer too.
                let fate = match &mut *self.rule.lock().unwrap() {
                    Some(rule) => rule(entry, request),
                    None => Fate::Answered,
                };
                match fate {
                    Fate::Silent => return Reply::Silence,
                    Fate::Slow(time) => thread::sleep(time),
                    Fate::Answered | Fate::Late(_) => {}
                }
                let events = events.into_iter().rev().collect();
                return Reply::Answer(
                    200,
                    object([
                        ("events", Json::List(events)),
                        ("storeRevision", num(revision)),
                    ]),
                );
            }
            (table, _) = self.changed.wait_timeout(table, left).unwrap();
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let txn = decode_txn(&request.json());
        let result = self.table.lock().unwrap().commit(&txn);
        match result {
            Ok(revision) => {
                self.changed.notify_all();
                Reply::Answer(200, object([("revision", num(revision))]))
            }
            Err(Refusal::Conflict(items)) => {
                let rows = items.iter().map(row).collect();
                Reply::Answer(412, object([("items", Json::List(rows))]))
            }
            Err(Refusal::NoLease) => Reply::Answer(404, Json::Null),
            Err(Refusal::TooLarge(key, bytes)) => {
                self.record.line("store", &format!("a write of {key} with {bytes} bytes is refused: valueBytes is {VALUE_BYTES_MAX}"));
                Reply::Answer(400, object([("error", text("value too large"))]))
            }
        }
    }
}
