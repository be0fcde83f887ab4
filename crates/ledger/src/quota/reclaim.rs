//! What an observer does about rows whose owners are gone.
//!
//! One entry of each data centre calls [`tend`] every few seconds. It marks rows as listed, lapsed or orphaned by what
//! it sees, counts how long they have been so, and reclaims them after the run bound. Any entry can do this at any
//! time, also several at once: the document refuses what does not fit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use goldcrest_types::names::VmName;

use super::{DcEdit, DcQuota, GoneProof, Row, RowId, RowPhase, SessionId, Waited};

/// How often a waiting time is written before it is complete, so that it outlives the observer.
const WAIT_WRITE_INTERVAL: Duration = Duration::from_mins(1);

/// What an observer sees besides the document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sightings {
    /// The sessions that the key-value service no longer has, read after the document.
    pub gone: BTreeSet<SessionId>,
    /// The VMs on the platform's list with how often they have started; none while it can't be read.
    pub listed: Option<BTreeMap<VmName, u64>>,
}

/// The bounds by which rows are reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReclaimBounds {
    /// The longest time that anything admitted against a row can still run.
    pub run_max: Duration,
    /// The longest time after which a started VM is on the platform's list, the age of the list as it is handed in
    /// included.
    pub list_lag_max: Duration,
}

/// Since when an observer has seen each row as it is.
///
/// What a call sees counts from the next call on: a document can be read later than the moment that goes with it, and
/// the row may have changed in between.
#[derive(Debug, Default)]
pub struct ReclaimContext {
    seen: BTreeMap<RowId, Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    waited: Waited,
    /// The call after the one that first saw the row as it is.
    since: Option<Instant>,
    /// The call after the one that first saw the row at all.
    known_since: Option<Instant>,
}

impl ReclaimContext {
    /// Nothing seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the rows of `doc`.
    fn note(&mut self, doc: &DcQuota, now: Instant) {
        self.seen.retain(|id, _| doc.rows().contains_key(id));
        for (id, row) in doc.rows() {
            let waited = row.waited();
            let Some(seen) = self.seen.get_mut(id) else {
                let first = Seen {
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

    /// For how long the row has been as it is, for certain.
    fn measured(&self, id: RowId, now: Instant) -> Duration {
        let since = self.seen.get(&id).and_then(|seen| seen.since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// For how long the row has been there, for certain.
    fn known(&self, id: RowId, now: Instant) -> Option<Duration> {
        let since = self.seen.get(&id)?.known_since?;
        Some(now.saturating_duration_since(since))
    }
}

/// The edits that rows of `doc` are due for at `now`, each to be applied by itself: one that is refused holds back no
/// other. Calls are made one after the other, each with a `now` and a `doc` taken after the call before.
#[must_use]
pub fn tend(
    ctx: &mut ReclaimContext,
    doc: &DcQuota,
    sightings: &Sightings,
    bounds: ReclaimBounds,
    now: Instant,
) -> Vec<DcEdit> {
    ctx.note(doc, now);
    let mut out = Vec::new();
    for (id, row) in doc.rows() {
        let measured = ctx.measured(*id, now);
        tend_listing(*id, row, sightings, &mut out);
        if let Some(proof) = gone_proof(ctx, doc, *id, sightings, bounds, now) {
            out.push(DcEdit::Orphan { row: *id, proof });
        } else if row.phase == RowPhase::Held {
            tend_session(*id, row, sightings, &mut out);
        } else {
            tend_wait(doc, *id, row, measured, bounds, &mut out);
        }
    }
    out
}

fn tend_listing(id: RowId, row: &Row, sightings: &Sightings, out: &mut Vec<DcEdit>) {
    let listed = sightings.listed.as_ref();
    let is_listed = listed.is_some_and(|vms| vms.contains_key(&row.vm));
    if is_listed && !row.listed {
        out.push(DcEdit::Listed { row: id });
    }
}

fn tend_session(id: RowId, row: &Row, sightings: &Sightings, out: &mut Vec<DcEdit>) {
    if sightings.gone.contains(&row.session) {
        let session = row.session;
        out.push(DcEdit::Lapse { row: id, session });
    }
}

/// What shows that the owner of a row is gone, if anything does.
fn gone_proof(
    ctx: &ReclaimContext,
    doc: &DcQuota,
    id: RowId,
    sightings: &Sightings,
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
        .known(id, now)
        .is_some_and(|known| known >= bounds.list_lag_max);
    match sightings.listed.as_ref()?.get(&row.vm) {
        Some(boots) if *boots > row.boots => Some(GoneProof::Rebooted { boots: *boots }),
        None if is_known && row.can_be_off_list(lag_max_ms) => {
            Some(GoneProof::OffList { lag_max_ms })
        }
        Some(_) | None => None,
    }
}

fn tend_wait(
    doc: &DcQuota,
    id: RowId,
    row: &Row,
    measured: Duration,
    bounds: ReclaimBounds,
    out: &mut Vec<DcEdit>,
) {
    let run_bound_ms = millis(bounds.run_max);
    let lag_max_ms = millis(bounds.list_lag_max);
    let by_ms = millis(measured);
    let is_lapsed = row.phase == RowPhase::Lapsed;
    let is_reclaimed = is_lapsed && doc.lent_to(id).is_zero();
    let reaches = |bound_ms| row.waited_ms < bound_ms && row.waited_ms + by_ms >= bound_ms;
    let is_needed = !is_reclaimed || !row.listed;
    let is_write_due = is_needed && measured >= WAIT_WRITE_INTERVAL;
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
