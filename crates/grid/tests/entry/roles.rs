//! Roles: schedulers that are killed, stopped or partitioned are replaced, and no task runs twice.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::registry::UseGuard;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::spec::JobState;
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, KEY, catalogue, catalogue_with, job, local};

const ID: &str = "00000000000000a1";

fn other(holder: &str) -> &'static str {
    if holder == "e1" { "e2" } else { "e1" }
}

#[tokio::test(start_paused = true)]
async fn holder_killed_is_replaced() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = other(&holder);
        let spec = job("ms=1000", &[4, 4]);
        assert_eq!(bed.submit(&holder, ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(300)).await;
        bed.kill(&holder);
        bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(8))
            .await;
        assert_eq!(bed.holder(), other);
        assert_eq!(bed.world.crew.borrow().starts.len(), 8);
        bed.check_once();
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn holder_stopped_hands_over_at_once() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = other(&holder);
        let spec = job("ms=1000", &[4, 4]);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(300)).await;
        let began_at = Instant::now();
        bed.stop(&holder);
        while bed.world.table.borrow().get("who/role/pool/p").is_none() || bed.holder() == holder {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(began_at.elapsed() < Duration::from_secs(1));
        bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(4))
            .await;
        bed.check_once();
    })
    .await;
}

/// A stop at any moment between two renewals of the session must not deadlock the entry, whose single thread could wait
/// for itself. The entry runs on a thread of its own, so that the test detects a hang.
#[test]
fn stop_at_any_moment_of_a_renewal_ends() {
    let (ended, has_ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(local(async {
            for stop_ms in 0..400 {
                let bed = Bed::new(1);
                bed.start_all(&["e1"]).await;
                sleep(Duration::from_millis(stop_ms)).await;
                bed.stop("e1");
                sleep(Duration::from_millis(500)).await;
                assert!(bed.has_ended("e1"), "stop requested after {stop_ms} ms");
            }
        }));
        ended.send(()).expect("the test waits");
    });
    let within = Duration::from_mins(1);
    assert!(has_ended.recv_timeout(within).is_ok(), "the entry hangs");
}

/// The scheduler receives the end of a run, can't store it, and is stopped. It must not acknowledge the end to the
/// worker: its successor would not learn of the end and start the task again. Tries a stop at each moment around the
/// end.
#[tokio::test(start_paused = true)]
async fn end_unsaved_at_stop_is_not_noted() {
    for stop_ms in (1_000..1_100).step_by(4) {
        local(async move {
            let bed = Bed::new(1);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = other(&holder);
            let spec = job("ms=1000", &[1, 1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(Duration::from_millis(900)).await;
            bed.world.set_fault(&holder, StoreFault::Silent);
            sleep(Duration::from_millis(stop_ms - 900)).await;
            bed.stop(&holder);
            bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(16))
                .await;
            bed.check_once();
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn holder_cut_from_store_stops_starting() {
    local(async {
        let bed = Bed::new(1);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = other(&holder);
        bed.world.set_fault(&holder, StoreFault::Silent);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(bed.holder(), other);
        assert_eq!(
            bed.submit(other, ID, job("", &[2, 2])).await,
            Reply::Accepted
        );
        bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(4))
            .await;
        bed.world.set_fault(&holder, StoreFault::None);
        sleep(Duration::from_secs(5)).await;
        bed.check_once();
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn all_entries_lost_after_acceptance() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2", "e3"]).await;
        assert_eq!(
            bed.submit("e1", ID, job("", &[3, 2])).await,
            Reply::Accepted
        );
        for entry in ["e1", "e2", "e3"] {
            bed.kill(entry);
        }
        sleep(Duration::from_millis(600)).await;
        bed.start_all(&["e1", "e2", "e3"]).await;
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(8))
            .await;
        bed.check_once();
    })
    .await;
}

/// A worker leaves and a key is withdrawn while every entry is down. The stored state of earlier schedulers still names
/// the worker, and a caller still has the key; neither may be used again.
#[tokio::test(start_paused = true)]
async fn restart_uses_no_departed_worker_and_no_withdrawn_key() {
    local(async {
        let bed = Bed::new(4);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=30000", &[8]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(500)).await;
        for entry in ["e1", "e2"] {
            bed.kill(entry);
        }
        for entry in ["e1", "e2", "e3"] {
            bed.world.set_reachable(entry, "w1", false);
        }
        bed.world.crew.borrow_mut().set_listed("w1", false);
        bed.world.set_catalogue(catalogue(2, &["second"], 0));
        let before = bed.world.crew.borrow().starts.len();
        bed.start_all(&["e1", "e2", "e3"]).await;
        let other = "00000000000000b1";
        for entry in ["e1", "e2", "e3"] {
            let reply = bed.submit(entry, other, job("", &[1])).await;
            assert_eq!(reply, Reply::UnknownKey, "{entry}");
        }
        let reply = bed.submit_with("e3", other, "second", job("", &[1])).await;
        assert_eq!(reply, Reply::Accepted);
        sleep(Duration::from_secs(15)).await;
        let crew = bed.world.crew.borrow();
        let later = &crew.starts[before..];
        assert!(later.iter().all(|start| start.worker.as_str() != "w1"));
        // The runs of that worker are started elsewhere once their leases have expired.
        assert!(!later.is_empty());
        drop(crew);
        bed.check_once();
    })
    .await;
}

/// A zone is partitioned with the scheduler and a worker in it. The scheduler must not extend the leases of the
/// worker's runs: its successor starts them elsewhere once every lease that was offered while the role was held has
/// expired.
#[tokio::test(start_paused = true)]
async fn holder_cut_off_with_a_worker_lets_leases_lapse() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = other(&holder);
        let spec = job("ms=60000", &[6]);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        sleep(Duration::from_secs(1)).await;
        bed.world.set_fault(&holder, StoreFault::Silent);
        bed.world.set_reachable(other, "w1", false);
        bed.world.set_reachable(&holder, "w2", false);
        sleep(Duration::from_secs(16)).await;
        assert_eq!(bed.holder(), other);
        bed.check_once();
        // Some of the lost runs were started again. The one reachable worker has no capacity for all of them.
        assert!(bed.world.crew.borrow().starts.len() > 6);
    })
    .await;
}

