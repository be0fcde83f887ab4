//! Maintenance waves while demand shifts from pool to pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::upkeep::{
    RunningWave, Upkeep, UpkeepPlan, Vm, VmState, Wave, WaveInputs, WaveProgress,
};
use goldcrest_types::names::PoolName;

struct Fleet {
    vms: BTreeMap<VmId, Vm>,
    empty: BTreeSet<VmId>,
    cordoned: BTreeSet<VmId>,
    load_milli: BTreeMap<PoolName, u64>,
    upkeep: Upkeep,
    wall_ms: u64,
}

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
}

impl Fleet {
    /// Pools `a` and `b` of ten VMs each, all of which are to be maintained in `time`.
    fn new(time: Duration, at_once: u32) -> Self {
        let mut vms = BTreeMap::new();
        for name in ["a", "b"] {
            for number in 0..10 {
                let id = VmId::from(&*format!("{name}{number}"));
                let vm = Vm {
                    id: id.clone(),
                    pool: pool(name),
                    state: VmState::Up,
                    worker: Some(WorkerId::from(id.as_str())),
                    dc: None,
                };
                vms.insert(id, vm);
            }
        }
        let wave = Wave {
            number: 1,
            vms: vms.keys().cloned().collect(),
            duration: time,
            at_once,
        };
        let mut upkeep = Upkeep::default();
        let running = RunningWave::new(wave, WaveProgress::default());
        upkeep.waves.insert(1, running);
        Self {
            vms,
            empty: BTreeSet::new(),
            cordoned: BTreeSet::new(),
            load_milli: BTreeMap::from([(pool("a"), 900), (pool("b"), 50)]),
            upkeep,
            wall_ms: 0,
        }
    }

    fn plan(&mut self) -> UpkeepPlan {
        let inputs = WaveInputs {
            vms: &self.vms,
            empty: &self.empty,
            cordoned: &self.cordoned,
            load_milli: &self.load_milli,
            wall_ms: self.wall_ms,
        };
        self.upkeep.plan(&inputs)
    }
}

/// There is time for all VMs: few are chosen at once, and none of the busy pool.
#[test]
fn plan_in_time_spares_the_busy_pool() {
    let mut fleet = Fleet::new(Duration::from_secs(123), 9);
    let plan = fleet.plan();
    assert_eq!(plan.evacuate.len(), 2);
    let of_busy = |vm: &VmId| vm.as_str().starts_with('a');
    assert!(!plan.evacuate.iter().any(of_busy));
}

#[test]
fn plan_short_of_time_takes_what_the_cap_allows() {
    let mut fleet = Fleet::new(Duration::from_secs(12), 9);
    assert_eq!(fleet.plan().evacuate.len(), 9);
}

#[test]
fn plan_takes_down_no_more_than_the_cap() {
    let mut fleet = Fleet::new(Duration::from_secs(12), 3);
    fleet.empty = fleet.vms.keys().cloned().collect();
    let plan = fleet.plan();
    assert_eq!(plan.take_down.len(), 3);
    let mut running = fleet.upkeep.waves.remove(&1).expect("the wave");
    for (vm, _) in plan.take_down {
        fleet.vms.get_mut(&vm).expect("a VM").state = VmState::InMaintenance;
        running.progress.begun.insert(vm);
    }
    fleet.upkeep.waves.insert(1, running);
    assert_eq!(fleet.plan().take_down, Vec::new());
}

#[test]
fn plan_completed_only_when_all_are_back() {
    let mut fleet = Fleet::new(Duration::from_mins(1), 3);
    let last = VmId::from("a0");
    let mut running = fleet.upkeep.waves.remove(&1).expect("the wave");
    running.progress.begun = fleet.vms.keys().cloned().collect();
    fleet.upkeep.waves.insert(1, running);
    fleet.vms.get_mut(&last).expect("a VM").state = VmState::InMaintenance;
    assert_eq!(fleet.plan().completed, Vec::<u64>::new());
    fleet.vms.get_mut(&last).expect("a VM").state = VmState::Up;
    assert_eq!(fleet.plan().completed, vec![1]);
}

/// Spare VMs are empty, but a busy pool is about to need them: they count as loaded as that pool.
#[test]
fn plan_spare_vms_wait_while_a_busy_pool_needs_them() {
    let mut fleet = Fleet::new(Duration::from_secs(123), 9);
    fleet.empty = fleet
        .vms
        .keys()
        .filter(|vm| vm.as_str().starts_with('a'))
        .cloned()
        .collect();
    let of_spare = |vm: &VmId| vm.as_str().starts_with('a');
    assert!(!fleet.plan().evacuate.iter().any(of_spare));
    // Without a busy pool the empty VMs go first.
    let mut calm = Fleet::new(Duration::from_secs(123), 9);
    calm.empty.clone_from(&fleet.empty);
    calm.load_milli = BTreeMap::from([(pool("a"), 100), (pool("b"), 50)]);
    assert!(calm.plan().evacuate.iter().all(of_spare));
}

/// At the end of its time a wave evacuates all remaining VMs, however many are down at that moment.
#[test]
fn plan_last_vms_beside_those_that_are_down() {
    let mut fleet = Fleet::new(Duration::from_secs(12), 20);
    let mut running = fleet.upkeep.waves.remove(&1).expect("the wave");
    for number in 0..10 {
        let id = VmId::from(&*format!("a{number}"));
        fleet.vms.get_mut(&id).expect("a VM").state = VmState::InMaintenance;
        running.progress.begun.insert(id);
    }
    fleet.upkeep.waves.insert(1, running);
    assert_eq!(fleet.plan().evacuate.len(), 10);
}

/// A command without a reply may have taken a VM down, which counts against the cap although nothing about it is
/// stored.
#[test]
fn plan_vm_down_without_an_answer_counts() {
    let mut fleet = Fleet::new(Duration::from_secs(12), 3);
    fleet.empty = fleet.vms.keys().cloned().collect();
    let unknown = VmId::from("a0");
    fleet.vms.get_mut(&unknown).expect("a VM").state = VmState::InMaintenance;
    assert_eq!(fleet.plan().take_down.len(), 2);
}

/// VMs in a cordoned data centre accept no work, so the wave takes them although their pool is busy.
#[test]
fn plan_cordoned_vms_of_a_busy_pool_first() {
    let mut fleet = Fleet::new(Duration::from_secs(123), 9);
    fleet.cordoned = ["a0", "a1"].map(VmId::from).into();
    let first = fleet.plan().evacuate;
    assert_eq!(first.len(), 2);
    let mut idle = Fleet::new(Duration::from_secs(123), 9);
    idle.load_milli = BTreeMap::from([(pool("a"), 900), (pool("b"), 800)]);
    idle.cordoned.clone_from(&fleet.cordoned);
    assert_eq!(idle.plan().evacuate, fleet.cordoned);
}
