//! Pass 3: failures slow or stop the wave.
//!
//! One VM that does not come back narrows the wave to the size of the first batch until some more have come back
//! well. As many as the catalogue names stop it. It goes on by itself, with a first batch again, once they have
//! recovered or after a pause that doubles each time.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef};

use super::{Action, Context, Hold, LIST_LAG_MAX, Reason, Step, dcs};
use crate::fleet::{Fleet, Seen, VmState};

/// The first pause after a stop.
pub const PAUSE_MIN: Duration = Duration::from_mins(30);

/// The longest pause after a stop.
pub const PAUSE_MAX: Duration = Duration::from_hours(8);

/// How many VMs must come back well after a single failure before the wave widens again.
pub const CLEAR_AFTER_VMS: u32 = 5;

/// How long a reboot is taken to last before one was seen.
pub const BOOT_GUESS: Duration = Duration::from_mins(2);

/// How many times the usual reboot a VM may take before it is overdue.
pub const OVERDUE_FACTOR: u32 = 2;

/// How long VMs that fail on their own are counted together.
pub const TOGETHER_WINDOW: Duration = Duration::from_mins(10);

/// How many VMs of one data centre that fail on their own within the window hold the wave.
pub const TOGETHER_VMS: u32 = 3;

/// The part of a data centre's VMs that must have failed on their own for it to be down, in percent.
pub const DOWN_PERCENT: u32 = 25;

/// How wide a wave goes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pace {
    /// A first batch.
    #[default]
    FirstBatch,
    /// As wide as the budgets allow.
    Wide,
    /// No wider than a first batch, since a VM did not come back.
    Slow,
    /// No further VM.
    Stopped,
}

/// What the context remembers of failures.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Failed VMs that no longer count, since the wave has gone on after them.
    forgiven: u32,
    /// VMs that came back well since the last failure.
    well_since: u32,
    /// VMs that came back well since the batch began.
    well_in_batch: u32,
    /// Whether a batch must be verified anew.
    needs_batch: bool,
    failed_before: u32,
    stopped_until: Option<Instant>,
    pause: Option<Duration>,
    lost: Vec<(Instant, DcId)>,
    /// VMs of each data centre that failed on their own, and all of them, reused.
    down: Vec<(u32, u32)>,
    /// The longest reboot of late.
    usual: Option<Duration>,
}

impl Health {
    /// Notes that a VM came back well.
    pub(super) fn verified(&mut self) {
        self.well_since += 1;
        self.well_in_batch += 1;
    }

    /// Notes how long a reboot took. The longest fades by a part with each shorter one.
    pub(super) fn booted(&mut self, took: Duration) {
        let faded = self.usual.map_or(took, |usual| usual * 15 / 16);
        self.usual = Some(faded.max(took));
    }

    /// Notes that a serving VM was lost on its own.
    pub(super) fn lost(&mut self, dc: DcId, now: Instant) {
        self.lost.push((now, dc));
    }

    /// How long a reboot takes at most, going by those of late.
    pub(super) fn usual_boot(&self) -> Duration {
        self.usual.unwrap_or(BOOT_GUESS)
    }

    fn begin_batch(&mut self) {
        self.needs_batch = true;
        self.well_in_batch = 0;
    }

    fn stop(&mut self, now: Instant) {
        let pause = self.pause.map_or(PAUSE_MIN, |last| last * 2).min(PAUSE_MAX);
        self.pause = Some(pause);
        self.stopped_until = Some(now + pause);
    }

    fn resume(&mut self, failed: u32) {
        self.stopped_until = None;
        self.forgiven = failed;
        self.begin_batch();
    }
}

/// Sets the pace and holds the wave where failures demand it.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let failed = failed_in_wave(ctx, fleet);
    ctx.status.failed = failed;
    let is_verified = |step: &&Step| matches!(step.reason, Reason::Verified { .. });
    let verified_now = ctx.steps.iter().filter(is_verified).count();
    let verified_now = u32::try_from(verified_now).unwrap_or(u32::MAX);
    let counts = Counts {
        failed,
        verified_now,
    };
    ctx.status.pace = pace(&mut ctx.health, fleet, cat, counts, now);
    if ctx.status.pace == Pace::Stopped {
        let until = ctx.health.stopped_until.unwrap_or(now);
        let resumes_in = until.saturating_duration_since(now);
        ctx.status.hold = Some(Hold::FailedInWave { failed, resumes_in });
        return_draining(ctx, fleet);
    }
    if !cat.maintenance.enabled {
        ctx.status.hold = Some(Hold::Disabled);
        return_draining(ctx, fleet);
    }
    if ctx.status.hold.is_none() {
        ctx.status.hold = overdue(ctx, fleet, cat, now);
    }
    if ctx.status.hold.is_none() {
        ctx.status.hold = outage(ctx, cat, now);
    }
}

