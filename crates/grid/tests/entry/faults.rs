//! Faults of workers and of the store.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::keys::{self, Evacuation};
use goldcrest_jobs::id::VmId;
use goldcrest_jobs::share::Share;
use goldcrest_jobs::spec::JobState;
use goldcrest_jobs::upkeep::Wave;
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, KEY, catalogue, job, local};

const ID: &str = "00000000000000a1";

/// A worker with runs is partitioned from all entries: its tasks are started elsewhere only after its leases have
/// expired.
#[tokio::test(start_paused = true)]
async fn worker_cut_off_restarts_after_lapse() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=3000", &[4]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(500)).await;
        for entry in ["e1", "e2"] {
            bed.world.set_reachable(entry, "w1", false);
        }
        sleep(Duration::from_secs(3)).await;
        bed.world.crew.borrow_mut().set_listed("w1", false);
        bed.wait_for("e1", ID, JobState::Completed, Duration::from_secs(14))
            .await;
        bed.check_once();
    })
    .await;
}

/// Load pattern: answers of some workers are lost for seconds. The ends that they carried arrive with the next report,
/// not only after the worker is given up.
#[tokio::test(start_paused = true)]
async fn report_lost_is_asked_for_again_at_once() {
    for phase_ms in (0..2_000).step_by(100) {
        local(async move {
            let bed = Bed::new(1);
            bed.start_all(&["e1"]).await;
            sleep(Duration::from_millis(phase_ms)).await;
            let spec = job("ms=3000", &[1]);
            assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
            sleep(Duration::from_millis(2_900)).await;
            bed.world.set_reachable("e1", "w1", false);
            sleep(Duration::from_millis(250)).await;
            bed.world.set_reachable("e1", "w1", true);
            // A report waits 0.9 s; the remaining 0.4 s are the time to detect that its answer was lost.
            bed.wait_for("e1", ID, JobState::Completed, Duration::from_millis(1_300))
                .await;
            bed.check_once();
        })
        .await;
    }
}

/// Load pattern: the store becomes unresponsive to some entries during a busy period. Their callers are refused at
/// once, so that they can retry at another entry or after the outage; a call that was sent before is given up within
/// 1.5 s.
#[tokio::test(start_paused = true)]
async fn store_silent_refuses_at_once() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        bed.world.set_fault("e1", StoreFault::Silent);
        let began_at = Instant::now();
        let id = "00000000000000b1";
        assert_eq!(
            bed.submit("e1", id, job("", &[1])).await,
            Reply::Unknown,
            "the job may or may not be stored"
        );
        assert!(began_at.elapsed() <= Duration::from_millis(1_600));
        let began_at = Instant::now();
        let reply = bed.submit("e1", ID, job("", &[1])).await;
        assert!(matches!(reply, Reply::Refused(..)), "{reply:?}");
        assert_eq!(began_at.elapsed(), Duration::ZERO);
        // The retry delay grows with the length of the outage.
        sleep(Duration::from_secs(3)).await;
        let Reply::Refused(_, after) = bed.submit("e1", ID, job("", &[1])).await else {
            panic!("the store is still unresponsive");
        };
        assert!(after >= Duration::from_secs(3), "{after:?}");
        assert_eq!(bed.submit("e2", ID, job("", &[1])).await, Reply::Accepted);
        bed.world.set_fault("e1", StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        let id = "00000000000000b2";
        assert_eq!(bed.submit("e1", id, job("", &[1])).await, Reply::Accepted);
    })
    .await;
}

/// Load pattern: the store resets all connections for two seconds while callers submit jobs. A few submissions may be
/// left open; the others are refused at once as not accepted, so that their callers can retry.
#[tokio::test(start_paused = true)]
async fn store_resets_refuses_after_few_lost_calls() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        bed.world.set_fault("e1", StoreFault::Resets);
        let mut open = 0;
        for number in 0..20 {
            sleep(Duration::from_millis(100)).await;
            let id = format!("{number:016x}");
            match bed.submit("e1", &id, job("", &[1])).await {
                Reply::Unknown => open += 1,
                Reply::Refused(_, after) => assert!(after >= Duration::from_secs(1)),
                reply => panic!("{reply:?}"),
            }
        }
        assert!(open <= 3, "{open} of 20 submissions left open");
        bed.world.set_fault("e1", StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(bed.submit("e1", ID, job("", &[1])).await, Reply::Accepted);
    })
    .await;
}

