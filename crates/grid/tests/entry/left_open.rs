//! What earlier postmortems left open: commands that reach an incarnation which nobody has heard, acknowledgements that hide its
//! ends, and stored state that a successor does not see.

use std::fmt::Write as _;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::ports::{Put, Txn};
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{JobSpec, JobState};
use goldcrest_standin::grid::{Crew, StoreFault};
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

const OTHER: &str = "00000000000000b1";

/// The leases that schedulers offer; workers grant longer ones.
const LEASE: Duration = Duration::from_secs(3);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts entries whose leases are shorter than what workers grant, and lets the clocks of the workers advance. Returns
/// the holder of the pool and the other entry.
async fn start(bed: &Bed) -> (String, &'static str) {
    bed.bounds.set(Bounds {
        lease: LEASE,
        ..Bounds::default()
    });
    bed.start_all(&["e1", "e2"]).await;
    sleep(ms(10_000)).await;
    let holder = bed.holder();
    let other = if holder == "e1" { "e2" } else { "e1" };
    (holder, other)
}

/// The starts and ends of all runs, for messages.
fn record(bed: &Bed, since: Instant) -> String {
    let mut crew = bed.world.crew.borrow_mut();
    crew.settle(Instant::now());
    let mut lines: Vec<(u128, String)> = Vec::new();
    for start in &crew.starts {
        let at = start.at.saturating_duration_since(since).as_millis();
        let line = format!(
            "run {} of {} starts on {}",
            start.run, start.task, start.worker
        );
        lines.push((at, line));
    }
    for end in crew.history() {
        let at = end.at.saturating_duration_since(since).as_millis();
        lines.push((
            at,
            format!("run {} of {} ends: {:?}", end.run, end.task, end.end),
        ));
    }
    lines.sort();
    let mut text = String::from("acknowledged:");
    for (task, run, end) in &crew.noted {
        let _ = write!(text, " run {run} of {task} ({end:?})");
    }
    for (at, line) in lines {
        let _ = write!(text, "\n{at} ms: {line}");
    }
    text
}

fn check_once(bed: &Bed, since: Instant, what: &str) {
    let doubled = bed.world.crew.borrow().doubled.clone();
    assert_eq!(doubled, Vec::new(), "{what}\n{}", record(bed, since));
}

/// Waits until a task runs, and returns its worker.
async fn running_worker(bed: &Bed) -> String {
    loop {
        let running = {
            let crew = bed.world.crew.borrow();
            crew.running().next().map(|(worker, _)| worker.to_string())
        };
        if let Some(worker) = running {
            return worker;
        }
        sleep(ms(5)).await;
    }
}

/// Cuts a worker off from all entries.
fn cut_off(bed: &Bed, worker: &str) {
    for entry in ["e1", "e2"] {
        bed.world.set_reachable(entry, worker, false);
    }
}

/// Plays a worker that is back unnoticed and carries out a start that was meant for its earlier incarnation, `late` or at once.
/// Its holder is killed, and neither the successor nor the registry hears it.
async fn play_unheard_incarnation(late: Option<u64>) {
    let bed = Bed::new(2);
    let (holder, other) = start(&bed).await;
    bed.world.crew.borrow_mut().set_capacity("w2", 500);
    sleep(ms(1_000)).await;
    let since = Instant::now();
    let restart = || {
        let mut crew = bed.world.crew.borrow_mut();
        crew.set_registering("w1", false);
        crew.crash_silently("w1", Instant::now());
    };
    if late.is_none() {
        restart();
    }
    bed.world.set_late_commands(&holder, late.map(ms));
    let spec = job("ms=14000", &[1]);
    assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
    sleep(ms(600)).await;
    if late.is_some() {
        restart();
    }
    bed.kill(&holder);
    cut_off(&bed, "w1");
    bed.world.crew.borrow_mut().set_capacity("w2", 4_000);
    sleep(ms(4_500)).await;
    // Its entry has expired.
    bed.world.crew.borrow_mut().set_listed("w1", false);
    sleep(ms(15_000)).await;
    check_once(&bed, since, &format!("{late:?} ms late"));
    let starts = bed.world.crew.borrow().starts.len();
    assert_eq!(starts, 2, "{}", record(&bed, since));
}

/// Guards against a task on two workers: a successor takes the stored incarnation of a worker that it does not hear for the
/// present one, and its lease for one that schedulers offer.
#[tokio::test(start_paused = true)]
async fn start_on_an_incarnation_that_no_one_has_heard_is_waited_for() {
    local(play_unheard_incarnation(None)).await;
}