/// The work of a pool's scheduler grows with its workers, so the role goes to the entry with the most processor time.
#[tokio::test(start_paused = true)]
async fn roles_go_to_strong_entries() {
    local(async {
        let bed = Bed::new(2);
        for name in ["e1", "e2", "e3", "e4"] {
            bed.start_with(name, 120);
        }
        bed.start_with("e5", 500);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(bed.holder(), "e5");
        bed.kill("e5");
        sleep(Duration::from_secs(4)).await;
        assert_ne!(bed.holder(), "e5");
    })
    .await;
}

/// Changed bounds apply to running schedulers too: with a shorter lease, a lost worker's tasks are started elsewhere
/// sooner.
#[tokio::test(start_paused = true)]
async fn settings_changed_while_a_role_is_held() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1"]).await;
        let before = bed.entry("e1").settings();
        let mut changed = (*before).clone();
        changed.name = "other".into();
        changed.pool.lease = Duration::from_secs(2);
        assert!(bed.entry("e1").set_settings(&changed));
        // An entry keeps its name; the same settings again change nothing.
        assert_eq!(&*bed.entry("e1").settings().name, "e1");
        assert!(!bed.entry("e1").set_settings(&changed));
        // Waits until leases that were offered under the old bounds have expired.
        sleep(Duration::from_secs(6)).await;
        let spec = job("ms=1500", &[8]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(300)).await;
        bed.world.set_reachable("e1", "w1", false);
        bed.world.crew.borrow_mut().set_listed("w1", false);
        let lost_at = Instant::now();
        while bed.world.crew.borrow().starts.len() == 8 {
            sleep(Duration::from_millis(50)).await;
        }
        let freed_after = lost_at.elapsed();
        assert!(freed_after < Duration::from_secs(3), "{freed_after:?}");
        bed.wait_for("e1", ID, JobState::Completed, Duration::from_secs(3))
            .await;
        bed.check_once();
    })
    .await;
}

