//! Workers that are back under their ids at other addresses.

use std::rc::Rc;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::registry::UseGuard;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::spec::JobState;
use goldcrest_standin::grid::Trip;
use tokio::time::sleep;

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

/// The latency of a command and of its answer.
const LATENCY: Duration = Duration::from_millis(1);

/// Plays a hand-over of the pool shortly after two workers have restarted, one at a new address and the other one at the
/// first one's old address. The next holder's last reading of the registry may be from before that.
async fn play(crash_after: Duration) -> usize {
    let bed = Bed::new(3);
    bed.bounds.set(Bounds {
        lease: Duration::from_secs(3),
        ..Bounds::default()
    });
    bed.world.carry_out_calls();
    bed.world.set_trips(Rc::new(|_, _, _| Trip {
        request: Some(LATENCY),
        answer: Some(LATENCY),
    }));
    bed.start_all(&["e1", "e2"]).await;
    let holder = bed.holder();
    let next = if holder == "e1" { "e2" } else { "e1" };
    // It reads the registry already, as the holder of another pool does.
    let _other_pool = UseGuard::new(bed.entry(next));
    // The holder starts nothing on the third worker.
    bed.world.set_reachable(&holder, "w3", false);
    sleep(Duration::from_secs(3) + crash_after).await;
    let downtime = Duration::from_millis(2_600);
    bed.crash_for("w1", downtime, "new");
    bed.crash_for("w2", downtime, "w1");
    // The holder gets no answer from either by now, so the tasks wait for their return.
    sleep(Duration::from_millis(2_300)).await;
    let spec = job("ms=4000", &[4]);
    assert_eq!(bed.submit(next, ID, spec).await, Reply::Accepted);
    while bed.world.crew.borrow().running().count() < 4 {
        sleep(Duration::from_millis(5)).await;
    }
    bed.stop(&holder);
    sleep(Duration::from_secs(6)).await;
    let doubled = bed.world.crew.borrow().doubled.len();
    bed.wait_for(next, ID, JobState::Completed, Duration::from_secs(40))
        .await;
    doubled
}

/// Guards against a task on two workers: another worker answers at the address that a worker had before it restarted. That
/// says nothing about the incarnation that the earlier scheduler used, which the reading of the registry does not show yet.
#[tokio::test(start_paused = true)]
async fn answer_at_an_old_address_ends_no_later_incarnation() {
    let mut doubled = Vec::new();
    for after_ms in (0..600).step_by(20) {
        local(async {
            doubled.push(play(Duration::from_millis(after_ms)).await);
        })
        .await;
    }
    assert!(doubled.iter().all(|tasks| *tasks == 0), "{doubled:?}");
}
