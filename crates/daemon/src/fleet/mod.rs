//! The VMs and the pools they are in.
//!
//! The platform's list holds the VMs and their addresses; the fleet documents hold the pool of each VM and whether it
//! is in service. [`upstreams`] joins the two for the serving path, [`enrol`] assigns the first pool to a VM without a
//! record.

pub mod enrol;
pub mod upstreams;

use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::Document;
use goldcrest_ledger::fleet::FleetDoc;
use goldcrest_obs::logs::Part;
use goldcrest_ports::fleet::Fleet;
use goldcrest_session::keys;
use goldcrest_types::names::DcName;
use goldcrest_types::units::StoreVersion;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::world::World;

const PART: &str = Part::Fleet.as_str();

/// The longest that one watch of a fleet document waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The wait after a failed watch.
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Polls the platform's list of VMs until `stop` is cancelled, and publishes each change.
pub async fn poll_list(world: Arc<World>, stop: CancellationToken) {
    let poll = world.settings.platform.fleet_poll();
    while !stop.is_cancelled() {
        match world.platform.list().await {
            Ok(listing) => {
                world.listing.send_if_modified(|held| {
                    let is_new = **held != listing;
                    if is_new {
                        *held = Arc::new(listing);
                    }
                    is_new
                });
            }
            Err(error) => log::warn!(target: PART, "List of VMs not read, retrying: {error}."),
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(poll) => {}
        }
    }
}

/// Follows the fleet documents of all data centres in the catalogue.
pub async fn follow_documents(world: Arc<World>, stop: CancellationToken) {
    let mut catalogue = world.catalogue.subscribe();
    while !stop.is_cancelled() {
        let dcs: Vec<DcName> = {
            let in_force = catalogue.borrow_and_update();
            let cat = in_force.as_ref().map(|in_force| &in_force.cat);
            cat.map_or_else(Vec::new, |cat| {
                cat.dcs.values().map(|dc| dc.name.clone()).collect()
            })
        };
        let mut followers = JoinSet::new();
        for dc in &dcs {
            followers.spawn(follow(Arc::clone(&world), dc.clone()));
        }
        // Dropping the set aborts the followers.
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                changed = catalogue.changed() => if changed.is_err() { return },
            }
            if has_other_dcs(&world, &dcs) {
                break;
            }
        }
    }
}

fn has_other_dcs(world: &World, dcs: &[DcName]) -> bool {
    let Some(cat) = world.cat() else {
        return false;
    };
    !cat.dcs.values().map(|dc| &dc.name).eq(dcs.iter())
}

/// Follows the fleet document of one data centre.
async fn follow(world: Arc<World>, dc: DcName) {
    let key = keys::fleet(&dc);
    let mut after = StoreVersion::ZERO;
    loop {
        match world.session.watch(&key, after, WATCH_TIMEOUT).await {
            Ok(Some(found)) => {
                after = found.version;
                match FleetDoc::decode(&found.value) {
                    Ok(doc) => ingest_document(&world, &dc, after, doc),
                    Err(error) => log::error!(target: PART, dc:%; "Malformed document: {error}."),
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(target: PART, dc:%; "Fleet document not read, retrying: {error}.");
                sleep(WATCH_RETRY).await;
            }
        }
    }
}

fn ingest_document(world: &World, dc: &DcName, version: StoreVersion, doc: FleetDoc) {
    world
        .fleets
        .send_modify(|fleets| fleets.set(dc.clone(), version, Arc::new(doc)));
}
