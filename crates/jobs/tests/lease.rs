//! What a scheduler stores of its leases, and what its successor concludes.

use std::time::{Duration, Instant};

use goldcrest_jobs::lease::{LeaseBound, expiry};
use goldcrest_jobs::pool::Bounds;

const SHORT: Duration = Duration::from_secs(3);

fn bounds(lease: Duration) -> Bounds {
    Bounds {
        lease,
        ..Bounds::default()
    }
}

#[test]
fn longest_keeps_an_inherited_lease_until_it_has_expired() {
    let (now, bounds) = (Instant::now(), bounds(SHORT));
    let stored = Some(Duration::from_secs(5));
    let bound = LeaseBound::new(&bounds).with_predecessor(stored, &bounds, now);
    assert_eq!(bound.inherited(), Duration::from_secs(5));
    // A successor of this scheduler must still count on the lease of this scheduler's predecessor.
    let expires_in = expiry(Duration::from_secs(5), &bounds);
    assert_eq!(bound.longest_ms(now + expires_in * 99 / 100), 5_000);
    assert_eq!(bound.longest_ms(now + expires_in), 3_000);
}

/// Builds without the stored bound offered idle workers more than their successors assume.
#[test]
fn inherited_lease_not_stored_is_the_longest_that_workers_grant() {
    let (now, bounds) = (Instant::now(), bounds(SHORT));
    let bound = LeaseBound::new(&bounds).with_predecessor(None, &bounds, now);
    assert_eq!(bound.inherited(), bounds.lease_max);
    // Nothing that is offered meanwhile is longer.
    assert_eq!(LeaseBound::offer(SHORT, None), SHORT);
}

#[test]
fn inherited_lease_beyond_what_workers_grant_is_cut() {
    let (now, bounds) = (Instant::now(), bounds(SHORT));
    let stored = Some(Duration::from_millis(u64::MAX));
    let bound = LeaseBound::new(&bounds).with_predecessor(stored, &bounds, now);
    assert_eq!(bound.inherited(), bounds.lease_max);
}

#[test]
fn longest_after_settings_with_a_shorter_lease() {
    let (now, before) = (Instant::now(), bounds(Duration::from_secs(5)));
    let mut bound = LeaseBound::new(&before);
    bound.set_bounds(&bounds(SHORT), now);
    assert_eq!(bound.longest_ms(now), 5_000);
    let expired_at = now + expiry(Duration::from_secs(5), &before);
    assert_eq!(bound.longest_ms(expired_at), 3_000);
}

#[test]
fn offer_is_never_longer_than_what_is_stored() {
    let stored = Some(Duration::from_secs(2));
    assert_eq!(LeaseBound::offer(SHORT, stored), Duration::from_secs(2));
    let stored = Some(Duration::from_secs(5));
    assert_eq!(LeaseBound::offer(SHORT, stored), SHORT);
}
