//! Planning of the edits that reclaim the rows of departed owners.
//!
//! One entry of each data centre, the observer, calls [`plan_reclaim`] every few seconds. It marks rows as listed, lapsed or
//! orphaned, measures how long they have been so, and reclaims them after the run bound. Any entry may act as observer
//! at any time, also several at once: the document refuses an edit that does not fit its current state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_types::names::VmName;

use super::{DcEdit, DcQuota, GoneProof, Row, RowId, RowPhase, SessionId, Waited};

/// The interval at which a waiting time is written before it is complete, so that it survives the observer.
const WAIT_WRITE_INTERVAL: Duration = Duration::from_mins(1);

/// The state outside the document by which an observer judges rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedState {
    /// The expired sessions: those of rows that the key-value service no longer has, read after the document.
    pub expired_sessions: BTreeSet<SessionId>,
    /// The VMs on the platform's list with their numbers of starts; `None` while the list can't be read.
    pub listed: Option<BTreeMap<VmName, u64>>,
}

/// The time bounds for reclaiming rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReclaimBounds {
    /// The longest time for which work admitted against a row can still run.
    pub run_max: Duration,
    /// The longest time from a VM's start until the platform's list contains it, including the age that the list has
    /// when it is passed to [`plan_reclaim`].
    pub list_lag_max: Duration,
}

/// Since when an observer has seen each row in its current state.
///
/// A state counts as seen since the call after the one that first read it: a document can be read later than the `now`
/// that is passed with it, and the row may have changed in between.
#[derive(Debug, Default)]
pub struct ReclaimContext {
    seen: BTreeMap<RowId, RowObservation>,
}

#[derive(Debug, Clone, Copy)]
struct RowObservation {
    waited: Waited,
    /// The `now` of the call after the one that first read this waiting time.
    since: Option<Instant>,
    /// The `now` of the call after the one that first read the row.
    known_since: Option<Instant>,
}

impl ReclaimContext {
    /// Creates the context of an observer that has read no document.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the rows of `doc` and forgets rows that it no longer has.
    fn observe(&mut self, doc: &DcQuota, now: Instant) {
        self.seen.retain(|id, _| doc.rows().contains_key(id));
        for (id, row) in doc.rows() {
            let waited = row.waited();
            let Some(seen) = self.seen.get_mut(id) else {
                let first = RowObservation {
                    waited,
                    since: None,
                    known_since: None,
                };
                self.seen.insert(*id, first);
                continue;
            };
            seen.known_since.get_or_insert(now);
            if seen.waited == waited {
                seen.since.get_or_insert(now);
            } else {
                seen.waited = waited;
                seen.since = None;
            }
        }
    }

    /// Returns a lower bound on the time since the row's phase or waiting time last changed.
    fn unchanged_for(&self, id: RowId, now: Instant) -> Duration {
        let since = self.seen.get(&id).and_then(|seen| seen.since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns a lower bound on the row's age, if it was read by an earlier call.
    fn known_for(&self, id: RowId, now: Instant) -> Option<Duration> {
        let since = self.seen.get(&id)?.known_since?;
        Some(now.saturating_duration_since(since))
    }
}

/// Returns the edits that are due for the rows of `doc` at `now`. Each is to be applied on its own, so that a refused
/// edit does not block the others. Each call needs a `now` and a `doc` taken after the call before.
#[must_use]
pub fn plan_reclaim(
    ctx: &mut ReclaimContext,
    doc: &DcQuota,
    observed: &ObservedState,
    bounds: ReclaimBounds,
    now: Instant,
) -> Vec<DcEdit> {
    ctx.observe(doc, now);
    let mut out = Vec::new();
    for (id, row) in doc.rows() {
        let unchanged_for = ctx.unchanged_for(*id, now);
        plan_listed(*id, row, observed, &mut out);
        if let Some(proof) = gone_proof(ctx, doc, *id, observed, bounds, now) {
            out.push(DcEdit::Orphan { row: *id, proof });
        } else if row.phase == RowPhase::Held {
            plan_lapse(*id, row, observed, &mut out);
        } else {
            plan_wait_and_reclaim(doc, *id, row, unchanged_for, bounds, &mut out);
        }
    }
    out
}

fn plan_listed(id: RowId, row: &Row, observed: &ObservedState, out: &mut Vec<DcEdit>) {
    let listed = observed.listed.as_ref();
    let is_listed = listed.is_some_and(|vms| vms.contains_key(&row.vm));
    if is_listed && !row.listed {
        out.push(DcEdit::Listed { row: id });
    }
}

fn plan_lapse(id: RowId, row: &Row, observed: &ObservedState, out: &mut Vec<DcEdit>) {
    if observed.expired_sessions.contains(&row.session) {
        let session = row.session;
        out.push(DcEdit::Lapse { row: id, session });
    }
}

/// Returns evidence that the owner of a row has departed, if there is any.
fn gone_proof(
    ctx: &ReclaimContext,
    doc: &DcQuota,
    id: RowId,
    observed: &ObservedState,
    bounds: ReclaimBounds,
    now: Instant,
) -> Option<GoneProof> {
    let row = doc.rows().get(&id)?;
    if row.phase == RowPhase::Orphaned {
        return None;
    }
    let mut later = doc
        .rows()
        .iter()
        .rev()
        .take_while(|(later, _)| **later > id);
    if let Some((later, _)) = later.find(|(_, later)| later.vm == row.vm) {
        return Some(GoneProof::Successor { row: *later });
    }
    let lag_max_ms = millis(bounds.list_lag_max);
    let is_known = ctx
        .known_for(id, now)
        .is_some_and(|known_for| known_for >= bounds.list_lag_max);
    match observed.listed.as_ref()?.get(&row.vm) {
        Some(boots) if *boots > row.boots => Some(GoneProof::Rebooted { boots: *boots }),
        None if is_known && row.can_be_off_list(lag_max_ms) => {
            Some(GoneProof::OffList { lag_max_ms })
        }
        Some(_) | None => None,
    }
}

fn plan_wait_and_reclaim(
    doc: &DcQuota,
    id: RowId,
    row: &Row,
    unchanged_for: Duration,
    bounds: ReclaimBounds,
    out: &mut Vec<DcEdit>,
) {
    let run_bound_ms = millis(bounds.run_max);
    let lag_max_ms = millis(bounds.list_lag_max);
    let by_ms = millis(unchanged_for);
    let is_lapsed = row.phase == RowPhase::Lapsed;
    let is_reclaimed = is_lapsed && doc.lent_to(id).is_zero();
    let reaches = |bound_ms| row.waited_ms < bound_ms && row.waited_ms + by_ms >= bound_ms;
    let is_needed = !is_reclaimed || !row.listed;
    let is_write_due = is_needed && unchanged_for >= WAIT_WRITE_INTERVAL;
    let is_bound_reached = !is_reclaimed && reaches(run_bound_ms);
    let is_lag_reached = is_lapsed && !row.listed && reaches(lag_max_ms);
    if is_bound_reached || is_lag_reached || is_write_due {
        let seen = row.waited();
        out.push(DcEdit::Wait {
            row: id,
            seen,
            by_ms,
        });
    }
    if !is_reclaimed && row.waited_ms + by_ms >= run_bound_ms {
        out.push(DcEdit::Reclaim {
            row: id,
            run_bound_ms,
        });
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
