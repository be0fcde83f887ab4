//! Starts and requests that arrive after the worker that they were meant for has restarted.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::spec::JobState;
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
