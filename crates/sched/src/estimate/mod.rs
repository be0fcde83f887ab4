//! Estimates of sizes and run times, learned from reports.
//!
//! Reports lag behind the usage. Declared sizes and run times are off by up to [`ERROR_MAX`] in either direction, but
//! tasks of one queue and team have similar errors. A [`Ratios`] histogram counts the ratio of observed to declared
//! values in [`EDGES_PERMILLE`] buckets, a quarter of a power of two apart; the weight of old observations decays. An
//! estimate is a quantile of the ratios times the declared size, so it is within a factor of [`ERROR_MAX`] of the
//! declared size. Accelerators are whole devices and are used as declared.

use std::time::Duration;

use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};

/// The largest factor between a declared and an estimated size.
pub const ERROR_MAX: u64 = 4;

/// The upper edges of the ratio buckets, in thousandths.
pub const EDGES_PERMILLE: [u32; 17] = [
    250, 297, 354, 420, 500, 595, 707, 841, 1000, 1189, 1414, 1682, 2000, 2378, 2828, 3364, 4000,
];

/// The factor by which each new observation multiplies the weight of all earlier ones.
const DECAY: f64 = 0.99;

/// The weight from which the observations of a lane are used. Below it, those of the class are used.
const LANE_WEIGHT_MIN: f64 = 4.0;

/// The weight from which the observations of a class are used. Below it, the declared values are used.
const CLASS_WEIGHT_MIN: f64 = 16.0;

/// A decaying histogram of the ratio of observed to declared values.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ratios {
    weights: [f64; EDGES_PERMILLE.len()],
}

impl Ratios {
    /// Adds one observation. A declared value of 0 has no ratio and is ignored.
    pub fn add(&mut self, observed: u64, declared: u64) {
        if declared == 0 {
            return;
        }
        let permille = observed.saturating_mul(1000) / declared;
        let found = EDGES_PERMILLE
            .iter()
            .position(|edge| permille <= u64::from(*edge));
        let bucket = found.unwrap_or(EDGES_PERMILLE.len() - 1);
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[bucket] += 1.0;
    }

    /// Returns the decayed number of observations.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the upper edge of the bucket that holds the quantile, as a ratio in thousandths.
    #[must_use]
    pub fn quantile(&self, quantile_permille: u32) -> u32 {
        let target = self.weight() * f64::from(quantile_permille) / 1000.0;
        let mut sum = 0.0;
        for (weight, edge) in self.weights.iter().zip(EDGES_PERMILLE) {
            sum += weight;
            if sum >= target {
                return edge;
            }
        }
        EDGES_PERMILLE[EDGES_PERMILLE.len() - 1]
    }
}

/// The observed ratios of one lane or one class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observed {
    /// Peak processor usage.
    pub cpu: Ratios,
    /// Peak memory usage.
    pub memory: Ratios,
    /// Run time of whole runs.
    pub run: Ratios,
}

impl Observed {
    /// Adds the peak usage of one task.
    pub fn add_size(&mut self, used: &Resources, declared: &Resources) {
        self.cpu.add(
            used.cpu_millis.get().into(),
            declared.cpu_millis.get().into(),
        );
        self.memory
            .add(used.memory_bytes.get(), declared.memory_bytes.get());
    }

    /// Adds the run time of one task.
    pub fn add_run(&mut self, run: Duration, declared: Duration) {
        self.run.add(millis(run), millis(declared));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn trusted<'a>(lane: &'a Ratios, class: &'a Ratios) -> Option<&'a Ratios> {
    if lane.weight() >= LANE_WEIGHT_MIN {
        Some(lane)
    } else if class.weight() >= CLASS_WEIGHT_MIN {
        Some(class)
    } else {
        None
    }
}

fn ratio(lane: &Ratios, class: &Ratios, quantile_permille: u32) -> u64 {
    match trusted(lane, class) {
        Some(ratios) => ratios.quantile(quantile_permille).into(),
        None => 1000,
    }
}

fn scale(value: u64, permille: u64) -> u64 {
    value.saturating_mul(permille) / 1000
}

fn scale_cpu(cpu: CpuMillis, permille: u64) -> CpuMillis {
    let scaled = scale(cpu.get().into(), permille).max(1);
    CpuMillis::new(u32::try_from(scaled).unwrap_or(u32::MAX))
}

/// Returns the expected peak usage of a task that declares `declared`, at a quantile in thousandths.
#[must_use]
pub fn size(
    declared: &Resources,
    lane: &Observed,
    class: &Observed,
    quantile_permille: u32,
) -> Resources {
    let cpu = ratio(&lane.cpu, &class.cpu, quantile_permille);
    let memory = ratio(&lane.memory, &class.memory, quantile_permille);
    Resources {
        cpu_millis: scale_cpu(declared.cpu_millis, cpu),
        memory_bytes: Bytes::new(scale(declared.memory_bytes.get(), memory)),
        accelerators: declared.accelerators,
    }
}

/// Returns the expected run time of a task that declares `declared`, as the median.
#[must_use]
pub fn run_time(declared: Duration, lane: &Observed, class: &Observed) -> Duration {
    let permille = ratio(&lane.run, &class.run, 500);
    Duration::from_millis(scale(millis(declared), permille))
}

/// Returns the reservation of a running task from its observed peak: within a factor of [`ERROR_MAX`] of the declared
/// size, and with headroom for memory, which cannot be throttled.
#[must_use]
pub fn observed_size(peak: &Resources, declared: &Resources, headroom_permille: u64) -> Resources {
    let cpu = peak.cpu_millis;
    let memory = Bytes::new(scale(peak.memory_bytes.get(), 1000 + headroom_permille));
    Resources {
        cpu_millis: cpu.clamp(
            scale_cpu(declared.cpu_millis, 1000 / ERROR_MAX),
            scale_cpu(declared.cpu_millis, 1000 * ERROR_MAX),
        ),
        memory_bytes: memory.clamp(
            Bytes::new(declared.memory_bytes.get() / ERROR_MAX),
            Bytes::new(declared.memory_bytes.get().saturating_mul(ERROR_MAX)),
        ),
        accelerators: declared.accelerators,
    }
}

/// Returns the maximum of two vectors in each dimension.
#[must_use]
pub fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu_millis.max(b.cpu_millis),
        a.memory_bytes.max(b.memory_bytes),
        Accelerators::max(a.accelerators, b.accelerators),
    )
}