/// As above, but the start had no answer and was carried out after the holder was killed.
#[tokio::test(start_paused = true)]
async fn late_start_on_an_incarnation_that_no_one_has_heard_is_waited_for() {
    local(play_unheard_incarnation(Some(1_000))).await;
}

/// How the registry shows a worker that is back and cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    /// As it was before the crash: it is cut off from the store as well.
    AsBefore,
    /// As it is.
    AsItIs,
}

/// Guards against tasks on two workers, both started by one holder with no order that is late: the worker is back between a report
/// and the next request, which was held up by a save and extends the lease of the next incarnation. Jobs that start there
/// then hold a lease as long as workers grant, and the worker is cut off.
#[tokio::test(start_paused = true)]
async fn lease_from_a_request_after_a_save_is_waited_for() {
    for listed in [Listed::AsItIs, Listed::AsBefore] {
        for submit_ms in [0, 20, 40, 400, 900] {
            local(async move {
                let bed = Bed::new(2);
                let (holder, other) = start(&bed).await;
                bed.world.crew.borrow_mut().set_capacity("w2", 500);
                sleep(ms(1_000)).await;
                let since = Instant::now();
                let spec = job("ms=600", &[1]);
                assert_eq!(bed.submit(other, OTHER, spec).await, Reply::Accepted);
                sleep(ms(500)).await;
                // The end of the task takes long to save.
                bed.world.set_fault(&holder, StoreFault::Silent);
                sleep(ms(200)).await;
                if listed == Listed::AsBefore {
                    bed.world.crew.borrow_mut().set_registering("w1", false);
                }
                bed.world
                    .crew
                    .borrow_mut()
                    .crash_silently("w1", Instant::now());
                sleep(ms(300)).await;
                bed.world.set_fault(&holder, StoreFault::None);
                // The request has arrived.
                sleep(ms(500 + submit_ms)).await;
                for number in 0..3 {
                    let id = format!("00000000000000c{number}");
                    let spec = job("ms=5500", &[1]);
                    assert_eq!(bed.submit(other, &id, spec).await, Reply::Accepted);
                }
                sleep(ms(1_500)).await;
                if listed == Listed::AsItIs {
                    let running = bed.world.crew.borrow().running().count();
                    assert_eq!(running, 3, "{}", record(&bed, since));
                }
                cut_off(&bed, "w1");
                bed.world.crew.borrow_mut().set_capacity("w2", 4_000);
                sleep(ms(5_500)).await;
                for entry in ["e1", "e2"] {
                    bed.world.set_reachable(entry, "w1", true);
                }
                bed.world.crew.borrow_mut().set_registering("w1", true);
                sleep(ms(12_000)).await;
                assert_eq!(bed.holder(), holder);
                let what = format!("{listed:?}, submitted after {submit_ms} ms");
                check_once(&bed, since, &what);
            })
            .await;
        }
    }
}

/// A job with one task of four cores.
fn wide_job(payload: &str) -> JobSpec {
    let mut spec = job(payload, &[1]);
    for step in &mut spec.steps {
        step.demand = Resources {
            cpu_millis: 4_000,
            ..step.demand
        };
    }
    spec
}

