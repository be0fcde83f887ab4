//! Workers that are back under their ids and carry out commands that were meant for their earlier incarnations.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::spec::JobState;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

/// The leases that schedulers offer; workers grant longer ones.
const LEASE: Duration = Duration::from_secs(3);

/// What happens once the task runs on a worker that is back.
#[derive(Debug, Clone, Copy)]
enum Then {
    /// The worker is cut off.
    Cut,
    /// The holder of the pool is killed before the worker is cut off.
    KillAndCut,
    /// The holder is stopped, and the worker is cut off once its successor has heard it.
    HandOverAndCut,
}

/// Plays a holder whose requests for reports get no answer, are carried out `late` by the workers' next incarnations, and
/// extend their leases to times on the clocks of the earlier ones. A task then starts on one that is cut off.
async fn play(late: Duration, then: Then, submit_after: Duration) {
    let bed = Bed::new(2);
    bed.bounds.set(Bounds {
        lease: LEASE,
        ..Bounds::default()
    });
    bed.start_all(&["e1", "e2"]).await;
    // The clocks of the workers advance.
    sleep(Duration::from_secs(10)).await;
    let holder = bed.holder();
    let other = if holder == "e1" { "e2" } else { "e1" };
    bed.world.set_late_commands(&holder, Some(late));
    // Longer than a request waits.
    sleep(Duration::from_millis(1_600)).await;
    for worker in ["w1", "w2"] {
        bed.world.crew.borrow_mut().crash(worker, Instant::now());
    }
    bed.world.set_late_commands(&holder, None);
    sleep(submit_after).await;
    let spec = job("ms=14000", &[1]);
    assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
    let worker = loop {
        let running = bed
            .world
            .crew
            .borrow()
            .running()
            .next()
            .map(|(id, _)| id.clone());
        if let Some(worker) = running {
            break worker;
        }
        sleep(Duration::from_millis(5)).await;
    };
    let cut = |entry: &str| bed.world.set_reachable(entry, worker.as_str(), false);
    match then {
        Then::Cut => {}
        Then::KillAndCut => bed.kill(&holder),
        Then::HandOverAndCut => {
            cut(&holder);
            bed.stop(&holder);
            while bed.world.table.borrow().get("who/role/pool/p").is_none()
                || bed.holder() == holder
            {
                sleep(Duration::from_millis(2)).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    for entry in [&*holder, other] {
        cut(entry);
    }
    sleep(Duration::from_secs(16)).await;
    let starts = bed.world.crew.borrow().starts.len();
    assert_eq!(
        starts, 2,
        "the task is started again once the lease is over"
    );
    assert_eq!(
        bed.world.crew.borrow().doubled,
        Vec::new(),
        "{late:?} {then:?} {submit_after:?}"
    );
    bed.wait_for(other, ID, JobState::Completed, Duration::from_secs(30))
        .await;
}

/// Guards against a task on two workers: the lease of a worker that is back is as long as workers grant, as it carries out a
/// request whose deadline is a time on the clock of its earlier incarnation. Neither the holder nor a successor that never
/// hears the worker may take it for the lease that schedulers offer.
#[tokio::test(start_paused = true)]
async fn lease_of_an_earlier_incarnation_is_waited_for() {
    for late_ms in [1_400, 2_000, 3_000] {
        for then in [Then::Cut, Then::KillAndCut, Then::HandOverAndCut] {
            for submit_ms in [100, 900, 2_100] {
                local(play(
                    Duration::from_millis(late_ms),
                    then,
                    Duration::from_millis(submit_ms),
                ))
                .await;
            }
        }
    }
}

/// Guards against a task that runs again after its end: a request for a report acknowledges ends of a worker's earlier
/// incarnation, is carried out by the next one while its ends are not listed yet, and makes it forget them.
#[tokio::test(start_paused = true)]
async fn acknowledgement_of_an_earlier_incarnation_is_refused() {
    const NEXT: &str = "00000000000000a2";
    for late_ms in [4_000, 4_500] {
        local(async move {
            let bed = Bed::new(1);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let spec = job("ms=300", &[4]);
            assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
            // Its ends are acknowledged by now.
            sleep(Duration::from_secs(3)).await;
            let late = Duration::from_millis(late_ms);
            bed.world.set_late_commands(&holder, Some(late));
            sleep(Duration::from_millis(1_600)).await;
            bed.world.crew.borrow_mut().crash("w1", Instant::now());
            bed.world.set_late_commands(&holder, None);
            sleep(Duration::from_millis(900)).await;
            let spec = job("ms=900", &[2]);
            assert_eq!(bed.submit("e1", NEXT, spec).await, Reply::Accepted);
            while bed.world.crew.borrow().running().next().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
            // The tasks end while the holder can't hear the worker.
            sleep(Duration::from_millis(200)).await;
            bed.world.set_reachable(&holder, "w1", false);
            sleep(Duration::from_millis(3_500)).await;
            bed.world.set_reachable(&holder, "w1", true);
            bed.wait_for("e1", NEXT, JobState::Completed, Duration::from_secs(15))
                .await;
            bed.check_once();
            assert_eq!(bed.world.crew.borrow().starts.len(), 6, "{late_ms} ms late");
        })
        .await;
    }
}
