//! Pass 3: narrows or stops the wave after failures.
//!
//! One VM that does not come back narrows the wave to the size of the first batch until [`CLEAR_AFTER_VMS`] more VMs
//! are verified. `stop_after_failed_vms` of the catalogue stop it, or one in a first batch. It resumes by itself, with
//! a first batch again, once they have recovered or after a pause that doubles with each stop.

use std::time::{Duration, Instant};

use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::{DcId, EntityRef};

use super::{Action, Context, Hold, LIST_LAG_MAX, Reason, Step, dcs};
use crate::fleet::{Fleet, Seen, VmState};

/// The first pause after a stop.
pub const PAUSE_MIN: Duration = Duration::from_mins(30);

/// The longest pause after a stop.
pub const PAUSE_MAX: Duration = Duration::from_hours(8);

/// Number of VMs that must be verified after the last failure before the wave widens again.
pub const CLEAR_AFTER_VMS: u32 = 5;

/// Reboot time assumed until one has been measured.
pub const REBOOT_TIME_DEFAULT: Duration = Duration::from_mins(2);

/// A reboot is overdue after this many times the recent reboot time, plus the lag of the list.
pub const OVERDUE_FACTOR: u32 = 2;

/// Time window in which failures outside the wave count as correlated.
pub const CORRELATED_FAILURE_WINDOW: Duration = Duration::from_mins(10);

/// Number of VMs of one data centre that must fail outside the wave within the window to hold the wave.
pub const CORRELATED_FAILURE_VMS: u32 = 3;

/// Share of a data centre's VMs, in percent, that must have failed outside the wave for it to count as down.
pub const DOWN_PERCENT: u32 = 25;

/// How many VMs a wave may have out of service at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WaveWidth {
    /// At most `first_batch_vms`, until that many are verified in this cycle or since the last stop.
    #[default]
    FirstBatch,
    /// As many as the availability budgets allow.
    Wide,
    /// At most `first_batch_vms`, since a VM did not come back.
    Slow,
    /// None, since VMs did not come back.
    Stopped,
}

/// Failure and recovery history; lost with the context.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Number of failed VMs that no longer count, since the wave has resumed or widened after they failed.
    ignored_failed: u32,
    /// VMs verified since the last failure.
    verified_since_failure: u32,
    /// VMs verified since the current first batch began.
    verified_in_batch: u32,
    /// Whether a first batch must be verified again after a stop.
    needs_batch: bool,
    failed_before: u32,
    stopped_until: Option<Instant>,
    pause: Option<Duration>,
    lost: Vec<(Instant, DcId)>,
    /// For each data centre, its VMs that failed outside the wave and all its VMs. Reused between plans.
    down: Vec<(u32, u32)>,
    /// Decaying maximum of the recent reboot times; none until a reboot has been measured.
    reboot_time: Option<Duration>,
}

impl Health {
    pub(super) fn verified(&mut self) {
        self.verified_since_failure += 1;
        self.verified_in_batch += 1;
    }

    /// Updates the decaying maximum of reboot times: each shorter reboot lowers it by a sixteenth.
    pub(super) fn record_reboot(&mut self, took: Duration) {
        let faded = self
            .reboot_time
            .map_or(took, |reboot_time| reboot_time * 15 / 16);
        self.reboot_time = Some(faded.max(took));
    }

    /// Records the failure of a VM that was serving, outside the wave.
    pub(super) fn lost(&mut self, dc: DcId, now: Instant) {
        self.lost.push((now, dc));
    }

    /// Returns an upper estimate of the reboot time from recent reboots, or [`REBOOT_TIME_DEFAULT`] before the first.
    pub(super) fn reboot_estimate(&self) -> Duration {
        self.reboot_time.unwrap_or(REBOOT_TIME_DEFAULT)
    }

    fn begin_batch(&mut self) {
        self.needs_batch = true;
        self.verified_in_batch = 0;
    }

    fn stop(&mut self, now: Instant) {
        let pause = self.pause.map_or(PAUSE_MIN, |last| last * 2).min(PAUSE_MAX);
        self.pause = Some(pause);
        self.stopped_until = Some(now + pause);
    }

    fn resume(&mut self, failed: u32) {
        self.stopped_until = None;
        self.ignored_failed = failed;
        self.begin_batch();
    }
}

