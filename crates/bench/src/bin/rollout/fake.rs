//! A fake of what the plan sees: machines that drain, reboot and fail, behind a list that lags.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use goldcrest_types::catalogue::{Catalogue, PoolKind};
use goldcrest_types::entity::{DcId, EntityRef, PoolId, RackId, VmId};
use goldcrest_types::units::Revision;
use goldcrest_upkeep::fleet::{Census, Fleet, Group, Seen, Vm, VmState, Work};
use goldcrest_upkeep::maintenance::{Action, DRAIN_SETTLE, Step};
use goldcrest_upkeep::verify;
use rand::Rng;

use crate::trace::{Load, Trace};

/// How far the list lags.
const LAG: Duration = Duration::from_secs(4);

/// After this a wave counts as unfinished.
const END: Duration = Duration::from_hours(96);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Truth {
    Up,
    Rebooting { until: Instant, fails: bool },
    Down { until: Instant },
}

#[derive(Debug)]
struct Machine {
    truth: Truth,
    boots: u64,
    /// When the task ends that ran at the start and can't be checkpointed.
    fixed: Duration,
}

#[derive(Debug)]
struct News {
    at: Instant,
    vm: VmId,
    seen: Seen,
    boots: u64,
}

/// What came out of a wave.
#[derive(Debug, Default)]
pub struct Outcome {
    pub is_done: bool,
    pub took: Duration,
    /// The least that budgets and reboot times allow.
    pub bound: Duration,
    /// The same, and no VM before the task has ended that ran first and can't be checkpointed.
    pub task_bound: Duration,
    /// The least with the settling of each drain and the lag of the list in each turn.
    pub turn_bound: Duration,
    /// The least if reboots fail as they do and every other VM serves.
    pub fault_bound: Duration,
    pub violations: u64,
    pub overrun_s: u64,
    pub failed: u64,
    pub moved: u64,
    pub cut: u64,
    pub plans: u64,
    pub plan_time: Duration,
}

pub struct Fake {
    pub cat: Catalogue,
    pub fleet: Fleet,
    pub now: Instant,
    start: Instant,
    machines: Vec<Machine>,
    news: VecDeque<News>,
    trace: Trace,
    census: Census,
    out: Outcome,
}

impl Fake {
    pub fn new(trace: Trace) -> Self {
        let cat = Catalogue::resolve(&trace.spec, Revision::new(1)).expect("a valid catalogue");
        let now = Instant::now();
        let mut fake = Self {
            cat,
            fleet: Fleet::new(now),
            now,
            start: now,
            machines: Vec::new(),
            news: VecDeque::new(),
            trace,
            census: Census::new(),
            out: Outcome::default(),
        };
        for i in 0..fake.trace.vms.len() {
            let vm = &fake.trace.vms[i];
            let (pool, dc) = (PoolId::new(vm.pool), DcId::new(vm.dc));
            let id = fake
                .fleet
                .vms
                .push(Vm::new(pool, dc, RackId::new(vm.rack), now));
            fake.machines.push(Machine {
                truth: Truth::Up,
                boots: 1,
                fixed: Duration::ZERO,
            });
            fake.fleet.vms[id].boots = 1;
            fake.draw_work(id);
            let work = fake.fleet.vms[id].work;
            if !work.checkpointable {
                fake.machines[id.index()].fixed = work.longest_left;
            }
        }
        fake
    }

    /// How far apart plans are.
    fn tick(&self) -> Duration {
        match self.trace.load {
            Load::Short => Duration::from_secs(1),
            Load::Long => Duration::from_secs(2),
        }
    }

    pub fn is_over(&self) -> bool {
        let is_due = |vm: &Vm| vm.state != VmState::Gone && vm.maintained_cycle == 0;
        self.now - self.start >= END || !self.fleet.vms.values().any(is_due)
    }

    pub fn in_work(&self) -> usize {
        let vms = self.fleet.vms.values();
        vms.filter(|vm| vm.is_in_maintenance()).count()
    }

    /// Whether the holder has crashed since the last call.
    pub fn take_crash(&mut self) -> bool {
        let passed = self.now - self.start;
        let due = self
            .trace
            .crashes
            .iter()
            .filter(|at| **at <= passed)
            .count();
        self.trace.crashes.drain(..due);
        due > 0
    }