/// A short outage kills the connection of the scheduler's inbox watch, while other calls are answered again. A
/// cancellation after that must reach the scheduler within 3 s, after which none of the job's tasks may be started.
#[tokio::test(start_paused = true)]
async fn inbox_watch_dead_cancellation_is_received() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = if holder == "e1" { "e2" } else { "e1" };
        let spec = job("ms=60000", &[4]);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(500)).await;
        bed.world.set_fault(&holder, StoreFault::Silent);
        let next = "00000000000000b1";
        assert_eq!(
            bed.submit(other, next, job("", &[1])).await,
            Reply::Accepted
        );
        sleep(Duration::from_millis(400)).await;
        bed.world.set_fault(&holder, StoreFault::None);
        assert_eq!(bed.cancel(other, ID).await, Reply::Cancelled);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(bed.holder(), holder);
        let crew = bed.world.crew.borrow();
        let of_job = crew
            .running()
            .filter(|(_, task)| task.step.job.to_string() == ID);
        assert_eq!(of_job.count(), 0);
    })
    .await;
}

/// Single answers are lost while others arrive; no call may be refused for that.
#[tokio::test(start_paused = true)]
async fn store_loses_answers_refuses_nobody() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1"]).await;
        let entry = bed.entry("e1");
        entry.responsiveness.sent(entry.now());
        sleep(Duration::from_millis(900)).await;
        assert!(!entry.is_store_unresponsive());
        assert_eq!(bed.submit("e1", ID, job("", &[1])).await, Reply::Accepted);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn store_down_keeps_runs() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=8000", &[4]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(500)).await;
        for entry in ["e1", "e2"] {
            bed.world.set_fault(entry, StoreFault::Refuses);
        }
        // Shorter than the lease of the session, so the role and its runs are kept.
        sleep(Duration::from_millis(1_500)).await;
        for entry in ["e1", "e2"] {
            bed.world.set_fault(entry, StoreFault::None);
        }
        bed.wait_for("e1", ID, JobState::Completed, Duration::from_secs(9))
            .await;
        assert_eq!(bed.world.crew.borrow().starts.len(), 4);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn store_forgets_history() {
    local(async {
        let bed = Bed::new(1);
        bed.start_all(&["e1", "e2"]).await;
        for number in 0..5 {
            let id = format!("00000000000000b{number}");
            bed.world.table.borrow_mut().compact();
            let spec = job("ms=100", &[2, 1]);
            assert_eq!(bed.submit("e1", &id, spec).await, Reply::Accepted);
            bed.world.table.borrow_mut().compact();
            bed.wait_for("e2", &id, JobState::Completed, Duration::from_secs(4))
                .await;
        }
        bed.check_once();
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn store_loses_answers_of_saves() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = if holder == "e1" { "e2" } else { "e1" };
        assert_eq!(
            bed.submit(other, ID, job("", &[4, 4, 2])).await,
            Reply::Accepted
        );
        sleep(Duration::from_millis(300)).await;
        bed.world.set_fault(&holder, StoreFault::LosesAnswers);
        sleep(Duration::from_millis(2_500)).await;
        bed.world.set_fault(&holder, StoreFault::None);
        bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(8))
            .await;
        bed.check_once();
    })
    .await;
}

/// Guards against a pool's status that the store carries out late, over a newer one.
#[tokio::test(start_paused = true)]
async fn status_carried_out_late_replaces_no_newer_one() {
    for fault_ms in (0..1_600).step_by(200) {
        local(async move {
            let bed = Bed::new(0);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = if holder == "e1" { "e2" } else { "e1" };
            let ids = ["00000000000000a1", "00000000000000a2"];
            assert_eq!(
                bed.submit(other, ids[0], job("", &[1])).await,
                Reply::Accepted
            );
            sleep(Duration::from_millis(2_000 + fault_ms)).await;
            assert_eq!(
                bed.submit(other, ids[1], job("", &[1])).await,
                Reply::Accepted
            );
            let late = StoreFault::CarriesOutLate(Duration::from_secs(4));
            bed.world.set_fault(&holder, late);
            sleep(Duration::from_millis(1_200)).await;
            bed.world.set_fault(&holder, StoreFault::None);
            for id in ids {
                assert_eq!(bed.cancel(other, id).await, Reply::Cancelled);
            }
            sleep(Duration::from_secs(8)).await;
            let waiting = bed.query(other, "").await;
            assert_eq!(waiting, Reply::Waiting(0), "fault after {fault_ms} ms");
        })
        .await;
    }
}