/// Sets the width of the wave, and holds it after failures or while maintenance is switched off.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue, now: Instant) {
    let failed = failed_in_wave(ctx, fleet);
    ctx.status.failed = failed;
    let is_verified = |step: &&Step| matches!(step.reason, Reason::Verified { .. });
    let verified_in_plan = ctx.steps.iter().filter(is_verified).count();
    let verified_in_plan = u32::try_from(verified_in_plan).unwrap_or(u32::MAX);
    let counts = Counts {
        failed,
        verified_in_plan,
    };
    ctx.status.width = width(&mut ctx.health, fleet, cat, counts, now);
    if ctx.status.width == WaveWidth::Stopped {
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

/// Counts of one plan.
#[derive(Debug, Clone, Copy)]
struct Counts {
    /// VMs out of service because they failed while the wave had them.
    failed: u32,
    /// VMs that this plan returns after a verified reboot.
    verified_in_plan: u32,
}

fn width(
    health: &mut Health,
    fleet: &Fleet,
    cat: &Catalogue,
    counts: Counts,
    now: Instant,
) -> WaveWidth {
    let Counts {
        failed,
        verified_in_plan,
    } = counts;
    if failed > health.failed_before {
        health.verified_since_failure = 0;
    }
    health.failed_before = failed;
    health.ignored_failed = health.ignored_failed.min(failed);
    if let Some(until) = health.stopped_until {
        if failed > 0 && now < until {
            return WaveWidth::Stopped;
        }
        health.resume(failed);
    }
    let counted = failed - health.ignored_failed;
    let batch = cat.maintenance.first_batch_vms.get();
    let in_batch = is_in_batch(health, fleet, batch, verified_in_plan);
    let stop_after = cat.maintenance.stop_after_failed_vms.get().max(1);
    if counted >= stop_after || (in_batch && counted > 0) {
        health.stop(now);
        return WaveWidth::Stopped;
    }
    if in_batch {
        return WaveWidth::FirstBatch;
    }
    if counted == 0 {
        health.needs_batch = false;
        health.pause = None;
        return WaveWidth::Wide;
    }
    if health.verified_since_failure >= CLEAR_AFTER_VMS {
        health.ignored_failed = failed;
        return WaveWidth::Wide;
    }
    WaveWidth::Slow
}

/// Whether the first batch of the cycle, or the one after a stop, is not verified yet.
fn is_in_batch(health: &Health, fleet: &Fleet, batch: u32, verified_in_plan: u32) -> bool {
    if health.needs_batch {
        return health.verified_in_batch < batch;
    }
    let number = fleet.cycle.number;
    let done = fleet.vms.values();
    let done = done.filter(|vm| vm.state != VmState::Gone && vm.maintained_cycle >= number);
    done.take(batch as usize).count() + (verified_in_plan as usize) < batch as usize
}

/// Returns every VM that is draining but not rebooting yet, since the wave does not continue.
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

/// Holds the wave if so many reboots are overdue that their VMs would stop the wave once they time out.
fn overdue(ctx: &Context, fleet: &Fleet, cat: &Catalogue, now: Instant) -> Option<Hold> {
    let reboot_time = ctx.health.reboot_time?;
    let bound = reboot_time * OVERDUE_FACTOR + LIST_LAG_MAX;
    let late = fleet.vms.iter().filter(|(id, vm)| {
        let waited = now.saturating_duration_since(vm.since);
        vm.state == VmState::Rebooting && waited > bound && !ctx.decided[*id]
    });
    let vms = u32::try_from(late.count()).unwrap_or(u32::MAX);
    let stop_after = cat.maintenance.stop_after_failed_vms.get().max(1);
    (vms >= stop_after).then_some(Hold::Overdue { vms, reboot_time })
}

/// Holds the wave if many VMs of one data centre failed outside the wave, recently or in total.
fn outage(ctx: &mut Context, cat: &Catalogue, now: Instant) -> Option<Hold> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < CORRELATED_FAILURE_WINDOW;
    ctx.health.lost.retain(|(at, _)| is_recent(*at));
    count_down(ctx, cat);
    for dc in dcs(cat) {
        let lost = ctx.health.lost.iter().filter(|(_, other)| *other == dc);
        let failed = u32::try_from(lost.count()).unwrap_or(u32::MAX);
        if failed >= CORRELATED_FAILURE_VMS {
            return Some(Hold::CorrelatedFailures { dc, failed });
        }
        let (failed, vms) = ctx.health.down[dc.index()];
        if failed >= CORRELATED_FAILURE_VMS && failed * 100 >= vms * DOWN_PERCENT {
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
        *failed += count.failed_unplanned;
        *vms += count.vms;
    }
}
