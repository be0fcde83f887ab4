//! Demand of each pool and failures, drawn from a seed.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The least size of the spare pool.
const SPARES_MIN: usize = 10;

/// The traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// The Associação, each queue in turn five times its mean for ten seconds.
    AssociacaoBurst,
    /// Fjordvik, the same for twenty seconds.
    FjordvikBurst,
    /// The Associação over two days.
    AssociacaoDaily,
    /// Fjordvik over two days, with waves of failures.
    FjordvikFailures,
    /// 80 pools of letter 1 over a day.
    Letter1Daily,
}

impl Shape {
    pub const ALL: [Self; 5] = [
        Self::AssociacaoBurst,
        Self::FjordvikBurst,
        Self::AssociacaoDaily,
        Self::FjordvikFailures,
        Self::Letter1Daily,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::AssociacaoBurst => "associacao, bursts",
            Self::FjordvikBurst => "fjordvik, bursts",
            Self::AssociacaoDaily => "associacao, daily",
            Self::FjordvikFailures => "fjordvik, daily and failures",
            Self::Letter1Daily => "letter 1, daily",
        }
    }

    fn dcs(self) -> usize {
        match self {
            Self::AssociacaoBurst | Self::AssociacaoDaily => 3,
            Self::FjordvikBurst | Self::FjordvikFailures => 4,
            Self::Letter1Daily => 11,
        }
    }

    fn step(self) -> Duration {
        match self {
            Self::AssociacaoBurst | Self::FjordvikBurst => Duration::from_secs(5),
            _ => Duration::from_secs(30),
        }
    }

    fn hours(self) -> u64 {
        match self {
            Self::AssociacaoBurst | Self::FjordvikBurst => 4,
            Self::AssociacaoDaily | Self::FjordvikFailures => 48,
            Self::Letter1Daily => 24,
        }
    }
}

/// One pool's start and its demand in each tick.
#[derive(Debug)]
pub struct PoolTrace {
    pub vms: usize,
    pub demand_millis: Vec<u64>,
}

/// VMs of one pool that fail together.
#[derive(Debug, Clone)]
pub struct Failure {
    pub tick: usize,
    pub back_tick: usize,
    pub pool: usize,
    pub vms: usize,
}

/// All of it. The spare pool comes after the pools.
#[derive(Debug)]
pub struct Trace {
    pub step: Duration,
    pub dcs: usize,
    pub pools: Vec<PoolTrace>,
    pub spares: usize,
    pub failures: Vec<Failure>,
}

impl Trace {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let step = shape.step();
        let ticks = whole(shape.hours() * 3_600 / step.as_secs());
        let mut trace = Self {
            step,
            dcs: shape.dcs(),
            pools: Vec::new(),
            spares: 0,
            failures: Vec::new(),
        };
        match shape {
            Shape::AssociacaoBurst => trace.add_bursts(&mut rng, ticks, 2),
            Shape::FjordvikBurst => trace.add_bursts(&mut rng, ticks, 4),
            Shape::AssociacaoDaily => trace.add_user(&mut rng, ticks),
            Shape::FjordvikFailures => {
                trace.add_user(&mut rng, ticks);
                trace.add_failures(&mut rng, ticks);
            }
            Shape::Letter1Daily => {
                for _ in 0..80 {
                    let mean = rng.random_range(5.0..18.0);
                    trace.add_daily(&mut rng, ticks, mean);
                }
            }
        }
        trace.spares = trace.missing_at_peak().max(SPARES_MIN);
        trace
    }

    /// How many VMs the fleet lacks when all pools ask most, with one in ten to spare.
    fn missing_at_peak(&self) -> usize {
        let ticks = 0..self.ticks();
        let asked = ticks.map(|tick| {
            let demands = self.pools.iter().map(|pool| pool.demand_millis[tick]);
            demands.map(|demand| demand.div_ceil(1_000)).sum::<u64>()
        });
        let peak = whole(asked.max().unwrap_or(0));
        let vms: usize = self.pools.iter().map(|pool| pool.vms).sum();
        (peak * 11 / 10).saturating_sub(vms)
    }

    pub fn ticks(&self) -> usize {
        self.pools[0].demand_millis.len()
    }

    /// Each queue in turn asks for five times its mean, and a twentieth between. The peak is one and a half pools.
    fn add_bursts(&mut self, rng: &mut StdRng, ticks: usize, burst_ticks: usize) {
        for queue in 0..5 {
            let vms = rng.random_range(8..=12);
            let mean = 300.0 * vms_f64(vms);
            let demand = (0..ticks).map(|tick| {
                let is_turn = tick / burst_ticks % 5 == queue;
                to_millis(mean * if is_turn { 5.0 } else { 0.05 })
            });
            let demand_millis = demand.collect();
            self.pools.push(PoolTrace { vms, demand_millis });
        }
    }

    fn add_user(&mut self, rng: &mut StdRng, ticks: usize) {
        for _ in 0..5 {
            let mean = rng.random_range(4.0..8.0);
            self.add_daily(rng, ticks, mean);
        }
        self.add_daily(rng, ticks, 30.0);
    }

    /// A daily curve between 0.4 and 1.6 of the mean, with noise that stays for some minutes.
    fn add_daily(&mut self, rng: &mut StdRng, ticks: usize, mean: f64) {
        let day = 24.0 * 3_600.0 / self.step.as_secs_f64();
        let phase = rng.random_range(0.0..0.3);
        let mut noise = 0.0;
        let mut demand_millis = Vec::with_capacity(ticks);
        for tick in 0..ticks {
            noise = 0.95 * noise + rng.random_range(-0.02..0.02);
            let at = vms_f64(tick) / day + phase;
            let level = 1.0 - 0.6 * (TAU * at).cos() + noise;
            demand_millis.push(to_millis(mean * 1_000.0 * level.max(0.0)));
        }
        let vms = whole(demand_millis[0].div_ceil(1_000)) + 1;
        self.pools.push(PoolTrace { vms, demand_millis });
    }

    fn add_failures(&mut self, rng: &mut StdRng, ticks: usize) {
        for _ in 0..12 {
            let tick = rng.random_range(0..ticks);
            self.failures.push(Failure {
                tick,
                back_tick: tick + rng.random_range(60..360),
                pool: rng.random_range(0..self.pools.len()),
                vms: rng.random_range(1..4),
            });
        }
    }
}

pub fn vms_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

pub fn whole(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// Rounds to whole thousandths.
fn to_millis(value: f64) -> u64 {
    Duration::from_secs_f64(value / 1_000.0)
        .as_millis()
        .try_into()
        .unwrap_or(u64::MAX)
}