/// Guards against a list of VMs to evacuate that the store carries out late, after the evacuation was withdrawn: the
/// pool's workers would get no more work.
#[tokio::test(start_paused = true)]
async fn evacuation_carried_out_late_replaces_no_newer_one() {
    for fault_ms in (0..400).step_by(50) {
        local(async move {
            let bed = Bed::new(2);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder_of("fleet");
            let other = if holder == "e1" { "e2" } else { "e1" };
            let wave = |vms: &[&str]| Wave {
                number: 1,
                vms: vms.iter().map(|vm| VmId::from(*vm)).collect(),
                duration: Duration::from_secs(5),
                at_once: 2,
            };
            let spec = job("ms=60000", &[8]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(Duration::from_millis(500)).await;
            bed.world.order_wave(wave(&["vm-w1"]));
            sleep(Duration::from_millis(100 + fault_ms)).await;
            let late = StoreFault::CarriesOutLate(Duration::from_secs(5));
            bed.world.set_fault(&holder, late);
            bed.world.order_wave(wave(&["vm-w1", "vm-w2"]));
            sleep(Duration::from_millis(1_600)).await;
            // The operators name another VM before anything was carried out.
            bed.world.order_wave(wave(&["vm-gone"]));
            bed.world.set_fault(&holder, StoreFault::None);
            sleep(Duration::from_secs(9)).await;
            let key = keys::evacuation(&"p".parse().expect("a name"));
            let stored = bed.world.table.borrow().get(&key).cloned();
            let vms = stored.map(|item| {
                let list: Evacuation = keys::decode(&item.key, &item.value).expect("a list");
                list.vms.len()
            });
            assert_eq!(vms.unwrap_or_default(), 0, "fault after {fault_ms} ms");
        })
        .await;
    }
}

/// Guards against a team that uses more than its rows say: a lower row is carried out late, after the pool has begun to
/// use the higher one again, and another pool may take what seems to be free.
#[tokio::test(start_paused = true)]
async fn row_lowered_late_is_not_in_use_again() {
    for fault_ms in (0..2_000).step_by(100) {
        local(async move {
            let bed = Bed::new(2);
            bed.world.set_catalogue(catalogue(2, &[KEY], 4_000));
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = if holder == "e1" { "e2" } else { "e1" };
            let first = job("ms=1000", &[4]);
            assert_eq!(bed.submit(other, ID, first).await, Reply::Accepted);
            sleep(Duration::from_millis(800 + fault_ms)).await;
            let late = StoreFault::CarriesOutLate(Duration::from_secs(3));
            bed.world.set_fault(&holder, late);
            sleep(Duration::from_millis(700)).await;
            bed.world.set_fault(&holder, StoreFault::None);
            let second = job("ms=4000", &[4]);
            let id = "00000000000000b1";
            assert_eq!(bed.submit(other, id, second).await, Reply::Accepted);
            let team = "agencies".parse().expect("a name");
            let pool = "p".parse().expect("a name");
            for _ in 0..240 {
                sleep(Duration::from_millis(50)).await;
                let stored = bed.world.table.borrow().get(&keys::share(&team)).cloned();
                let share: Share = stored.map_or_else(Share::default, |item| {
                    keys::decode(&item.key, &item.value).expect("a share")
                });
                let mut crew = bed.world.crew.borrow_mut();
                crew.settle(Instant::now());
                let running = u64::try_from(crew.running().count()).expect("a count");
                let row = share.row(&pool).cpu_millis;
                assert!(
                    running * 1_000 <= row,
                    "{running} run, row {row}, {fault_ms} ms"
                );
            }
            bed.wait_for(other, id, JobState::Completed, Duration::from_secs(9))
                .await;
        })
        .await;
    }
}
