//! Queues whose steps need permits from an external service.

use std::collections::BTreeSet;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::id::WorkerId;
use goldcrest_jobs::spec::JobState;

use crate::common::{Bed, KEY, catalogue_with, job, local};

const ID: &str = "00000000000000a1";

fn bed(allowed: &[&str]) -> Bed {
    let bed = Bed::new(3);
    bed.world.set_catalogue(catalogue_with(2, &[KEY], 0, true));
    bed.world.permits.allow_only(allowed);
    bed
}

fn used(bed: &Bed) -> BTreeSet<WorkerId> {
    let crew = bed.world.crew.borrow();
    crew.starts
        .iter()
        .map(|start| start.worker.clone())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn permits_steps_run_where_allowed() {
    local(async {
        let bed = bed(&["w2", "w3"]);
        bed.start_all(&["e1", "e2"]).await;
        let spec = job("", &[6, 4]);
        assert_eq!(bed.submit("e1", ID, spec).await, Reply::Accepted);
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(4))
            .await;
        assert_eq!(used(&bed), ["w2".into(), "w3".into()].into());
        // One request per step; the second is sent while the first step runs.
        assert_eq!(bed.world.permits.asked.borrow().len(), 2);
        bed.check_once();
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn permits_service_silent_then_back() {
    local(async {
        let bed = bed(&["w1"]);
        bed.world.permits.silent.set(2);
        bed.start_all(&["e1", "e2"]).await;
        assert_eq!(bed.submit("e1", ID, job("", &[2])).await, Reply::Accepted);
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(10))
            .await;
        assert_eq!(bed.world.permits.asked.borrow().len(), 3);
        bed.check_once();
    })
    .await;
}

/// Permits that expire before a start arrives must not cause an endless series of refused starts.
#[tokio::test(start_paused = true)]
async fn permits_shorter_than_latency() {
    local(async {
        let bed = bed(&["w1"]);
        bed.world.permits.valid_for.set(Duration::from_millis(20));
        bed.start_all(&["e1", "e2"]).await;
        assert_eq!(bed.submit("e1", ID, job("", &[2])).await, Reply::Accepted);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(bed.world.permits.asked.borrow().len() <= 8);
        bed.world.permits.valid_for.set(Duration::from_secs(2));
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(3))
            .await;
        bed.check_once();
    })
    .await;
}
