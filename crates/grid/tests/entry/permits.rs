//! Queues whose steps need permits from an external service.

use std::collections::BTreeSet;
use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::catalogue::{Catalogue, Queue};
use goldcrest_jobs::id::WorkerId;
use goldcrest_jobs::query_times::QueryTimes;
use goldcrest_jobs::spec::JobState;
use tokio::time::sleep;

use crate::common::{
    Bed, KEY, catalogue_with, catalogue_with_queries, job, local, pools_with_second, second_queue,
};

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
        sleep(Duration::from_secs(2)).await;
        assert!(bed.world.permits.asked.borrow().len() <= 8);
        bed.world.permits.valid_for.set(Duration::from_secs(2));
        bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(3))
            .await;
        bed.check_once();
    })
    .await;
}

/// The permit service keeps up with the usual traffic, but not with a burst.
const QUERY_TIMES: QueryTimes = QueryTimes {
    decision: Duration::from_millis(200),
    per_worker: Duration::from_millis(20),
    validity: Duration::from_secs(3),
};

/// A job every 680 ms is two thirds of what the service can decide about twelve workers.
const JOB_INTERVAL: Duration = Duration::from_millis(680);

async fn slow_bed() -> Bed {
    let bed = Bed::new(12);
    let catalogue = catalogue_with_queries(2, &[KEY], 0, Some(QUERY_TIMES));
    bed.world.set_catalogue(catalogue);
    bed.world.permits.allow_only(&["w1", "w4", "w7", "w10"]);
    bed.world.permits.delay.set(QUERY_TIMES.decision);
    bed.world
        .permits
        .delay_per_worker
        .set(QUERY_TIMES.per_worker);
    bed.start_all(&["e1", "e2"]).await;
    bed
}

async fn submit_every(bed: &Bed, ids: std::ops::Range<u64>, interval: Duration) {
    for id in ids {
        let reply = bed
            .submit("e1", &format!("{id:016x}"), job("", &[2, 1]))
            .await;
        assert_eq!(reply, Reply::Accepted);
        sleep(interval).await;
    }
}

async fn check_completed(bed: &Bed, entry: &str, ids: std::ops::Range<u64>, within: Duration) {
    for id in ids {
        let id = format!("{id:016x}");
        bed.wait_for(entry, &id, JobState::Completed, within).await;
    }
    bed.check_once();
}

/// Guards against queries that wait for each other until their permits are useless: a queue that no burst may stop for good.
#[tokio::test(start_paused = true)]
async fn permits_backlog_after_burst_is_worked_off() {
    local(async {
        let bed = slow_bed().await;
        submit_every(&bed, 1..6, JOB_INTERVAL * 2).await;
        submit_every(&bed, 6..22, JOB_INTERVAL * 10 / 26).await;
        submit_every(&bed, 22..32, JOB_INTERVAL * 2).await;
        check_completed(&bed, "e2", 1..32, Duration::from_secs(5)).await;
    })
    .await;
}

/// One query that is held up for seconds must not leave a backlog that lasts.
#[tokio::test(start_paused = true)]
async fn permits_backlog_after_held_up_query_is_worked_off() {
    local(async {
        let bed = slow_bed().await;
        submit_every(&bed, 1..4, JOB_INTERVAL * 2).await;
        bed.world.permits.delay.set(Duration::from_secs(6));
        submit_every(&bed, 4..6, JOB_INTERVAL * 2).await;
        bed.world.permits.delay.set(QUERY_TIMES.decision);
        submit_every(&bed, 6..20, JOB_INTERVAL * 2).await;
        check_completed(&bed, "e2", 1..20, Duration::from_secs(5)).await;
    })
    .await;
}

/// A successor that finds a backlog has no permits at all.
#[tokio::test(start_paused = true)]
async fn permits_backlog_at_a_takeover_is_worked_off() {
    local(async {
        let bed = slow_bed().await;
        bed.start("e3");
        submit_every(&bed, 1..13, JOB_INTERVAL / 3).await;
        let holder = bed.holder();
        bed.kill(&holder);
        let caller = if holder == "e2" { "e1" } else { "e2" };
        check_completed(&bed, caller, 1..13, Duration::from_secs(15)).await;
    })
    .await;
}

/// Guards against queries of several pools that wait for each other: the service processes those of one machine in
/// turn, whatever times their queues state.
#[tokio::test(start_paused = true)]
async fn permits_of_two_pools_are_queried_in_turn() {
    local(async {
        let bed = Bed::new(6);
        for number in 1..=6 {
            bed.add_worker_to("p2", &format!("x{number}"), None);
        }
        let base = catalogue_with_queries(2, &[KEY], 0, Some(QUERY_TIMES));
        let queue = &base.queues()[0];
        let second = Queue {
            permit_queries: Some(QueryTimes {
                validity: Duration::from_secs(30),
                ..QUERY_TIMES
            }),
            ..second_queue(queue)
        };
        let pools = pools_with_second(&base);
        let teams = base.teams().iter();
        let teams = teams.map(|team| (team.clone(), vec![Box::from(KEY)]));
        let queues = vec![queue.clone(), second];
        bed.world
            .set_catalogue(Catalogue::new(2, queues, pools, teams.collect()));
        bed.world.permits.allow_only(&["w1", "w4", "x1", "x4"]);
        bed.world.permits.delay.set(QUERY_TIMES.decision);
        let per_worker = &bed.world.permits.delay_per_worker;
        per_worker.set(QUERY_TIMES.per_worker);
        bed.start_all(&["e1"]).await;
        for number in 0..12 {
            let id = format!("{number:016x}");
            let queue = ["/q/", "/q2/"][number % 2];
            let reply = bed.submit_to("e1", queue, &id, job("", &[2, 1])).await;
            assert_eq!(reply, Reply::Accepted);
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_secs(12)).await;
        for number in 0..12 {
            let id = format!("{number:016x}");
            let state = bed.query_at("e1", ["/q/", "/q2/"][number % 2], &id).await;
            assert_eq!(state, Reply::State(JobState::Completed), "job {number}");
        }
        assert_eq!(bed.world.permits.pending_max(), 1);
        bed.check_once();
    })
    .await;
}
