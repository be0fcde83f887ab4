//! Workers and the store misbehave.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::spec::JobState;
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

/// A worker is cut off from all entries while it works: its tasks are started elsewhere only after its leases have
/// lapsed.
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

/// Load pattern: some workers' answers are lost for seconds. The ends that were in them are learned with the next
/// report, not after a worker is given up.
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
            // A report waits 0.9 s; the rest is the time to see that its answer was lost.
            bed.wait_for("e1", ID, JobState::Completed, Duration::from_millis(1_300))
                .await;
            bed.check_once();
        })
        .await;
    }
}

/// Load pattern: the store answers some entries no more, in the middle of a turn. Their callers are told at once, so
/// that they come back while others, or the store, can serve them; what was sent before that is given up within 1.5 s.
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
            "nobody knows whether it was stored"
        );
        assert!(began_at.elapsed() <= Duration::from_millis(1_600));
        let began_at = Instant::now();
        let reply = bed.submit("e1", ID, job("", &[1])).await;
        assert!(matches!(reply, Reply::Refused(..)), "{reply:?}");
        assert_eq!(began_at.elapsed(), Duration::ZERO);
        // The longer the outage, the later they are asked to come back.
        sleep(Duration::from_secs(3)).await;
        let Reply::Refused(_, after) = bed.submit("e1", ID, job("", &[1])).await else {
            panic!("the store is still silent");
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

/// The watch of the scheduler's inbox falls silent for good in a short outage, while other calls are answered again: a
/// job that is cancelled afterwards is known to be so within the time in which none of its tasks may be started any
/// more.
#[tokio::test(start_paused = true)]
async fn inbox_watch_silent_cancellation_is_heard() {
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

/// Single answers are lost while others come: no caller is refused for that.
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
        // Shorter than the session lasts: the role is kept, and with it the runs.
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
