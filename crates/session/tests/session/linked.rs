//! Test entries that follow the catalogue, are connected with each other and admit requests.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use goldcrest_ledger::catalogue::{CatalogueEdit, Change, Delta, diff};
use goldcrest_ledger::freshness::{Bound, Freshness, evaluate};
use goldcrest_peer::handshake::Hello;
use goldcrest_peer::message::{CatalogueCopy, Member};
use goldcrest_peer::peers::{OwnView, PeersConfig};
use goldcrest_serve::admission::{
    Admission, AdmissionCfg, AdmissionDecision, AdmissionRequest, TeamGrant, TeamGrants,
};
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_session::lease::{LeaseKeeper, SessionRecord};
use goldcrest_session::{FollowConfig, Follower, HeadCopy, Session, SessionConfig, Updated};
use goldcrest_types::catalogue::{Access, Catalogue, CatalogueSpec, DcSpec, KeySpec, parse};
use goldcrest_types::clock::Clock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, EditId, EntryId, VmName};
use goldcrest_types::units::Slots;
use tokio_util::sync::CancellationToken;

use crate::common::{FakeStore, TokioClock};
use crate::network::{Dialer, Network, TestPeers};

/// The interval at which an entry evaluates the freshness of its catalogue, as in the daemon.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which the live sessions are read, as in the daemon.
const SESSIONS_INTERVAL: Duration = Duration::from_secs(3);

/// The slots granted to the one team at each entry.
const TEAM_SLOTS: Slots = Slots::new(100);

pub fn dc(number: usize) -> DcName {
    format!("lis-{number}").parse().expect("a name")
}

/// Returns a catalogue of `dcs` data centres with an open and a keyed queue, and the keys `kept` and `withdrawn`.
pub fn spec(dcs: usize) -> CatalogueSpec {
    let text = "data_centres: [{name: lis-0, region: pt}]
pools: [{name: web, kind: upstreams, max_unavailable_vms: 1}]
teams: [{name: guides, share: 1, upper_limit_slots: 1000}]
queues:
  - {name: plans, owner: guides, class: interactive, pool: web, access: open}
  - {name: merges, owner: guides, class: interactive, pool: web}
";
    let mut spec = parse(text).expect("a valid catalogue");
    spec.data_centres = (0..dcs)
        .map(|number| DcSpec {
            name: dc(number),
            region: "pt".parse().expect("a name"),
        })
        .collect();
    spec.keys = vec![key("kept"), key("withdrawn")];
    spec
}

/// Returns a key whose secret is its name.
pub fn key(name: &str) -> KeySpec {
    KeySpec {
        name: name.parse().expect("a name"),
        team: "guides".parse().expect("a name"),
        digest: KeyDigest::of(name),
    }
}

pub fn edit(id: u128, changes: Vec<Change>) -> CatalogueEdit {
    CatalogueEdit {
        id: EditId::new(id),
        operator: "ana".parse().expect("a name"),
        changes,
    }
}

pub fn first_edit(dcs: usize) -> CatalogueEdit {
    edit(1, diff(&CatalogueSpec::default(), &spec(dcs)))
}

pub fn grant(id: u128) -> CatalogueEdit {
    let key = key(&format!("key-{id}"));
    edit(id, vec![Change::Key(Delta::put(key))])
}

pub fn withdraw(id: u128, name: &str) -> CatalogueEdit {
    edit(id, vec![Change::Key(Delta::remove(key(name)))])
}

/// The admission of requests, with the catalogue that it uses.
struct RequestAdmission {
    admission: Admission,
    cat: Option<Arc<Catalogue>>,
}

impl RequestAdmission {
    fn new() -> Self {
        let cfg = AdmissionCfg {
            running_max: Slots::new(100),
            waiting_max: Slots::new(100),
        };
        let mut admission = Admission::new(cfg);
        admission.defer_grants(TeamGrants {
            teams: vec![TeamGrant {
                team: "guides".parse().expect("a name"),
                floor: TEAM_SLOTS,
                lent: Slots::ZERO,
            }],
            lent_until: None,
        });
        Self {
            admission,
            cat: None,
        }
    }

