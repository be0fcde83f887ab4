//! The catalogue in force, and the proof that it is fresh.
//!
//! The session's follower holds the catalogue head; its revision never decreases. [`exchange`] passes heads and proofs
//! between the follower and the peers, puts each new head in force in this process, and evaluates the proofs that no
//! edit was missed.

use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::Head;
use goldcrest_ledger::freshness::{Bound, Evidence, evaluate};
use goldcrest_obs::logs::Part;
use goldcrest_peer::message::CatalogueCopy;
use goldcrest_peer::peers::OwnView;
use goldcrest_session::HeadCopy;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::world::{InForce, World};

const PART: &str = Part::Catalogue.as_str();

/// How often the proofs are evaluated when nothing has changed.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the catalogue head in the key-value service.
pub async fn follow(world: Arc<World>, stop: CancellationToken) {
    world.follower.clone().run(stop).await;
}

/// Passes heads and proofs between the follower and the peers.
pub async fn exchange(world: Arc<World>, stop: CancellationToken) {
    let mut heads = world.follower.head();
    let mut relayed = world.peers.catalogue();
    let mut is_relay = world.peers.is_relay();
    heads.mark_changed();
    relayed.mark_changed();
    is_relay.mark_changed();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = heads.changed() => {
                let head = heads.borrow_and_update().clone();
                install_head(&world, head.as_ref());
            }
            _ = relayed.changed() => {
                let copy = relayed.borrow_and_update().clone();
                adopt_copy(&world, copy.as_ref());
            }
            _ = is_relay.changed() => {
                let is_relay = *is_relay.borrow_and_update();
                world.follower.set_watcher(is_relay);
            }
            () = sleep(EVALUATION_INTERVAL) => {}
        }
        evaluate_proofs(&world);
    }
}

/// Puts the follower's head in force here and offers it to the peers.
pub fn install_head(world: &World, head: Option<&HeadCopy>) {
    let Some(head) = head else {
        return;
    };
    if head.revision() > world.revision() {
        put_in_force(world, head);
    }
    world.peers.offer_catalogue(CatalogueCopy {
        revision: head.revision(),
        version: head.version,
        head: head.bytes.clone(),
    });
}

fn put_in_force(world: &World, head: &HeadCopy) {
    let spec = match Head::decode(&head.bytes) {
        Ok(decoded) => Arc::new(decoded.spec().clone()),
        Err(error) => {
            log::error!(target: PART, "Catalogue head can't be decoded; the catalogue in force stays: {error}.");
            return;
        }
    };
    let cat = Arc::clone(&head.catalogue);
    world.catalogue.send_if_modified(|held| {
        let is_newer = held
            .as_ref()
            .is_none_or(|held| held.cat.revision() < cat.revision());
        if is_newer {
            *held = Some(InForce { spec, cat });
        }
        is_newer
    });
}

fn adopt_copy(world: &World, copy: Option<&CatalogueCopy>) {
    let Some(copy) = copy else {
        return;
    };
    if let Err(error) = world.follower.adopt(&copy.head, copy.version) {
        log::error!(target: PART, "Catalogue relayed by a peer was refused: {error}.");
    }
}

/// Publishes this entry's revision and proof to the peers, and determines until when requests with keys may be
/// admitted.
fn evaluate_proofs(world: &World) {
    let revision = world.revision();
    world.peers.set_own_view(OwnView {
        revision,
        proof: world.follower.proof(),
        no_contact: world.follower.no_contact(),
    });
    let evidence = evidence(world);
    world.follower.record_peer_proof(evidence.peer);
    let freshness = evaluate(&evidence, bound(world), world.now());
    world.freshness.send_if_modified(|held| {
        let is_new = *held != freshness;
        *held = freshness;
        is_new
    });
}

fn bound(world: &World) -> Bound {
    Bound {
        age_max: world.settings.store.key_freshness(),
        ..Bound::DEFAULT
    }
}

/// Returns the proofs of this entry and its peers in the form that the ledger evaluates.
fn evidence(world: &World) -> Evidence {
    let own = world.follower.proof();
    match world.cat() {
        Some(cat) => world.peers.evidence().weighed_with(&cat, own),
        None => Evidence {
            own,
            ..Evidence::default()
        },
    }
}