/// Guards against a scheduler that works by an outdated catalogue: the catalogue changes at any moment of a takeover
/// from a slow store. Both the permits that the queue now needs and the team's new upper limit must be in force.
#[tokio::test(start_paused = true)]
async fn takeover_sees_a_catalogue_that_comes_meanwhile() {
    for changed_ms in (0..1_600).step_by(100) {
        local(async move {
            let bed = Bed::new(2);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = other(&holder);
            bed.world.delay.set(Duration::from_millis(240));
            bed.kill(&holder);
            sleep(Duration::from_millis(1_600 + changed_ms)).await;
            bed.world.permits.allow_only(&["w1", "w2"]);
            bed.world
                .set_catalogue(catalogue_with(2, &[KEY], 2_000, true));
            sleep(Duration::from_secs(3)).await;
            bed.world.delay.set(Duration::from_millis(4));
            sleep(Duration::from_secs(3)).await;
            let spec = job("ms=1000", &[6]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            for _ in 0..80 {
                sleep(Duration::from_millis(100)).await;
                let running = bed.world.crew.borrow().running().count();
                assert!(running <= 2, "{running} run, changed after {changed_ms} ms");
            }
            let state = bed.query(other, ID).await;
            let completed = Reply::State(JobState::Completed);
            assert_eq!(state, completed, "changed after {changed_ms} ms");
            bed.check_once();
        })
        .await;
    }
}

/// Guards against workers that departed since an entry last held a role: what it read then counts as not read.
#[tokio::test(start_paused = true)]
async fn registry_first_user_forgets_what_was_read_for_an_earlier_role() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let (scheduler, idle) = (bed.entry(&bed.holder()), bed.entry(other(&bed.holder())));
        let read = scheduler.workers.get();
        assert_eq!((read.len(), idle.registry_users.get()), (2, 0));
        idle.workers.set(read.clone());
        let first = UseGuard::new(Rc::clone(&idle));
        assert!(idle.workers.get().is_empty());
        idle.workers.set(read);
        let second = UseGuard::new(Rc::clone(&idle));
        assert_eq!(idle.workers.get().len(), 2);
        drop((first, second));
    })
    .await;
}

/// Guards against a team above its upper limit: a worker with the team's runs is cut off, its scheduler stops, and the
/// successor doesn't hear of these runs. They count until their leases have expired.
#[tokio::test(start_paused = true)]
async fn takeover_counts_the_usage_of_a_worker_that_is_cut_off() {
    for cut_ms in (0..1_000).step_by(100) {
        local(async move {
            let bed = Bed::new(2);
            bed.bounds.set(Bounds {
                lease: LEASE_SHORT,
                ..Bounds::default()
            });
            bed.world.set_catalogue(catalogue(2, &[KEY], 4_000));
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = other(&holder);
            let second = "00000000000000b1";
            for id in [ID, second] {
                let spec = job("ms=20000", &[4]);
                assert_eq!(bed.submit(other, id, spec).await, Reply::Accepted);
                sleep(Duration::from_millis(600)).await;
            }
            sleep(Duration::from_millis(cut_ms)).await;
            let workers: Vec<String> = {
                let crew = bed.world.crew.borrow();
                let workers = crew.running().map(|(worker, _)| worker.to_string());
                workers.collect()
            };
            assert_eq!(workers.len(), 4);
            for worker in &workers {
                bed.world.set_reachable(other, worker, false);
            }
            bed.stop(&holder);
            for _ in 0..160 {
                sleep(Duration::from_millis(50)).await;
                let mut crew = bed.world.crew.borrow_mut();
                crew.settle(Instant::now());
                let running = crew.running().count();
                assert!(running <= 4, "{running} run, cut after {cut_ms} ms");
            }
            // The runs that were lost have expired, and as many are at work on the other worker.
            assert!(bed.world.crew.borrow().starts.len() > 4);
        })
        .await;
    }
}

/// Load pattern: after an outage the strong entries are the last ones back. A weak entry that holds all roles hands
/// them over one after the other, while its pool has work.
#[tokio::test(start_paused = true)]
async fn weak_holder_hands_over_to_strong_entries() {
    local(async {
        let bed = Bed::new(3);
        bed.start_with("weak", 120);
        sleep(Duration::from_secs(3)).await;
        let spec = job("ms=3000", &[6, 6]);
        assert_eq!(bed.submit("weak", ID, spec).await, Reply::Accepted);
        bed.start_with("s1", 500);
        bed.start_with("s2", 500);
        sleep(Duration::from_secs(4)).await;
        let holders = [bed.holder(), bed.holder_of("fleet")];
        assert!(holders.iter().all(|name| name != "weak"), "{holders:?}");
        assert_ne!(holders[0], holders[1]);
        bed.wait_for("s1", ID, JobState::Completed, Duration::from_secs(8))
            .await;
        assert_eq!(bed.world.crew.borrow().starts.len(), 12);
        bed.check_once();
    })
    .await;
}

/// The shortest lease of runs that the settings of the platform lead to.
const LEASE_SHORT: Duration = Duration::from_secs(3);

