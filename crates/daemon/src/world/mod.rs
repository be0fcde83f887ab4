//! The state that the parts of a process share: handles, and channels that hold latest values.
//!
//! Each channel has one writer, the part named in its doc, and any number of readers. A restarted reader finds the
//! latest value; nothing is queued, so a slow reader delays no other part.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use goldcrest_api::TeamShare;
use goldcrest_front::Front;
use goldcrest_ledger::fleet::FleetDoc;
use goldcrest_ledger::freshness::{Freshness, StaleReason};
use goldcrest_obs::metrics::Metrics;
use goldcrest_peer::message::FleetSeen;
use goldcrest_peer::peers::ExplainQuery;
use goldcrest_peer::usage::Usage;
use goldcrest_ports::fleet::VmListing;
use goldcrest_ports::http::{HttpFleet, HttpStore, HttpWorkers};
use goldcrest_session::role::Roles;
use goldcrest_session::{Follower, Session};
use goldcrest_types::catalogue::{Catalogue, CatalogueSpec};
use goldcrest_types::clock::Clock;
use goldcrest_types::names::{DcName, EntryId, PoolName, TeamName};
use goldcrest_types::units::{Revision, StoreVersion};
use tokio::sync::{Mutex, mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::peers::DaemonPeers;
use crate::quota::split::Split;
use crate::scheduler::intake::{Intake, Writers};
use crate::scheduler::told::TaskQuery;
use crate::settings::Settings;
use crate::sizing::status::Status as SizingStatus;

/// The clock that the parts of a process share.
pub type DaemonClock = Arc<dyn Clock>;

/// The session with the key-value service, over HTTP.
pub type DaemonSession = Session<HttpStore, DaemonClock>;

/// The roles of this entry, stored over HTTP.
pub type DaemonRoles = Roles<HttpStore, DaemonClock>;

/// The follower of the catalogue head, over HTTP.
pub type DaemonFollower = Follower<HttpStore, DaemonClock>;

/// The catalogue in force, in both of its forms.
#[derive(Debug, Clone)]
pub struct InForce {
    /// The catalogue as operators wrote it.
    pub spec: Arc<CatalogueSpec>,
    /// The same revision, resolved to dense ids.
    pub cat: Arc<Catalogue>,
}

/// The last version read of each data centre's fleet document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleets {
    docs: BTreeMap<DcName, (StoreVersion, Arc<FleetDoc>)>,
}

impl Fleets {
    /// The document of a data centre; none if it was not read yet.
    #[must_use]
    pub fn get(&self, dc: &DcName) -> Option<&FleetDoc> {
        self.docs.get(dc).map(|(_, doc)| doc.as_ref())
    }

    /// All documents, by data centre.
    pub fn iter(&self) -> impl Iterator<Item = (&DcName, &FleetDoc)> {
        self.docs.iter().map(|(dc, (_, doc))| (dc, doc.as_ref()))
    }

    /// The version of a data centre's document; zero if it was not read yet.
    #[must_use]
    pub fn version(&self, dc: &DcName) -> StoreVersion {
        let held = self.docs.get(dc);
        held.map_or(StoreVersion::ZERO, |(version, _)| *version)
    }

    /// The versions of all documents.
    #[must_use]
    pub fn versions(&self) -> Vec<FleetSeen> {
        let held = self.docs.iter();
        let seen = held.map(|(dc, (version, _))| FleetSeen {
            dc: dc.clone(),
            version: *version,
        });
        seen.collect()
    }

    /// Sets the document of a data centre, whatever version was held.
    pub fn set(&mut self, dc: DcName, version: StoreVersion, doc: Arc<FleetDoc>) {
        self.docs.insert(dc, (version, doc));
    }
}

/// The state that the parts of a process share.
pub struct World {
    /// The settings of the process, fixed at its start.
    pub settings: Settings,
    /// The id of this process, drawn at random at each start.
    pub entry: EntryId,
    /// The monotonic clock.
    pub clock: DaemonClock,
    /// The session with the key-value service.
    pub session: DaemonSession,
    /// The follower of the catalogue head.
    pub follower: DaemonFollower,
    /// The client of the platform's fleet interface: list of VMs and reboots.
    pub platform: HttpFleet,
    /// The client for calls to workers.
    pub workers: HttpWorkers,
    /// The links to the other entries.
    pub peers: DaemonPeers,
    /// Explanation queries of other entries that this one answers; read by the peers part.
    pub queries: Mutex<mpsc::Receiver<ExplainQuery>>,
    /// The serving path.
    pub front: Front,
    /// The metrics registry.
    pub metrics: Metrics,
    /// The catalogue in force; written by the catalogue part.
    pub catalogue: watch::Sender<Option<InForce>>,
    /// Whether requests with keys may be admitted; written by the catalogue part.
    pub freshness: watch::Sender<Freshness>,
    /// The platform's list of VMs, empty until it is read; written by the fleet part.
    pub listing: watch::Sender<Arc<VmListing>>,
    /// The fleet documents; written by the fleet part.
    pub fleets: watch::Sender<Fleets>,
    /// The quota row of this entry, divided between the serving path and the scheduler.
    pub split: Split,
    /// The status lines of maintenance and sizing while this entry holds the upkeep role; written by the maintenance
    /// part.
    pub waves: watch::Sender<Vec<Box<str>>>,
    /// The status of pool sizing; written by the maintenance part.
    pub sizing: watch::Sender<SizingStatus>,
    /// The running and waiting slots of each team's tasks while this entry schedules; written by the scheduler part.
    pub task_usage: watch::Sender<BTreeMap<TeamName, Usage>>,
    /// The running and waiting slots of each pool's tasks while this entry schedules; written by the scheduler part.
    pub task_pools: watch::Sender<BTreeMap<PoolName, Usage>>,
    /// The teams' shares of the workers while this entry schedules them; written by the scheduler part.
    pub task_shares: watch::Sender<Vec<TeamShare>>,
    /// The channel for queries of the reason of a task's state, while this entry schedules; written by the scheduler
    /// part.
    pub task_queries: watch::Sender<Option<mpsc::Sender<TaskQuery>>>,
    /// Accepts, cancels and releases tasks.
    pub intake: Intake,
    /// The writers of the intake; used by the tasks part.
    pub writers: Mutex<Writers>,
    /// The roles of this entry.
    pub roles: DaemonRoles,
    /// Cancelled when the process begins to stop.
    pub stopping: CancellationToken,
}

impl World {
    /// The revision of the catalogue in force here, or zero.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let in_force = self.catalogue.borrow();
        in_force
            .as_ref()
            .map_or(Revision::ZERO, |in_force| in_force.cat.revision())
    }

    /// The catalogue in force here.
    #[must_use]
    pub fn cat(&self) -> Option<Arc<Catalogue>> {
        let in_force = self.catalogue.borrow();
        in_force.as_ref().map(|in_force| Arc::clone(&in_force.cat))
    }

    /// The current instant of the clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// The freshness of a process that has not read a catalogue yet.
pub const NOTHING_READ: Freshness = Freshness::Stale(StaleReason::NoCatalogue);