    pub fn carry_out(
        &mut self,
        steps: &[Step],
        took: Duration,
        keep: impl Fn(&Self, usize) -> bool,
    ) {
        self.out.plans += 1;
        self.out.plan_time += took;
        let drains = steps.iter().filter(|step| step.action == Action::Drain);
        let mut kept: Vec<Step> = Vec::new();
        for step in drains {
            if keep(self, kept.len()) {
                kept.push(*step);
            }
        }
        let others = steps.iter().filter(|step| step.action != Action::Drain);
        let all: Vec<Step> = others.chain(&kept).copied().collect();
        let found = verify::plan(&self.fleet, &self.cat, &all);
        self.out.violations += found.iter().count() as u64;
        for step in &all {
            self.command(step);
            self.fleet.apply(step, self.now);
        }
        self.count_violations(&kept);
    }

    /// Counts drains that left their group beyond its budget, apart from the verifier.
    fn count_violations(&mut self, drains: &[Step]) {
        let (dcs, pools) = (self.cat.dcs.len(), self.cat.pools.len());
        self.census.take(&self.fleet, dcs, pools);
        for step in drains {
            let vm = &self.fleet.vms[step.vm];
            let group = Group {
                pool: vm.pool,
                dc: vm.dc,
            };
            let max = self.cat.pools[vm.pool].max_unavailable_vms.get();
            self.out.violations += u64::from(self.census.group(group).unavailable > max);
        }
        let tick = self.tick().as_secs();
        for (group, count) in self.census.iter() {
            let max = self.cat.pools[group.pool].max_unavailable_vms.get();
            self.out.overrun_s += u64::from(count.unavailable > max) * tick;
        }
    }

    fn command(&mut self, step: &Step) {
        let running = self.fleet.vms[step.vm].work.running;
        match step.action {
            Action::CheckpointTasks => {
                self.out.moved += u64::from(running);
                self.fleet.vms[step.vm].work = Work::default();
            }
            Action::Reboot => {
                self.out.cut += u64::from(running);
                self.reboot(step.vm);
            }
            Action::Return => self.draw_work(step.vm),
            Action::MarkFailed => self.out.failed += 1,
            Action::Drain | Action::Join(_) | Action::Remove => {}
        }
    }

    fn reboot(&mut self, vm: VmId) {
        if self.machines[vm.index()].truth != Truth::Up {
            return;
        }
        let passed = self.now - self.start;
        let image = self.trace.bad_image;
        let bad = image.filter(|image| (image.from..image.until).contains(&passed));
        let fails = bad.is_some_and(|image| {
            let roll = self.trace.rng.random_range(0..100);
            roll < image.fails_percent
        });
        let until = self.now + self.trace.vms[vm.index()].reboot;
        self.set(vm, Truth::Rebooting { until, fails });
    }

    fn set(&mut self, vm: VmId, truth: Truth) {
        let machine = &mut self.machines[vm.index()];
        machine.truth = truth;
        let seen = match truth {
            Truth::Up => Seen::Live,
            Truth::Rebooting { .. } => Seen::Rebooting,
            Truth::Down { .. } => Seen::Absent,
        };
        self.news.push_back(News {
            at: self.now + LAG,
            vm,
            seen,
            boots: machine.boots,
        });
    }

    pub fn pass(&mut self) {
        let before = self.now - self.start;
        self.now += self.tick();
        let passed = self.now - self.start;
        self.lose(before, passed);
        for vm in self.fleet.vms.keys() {
            self.progress(vm);
            self.run_work(vm);
        }
        self.show();
    }

    fn lose(&mut self, before: Duration, passed: Duration) {
        let losses = self.trace.losses.iter();
        let due = losses.filter(|loss| (before..passed).contains(&loss.at));
        let due: Vec<_> = due.cloned().collect();
        for loss in due {
            for vm in loss.vms {
                let until = self.now + loss.back_after;
                self.set(VmId::new(vm), Truth::Down { until });
                self.fleet.vms[VmId::new(vm)].work = Work::default();
            }
        }
    }

    fn progress(&mut self, vm: VmId) {
        let machine = &mut self.machines[vm.index()];
        match machine.truth {
            Truth::Rebooting { until, fails: true } if self.now >= until => {
                let back_after = self.trace.bad_image.map(|image| image.back_after);
                let until = self.now + back_after.unwrap_or_default();
                self.set(vm, Truth::Down { until });
            }
            Truth::Rebooting { until, .. } if self.now >= until => {
                machine.boots += 1;
                self.set(vm, Truth::Up);
            }
            Truth::Down { until } if self.now >= until => {
                machine.boots += 1;
                self.set(vm, Truth::Up);
            }
            _ => {}
        }
    }