fn failed_in_wave(ctx: &Context, fleet: &Fleet) -> u32 {
    let stored = fleet.vms.values();
    let stored = stored.filter(|vm| vm.state == VmState::Failed && vm.permit);
    let stored = u32::try_from(stored.count()).unwrap_or(u32::MAX);
    let mut failed = stored;
    for step in &ctx.steps {
        let vm = &fleet.vms[step.vm];
        match step.action {
            Action::MarkFailed if vm.permit => failed += 1,
            Action::Return | Action::Remove if vm.permit && vm.state == VmState::Failed => {
                failed -= 1;
            }
            _ => {}
        }
    }
    failed
}

/// What one plan has counted.
#[derive(Debug, Clone, Copy)]
struct Counts {
    /// VMs that are out since they did not come back from the wave.
    failed: u32,
    /// VMs that this very plan returns after their reboot.
    verified_now: u32,
}

fn pace(health: &mut Health, fleet: &Fleet, cat: &Catalogue, counts: Counts, now: Instant) -> Pace {
    let Counts {
        failed,
        verified_now,
    } = counts;
    if failed > health.failed_before {
        health.well_since = 0;
    }
    health.failed_before = failed;
    health.forgiven = health.forgiven.min(failed);
    if let Some(until) = health.stopped_until {
        if failed > 0 && now < until {
            return Pace::Stopped;
        }
        health.resume(failed);
    }
    let counted = failed - health.forgiven;
    let batch = cat.maintenance.first_batch_vms.get();
    let in_batch = is_in_batch(health, fleet, batch, verified_now);
    let stop_after = cat.maintenance.stop_after_failed_vms.get().max(1);
    if counted >= stop_after || (in_batch && counted > 0) {
        health.stop(now);
        return Pace::Stopped;
    }
    if in_batch {
        return Pace::FirstBatch;
    }
    if counted == 0 {
        health.needs_batch = false;
        health.pause = None;
        return Pace::Wide;
    }
    if health.well_since >= CLEAR_AFTER_VMS {
        health.forgiven = failed;
        return Pace::Wide;
    }
    Pace::Slow
}

/// Whether a first batch is still to be verified: at the start of a cycle, and after a stop.
fn is_in_batch(health: &Health, fleet: &Fleet, batch: u32, verified_now: u32) -> bool {
    if health.needs_batch {
        return health.well_in_batch < batch;
    }
    let number = fleet.cycle.number;
    let done = fleet.vms.values();
    let done = done.filter(|vm| vm.state != VmState::Gone && vm.maintained_cycle >= number);
    done.take(batch as usize).count() + (verified_now as usize) < batch as usize
}

/// Gives back every VM that only drains: the wave does not go on.
fn return_draining(ctx: &mut Context, fleet: &Fleet) {
    for (vm, record) in fleet.vms.iter() {
        let is_draining = record.state == VmState::Draining && record.permit;
        if is_draining && record.seen == Seen::Live && !ctx.decided[vm] {
            let step = Step {
                vm,
                action: Action::Return,
                reason: Reason::WaveStopped,
            };
            ctx.emit(fleet, step);
        }
    }
}

/// Whether so many VMs are late from their reboot that they are likely to fail together.
fn overdue(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> Option<Hold> {
    let usual = ctx.health.usual?;
    let bound = usual * OVERDUE_FACTOR + LIST_LAG_MAX;
    let late = fleet.vms.iter().filter(|(id, vm)| {
        let waited = now.saturating_duration_since(vm.since);
        vm.state == VmState::Rebooting && waited > bound && !ctx.decided[*id]
    });
    let vms = u32::try_from(late.count()).unwrap_or(u32::MAX);
    let stop_after = cat.maintenance.stop_after_failed_vms.get().max(1);
    (vms >= stop_after).then_some(Hold::Overdue { vms, usual })
}

/// Whether VMs that failed on their own hold the wave.
fn outage(ctx: &mut Context, cat: &Catalogue, now: Instant) -> Option<Hold> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < TOGETHER_WINDOW;
    ctx.health.lost.retain(|(at, _)| is_recent(*at));
    count_down(ctx, cat);
    for dc in dcs(cat) {
        let lost = ctx.health.lost.iter().filter(|(_, other)| *other == dc);
        let failed = u32::try_from(lost.count()).unwrap_or(u32::MAX);
        if failed >= TOGETHER_VMS {
            return Some(Hold::FailedTogether { dc, failed });
        }
        let (failed, vms) = ctx.health.down[dc.index()];
        if failed >= TOGETHER_VMS && failed * 100 >= vms * DOWN_PERCENT {
            return Some(Hold::DomainDown { dc, failed, vms });
        }
    }
    None
}

fn count_down(ctx: &mut Context, cat: &Catalogue) {
    let down = &mut ctx.health.down;
    down.clear();
    down.resize(cat.dcs.len(), (0, 0));
    for (group, count) in ctx.census.iter() {
        let (failed, vms) = &mut down[group.dc.index()];
        *failed += count.failed_alone;
        *vms += count.vms;
    }
}
