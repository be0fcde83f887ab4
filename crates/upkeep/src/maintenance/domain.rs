//! Pass 5: picks the one data centre in which VMs may be taken out of service.
//!
//! A data centre with VMs in maintenance stays selected until they have returned, also for a new holder. The last one
//! is kept while any of its VMs is ready; then the one with the most ready VMs follows. VMs with longer work are left
//! for a later visit: their tasks end by themselves meanwhile, so few drains wait and few tasks move. The longest
//! accepted wait, `wait_max`, grows only when no VM with a shorter one is left anywhere, or when a drain in progress
//! waits as long anyway.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef};

use super::{Action, Context, select};
use crate::fleet::Fleet;

/// State of the pass: counts for each data centre, reused between plans, and the current choice.
#[derive(Debug, Default)]
pub(super) struct Domains {
    counts: Vec<DomainCount>,
    /// The data centre selected last. Another one follows only when none of its VMs is ready.
    last: Option<DcId>,
    /// A VM is drained now only if the expected wait for its work is at most this long.
    pub(super) wait_max: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct DomainCount {
    in_work: u32,
    ready: u32,
    /// The longest expected wait among the drains in progress.
    longest_wait: Duration,
}

/// Sets the data centre of the wave, if VMs of one may be drained, and the longest accepted wait.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    ctx.domain.wait_max = base_wait_max(ctx, fleet, cat, now);
    count(ctx, fleet, cat, now);
    let counts = &ctx.domain.counts;
    ctx.status.in_work = counts.iter().map(|count| count.in_work).sum();
    let open = counts.iter().filter(|count| count.in_work > 0).count();
    let first_open = counts.iter().position(|count| count.in_work > 0);
    ctx.status.domain = match open {
        0 => next(counts, ctx.domain.last),
        1 => first_open.map(DcId::new),
        // Two holders raced: no drain begins until only one data centre has VMs in maintenance.
        _ => None,
    };
    ctx.domain.last = ctx.status.domain.or(ctx.domain.last);
    if let Some(open) = first_open {
        let base = ctx.health.reboot_estimate() / 2;
        ctx.domain.wait_max = base.max(ctx.domain.counts[open].longest_wait);
    }
    if ctx.deadline.is_close {
        ctx.domain.wait_max = Duration::MAX;
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

/// Returns half a reboot time, or the shortest wait of any ready VM (capped at the longest drain) if that is longer.
fn base_wait_max(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> Duration {
    let base = ctx.health.reboot_estimate() / 2;
    let ready = fleet.vms.iter().filter(|(vm, record)| {
        select::is_ready(ctx, fleet, cat, *vm, now) && select::has_headroom(ctx, cat, record)
    });
    let waits = ready.map(|(_, record)| select::wait(record, cat));
    let shortest = waits.min().unwrap_or(base);
    // A drain that would time out does not begin unless the deadline is close (see `run`).
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
            count.longest_wait = count.longest_wait.max(select::wait(record, cat));
        }
        let is_ready = select::is_ready(ctx, fleet, cat, vm, now)
            && select::has_headroom(ctx, cat, record)
            && select::is_wait_acceptable(ctx, record, cat);
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
