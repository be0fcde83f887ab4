//! Pass 5: the one data centre that may be worked on.
//!
//! A data centre with VMs in work stays the one until they are back. Then one that is partly done goes before an
//! untouched one, so that after a crash the new holder goes on in the same place.

use std::time::Instant;

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef};

use super::{Action, Context, select};
use crate::fleet::Fleet;

/// Counts for each data centre, reused.
#[derive(Debug, Default)]
pub(super) struct Domains {
    counts: Vec<DomainCount>,
    /// Whether only VMs with long tasks are left anywhere.
    pub(super) only_long: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct DomainCount {
    in_work: u32,
    ready: u32,
    done: u32,
}

/// Picks the data centre, if one may be worked on.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let only_long = !has_short(ctx, fleet, cat, now);
    ctx.domain.only_long = only_long;
    count(ctx, fleet, cat, now);
    let counts = &ctx.domain.counts;
    ctx.status.in_work = counts.iter().map(|count| count.in_work).sum();
    let open = counts.iter().filter(|count| count.in_work > 0).count();
    let first_open = counts.iter().position(|count| count.in_work > 0);
    ctx.status.domain = match open {
        0 => next(counts),
        1 => first_open.map(DcId::new),
        // Two holders raced: nothing new is begun until one data centre is left.
        _ => None,
    };
}

fn next(counts: &[DomainCount]) -> Option<DcId> {
    let ready = counts
        .iter()
        .enumerate()
        .filter(|(_, count)| count.ready > 0);
    let best = ready.max_by_key(|(i, count)| (count.done > 0, std::cmp::Reverse(*i)));
    best.map(|(i, _)| DcId::new(i))
}

fn has_short(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> bool {
    let mut all = fleet.vms.iter();
    all.any(|(vm, _)| {
        select::is_ready(ctx, fleet, cat, vm, now) && !select::is_long(&fleet.vms[vm], cat)
    })
}

fn count(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let mut counts = std::mem::take(&mut ctx.domain.counts);
    counts.clear();
    counts.resize(cat.dcs.len(), DomainCount::default());
    for (vm, record) in fleet.vms.iter() {
        let count = &mut counts[record.dc.index()];
        count.in_work += u32::from(record.is_in_maintenance());
        count.done += u32::from(record.maintained_cycle >= fleet.cycle.number);
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