    fn run_work(&mut self, vm: VmId) {
        let tick = self.tick();
        let record = &mut self.fleet.vms[vm];
        if record.work.running == 0 {
            return;
        }
        record.work.longest_left = record.work.longest_left.saturating_sub(tick);
        if !record.work.longest_left.is_zero() {
            return;
        }
        record.work = Work::default();
        if record.state == VmState::Serving {
            self.draw_work(vm);
        }
    }

    /// Draws the work that a serving VM has.
    fn draw_work(&mut self, vm: VmId) {
        let kind = self.cat.pools[self.fleet.vms[vm].pool].kind;
        let load = self.trace.load;
        let rng = &mut self.trace.rng;
        self.fleet.vms[vm].work = match kind {
            PoolKind::Spare => Work::default(),
            PoolKind::Upstreams => Work {
                running: rng.random_range(1..20),
                longest_left: Duration::from_secs(rng.random_range(1..10)),
                checkpointable: false,
            },
            PoolKind::Workers => Work {
                running: rng.random_range(1..4),
                longest_left: Duration::from_secs(match (load, rng.random_range(0..100)) {
                    (Load::Short, _) => rng.random_range(1..10),
                    (Load::Long, 0..70) => rng.random_range(5..300),
                    (Load::Long, 70..95) => rng.random_range(300..2_400),
                    (Load::Long, _) => rng.random_range(2_400..14_400),
                }),
                checkpointable: rng.random_bool(0.7),
            },
        };
    }

    fn show(&mut self) {
        while self.news.front().is_some_and(|news| news.at <= self.now) {
            let Some(news) = self.news.pop_front() else {
                return;
            };
            let vm = &mut self.fleet.vms[news.vm];
            if vm.seen != news.seen {
                vm.seen = news.seen;
                vm.seen_since = self.now;
            }
            vm.boots = news.boots;
        }
    }

    /// The least time that budgets and turns allow, one data centre after the other.
    fn bound(&self, turn: impl Fn(usize) -> Duration) -> Duration {
        let mut total = Duration::ZERO;
        for dc in self.cat.dcs.keys() {
            let mut longest = Duration::ZERO;
            for (pool, record) in self.cat.pools.iter() {
                let vms = self.trace.vms.iter().enumerate();
                let here = vms.filter(|(_, vm)| vm.dc == dc.index() && vm.pool == pool.index());
                let turns: Vec<Duration> = here.map(|(vm, _)| turn(vm)).collect();
                let sum: Duration = turns.iter().sum();
                let max = turns.iter().max().copied().unwrap_or_default();
                longest = longest.max(max.max(sum / record.max_unavailable_vms.get()));
            }
            total += longest;
        }
        total
    }

    /// The least time where a reboot that fails keeps its place in the budget until operators have mended the VM, as
    /// a mean over which reboots fail. While the image is bad, a turn takes that much longer by its chance.
    fn fault_bound(&self) -> Duration {
        let bound = self.out.bound;
        let Some(image) = self.trace.bad_image else {
            return bound;
        };
        let vms = u32::try_from(self.trace.vms.len()).unwrap_or(u32::MAX);
        let turn = self.trace.vms.iter().map(|vm| vm.reboot).sum::<Duration>() / vms.max(1);
        let slow = turn + image.back_after * image.fails_percent / 100;
        let left = bound.saturating_sub(image.from);
        let left_in_window = left.mul_f64(slow.as_secs_f64() / turn.as_secs_f64());
        let window = image.until.saturating_sub(image.from);
        if left_in_window <= window {
            return bound.min(image.from) + left_in_window;
        }
        let done = window.mul_f64(turn.as_secs_f64() / slow.as_secs_f64());
        bound + window.saturating_sub(done)
    }

    pub fn outcome(mut self) -> Outcome {
        self.out.is_done = self.now - self.start < END;
        self.out.took = self.now - self.start;
        let reboot = |vm: usize| self.trace.vms[vm].reboot;
        self.out.bound = self.bound(reboot);
        let vms = self.machines.iter().enumerate();
        let last = vms.map(|(vm, machine)| machine.fixed + reboot(vm)).max();
        self.out.task_bound = self.out.bound.max(last.unwrap_or_default());
        self.out.turn_bound = self.bound(|vm| reboot(vm) + DRAIN_SETTLE + LAG);
        self.out.fault_bound = self.fault_bound();
        self.out
    }
}
