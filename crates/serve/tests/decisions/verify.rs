//! The invariant checks report a state that violates them.

use std::time::Duration;

use goldcrest_serve::admission::{Admission, AdmissionCfg, AdmissionRequest};
use goldcrest_serve::routing::{Router, UpstreamSet};
use goldcrest_serve::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::units::Slots;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::{CATALOGUE, Fixture, cat, grants, upstream};

#[test]
fn leaving_upstream_late_work_is_found() {
    let f = Fixture::new();
    let cat = cat(CATALOGUE, 1);
    let mut router = Router::new("dc1".parse().expect("a name"));
    let mut set = UpstreamSet {
        upstreams: vec![upstream(0, "dc1")],
    };
    router.set_upstreams(&set, &cat, f.now);
    let pool = cat.pool("web").expect("a pool");
    // A pick dated 9 s after the upstream is listed as leaving simulates a router that missed that listing.
    let late = f.now + Duration::from_secs(9);
    let mut rng = SmallRng::seed_from_u64(1);
    assert!(
        router
            .pick(pool, Slots::new(9), None, late, &mut rng)
            .is_some()
    );
    set.upstreams[0].leaving = true;
    router.set_upstreams(&set, &cat, f.now);
    let mut found = Breaches::new();
    verify::leaving_upstream(&router, &mut found);
    assert_eq!(found.iter().count(), 1, "{found}");
}

#[test]
fn key_authority_foreign_catalogue_is_found() {
    let digest = goldcrest_types::key::KeyDigest::of("secret");
    let text = format!("{CATALOGUE}keys: [{{name: k, team: desk, digest: \"{digest}\"}}]\n");
    let (keyed, bare) = (cat(&text, 1), cat(CATALOGUE, 2));
    let now = std::time::Instant::now();
    let mut admission = Admission::new(AdmissionCfg {
        running_max: Slots::new(0),
        waiting_max: Slots::new(9),
    });
    let mut dequeued = Vec::new();
    admission.set_catalogue(None, &keyed, &mut dequeued);
    admission.set_grants(grants(9, 9, 0, None), &keyed);
    admission.set_keys_fresh_until(Some(now + Duration::from_secs(9)));
    admission.set_in_service(keyed.pool("web").expect("a pool"), 1);
    let request = AdmissionRequest {
        queue: keyed.queue("merge").expect("a queue"),
        team: keyed.team("desk").expect("a team"),
        key: keyed.key("secret"),
        deadline: now + Duration::from_secs(9),
    };
    admission.offer(&request, now, &mut dequeued);
    let mut found = Breaches::new();
    verify::key_authority(&admission, &keyed, &mut found);
    assert!(found.is_empty(), "{found}");
    verify::key_authority(&admission, &bare, &mut found);
    assert_eq!(found.iter().count(), 1, "{found}");
}
