//! Maintenance waves, and the busy periods of pools.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::keys::{self, BusyPeriodRecord, Evacuation};
use goldcrest_grid::ports::{Put, Txn};
use goldcrest_jobs::id::{VmId, WorkerId};
use goldcrest_jobs::spec::JobState;
use goldcrest_jobs::upkeep::{VmState, Wave};
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

#[tokio::test(start_paused = true)]
async fn wave_one_at_a_time_without_lost_work() {
    local(async {
        let bed = Bed::new(3);
        bed.start_all(&["e1", "e2"]).await;
        let vms = ["vm-w1", "vm-w2", "vm-w3"];
        bed.world.order_wave(Wave {
            number: 1,
            vms: vms.iter().map(|vm| VmId::from(*vm)).collect(),
            duration: Duration::from_secs(30),
            at_once: 1,
        });
        let id = "00000000000000a1";
        let spec = job("ms=1000", &[6, 6, 6]);
        assert_eq!(bed.submit("e1", id, spec).await, Reply::Accepted);
        let mut seen = 0;
        for _ in 0..400 {
            sleep(Duration::from_millis(50)).await;
            let down: Vec<VmId> = {
                let vms = bed.world.vms.borrow();
                let down = vms.values().filter(|vm| vm.state == VmState::InMaintenance);
                down.map(|vm| vm.id.clone()).collect()
            };
            assert!(down.len() <= 1, "down at once: {down:?}");
            if let Some(vm) = down.first() {
                sleep(Duration::from_secs(2)).await;
                seen += 1;
                let mut vms = bed.world.vms.borrow_mut();
                if let Some(vm) = vms.get_mut(vm) {
                    vm.state = VmState::Up;
                }
            }
            if seen == vms.len() {
                break;
            }
        }
        sleep(Duration::from_secs(5)).await;
        assert_eq!(bed.world.maintained.borrow().len(), 3);
        let shown = bed.world.table.borrow().get("shown/wave/1").cloned();
        assert_eq!(shown.map(|item| item.value), Some(vec![1]));
        bed.wait_for("e1", id, JobState::Completed, Duration::from_secs(5))
            .await;
        bed.check_once();
    })
    .await;
}

/// Busy periods and cooldowns are stored, so that the next holder of the fleet role continues them and ends the
/// cooldowns.
#[tokio::test(start_paused = true)]
async fn busy_periods_survive_change_of_fleet_holder() {
    let record = |bed: &Bed| {
        let table = bed.world.table.borrow();
        let item = table.get(keys::BUSY_PERIODS).cloned();
        item.map(|item| keys::decode::<BusyPeriodRecord>(&item.key, &item.value).expect("turns"))
    };
    local(async {
        let bed = Bed::new(3);
        bed.add_spare("s1");
        bed.start_all(&["e1", "e2", "e3"]).await;
        // Six seconds of work for the twelve cores of the pool.
        for number in 0..6 {
            let id = format!("{number:015x}a");
            let spec = job("ms=1000", &[12]);
            assert_eq!(bed.submit("e1", &id, spec).await, Reply::Accepted);
        }
        sleep(Duration::from_secs(4)).await;
        assert_eq!(
            record(&bed).map(|busy_periods| busy_periods.began_ms.len()),
            Some(1)
        );
        let first = bed.holder_of("fleet");
        bed.kill(&first);
        sleep(Duration::from_secs(8)).await;
        let rests = record(&bed).expect("turns").rest_until_ms;
        assert_eq!(rests.len(), 1);
        assert_ne!(bed.holder_of("fleet"), first);
        // The third holder ends a cooldown that it knows only from the store.
        let second = bed.holder_of("fleet");
        bed.kill(&second);
        sleep(Duration::from_secs(25)).await;
        assert_eq!(record(&bed), Some(BusyPeriodRecord::default()));
    })
    .await;
}

