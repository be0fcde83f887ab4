//! What a task will really use, learned from lagging reports.
//!
//! Declared sizes and run times are off by up to [`ERROR_MAX`] either way, but tasks of one queue and team err in
//! similar ways. A [`Ratios`] histogram counts observed over declared in [`EDGES_PERMILLE`] buckets, a quarter
//! of a power of two apart; old observations fade. An estimate is a quantile of the ratios times the declared
//! size, so it never leaves the declared size by more than [`ERROR_MAX`]. Accelerators are whole devices and are
//! taken as declared.

use std::time::Duration;

use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, Resources};

/// The largest factor between a declared and an estimated size.
pub const ERROR_MAX: u64 = 4;

/// The upper edges of the ratio buckets, in thousandths.
pub const EDGES_PERMILLE: [u32; 17] = [
    250, 297, 354, 420, 500, 595, 707, 841, 1000, 1189, 1414, 1682, 2000, 2378, 2828, 3364, 4000,
];

/// What the weight of all earlier observations is multiplied by at each new one.
const FADE: f64 = 0.99;

/// The weight from which the observations of a lane are believed.
const LANE_WEIGHT_MIN: f64 = 4.0;

/// The weight from which the observations of a class are believed.
const CLASS_WEIGHT_MIN: f64 = 16.0;

/// A fading histogram of observed over declared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ratios {
    weights: [f64; EDGES_PERMILLE.len()],
}

impl Ratios {
    /// Adds one observation; a declared value of 0 tells nothing.
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
            *weight *= FADE;
        }
        self.weights[bucket] += 1.0;
    }

    /// How much was observed, faded.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// The ratio that `quantile_permille` of the observations do not pass, in thousandths.
    #[must_use]
    pub fn quantile(&self, quantile_permille: u32) -> u32 {
        let wanted = self.weight() * f64::from(quantile_permille) / 1000.0;
        let mut sum = 0.0;
        for (weight, edge) in self.weights.iter().zip(EDGES_PERMILLE) {
            sum += weight;
            if sum >= wanted {
                return edge;
            }
        }
        EDGES_PERMILLE[EDGES_PERMILLE.len() - 1]
    }
}

/// What was observed of one lane or one class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observed {
    /// Processor time.
    pub cpu: Ratios,
    /// Memory.
    pub memory: Ratios,
    /// Run time.
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

fn believed<'a>(lane: &'a Ratios, class: &'a Ratios) -> Option<&'a Ratios> {
    if lane.weight() >= LANE_WEIGHT_MIN {
        Some(lane)
    } else if class.weight() >= CLASS_WEIGHT_MIN {
        Some(class)
    } else {
        None
    }
}

fn ratio(lane: &Ratios, class: &Ratios, quantile_permille: u32) -> u64 {
    match believed(lane, class) {
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

/// What a task that declares `declared` is expected to use at `quantile_permille`.
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

/// How long a task that declares `declared` is expected to run, as the median.
#[must_use]
pub fn run_time(declared: Duration, lane: &Observed, class: &Observed) -> Duration {
    let permille = ratio(&lane.run, &class.run, 500);
    Duration::from_millis(scale(millis(declared), permille))
}

/// What a running task is packed by once it was observed: its peak, with some headroom for memory, which can't be
/// throttled, within [`ERROR_MAX`] of what it declared.
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

/// The larger of two vectors in each dimension.
#[must_use]
pub fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources::new(
        a.cpu_millis.max(b.cpu_millis),
        a.memory_bytes.max(b.memory_bytes),
        Accelerators::max(a.accelerators, b.accelerators),
    )
}
