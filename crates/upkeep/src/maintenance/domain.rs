//! Pass 5: the one data centre that may be worked on.
//!
//! A data centre with VMs in work stays the one until they are back, also for a new holder. Then the one goes next
//! that has most VMs whose work ends soon. VMs with longer work are left for a later visit: their tasks end by
//! themselves meanwhile, so few drains wait and few tasks move. The wait that is put up with, the patience, grows
//! only when nothing with a shorter one is left anywhere, or when a drain that is under way waits as long anyway.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef};

use super::{Action, Context, select};
use crate::fleet::Fleet;

/// Counts for each data centre, reused.
#[derive(Debug, Default)]
pub(super) struct Domains {
    counts: Vec<DomainCount>,
    /// The data centre that was worked on last. It is left only when none of its VMs is ready.
    last: Option<DcId>,
    /// The longest wait for work to end that a VM may have to be drained now.
    pub(super) patience: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct DomainCount {
    in_work: u32,
    ready: u32,
    /// The longest wait of a drain that is under way.
    waits: Duration,
}

/// Picks the data centre, if one may be worked on.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    ctx.domain.patience = least_patience(ctx, fleet, cat, now);
    count(ctx, fleet, cat, now);
    let counts = &ctx.domain.counts;
    ctx.status.in_work = counts.iter().map(|count| count.in_work).sum();
    let open = counts.iter().filter(|count| count.in_work > 0).count();
    let first_open = counts.iter().position(|count| count.in_work > 0);
    ctx.status.domain = match open {
        0 => next(counts, ctx.domain.last),
        1 => first_open.map(DcId::new),
        // Two holders raced: nothing new is begun until one data centre is left.
        _ => None,
    };
    ctx.domain.last = ctx.status.domain.or(ctx.domain.last);
    if let Some(open) = first_open {
        let base = ctx.health.usual_boot() / 2;
        ctx.domain.patience = base.max(ctx.domain.counts[open].waits);
    }
    if ctx.deadline.is_close {
        ctx.domain.patience = Duration::MAX;
    }
}

fn next(counts: &[DomainCount], last: Option<DcId>) -> Option<DcId> {
    let ready = counts.iter().enumerate();
    let ready = ready.filter(|(_, count)| count.ready > 0);
    let best = ready.max_by_key(|(i, count)| {
        let is_last = last == Some(DcId::new(*i));
        (is_last, count.ready, std::cmp::Reverse(*i))
    });
    best.map(|(i, _)| DcId::new(i))
}

/// Half a reboot, or the shortest wait there is if all are longer.
fn least_patience(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> Duration {
    let base = ctx.health.usual_boot() / 2;
    let ready = fleet.vms.iter().filter(|(vm, record)| {
        select::is_ready(ctx, fleet, cat, *vm, now) && select::has_headroom(ctx, cat, record)
    });
    let waits = ready.map(|(_, record)| select::wait(record, cat));
    let shortest = waits.min().unwrap_or(base);
    // A drain that cannot end in time is not begun while there is time to wait for a better moment.
    base.max(shortest.min(cat.maintenance.drain_max()))
}

fn count(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let mut counts = std::mem::take(&mut ctx.domain.counts);
    counts.clear();
    counts.resize(cat.dcs.len(), DomainCount::default());
    for (vm, record) in fleet.vms.iter() {
        let count = &mut counts[record.dc.index()];
        if record.is_in_maintenance() {
            count.in_work += 1;
            count.waits = count.waits.max(select::wait(record, cat));
        }
        let is_ready = select::is_ready(ctx, fleet, cat, vm, now)
            && select::has_headroom(ctx, cat, record)
            && select::is_turn(ctx, record, cat);
        count.ready += u32::from(is_ready);
    }
    for step in &ctx.steps {
        let record = &fleet.vms[step.vm];
        let ends = matches!(
            step.action,
            Action::Return | Action::MarkFailed | Action::Remove
        );
        let count = &mut counts[record.dc.index()];
        count.in_work -= u32::from(ends && record.is_in_maintenance());
    }
    ctx.domain.counts = counts;
}