/// Guards against a task on two workers: a start of the predecessor had no answer, and its worker has answered the successor
/// and is back once more. The task must not start elsewhere before the present incarnation has answered.
#[tokio::test(start_paused = true)]
async fn late_start_of_a_predecessor_holds_an_idle_task() {
    for late_ms in [4_850, 5_000, 5_500, 6_000] {
        local(async move {
            let bed = Bed::new(2);
            let (holder, other) = start(&bed).await;
            bed.world.crew.borrow_mut().set_capacity("w1", 1_000);
            sleep(ms(1_000)).await;
            // Ends when the worker is back, and its present incarnation has not been heard.
            assert_eq!(
                bed.submit(other, OTHER, wide_job("ms=6500")).await,
                Reply::Accepted
            );
            assert_eq!(running_worker(&bed).await, "w2");
            let since = Instant::now();
            sleep(ms(1_000)).await;
            bed.world.set_late_commands(&holder, Some(ms(late_ms)));
            let spec = job("ms=4000", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(ms(300)).await;
            // The worker has no room for another start.
            bed.world.crew.borrow_mut().set_capacity("w1", 500);
            bed.kill(&holder);
            bed.world.set_late_commands(&holder, None);
            // The successor has heard the worker.
            sleep(ms(4_500)).await;
            bed.world.crew.borrow_mut().crash("w1", Instant::now());
            cut_off(&bed, "w1");
            sleep(ms(12_000)).await;
            check_once(&bed, since, &format!("{late_ms} ms late"));
        })
        .await;
    }
}

/// Guards against a task that runs again after its end: a start and a request that acknowledges ends are both carried out late
/// by the worker's next incarnation, which then forgets the end of the start's run.
#[tokio::test(start_paused = true)]
async fn acknowledgement_hides_no_end_of_a_late_start() {
    for submit_ms in (0..1_500).step_by(50) {
        local(async move {
            let bed = Bed::new(1);
            let (holder, other) = start(&bed).await;
            let spec = job("ms=300", &[4]);
            assert_eq!(bed.submit("e1", OTHER, spec).await, Reply::Accepted);
            // Its ends are acknowledged by now.
            sleep(ms(3_000 + submit_ms)).await;
            let since = Instant::now();
            bed.world.set_late_commands(&holder, Some(ms(1_100)));
            let spec = job("ms=100", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            // Both copies of the start are late, and so is the next request for a report.
            sleep(ms(600)).await;
            bed.world.set_late_commands(&holder, None);
            {
                let mut crew = bed.world.crew.borrow_mut();
                // It writes its entry about every second or two.
                crew.set_registering("w1", false);
                crew.crash_silently("w1", Instant::now());
            }
            sleep(ms(2_000)).await;
            bed.world.crew.borrow_mut().set_registering("w1", true);
            sleep(ms(8_000)).await;
            check_once(&bed, since, &format!("submitted after {submit_ms} ms"));
        })
        .await;
    }
}

/// Guards against a task that runs again after its end, with no order that is late: a worker is back between a report and the
/// next request, gets a start, and that request acknowledges ends of its earlier incarnation before it has listed any.
#[tokio::test(start_paused = true)]
async fn acknowledgement_hides_no_end_of_an_unnoticed_incarnation() {
    for crash_ms in [340, 360, 380, 400] {
        local(async move {
            let bed = Bed::new(2);
            let (holder, other) = start(&bed).await;
            {
                let mut crew = bed.world.crew.borrow_mut();
                crew.set_capacity("w1", 2_000);
                crew.set_capacity("w2", 1_000);
            }
            sleep(ms(1_000)).await;
            // Ends of the first incarnation are acknowledged.
            let spec = job("ms=200", &[3]);
            let first = "00000000000000c1";
            assert_eq!(bed.submit(other, first, spec).await, Reply::Accepted);
            sleep(ms(3_000)).await;
            let since = Instant::now();
            // The job's second task waits for the smaller worker.
            let spec = job("ms=1100", &[1]);
            assert_eq!(bed.submit(other, OTHER, spec).await, Reply::Accepted);
            assert_eq!(running_worker(&bed).await, "w2");
            sleep(ms(1_000)).await;
            let mut spec = job("ms=300", &[2, 1]);
            spec.steps[0].spread = Some(1);
            spec.steps[1].demand.cpu_millis = 2_000;
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(ms(290)).await;
            // Its first end takes long to save.
            bed.world.set_fault(&holder, StoreFault::Silent);
            sleep(ms(crash_ms - 290)).await;
            bed.world
                .crew
                .borrow_mut()
                .crash_silently("w1", Instant::now());
            sleep(ms(1_050 - crash_ms)).await;
            bed.world.set_fault(&holder, StoreFault::None);
            sleep(ms(12_000)).await;
            assert_eq!(bed.holder(), holder);
            check_once(&bed, since, &format!("back after {crash_ms} ms"));
        })
        .await;
    }
}

/// Guards against a task that runs again after its end: ends of a worker that states no start time are numbered from 1 again
/// once it is back, and would be taken for ends that are known. So nothing is started on such a worker.
#[tokio::test(start_paused = true)]
async fn worker_without_a_start_time_is_not_used() {
    for crash in [Crew::crash, Crew::crash_silently] {
        local(async move {
            let bed = Bed::new(2);
            bed.world.crew.borrow_mut().set_stating_start("w1", false);
            let (_, other) = start(&bed).await;
            let since = Instant::now();
            for (id, tasks) in [(OTHER, 6), (ID, 1)] {
                let spec = job("ms=300", &[tasks]);
                assert_eq!(bed.submit(other, id, spec).await, Reply::Accepted);
                bed.wait_for(other, id, JobState::Completed, ms(10_000))
                    .await;
                crash(&mut bed.world.crew.borrow_mut(), "w1", Instant::now());
                sleep(ms(3_000)).await;
            }
            check_once(&bed, since, "no start time");
            let crew = bed.world.crew.borrow();
            let mut starts = crew.starts.iter();
            assert!(starts.all(|start| start.worker.as_str() == "w2"));
            assert_eq!(crew.starts.len(), 7, "{}", record(&bed, since));
        })
        .await;
    }
}

/// Writes bytes that no entry can decode to a key of the store.
fn spoil(bed: &Bed, key: &str) {
    let txn = Txn {
        puts: vec![Put {
            key: key.into(),
            value: b"?".to_vec(),
            lease: None,
        }],
        ..Txn::default()
    };
    let mut table = bed.world.table.borrow_mut();
    assert!(table.get(key).is_some(), "{key} is stored");
    assert!(table.commit(&txn, Instant::now()).is_ok());
}

/// Plays a holder that is killed and leaves a value that can't be decoded. The task at work is on a worker that the
/// successor does not hear (`is_cut`).
async fn play_spoiled(key: &str, is_cut: bool, payload: &str, steps: &[u32], kill_ms: u64) {
    let bed = Bed::new(2);
    let (holder, other) = start(&bed).await;
    let since = Instant::now();
    let spec = job(payload, steps);
    assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
    let worker = running_worker(&bed).await;
    sleep(ms(kill_ms)).await;
    bed.kill(&holder);
    if is_cut {
        cut_off(&bed, &worker);
    }
    spoil(&bed, key);
    sleep(ms(20_000)).await;
    check_once(&bed, since, key);
}

/// Guards against a task on two workers: a successor that can't decode the list of assigned workers must not wait for none.
#[tokio::test(start_paused = true)]
async fn unreadable_list_of_assigned_workers_is_not_an_empty_one() {
    local(play_spoiled("crew/p", true, "ms=8000", &[1], 1_000)).await;
}

/// Guards against tasks that run again after their ends: a job whose progress can't be decoded may have done tasks.
#[tokio::test(start_paused = true)]
async fn unreadable_progress_is_not_an_empty_one() {
    let key = "run/p/00000000000000a1";
    local(play_spoiled(key, false, "ms=1500", &[1, 1], 2_200)).await;
}

/// Guards against a task on two workers: a job whose progress can't be decoded may have runs on any assigned worker.
#[tokio::test(start_paused = true)]
async fn unreadable_progress_waits_for_all_workers() {
    let key = "run/p/00000000000000a1";
    local(play_spoiled(key, true, "ms=8000", &[1], 1_000)).await;
}

/// Guards against unreported runs that a successor does not know of: a removal of their key had no answer, was repeated, and is
/// carried out once more after the key was written again.
#[tokio::test(start_paused = true)]
async fn late_removal_spares_a_newer_value() {
    local(async {
        let bed = Bed::new(2);
        let (holder, other) = start(&bed).await;
        let set_room = |worker: &str, cpu_millis| {
            let mut crew = bed.world.crew.borrow_mut();
            crew.set_capacity(worker, cpu_millis);
        };
        let is_stored = || {
            let table = bed.world.table.borrow();
            table.get("lost/p/00000000000000a1").is_some()
        };
        set_room("w2", 500);
        sleep(ms(1_000)).await;
        let since = Instant::now();
        // The second task crashes its worker; there is only room for the first one.
        let mut spec = job("ms=60000 crashes=1", &[2]);
        spec.steps[0].spread = Some(1);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        assert_eq!(running_worker(&bed).await, "w1");
        sleep(ms(1_000)).await;
        cut_off(&bed, "w1");
        set_room("w1", 500);
        sleep(ms(5_000)).await;
        assert!(is_stored(), "the first task's run is lost");
        bed.world
            .set_fault(&holder, StoreFault::CarriesOutLate(ms(5_500)));
        for entry in ["e1", "e2"] {
            bed.world.set_reachable(entry, "w1", true);
        }
        sleep(ms(2_000)).await;
        bed.world.set_fault(&holder, StoreFault::None);
        sleep(ms(2_000)).await;
        assert!(!is_stored(), "its end was reported");
        for worker in ["w1", "w2"] {
            set_room(worker, 1_000);
        }
        // The second task has crashed a worker, which is down.
        sleep(ms(2_500)).await;
        assert!(is_stored(), "{}", record(&bed, since));
        sleep(ms(1_000)).await;
        assert!(is_stored(), "{}", record(&bed, since));
        assert_eq!(bed.holder(), holder);
    })
    .await;
}

/// Guards against a job that is forgotten because its id is submitted again before a removal that had no answer is carried out:
/// while that may happen, the status of the ended job keeps the id.
#[tokio::test(start_paused = true)]
async fn late_removal_of_a_closed_job_meets_no_other_one() {
    for is_cancelled in [true, false] {
        local(async move {
            let bed = Bed::new(1);
            let (holder, other) = start(&bed).await;
            let cpu_millis = if is_cancelled { 500 } else { 4_000 };
            bed.world.crew.borrow_mut().set_capacity("w1", cpu_millis);
            sleep(ms(1_000)).await;
            assert_eq!(
                bed.submit(other, ID, job("ms=600", &[1])).await,
                Reply::Accepted
            );
            sleep(ms(500)).await;
            bed.world
                .set_fault(&holder, StoreFault::CarriesOutLate(ms(5_000)));
            if is_cancelled {
                assert_eq!(bed.cancel(other, ID).await, Reply::Cancelled);
            }
            sleep(ms(1_000)).await;
            bed.world.set_fault(&holder, StoreFault::None);
            bed.world.crew.borrow_mut().set_capacity("w1", 4_000);
            sleep(ms(1_500)).await;
            let stored = || {
                let table = bed.world.table.borrow();
                let keys = ["in/p/job/00000000000000a1", "run/p/00000000000000a1"];
                keys.map(|key| table.get(key).is_some())
            };
            assert_eq!(stored(), [false, false], "the job is closed");
            let again = bed.submit(other, ID, job("ms=9000", &[1])).await;
            sleep(ms(500)).await;
            assert_eq!(stored(), [false, false], "{again:?}");
            sleep(ms(8_000)).await;
            let starts = bed.world.crew.borrow().starts.len();
            assert_eq!(starts, usize::from(!is_cancelled));
            bed.check_once();
        })
        .await;
    }
}

/// The most starts of a task that crashes its workers: three, and two after the third crash.
const STARTS_MAX: usize = 5;

/// Guards against a task that crashes worker after worker because what is stored of its losses can't be decoded.
#[tokio::test(start_paused = true)]
async fn unreadable_losses_are_not_none() {
    local(async {
        let bed = Bed::new(5);
        bed.start_all(&["e1", "e2", "e3"]).await;
        let spec = job("crashes=0", &[1]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        let key = "lost/p/00000000000000a1";
        for _ in 0..8 {
            let until = Instant::now() + ms(10_000);
            while bed.world.table.borrow().get(key).is_none() && Instant::now() < until {
                sleep(ms(10)).await;
            }
            let holder = bed.holder();
            bed.kill(&holder);
            if bed.world.table.borrow().get(key).is_some() {
                spoil(&bed, key);
            }
            sleep(ms(4_500)).await;
            bed.start(&holder);
        }
        let starts = bed.world.crew.borrow().starts.len();
        assert!(starts <= STARTS_MAX, "{starts} starts");
    })
    .await;
}

/// Guards against a task on two workers: of two copies of a start one had no answer. However late it is carried out, a task that
/// is not at work must not be started elsewhere before the worker's next incarnation has answered.
#[tokio::test(start_paused = true)]
async fn unanswered_start_is_remembered_while_its_job_is_open() {
    for late_ms in [20_000, 31_500, 60_000] {
        local(async move {
            let bed = Bed::new(2);
            let (holder, other) = start(&bed).await;
            bed.world.crew.borrow_mut().set_capacity("w2", 500);
            sleep(ms(1_000)).await;
            let since = Instant::now();
            bed.world.set_late_commands(&holder, Some(ms(late_ms)));
            let spec = job("ms=90000", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(ms(300)).await;
            bed.world.set_late_commands(&holder, None);
            sleep(ms(late_ms - 700)).await;
            assert_eq!(running_worker(&bed).await, "w1");
            bed.world.crew.borrow_mut().set_capacity("w2", 4_000);
            bed.world.crew.borrow_mut().crash("w1", Instant::now());
            cut_off(&bed, "w1");
            sleep(ms(20_000)).await;
            check_once(&bed, since, &format!("{late_ms} ms late"));
        })
        .await;
    }
}

/// Guards against a task that runs again after its end: the holder that can't decode a job's progress sets the job aside, takes in the end of its task, and acknowledges it. The
/// next holder can decode the progress, as the error message advises, and the task runs again after its end.
#[tokio::test(start_paused = true)]
async fn end_of_a_job_that_is_set_aside_is_not_forgotten() {
    local(async {
        let bed = Bed::new(2);
        let (holder, other) = start(&bed).await;
        let since = Instant::now();
        let spec = job("ms=2500", &[1, 1]);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        running_worker(&bed).await;
        sleep(ms(1_000)).await;
        let key = "run/p/00000000000000a1";
        let stored = bed
            .world
            .table
            .borrow()
            .get(key)
            .map(|item| item.value.clone());
        bed.kill(&holder);
        spoil(&bed, key);
        sleep(ms(10_000)).await;
        // A holder that can decode it.
        let txn = Txn {
            puts: vec![Put {
                key: key.into(),
                value: stored.expect("progress is stored"),
                lease: None,
            }],
            ..Txn::default()
        };
        assert!(
            bed.world
                .table
                .borrow_mut()
                .commit(&txn, Instant::now())
                .is_ok()
        );
        bed.start(&holder);
        sleep(ms(1_000)).await;
        bed.kill(other);
        sleep(ms(15_000)).await;
        check_once(&bed, since, key);
    })
    .await;
}

/// As `unanswered_start_is_remembered_while_its_job_is_open`, but the worker restarts, noticed, while the start is pending.
#[tokio::test(start_paused = true)]
async fn start_pending_at_a_restart_is_remembered_while_its_job_is_open() {
    for late_ms in [5_000, 20_000, 31_500] {
        local(async move {
            let bed = Bed::new(2);
            let (holder, other) = start(&bed).await;
            bed.world.crew.borrow_mut().set_capacity("w2", 500);
            sleep(ms(1_000)).await;
            let since = Instant::now();
            bed.world.set_late_commands(&holder, Some(ms(late_ms)));
            let spec = job("ms=90000", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(ms(150)).await;
            bed.world.set_late_commands(&holder, None);
            bed.world.crew.borrow_mut().crash("w1", Instant::now());
            sleep(ms(late_ms - 600)).await;
            assert_eq!(running_worker(&bed).await, "w1", "{}", record(&bed, since));
            bed.world.crew.borrow_mut().set_capacity("w2", 4_000);
            bed.world.crew.borrow_mut().crash("w1", Instant::now());
            cut_off(&bed, "w1");
            sleep(ms(20_000)).await;
            check_once(&bed, since, &format!("{late_ms} ms late"));
        })
        .await;
    }
}

/// Guards against a task on two workers, both started by one holder: both copies of a start are carried out at once. The answer to the first is lost, and a report lists the run; then the
/// worker restarts unnoticed, and the second copy is carried out and answered by the next incarnation. Its clock is not taken in.
#[tokio::test(start_paused = true)]
async fn second_copy_on_an_unnoticed_incarnation_is_waited_for() {
    let mut failed = Vec::new();
    for phase_ms in (0..1_800).step_by(50) {
        let (sender, receiver) = std::sync::mpsc::channel();
        local(async move {
            let bed = Bed::new(2);
            let (holder, other) = start(&bed).await;
            bed.world.crew.borrow_mut().set_capacity("w2", 500);
            sleep(ms(1_000 + phase_ms)).await;
            let since = Instant::now();
            bed.world.set_late_commands(&holder, Some(ms(1)));
            let spec = job("ms=8000", &[1]);
            assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
            sleep(ms(100)).await;
            bed.world.set_late_commands(&holder, None);
            sleep(ms(350)).await;
            bed.world.crew.borrow_mut().set_registering("w1", false);
            bed.world
                .crew
                .borrow_mut()
                .crash_silently("w1", Instant::now());
            sleep(ms(150)).await;
            cut_off(&bed, "w1");
            bed.world.crew.borrow_mut().set_capacity("w2", 4_000);
            sleep(ms(20_000)).await;
            assert_eq!(bed.holder(), holder);
            if !bed.world.crew.borrow().doubled.is_empty() {
                let _ = sender.send(format!("phase {phase_ms} ms\n{}", record(&bed, since)));
            }
        })
        .await;
        failed.extend(receiver.try_iter());
    }
    assert!(
        failed.is_empty(),
        "{} of 36: {}",
        failed.len(),
        failed.join("\n")
    );
}