/// Load pattern: a holder is lost at any moment between two reports of its workers, and another entry ranks first. The
/// runs survive until the successor has extended their leases.
#[tokio::test(start_paused = true)]
async fn holder_killed_runs_survive_with_short_leases() {
    for kill_ms in (0..1_000).step_by(50) {
        local(async move {
            let bed = Bed::new(2);
            bed.bounds.set(Bounds {
                lease: LEASE_SHORT,
                ..Bounds::default()
            });
            bed.start_all(&["e1", "e2", "e3"]).await;
            let holder = bed.holder();
            let other = if holder == "e1" { "e2" } else { "e1" };
            let spec = job("ms=7000", &[4]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(Duration::from_millis(1_500 + kill_ms)).await;
            bed.kill(&holder);
            bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(9))
                .await;
            let starts = bed.world.crew.borrow().starts.len();
            assert_eq!(starts, 4, "killed after {kill_ms} ms");
        })
        .await;
    }
}

/// Guards against a task that runs on two workers: an idle worker gets a task, its scheduler stops, and the worker is
/// cut off as soon as it has reported to the successor. Its lease must not outlast what the successor assumes.
#[tokio::test(start_paused = true)]
async fn idle_worker_cut_off_after_a_hand_over_runs_its_task_alone() {
    for submit_ms in (0..2_000).step_by(100) {
        local(async move {
            let bed = Bed::new(2);
            bed.bounds.set(Bounds {
                lease: LEASE_SHORT,
                ..Bounds::default()
            });
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = other(&holder);
            sleep(Duration::from_millis(submit_ms)).await;
            let spec = job("ms=12000", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(Duration::from_millis(60)).await;
            let worker = bed
                .world
                .crew
                .borrow()
                .running()
                .next()
                .map(|(worker, _)| worker.to_string());
            let worker = worker.expect("the task runs");
            bed.stop(&holder);
            while bed.world.table.borrow().get("who/role/pool/p").is_none()
                || bed.holder() == holder
            {
                sleep(Duration::from_millis(2)).await;
            }
            sleep(Duration::from_millis(60)).await;
            bed.world.set_reachable(other, &worker, false);
            sleep(Duration::from_secs(7)).await;
            // The successor has started the task on the other worker, after its lease has expired here.
            let starts = bed.world.crew.borrow().starts.len();
            assert_eq!(starts, 2, "submitted after {submit_ms} ms");
            let doubled = bed.world.crew.borrow().doubled.clone();
            assert_eq!(doubled, Vec::new(), "submitted after {submit_ms} ms");
        })
        .await;
    }
}

/// As above, while the answers to transactions of the weak entry are lost or its transactions are carried out late. It
/// must not act again in a role that it has handed over: its run numbers would repeat.
#[tokio::test(start_paused = true)]
async fn hand_over_without_an_answer_is_final() {
    let late = StoreFault::CarriesOutLate(Duration::from_millis(900));
    for fault in [StoreFault::LosesAnswers, late] {
        for fault_ms in (0..1_600).step_by(200) {
            local(async move {
                let bed = Bed::new(3);
                bed.start_with("weak", 120);
                sleep(Duration::from_secs(3)).await;
                let spec = job("ms=1500", &[8, 8]);
                assert_eq!(bed.submit("weak", ID, spec).await, Reply::Accepted);
                bed.start_with("s1", 500);
                bed.start_with("s2", 500);
                sleep(Duration::from_millis(fault_ms)).await;
                bed.world.set_fault("weak", fault);
                sleep(Duration::from_secs(6)).await;
                bed.world.set_fault("weak", StoreFault::None);
                bed.wait_for("s1", ID, JobState::Completed, Duration::from_secs(12))
                    .await;
                let holders = [bed.holder(), bed.holder_of("fleet")];
                assert!(holders.iter().all(|name| name != "weak"), "{holders:?}");
                bed.check_once();
            })
            .await;
        }
    }
}

/// Leases so short that no two requests fit into them must not make the requests follow each other at once.
#[tokio::test(start_paused = true)]
async fn leases_without_length_do_not_flood_workers() {
    local(async {
        let bed = Bed::new(1);
        bed.bounds.set(Bounds {
            lease: Duration::ZERO,
            lease_max: Duration::ZERO,
            ..Bounds::default()
        });
        bed.start_all(&["e1"]).await;
        let before = bed.world.crew.borrow().reports;
        sleep(Duration::from_secs(1)).await;
        let requests = bed.world.crew.borrow().reports - before;
        assert!(requests <= 21, "{requests} requests in a second");
    })
    .await;
}