    fn set_catalogue(&mut self, cat: &Arc<Catalogue>) {
        let old = self.cat.replace(Arc::clone(cat));
        let mut turns = Vec::new();
        self.admission
            .set_catalogue(old.as_deref(), cat, &mut turns);
        for pool in cat.pools.keys() {
            self.admission.set_in_service(pool, 1);
        }
    }

    /// Offers a request that ends at once, and returns whether it would be sent now or why it is refused.
    fn send(&mut self, queue: &str, secret: Option<&str>) -> Result<(), NotRunCode> {
        let now = TokioClock.now();
        let cat = self.cat.clone().ok_or(NotRunCode::NotReady)?;
        let queue = cat.queue(queue).ok_or(NotRunCode::QueueUnknown)?;
        let key = match (cat.queues[queue].access, secret) {
            (Access::Open, None) => None,
            (_, None) => return Err(NotRunCode::KeyMissing),
            (_, Some(secret)) => Some(cat.key(secret).ok_or(NotRunCode::KeyUnknown)?),
        };
        let ask = AdmissionRequest {
            queue,
            team: key.map_or(cat.queues[queue].owner, |key| cat.keys[key].team),
            key,
            deadline: now + Duration::from_secs(1),
        };
        let mut turns = Vec::new();
        match self.admission.offer(&ask, now, &mut turns) {
            AdmissionDecision::Start(work) => {
                let may_send = self.admission.may_send(work, now);
                self.admission.finish(work, now, &mut turns);
                may_send
            }
            AdmissionDecision::Wait(work) => panic!("{} waits though slots are free", work.index()),
            AdmissionDecision::Refuse(code, _) => Err(code),
        }
    }
}

/// An entry with its session, follower, peer connections and admission.
pub struct Linked {
    pub dc: DcName,
    pub store: FakeStore,
    pub session: Session<FakeStore, TokioClock>,
    pub follower: Follower<FakeStore, TokioClock>,
    pub peers: TestPeers,
    requests: Arc<Mutex<RequestAdmission>>,
    stop: CancellationToken,
}

impl Linked {
    /// Starts one entry for each data centre number in `dcs`.
    pub fn start_all(store: &FakeStore, network: &Network, dcs: &[usize]) -> Vec<Self> {
        let numbered = dcs.iter().enumerate();
        let start = |(number, dc): (usize, &usize)| Self::listen(store, network, number, *dc);
        let entries: Vec<Self> = numbered.map(start).collect();
        for entry in &entries {
            entry.run(network);
        }
        entries
    }

    /// Creates an entry that listens but runs none of its tasks yet.
    fn listen(store: &FakeStore, network: &Network, number: usize, dc_number: usize) -> Self {
        let (store, dc) = (store.client(), dc(dc_number));
        let port = 1_000 + u16::try_from(number).expect("a port");
        let member = Member {
            entry: EntryId::new(number as u128 + 1),
            dc: dc.clone(),
            vm: format!("vm-{number}").parse().expect("a name"),
            address: ([127, 0, 0, 1], port).into(),
        };
        let cfg = SessionConfig::new(member.entry, dc.clone());
        let session = Session::new(store.clone(), TokioClock, cfg);
        let follower = Follower::new(session.clone(), FollowConfig::default());
        let hello = Hello::new(member, KeyDigest::of("secret"));
        let dial = Dialer::new(network, &dc);
        let (peers, queries) =
            TestPeers::with_dial(hello, PeersConfig::default(), TokioClock, dial);
        drop(queries);
        network.listen(peers.clone());
        Self {
            dc,
            store,
            session,
            follower,
            peers,
            requests: Arc::new(Mutex::new(RequestAdmission::new())),
            stop: CancellationToken::new(),
        }
    }

