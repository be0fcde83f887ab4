//! Fleets and what happens to them, drawn from a seed.

use std::time::Duration;

use goldcrest_types::catalogue::{CatalogueSpec, DcSpec, PoolKind, PoolSpec};
use goldcrest_types::units::{Slots, VmCount};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The fleets of the brief and of letter 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    Associacao,
    Fjordvik,
    Letter1,
}

impl Size {
    pub const ALL: [Self; 3] = [Self::Associacao, Self::Fjordvik, Self::Letter1];

    pub fn name(self) -> &'static str {
        match self {
            Self::Associacao => "associacao",
            Self::Fjordvik => "fjordvik",
            Self::Letter1 => "letter 1",
        }
    }

    /// How many waves are run of this size: the largest takes longest.
    pub fn waves(self, waves: u64) -> u64 {
        match self {
            Self::Associacao | Self::Fjordvik => waves,
            Self::Letter1 => waves.div_ceil(100),
        }
    }

    fn dcs(self) -> u32 {
        match self {
            Self::Associacao => 3,
            Self::Fjordvik => 4,
            Self::Letter1 => 11,
        }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Nothing.
    None,
    /// Single VMs fail, racks are lost, reboots fail together in a wave, holders crash.
    Correlated,
}

impl Faults {
    pub const ALL: [Self; 2] = [Self::None, Self::Correlated];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Correlated => "correlated",
        }
    }
}

/// What runs on workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Checks of seconds.
    Short,
    /// Backfills of up to four hours among them.
    Long,
}

impl Load {
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// A VM before the wave.
#[derive(Debug, Clone)]
pub struct VmTrace {
    pub pool: usize,
    pub dc: usize,
    pub rack: usize,
    pub reboot: Duration,
}

/// VMs that go down on their own.
#[derive(Debug, Clone)]
pub struct Loss {
    pub at: Duration,
    pub vms: Vec<usize>,
    pub back_after: Duration,
}

/// Reboots that fail together: in this time each fails with this chance, and operators mend it after a while.
#[derive(Debug, Clone, Copy)]
pub struct BadImage {
    pub from: Duration,
    pub until: Duration,
    pub fails_percent: u32,
    pub back_after: Duration,
}

/// All of it.
#[derive(Debug)]
pub struct Trace {
    pub spec: CatalogueSpec,
    pub vms: Vec<VmTrace>,
    pub losses: Vec<Loss>,
    pub bad_image: Option<BadImage>,
    pub crashes: Vec<Duration>,
    pub load: Load,
    pub rng: StdRng,
}

impl Trace {
    pub fn new(size: Size, faults: Faults, load: Load, seed: u64) -> Self {
        let mut trace = Self {
            spec: CatalogueSpec::default(),
            vms: Vec::new(),
            losses: Vec::new(),
            bad_image: None,
            crashes: Vec::new(),
            load,
            rng: StdRng::seed_from_u64(seed),
        };
        trace.add_dcs(size.dcs());
        match size {
            Size::Associacao | Size::Fjordvik => trace.add_user(size.dcs()),
            Size::Letter1 => trace.add_letter1(size.dcs()),
        }
        if faults == Faults::Correlated {
            trace.add_faults();
        }
        trace
    }

    fn add_dcs(&mut self, dcs: u32) {
        for dc in 0..dcs {
            self.spec.data_centres.push(DcSpec {
                name: format!("dc{dc}").parse().expect("a name"),
                region: format!("r{}", dc / 3).parse().expect("a name"),
            });
        }
    }

    fn add_pool(&mut self, kind: PoolKind, budget: u32) -> usize {
        let pool = self.spec.pools.len();
        self.spec.pools.push(PoolSpec {
            name: format!("pool{pool}").parse().expect("a name"),
            kind,
            min_vms: VmCount::ZERO,
            max_vms: VmCount::MAX,
            max_unavailable_vms: VmCount::new(budget),
            vm_slots: Slots::ZERO,
        });
        pool
    }

    fn add_vm(&mut self, pool: usize, dc: u32, rack: usize) {
        let reboot = Duration::from_secs(self.rng.random_range(90..=180));
        self.vms.push(VmTrace {
            pool,
            dc: dc as usize,
            rack: dc as usize * 1_000 + rack,
            reboot,
        });
    }

    /// Five services of 8 to 12 instances, 50 workers four to a rack, one spare pool.
    fn add_user(&mut self, dcs: u32) {
        for service in 0..5 {
            let pool = self.add_pool(PoolKind::Upstreams, 1);
            for place in 0..self.rng.random_range(8..=12) {
                self.add_vm(pool, place % dcs, service);
            }
        }
        let workers = self.add_pool(PoolKind::Workers, 2);
        for place in 0..50 {
            self.add_vm(workers, place % dcs, 100 + (place / dcs / 4) as usize);
        }
        let spare = self.add_pool(PoolKind::Spare, 2);
        for place in 0..6 {
            self.add_vm(spare, place % dcs, 200);
        }
    }

    /// 80 pools and a spare one, 1,500 VMs; a pool lies in four of the data centres.
    fn add_letter1(&mut self, dcs: u32) {
        for pool in 0..81_u32 {
            let kind = match pool {
                0..=49 => PoolKind::Workers,
                50..=79 => PoolKind::Upstreams,
                _ => PoolKind::Spare,
            };
            let id = self.add_pool(kind, 1 + u32::from(pool < 50));
            for place in 0..18 + u32::from(pool < 42) {
                let dc = (pool * 3 + place % 4 * 2) % dcs;
                self.add_vm(id, dc, (pool % 10) as usize * 10 + (place / 16) as usize);
            }
        }
    }

    fn add_faults(&mut self) {
        let hour = 3_600;
        let vms = self.vms.len();
        for _ in 0..(vms / 50).max(2) {
            let vm = self.rng.random_range(0..vms);
            let at = self.rng.random_range(0..10 * hour);
            self.add_loss(at, vec![vm]);
        }
        if self.rng.random_bool(0.5) {
            let rack = self.vms[self.rng.random_range(0..vms)].rack;
            let lost = (0..vms).filter(|vm| self.vms[*vm].rack == rack).collect();
            let at = self.rng.random_range(0..6 * hour);
            self.add_loss(at, lost);
        }
        if self.rng.random_bool(0.5) {
            let from = self.rng.random_range(0..3 * hour);
            let until = from + self.rng.random_range(hour / 2..2 * hour);
            let back_after = self.rng.random_range(hour / 2..3 * hour);
            self.bad_image = Some(BadImage {
                from: Duration::from_secs(from),
                until: Duration::from_secs(until),
                fails_percent: self.rng.random_range(20..=100),
                back_after: Duration::from_secs(back_after),
            });
        }
        for _ in 0..3 {
            let at = self.rng.random_range(0..8 * hour);
            self.crashes.push(Duration::from_secs(at));
        }
        self.crashes.sort_unstable();
    }

    fn add_loss(&mut self, at_s: u64, vms: Vec<usize>) {
        let back_s = self.rng.random_range(300..5_400);
        self.losses.push(Loss {
            at: Duration::from_secs(at_s),
            vms,
            back_after: Duration::from_secs(back_s),
        });
    }
}
