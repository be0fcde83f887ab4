//! A team's limit that is granted to a pool for tasks which can't start there, while other tasks of the team wait.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::catalogue::{Catalogue, Team};
use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::spec::{Feature, JobSpec, JobState};
use tokio::time::sleep;

use crate::common::{Bed, KEY, catalogue, job, local, pools_with_second, second_queue};

/// A catalogue with a second pool `p2` and its queue, whose team has this limit.
fn two_pools(version: u64, cap: Resources) -> Catalogue {
    let base = catalogue(version, &[KEY], 0);
    let queue = &base.queues()[0];
    let team = Team {
        cap,
        ..base.teams()[0].clone()
    };
    let queues = vec![queue.clone(), second_queue(queue)];
    let pools = pools_with_second(&base);
    Catalogue::new(version, queues, pools, vec![(team, vec![KEY.into()])])
}

/// A platform with two workers of four cores and 8,000 MB in each pool.
async fn bed(cap: Resources) -> Bed {
    let bed = Bed::new(2);
    for name in ["x1", "x2"] {
        bed.add_worker_to("p2", name, None);
    }
    bed.world.set_catalogue(two_pools(2, cap));
    bed.start_all(&["e1", "e2"]).await;
    bed
}

fn cap(cpu_millis: u64, memory_mb: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mb,
        accelerators: 0,
    }
}

/// A job whose tasks each need this.
fn large(tasks: u32, each: Resources) -> JobSpec {
    let mut spec = job("ms=60000", &[tasks]);
    spec.steps[0].demand = each;
    spec
}

/// Submits a large job, and then small ones to both pools. Checks that each of these is done within a few seconds.
async fn check_small_jobs_run_beside(limit: Resources, spec: JobSpec) {
    let bed = bed(limit).await;
    let reply = bed.submit("e1", "00000000000000a1", spec).await;
    assert_eq!(reply, Reply::Accepted);
    sleep(Duration::from_secs(2)).await;
    for number in 0..4 {
        let id = format!("{number:015x}b");
        let spec = job("ms=300", &[1]);
        let queue = if number % 2 == 0 { "/q/" } else { "/q2/" };
        let reply = bed.submit_to("e1", queue, &id, spec).await;
        assert_eq!(reply, Reply::Accepted);
    }
    sleep(Duration::from_secs(3)).await;
    for number in 0..4 {
        let id = format!("{number:015x}b");
        let queue = if number % 2 == 0 { "/q/" } else { "/q2/" };
        let state = bed.query_at("e1", queue, &id).await;
        assert_eq!(state, Reply::State(JobState::Completed), "job {number}");
    }
    bed.check_once();
}

/// Guards against a team whose jobs don't start, in all pools, since one of its jobs has tasks above its limit.
#[tokio::test(start_paused = true)]
async fn tasks_above_the_limit_hold_no_share() {
    for limit in [cap(0, 3_000), cap(8_000, 3_000), cap(6_000, 20_000)] {
        local(async move {
            let each = if limit.memory_mb < 4_000 {
                cap(1_000, 4_000)
            } else {
                cap(7_000, 100)
            };
            check_small_jobs_run_beside(limit, large(12, each)).await;
        })
        .await;
    }
}

/// The same with a gang of which each task is below the limit, but not all of them together.
#[tokio::test(start_paused = true)]
async fn gang_above_the_limit_holds_no_share() {
    local(async {
        let mut spec = large(6, cap(1_000, 100));
        spec.steps[0].features.push(Feature::Gang);
        check_small_jobs_run_beside(cap(4_000, 20_000), spec).await;
    })
    .await;
}

/// The same with tasks within the limit that no worker of their pool has room for: they are too large for it, or it is full.
#[tokio::test(start_paused = true)]
async fn tasks_without_a_worker_hold_no_share() {
    for each in [cap(5_000, 100), cap(2_000, 100)] {
        local(async move {
            let bed = bed(cap(16_000, 20_000)).await;
            let reply = bed.submit("e1", "00000000000000a1", large(40, each)).await;
            assert_eq!(reply, Reply::Accepted);
            sleep(Duration::from_secs(2)).await;
            for number in 0..3 {
                let id = format!("{number:015x}c");
                let spec = job("ms=300", &[3]);
                let reply = bed.submit_to("e1", "/q2/", &id, spec).await;
                assert_eq!(reply, Reply::Accepted);
                let began_at = tokio::time::Instant::now();
                while bed.query_at("e1", "/q2/", &id).await != Reply::State(JobState::Completed) {
                    sleep(Duration::from_millis(20)).await;
                    assert!(began_at.elapsed() < Duration::from_secs(1), "job {number}");
                }
            }
            bed.check_once();
        })
        .await;
    }
}