/// Load pattern: the holder of the fleet role is lost while VMs are evacuated, and the load has changed when its successor
/// begins. VMs that need not leave any more take work again.
#[tokio::test(start_paused = true)]
async fn evacuations_of_an_earlier_holder_are_withdrawn() {
    local(async {
        let bed = Bed::new(3);
        let vms = ["w1", "w2", "w3"].map(|name| {
            let vm = VmId::from(&*format!("vm-{name}"));
            (WorkerId::from(name), vm)
        });
        let evacuation = Txn {
            puts: vec![Put {
                key: keys::evacuation(&"p".parse().expect("a name")),
                value: keys::encode(&Evacuation { vms: vms.into() }),
                lease: None,
            }],
            ..Txn::default()
        };
        let stored = bed
            .world
            .table
            .borrow_mut()
            .commit(&evacuation, Instant::now());
        stored.expect("no lease is needed");
        bed.start_all(&["e1", "e2"]).await;
        let id = "00000000000000a1";
        let spec = job("ms=500", &[12]);
        assert_eq!(bed.submit("e1", id, spec).await, Reply::Accepted);
        bed.wait_for("e1", id, JobState::Completed, Duration::from_secs(3))
            .await;
        bed.check_once();
    })
    .await;
}

/// The wave of all VMs of a bed with three workers, one after the other.
fn wave(vms: &[&str]) -> Wave {
    Wave {
        number: 1,
        vms: vms.iter().map(|vm| VmId::from(*vm)).collect(),
        duration: Duration::from_secs(30),
        at_once: 1,
    }
}

/// Brings VMs back up 2 s after they were taken down, for `time`. Asserts that the wave is not shown as completed before
/// the maintenance of `vms` VMs has begun.
async fn play_wave(bed: &Bed, time: Duration, vms: usize) {
    let until = Instant::now() + time;
    let mut down_since = std::collections::BTreeMap::new();
    while Instant::now() < until {
        sleep(Duration::from_millis(50)).await;
        let shown = bed.world.table.borrow().get("shown/wave/1").cloned();
        let is_completed = shown.is_some_and(|item| item.value == [1]);
        let begun = bed.world.maintained.borrow().len();
        assert!(
            !is_completed || begun >= vms,
            "completed after {begun} of {vms}"
        );
        for vm in bed.world.vms.borrow_mut().values_mut() {
            if vm.state == VmState::InMaintenance {
                let since = *down_since.entry(vm.id.clone()).or_insert_with(Instant::now);
                if since.elapsed() >= Duration::from_secs(2) {
                    vm.state = VmState::Up;
                    down_since.remove(&vm.id);
                }
            }
        }
    }
}

fn is_completed(bed: &Bed) -> bool {
    let shown = bed.world.table.borrow().get("shown/wave/1").cloned();
    shown.is_some_and(|item| item.value == [1])
}

/// Guards against a wave that is shown as completed though a VM of it had no maintenance: the new holder of the fleet role
/// finds its progress, and has not read its request, as its watch has died or the store has turned it away.
#[tokio::test(start_paused = true)]
async fn wave_unread_by_the_new_holder_is_not_completed() {
    for is_refused in [false, true] {
        local(async move {
            let bed = Bed::new(3);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder_of("fleet");
            let other = if holder == "e1" { "e2" } else { "e1" };
            if is_refused {
                bed.world.set_fault(other, StoreFault::Refuses);
            } else {
                bed.world.lose_requests(other, true);
            }
            bed.world.order_wave(wave(&["vm-w1", "vm-w2", "vm-w3"]));
            while bed.world.maintained.borrow().is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
            if is_refused {
                bed.world.set_fault(other, StoreFault::None);
                sleep(Duration::from_millis(600)).await;
            }
            bed.stop(&holder);
            play_wave(&bed, Duration::from_secs(6), 3).await;
            bed.world.lose_requests(other, false);
            play_wave(&bed, Duration::from_secs(24), 3).await;
            assert!(is_completed(&bed), "refused: {is_refused}");
        })
        .await;
    }
}

/// As above, while the holder has read an earlier version of the request, with fewer VMs.
#[tokio::test(start_paused = true)]
async fn wave_changed_unread_is_not_completed() {
    local(async {
        let bed = Bed::new(3);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder_of("fleet");
        bed.world.order_wave(wave(&["vm-w1"]));
        while bed.world.maintained.borrow().is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
        bed.world.lose_requests(&holder, true);
        bed.world.order_wave(wave(&["vm-w1", "vm-w2"]));
        play_wave(&bed, Duration::from_secs(6), 2).await;
        bed.world.lose_requests(&holder, false);
        play_wave(&bed, Duration::from_secs(20), 2).await;
        assert!(is_completed(&bed));
    })
    .await;
}