    /// Starts the entry's background tasks.
    fn run(&self, network: &Network) {
        let member = &self.peers.hello().member;
        let record = SessionRecord {
            entry: member.entry,
            dc: member.dc.clone(),
            vm: member.vm.clone(),
            peer_address: member.address,
        };
        let vms: BTreeSet<VmName> = BTreeSet::from([member.vm.clone()]);
        self.peers.set_listing(&vms, network.seeds());
        let (session, stop) = (self.session.clone(), &self.stop);
        tokio::spawn(LeaseKeeper::new(session.clone(), record).run(stop.clone()));
        tokio::spawn(self.follower.clone().run(stop.clone()));
        tokio::spawn(self.peers.clone().run(stop.clone()));
        let feed = Feed {
            session,
            follower: self.follower.clone(),
            peers: self.peers.clone(),
            requests: Arc::clone(&self.requests),
        };
        let stop = stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(feed.run()).await });
    }

    /// Returns the revision of the catalogue by which requests are admitted.
    pub fn revision(&self) -> u64 {
        let requests = self.requests.lock().expect("a lock");
        requests.cat.as_ref().map_or(0, |cat| cat.revision().get())
    }

    /// Offers a request to the open queue.
    pub fn send_open(&self) -> Result<(), NotRunCode> {
        self.requests.lock().expect("a lock").send("plans", None)
    }

    /// Offers a request with this key to the keyed queue.
    pub fn send_keyed(&self, secret: &str) -> Result<(), NotRunCode> {
        let mut requests = self.requests.lock().expect("a lock");
        requests.send("merges", Some(secret))
    }

    /// Applies an operator's edit through this entry, and returns the revision that it created.
    pub async fn accept(&self, edit: &CatalogueEdit) -> u64 {
        match self.follower.edit(edit).await {
            Ok(Updated::Applied { value, .. }) => value.revision.get(),
            other => panic!("not accepted: {other:?}"),
        }
    }
}

impl Drop for Linked {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Passes state between the parts of an entry, in the same order as the daemon.
struct Feed {
    session: Session<FakeStore, TokioClock>,
    follower: Follower<FakeStore, TokioClock>,
    peers: TestPeers,
    requests: Arc<Mutex<RequestAdmission>>,
}

impl Feed {
    async fn run(self) {
        tokio::join!(self.exchange(), self.read_sessions());
    }

    async fn exchange(&self) {
        let mut heads = self.follower.head();
        let mut relayed = self.peers.catalogue();
        let mut is_relay = self.peers.is_relay();
        // A value set before the subscription counts as a change.
        heads.mark_changed();
        relayed.mark_changed();
        is_relay.mark_changed();
        loop {
            tokio::select! {
                _ = heads.changed() => {
                    let head = heads.borrow_and_update().clone();
                    self.install_head(head);
                }
                _ = relayed.changed() => {
                    let copy = relayed.borrow_and_update().clone();
                    if let Some(copy) = copy {
                        let adopted = self.follower.adopt(&copy.head, copy.version);
                        adopted.expect("a relayed head is one");
                    }
                }
                _ = is_relay.changed() => {
                    let is_relay = *is_relay.borrow_and_update();
                    self.follower.set_watcher(is_relay);
                }
                () = tokio::time::sleep(FRESHNESS_INTERVAL) => {}
            }
            self.evaluate_freshness();
        }
    }

    fn install_head(&self, head: Option<HeadCopy>) {
        let Some(head) = head else {
            return;
        };
        let revision = head.revision();
        self.requests
            .lock()
            .expect("a lock")
            .set_catalogue(&head.catalogue);
        self.peers.offer_catalogue(CatalogueCopy {
            revision,
            version: head.version,
            head: head.bytes,
        });
    }

    fn evaluate_freshness(&self) {
        let cat = self.requests.lock().expect("a lock").cat.clone();
        let Some(cat) = cat else {
            return;
        };
        self.peers.set_own_view(OwnView {
            revision: cat.revision(),
            proof: self.follower.proof(),
            no_contact: self.follower.no_contact(),
        });
        let received = self.peers.evidence();
        self.follower.record_peer_proof(received.peer);
        let evidence = received.weighed_with(&cat, self.follower.proof());
        let until = keys_until(evaluate(&evidence, Bound::DEFAULT, self.session.now()));
        let mut requests = self.requests.lock().expect("a lock");
        requests.admission.set_keys_fresh_until(until);
    }

    async fn read_sessions(&self) {
        loop {
            if let Ok(live) = self.session.sessions().await {
                let live: BTreeSet<EntryId> = live.iter().map(|live| live.entry).collect();
                self.peers.set_sessions(&live);
            }
            tokio::time::sleep(SESSIONS_INTERVAL).await;
        }
    }
}

fn keys_until(freshness: Freshness) -> Option<Instant> {
    match freshness {
        Freshness::Fresh { until, .. } => Some(until),
        Freshness::Stale(_) => None,
    }
}
