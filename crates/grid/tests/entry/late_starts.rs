//! Starts and requests that arrive after the worker that they were meant for has restarted.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::keys;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::progress::Progress;
use goldcrest_jobs::spec::{Feature, JobState};
use goldcrest_jobs::worker::RunEnd;
use goldcrest_standin::grid::{CommandKind, Trip};
use tokio::time::{Instant, sleep, sleep_until};

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

/// The latency of a command and of its answer.
const LATENCY: Duration = Duration::from_millis(1);

const PROMPT: Trip = Trip {
    request: Some(LATENCY),
    answer: Some(LATENCY),
};

const LOST: Trip = Trip {
    request: None,
    answer: None,
};

fn bed(workers: u32) -> Bed {
    let bed = Bed::new(workers);
    bed.bounds.set(Bounds {
        lease: Duration::from_secs(3),
        ..Bounds::default()
    });
    bed.world.carry_out_calls();
    bed
}

/// Guards against a task that runs again after its acknowledged end: the answer to its start is lost, and although a report
/// has shown the end of the run, the start is sent once more, is late and reaches the worker's next incarnation.
#[tokio::test(start_paused = true)]
async fn start_is_not_repeated_after_its_run_was_reported() {
    local(async {
        let bed = bed(1);
        let starts = Rc::new(Cell::new(0));
        let has_crashed = Rc::new(Cell::new(false));
        let (sent, is_back) = (Rc::clone(&starts), Rc::clone(&has_crashed));
        bed.world.set_trips(Rc::new(move |_, _, kind| match kind {
            CommandKind::Start => {
                sent.set(sent.get() + 1);
                let is_first = sent.get() == 1;
                Trip {
                    request: Some(if is_first {
                        LATENCY
                    } else {
                        Duration::from_millis(1_200)
                    }),
                    answer: None,
                }
            }
            CommandKind::Report | CommandKind::Stop if is_back.get() => LOST,
            CommandKind::Report | CommandKind::Stop => PROMPT,
        }));
        bed.start_all(&["e1"]).await;
        let spec = job("ms=100", &[1]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        while starts.get() == 0 {
            sleep(LATENCY).await;
        }
        sleep(Duration::from_millis(450)).await;
        let noted = bed.world.crew.borrow().noted.clone();
        assert!(
            matches!(&noted[..], [(.., RunEnd::Done)]),
            "the run has ended, and its end is acknowledged: {noted:?}"
        );
        sleep(Duration::from_millis(150)).await;
        has_crashed.set(true);
        bed.world.crew.borrow_mut().crash("w1", Instant::now());
        sleep(Duration::from_millis(1_500)).await;
        bed.check_once();
    })
    .await;
}

/// Guards against a task on two workers: a start of a lost scheduler is carried out by the next incarnation of its worker
/// after its successor has started the task elsewhere.
#[tokio::test(start_paused = true)]
async fn start_of_an_earlier_scheduler_is_refused_by_a_later_incarnation() {
    local(async {
        let bed = bed(2);
        let target = Rc::new(RefCell::new(None));
        let of_trips = Rc::clone(&target);
        bed.world.set_trips(Rc::new(move |_, worker, kind| {
            if kind == CommandKind::Start && of_trips.borrow().is_none() {
                *of_trips.borrow_mut() = Some(worker.clone());
                return Trip {
                    request: Some(Duration::from_millis(3_200)),
                    answer: None,
                };
            }
            PROMPT
        }));
        bed.start_all(&["e1", "e2"]).await;
        // The clocks of the workers advance.
        sleep(Duration::from_secs(10)).await;
        let holder = bed.holder();
        let next = if holder == "e1" { "e2" } else { "e1" };
        let spec = job("ms=4000", &[1]);
        assert_eq!(bed.submit(next, ID, spec).await, Reply::Accepted);
        while target.borrow().is_none() {
            sleep(LATENCY).await;
        }
        let sent_at = Instant::now();
        let target = target.borrow().clone().expect("a worker");
        sleep(Duration::from_millis(100)).await;
        bed.kill(&holder);
        // The successor starts the task on the other worker.
        bed.world.crew.borrow_mut().set_capacity(target.as_str(), 0);
        sleep_until(sent_at + Duration::from_millis(2_900)).await;
        let running = bed.world.crew.borrow().running().count();
        assert_eq!(running, 1, "the successor has started the task");
        // It is back just before the late start arrives.
        bed.crash_for(target.as_str(), Duration::from_millis(295), target.as_str());
        sleep(Duration::from_millis(500)).await;
        bed.check_once();
        bed.wait_for(next, ID, JobState::Completed, Duration::from_secs(30))
            .await;
    })
    .await;
}

/// Plays a holder whose starts of a job's four tasks on one worker have no answer, and are carried out after `late_ms`.
/// It is killed, or kept. The other worker, which was full, has room again; then the first one crashes, and is back
/// just before the starts arrive.
async fn play_unanswered_starts(late_ms: u64, is_killed: bool) {
    let bed = bed(2);
    let is_late = Rc::new(Cell::new(false));
    let of_trips = Rc::clone(&is_late);
    bed.world.set_trips(Rc::new(move |_, _, kind| {
        if kind == CommandKind::Start && of_trips.get() {
            return Trip {
                request: Some(Duration::from_millis(late_ms)),
                answer: None,
            };
        }
        PROMPT
    }));
    bed.start_all(&["e1", "e2"]).await;
    // The clocks of the workers advance.
    sleep(Duration::from_secs(10)).await;
    let holder = bed.holder();
    let other = if holder == "e1" { "e2" } else { "e1" };
    let mut service = job("lasts", &[1]);
    service.steps[0].features.push(Feature::Service);
    let others = [
        ("00000000000000b1", service),
        ("00000000000000b2", job("ms=1300", &[3])),
    ];
    for (id, spec) in others {
        assert_eq!(bed.submit(other, id, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(100)).await;
    }
    let busy = {
        let crew = bed.world.crew.borrow();
        let mut busy = crew.running().map(|(worker, _)| worker.to_string());
        busy.next().expect("a worker with runs")
    };
    let idle = if busy == "w1" { "w2" } else { "w1" };
    is_late.set(true);
    let sent_at = Instant::now();
    let spec = job("ms=6000", &[4]);
    assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
    sleep(Duration::from_millis(300)).await;
    if is_killed {
        bed.kill(&holder);
    } else {
        // Both copies of each start are given up.
        sleep(Duration::from_millis(900)).await;
    }
    is_late.set(false);
    sleep_until(sent_at + Duration::from_millis(late_ms - 300)).await;
    bed.crash_for(idle, Duration::from_millis(250), idle);
    sleep(Duration::from_secs(3)).await;
    bed.check_once();
    bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(30))
        .await;
}

/// Guards against tasks on two workers: the successor of a killed scheduler starts them elsewhere, and the killed one's
/// starts are carried out late, by the next incarnation of their worker.
#[tokio::test(start_paused = true)]
async fn unanswered_starts_of_a_predecessor_bind_their_tasks() {
    for late_ms in [3_200, 4_000, 6_000] {
        local(play_unanswered_starts(late_ms, true)).await;
    }
}

/// The same by one scheduler: it finds none of the tasks after their starts' deadline.
#[tokio::test(start_paused = true)]
async fn unanswered_starts_bind_their_tasks() {
    for late_ms in [3_200, 4_000, 6_000] {
        local(play_unanswered_starts(late_ms, false)).await;
    }
}

/// Guards against a successor that does not know where a start may still be executed: each is stored with its task
/// before it is sent, also that of a later step on a worker which the job has used before.
#[tokio::test(start_paused = true)]
async fn starts_are_stored_before_they_are_sent() {
    local(async {
        let bed = bed(1);
        let world = Rc::clone(&bed.world);
        let stored: Rc<RefCell<Vec<Vec<u32>>>> = Rc::default();
        let at_starts = Rc::clone(&stored);
        bed.world.set_trips(Rc::new(move |_, _, kind| {
            if kind == CommandKind::Start {
                let table = world.table.borrow();
                let item = table.get("run/p/00000000000000a1").expect("progress");
                let progress: Progress = keys::decode(&item.key, &item.value).expect("progress");
                let steps = progress.starts.iter().map(|starts| starts.step);
                at_starts.borrow_mut().push(steps.collect());
            }
            PROMPT
        }));
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=300", &[1, 1, 1]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(10))
            .await;
        let stored = stored.borrow();
        for (step, starts) in (0..3).zip(stored.iter()) {
            assert!(starts.contains(&step), "step {step}: {starts:?}");
        }
        assert_eq!(stored.len(), 3);
    })
    .await;
}

/// Guards against tasks of several jobs on two workers, all started by one holder: a request for a report that was on the
/// way while its worker restarted extends the lease of the next incarnation to a time on the clock of the earlier one. The
/// worker is then cut off for longer than the lease that its scheduler offers, and its runs go on.
#[tokio::test(start_paused = true)]
async fn runs_on_a_returned_worker_go_on_through_a_cut() {
    for cut_after_ms in [100, 500, 900, 1_300] {
        local(async move {
            let bed = bed(2);
            let on_the_way = Rc::new(Cell::new(LATENCY));
            let sent_at = Rc::new(Cell::new(None));
            let (delay, sent) = (Rc::clone(&on_the_way), Rc::clone(&sent_at));
            bed.world.set_trips(Rc::new(move |_, worker, kind| {
                if kind == CommandKind::Report && worker.as_str() == "w1" {
                    sent.set(Some(Instant::now()));
                    return Trip {
                        request: Some(delay.get()),
                        ..PROMPT
                    };
                }
                PROMPT
            }));
            bed.start_all(&["e1", "e2"]).await;
            // The clocks of the workers advance.
            sleep(Duration::from_secs(10)).await;
            on_the_way.set(Duration::from_millis(600));
            sent_at.set(None);
            while sent_at.get().is_none() {
                sleep(LATENCY).await;
            }
            on_the_way.set(LATENCY);
            bed.crash_for("w1", Duration::from_millis(300), "w1");
            sleep(Duration::from_secs(1)).await;
            // Without the other worker they start on the one that is back.
            for entry in ["e1", "e2"] {
                bed.world.set_reachable(entry, "w2", false);
            }
            sleep(Duration::from_secs(2)).await;
            for number in 1..=4 {
                let id = format!("00000000000000a{number}");
                let spec = job("ms=6000", &[1]);
                assert_eq!(bed.submit("e1", &id, spec).await, Reply::Accepted);
            }
            while bed.world.crew.borrow().running().count() < 4 {
                sleep(LATENCY).await;
            }
            sleep(Duration::from_millis(cut_after_ms)).await;
            for entry in ["e1", "e2"] {
                bed.world.set_reachable(entry, "w2", true);
                bed.world.set_reachable(entry, "w1", false);
            }
            sleep(Duration::from_millis(4_500)).await;
            for entry in ["e1", "e2"] {
                bed.world.set_reachable(entry, "w1", true);
            }
            for number in 1..=4 {
                let id = format!("00000000000000a{number}");
                bed.wait_for("e1", &id, JobState::Completed, Duration::from_secs(30))
                    .await;
            }
            let crew = bed.world.crew.borrow();
            let starts: Vec<_> = crew.starts.iter().collect();
            assert_eq!(crew.doubled, Vec::new(), "{starts:#?} {:?}", crew.noted);
        })
        .await;
    }
}
