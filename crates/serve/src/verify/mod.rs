//! Invariant checks over the states of this crate, one function for each promise.
//!
//! Each function scans the whole state and reports every violation. Tests call them, and so does the owner of the
//! state in debug assertions.

use std::time::{Duration, Instant};

use goldcrest_types::breach::{Breaches, Promise};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{EntityRef, SecondaryMap, TeamId};
use goldcrest_types::units::Slots;

use crate::admission::{Admission, Phase};
use crate::dispatch::Dispatch;
use crate::routing::{EJECTED_PERCENT_MAX, Router};

/// How long an upstream may still get new requests after it was first listed as leaving.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Returns every violated invariant of one entry's state.
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

/// Checks that no team starts more requests than it may use, and that the counts equal the records.
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

/// Checks that waiting requests are within the entry's limit, in order, in phase `Waiting`, and counted.
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

/// Checks that every key of a waiting request is in the catalogue and belongs to the request's team.
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

/// Checks that no upstream got a new request later than [`LEAVING_GRACE`] after it was first listed as leaving.
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

/// Checks that at most [`EJECTED_PERCENT_MAX`] of each pool is ejected.
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
