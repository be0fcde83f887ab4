//! Queues and teams that are removed from the catalogue while their jobs are open.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::spec::JobState;
use tokio::time::sleep;

use crate::common::{Bed, KEY, catalogue, catalogue_with, catalogue_without_queue, job, local};

const ID: &str = "00000000000000a1";

/// Guards against a job that is failed after one of two attempts: its queue is removed while the attempt runs, and
/// restored later.
#[tokio::test(start_paused = true)]
async fn attempts_of_a_removed_queue_stay() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=1000 failures=1", &[1]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(500)).await;
        bed.world.set_catalogue(catalogue_without_queue(2));
        sleep(Duration::from_secs(4)).await;
        assert_eq!(bed.query("e1", ID).await, Reply::NoSuchQueue);
        // The second attempt has run meanwhile.
        assert_eq!(bed.world.crew.borrow().starts.len(), 2);
        bed.world.set_catalogue(catalogue(3, &[KEY], 0));
        bed.wait_for("e1", ID, JobState::Completed, Duration::from_secs(4))
            .await;
    })
    .await;
}

/// As above, with a takeover between the failure and the return of the queue. A task that fails at each attempt is still
/// started only twice.
#[tokio::test(start_paused = true)]
async fn attempts_of_a_removed_queue_stay_over_a_takeover() {
    for (payload, state) in [
        ("ms=1000 failures=1", JobState::Completed),
        ("ms=1000 end=failed", JobState::Failed),
    ] {
        local(async move {
            let bed = Bed::new(2);
            bed.start_all(&["e1", "e2"]).await;
            let holder = bed.holder();
            let other = if holder == "e1" { "e2" } else { "e1" };
            assert_eq!(
                bed.submit(other, ID, job(payload, &[1])).await,
                Reply::Accepted
            );
            sleep(Duration::from_millis(500)).await;
            bed.world.set_catalogue(catalogue_without_queue(2));
            sleep(Duration::from_millis(800)).await;
            bed.kill(&holder);
            sleep(Duration::from_secs(6)).await;
            bed.world.set_catalogue(catalogue(3, &[KEY], 0));
            bed.wait_for(other, ID, state, Duration::from_secs(4)).await;
            assert_eq!(bed.world.crew.borrow().starts.len(), 2);
        })
        .await;
    }
}

/// Guards against starts without a permit, which workers refuse, once the queue is removed.
#[tokio::test(start_paused = true)]
async fn permits_of_a_removed_queue_are_still_asked_for() {
    local(async {
        let bed = Bed::new(2);
        bed.world.set_catalogue(catalogue_with(2, &[KEY], 0, true));
        bed.world.permits.allow_only(&["w1", "w2"]);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("ms=2000", &[1, 4]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(100)).await;
        bed.world.set_catalogue(catalogue_without_queue(3));
        bed.world.permits.valid_for.set(Duration::from_secs(1));
        sleep(Duration::from_secs(6)).await;
        assert_eq!(bed.world.crew.borrow().starts.len(), 5);
        bed.check_once();
    })
    .await;
}

/// Guards against a team that is removed from the catalogue and then runs more than its upper limit, also after a
/// takeover.
#[tokio::test(start_paused = true)]
async fn cap_of_a_removed_team_stays() {
    local(async {
        let bed = Bed::new(3);
        bed.world.set_catalogue(catalogue(2, &[KEY], 3_000));
        bed.start_all(&["e1", "e2"]).await;
        let holder = bed.holder();
        let other = if holder == "e1" { "e2" } else { "e1" };
        let spec = job("ms=1500", &[12]);
        assert_eq!(bed.submit(other, ID, spec).await, Reply::Accepted);
        sleep(Duration::from_millis(800)).await;
        bed.world.set_catalogue(catalogue_without_queue(3));
        for at in 0..200 {
            if at == 20 {
                bed.kill(&holder);
            }
            sleep(Duration::from_millis(100)).await;
            let running = bed.world.crew.borrow().running().count();
            assert!(running <= 3, "{running} tasks run");
        }
        assert_eq!(bed.world.crew.borrow().starts.len(), 12);
        bed.check_once();
    })
    .await;
}
