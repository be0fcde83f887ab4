//! Connects the serving path to the process: passes it the catalogue, freshness and upstreams, and runs its listener.

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use goldcrest_front::KeyFreshness;
use goldcrest_ledger::freshness::Freshness;
use goldcrest_obs::logs::Part;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::fleet::upstreams::upstream_set;
use crate::world::{InForce, World};

const PART: &str = Part::Front.as_str();

/// Passes every change of the catalogue, its freshness, the list of VMs and the fleet documents to the serving path.
pub async fn feed(world: Arc<World>, stop: CancellationToken) {
    let mut catalogue = world.catalogue.subscribe();
    let mut freshness = world.freshness.subscribe();
    let mut listing = world.listing.subscribe();
    let mut fleets = world.fleets.subscribe();
    // Values from before the subscription count as changes.
    catalogue.mark_changed();
    freshness.mark_changed();
    listing.mark_changed();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            changed = catalogue.changed() => {
                if changed.is_err() {
                    return;
                }
                feed_catalogue(&world, &mut catalogue);
            }
            _ = freshness.changed() => {
                let until = keys_until(&freshness.borrow_and_update());
                // A proof covers a revision that was put in force before the proof was evaluated, perhaps after the
                // catalogue was last passed on. It must not admit a key that this revision withdraws.
                feed_catalogue(&world, &mut catalogue);
                world.front.set_key_freshness(KeyFreshness { until });
            }
            _ = listing.changed() => feed_upstreams(&world),
            _ = fleets.changed() => feed_upstreams(&world),
        }
    }
}

fn feed_catalogue(world: &World, catalogue: &mut watch::Receiver<Option<InForce>>) {
    let in_force = catalogue.borrow_and_update().clone();
    if let Some(in_force) = in_force {
        world.front.set_catalogue(in_force.cat);
    }
}

fn keys_until(freshness: &Freshness) -> Option<std::time::Instant> {
    match freshness {
        Freshness::Fresh { until, .. } => Some(*until),
        Freshness::Stale(_) => None,
    }
}

fn feed_upstreams(world: &World) {
    let listing = world.listing.borrow().clone();
    let fleets = world.fleets.borrow().clone();
    world.front.set_upstreams(upstream_set(&listing, &fleets));
    // Published only after the serving path routes by these documents: peers rely on it to count a VM as idle.
    world.peers.set_fleet_seen(fleets.versions());
}

/// Serves callers. The listener stays open while this part is restarted.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let listener = match listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: PART, "Caller listener can't be used: {error}.");
            return;
        }
    };
    if let Err(error) = world.front.serve(listener, stop.clone()).await {
        log::error!(target: PART, "Serving of callers ended: {error}.");
        return;
    }
    // Returning early would make the supervisor restart this part after a drain.
    stop.cancelled().await;
}
