//! The serving path's place in the process: what it is fed with, and its listener.

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

/// Hands every change of what the process knows to the serving path.
pub async fn feed(world: Arc<World>, stop: CancellationToken) {
    let mut catalogue = world.catalogue.subscribe();
    let mut freshness = world.freshness.subscribe();
    let mut listing = world.listing.subscribe();
    let mut fleets = world.fleets.subscribe();
    // What was there before the subscription counts as a change.
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
                // A proof is for a revision that was put in force before it was weighed, perhaps since the last look: a
                // key that it withdraws must not be taken by that proof.
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
    // Only now is it true that this entry sends work by these documents.
    world.peers.set_fleet_seen(fleets.versions());
}

/// Serves callers. The listener stays open while this part is restarted.
pub async fn serve(world: Arc<World>, listener: Arc<StdListener>, stop: CancellationToken) {
    let listener = match listener.try_clone().and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: PART, "The listener can't be used: {error}.");
            return;
        }
    };
    if let Err(error) = world.front.serve(listener, stop.clone()).await {
        log::error!(target: PART, "Serving ended: {error}.");
        return;
    }
    // After a drain the process stops; this part has nothing left to do until then.
    stop.cancelled().await;
}
