//! The promises over the states of this crate, one function each.
//!
//! Each function goes over the whole state and reports every broken invariant. They are called in tests, and as a
//! debug assertion by whoever holds the state.

use std::time::{Duration, Instant};

use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{EntityRef, SecondaryMap, TeamId};
use goldcrest_types::units::Slots;

use crate::admission::{Admission, Phase};
use crate::dispatch::Dispatch;
use crate::routing::{EJECTED_PERCENT_MAX, Router};

/// A leaving upstream may get new work for this long after its first sign.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Every broken invariant of one entry's decisions.
#[must_use]
pub fn all(dispatch: &Dispatch, now: Instant) -> Breaches {
    let mut found = Breaches::new();
    upper_limit(dispatch.admission(), &mut found);
    bounds(dispatch.admission(), &mut found);
    leaving_upstream(dispatch.router(), &mut found);
    ejected_share(dispatch.router(), now, &mut found);
    if let Some(cat) = dispatch.catalogue() {
        key_authority(dispatch.admission(), cat, &mut found);
    }
    found
}

/// No team starts more than it may use, and the sums equal the records.
pub fn upper_limit(admission: &Admission, found: &mut Breaches) {
    let mut running: SecondaryMap<TeamId, u32> = SecondaryMap::new();
    let mut total = 0;
    for (id, work) in admission.works() {
        let Phase::Running {
            team_running,
            team_usable,
            ..
        } = work.phase
        else {
            continue;
        };
        total += 1;
        let Some(lane) = admission.lane_of(id) else {
            continue;
        };
        running[lane.team] += 1;
        if team_running > team_usable {
            let detail = format!(
                "{}: started {team_running}, usable {team_usable}",
                lane.team
            );
            found.push(Promise::UpperLimit, detail);
        }
    }
    for (team, count) in running.iter() {
        let counted = admission.team_state(team).running;
        if counted != *count {
            let detail = format!("{team}: {count} running, counted {counted}");
            found.push(Promise::UpperLimit, detail);
        }
    }
    if total != admission.running() {
        let counted = admission.running();
        let detail = format!("entry: {total} running, counted {counted}");
        found.push(Promise::UpperLimit, detail);
    }
}

/// What waits and runs stays within the bounds of the entry and its lanes, and waits in order.
pub fn bounds(admission: &Admission, found: &mut Breaches) {
    let cfg = admission.cfg();
    if Slots::new(admission.waiting()) > cfg.waiting_max {
        let detail = format!(
            "entry: {} waiting, bound {}",
            admission.waiting(),
            cfg.waiting_max
        );
        found.push(Promise::TrueRefusal, detail);
    }
    let mut waiting = 0;
    for (id, lane) in admission.lanes() {
        waiting += lane.waiting_len();
        if !lane.waiting.is_sorted_by(|a, b| a >= b) {
            found.push(Promise::TrueRefusal, format!("{id}: waits out of order"));
        }
        for item in &lane.waiting {
            let phase = admission.work(item.work).map(|work| work.phase);
            if phase != Some(Phase::Waiting) {
                let detail = format!("{id}: lists {:?} which is {phase:?}", item.work);
                found.push(Promise::TrueRefusal, detail);
            }
        }
    }
    if waiting != admission.waiting() {
        let detail = format!("entry: {waiting} waiting, counted {}", admission.waiting());
        found.push(Promise::TrueRefusal, detail);
    }
}

/// No request waits for a team other than its key's, and none with a key that the catalogue lacks.
pub fn key_authority(admission: &Admission, cat: &Catalogue, found: &mut Breaches) {
    for (id, work) in admission.works() {
        let (Some(key), Some(lane)) = (work.key, admission.lane_of(id)) else {
            continue;
        };
        let team = cat.keys.get(key).map(|key| key.team);
        if work.phase == Phase::Waiting && team != Some(lane.team) {
            let detail = format!("{id:?}: waits for {}, {key} is of {team:?}", lane.team);
            found.push(Promise::KeyAuthority, detail);
        }
    }
}

/// No upstream got new work after it had been leaving for [`LEAVING_GRACE`].
pub fn leaving_upstream(router: &Router, found: &mut Breaches) {
    for (id, upstream) in router.iter() {
        let Some((since, pick)) = upstream.leaving_since().zip(upstream.last_pick()) else {
            continue;
        };
        if pick > since + LEAVING_GRACE {
            let late = pick - since;
            let detail = format!("{id} ({}): got work {late:?} after", upstream.spec.vm);
            found.push(Promise::LeavingUpstream, detail);
        }
    }
}

/// No more of a pool is ejected than may be.
pub fn ejected_share(router: &Router, now: Instant, found: &mut Breaches) {
    for pool in router.pool_ids() {
        let present = router.pool(pool).count();
        let is_ejected = |upstream: &crate::routing::Upstream| {
            upstream.state(now) == crate::routing::UpstreamState::Ejected
        };
        let ejected = router.pool(pool).filter(|(_, u)| is_ejected(u)).count();
        if ejected * 100 > present * EJECTED_PERCENT_MAX && present > 0 {
            let index = pool.index();
            let detail = format!("pool{index}: {ejected} of {present} upstreams ejected");
            found.push(Promise::AvailabilityBudget, detail);
        }
    }
}
