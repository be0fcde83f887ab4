//! Tasks that crash the workers that start them, and capacities that change beside running work.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::spec::JobState;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

const ID: &str = "00000000000000a1";

/// The most starts of a task that crashes its workers: three, and two after the third crash.
const STARTS_MAX: usize = 5;

async fn submit_harmless(bed: &Bed, entry: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..4 {
        let id = format!("00000000000000b{number}");
        assert_eq!(
            bed.submit(entry, &id, job("ms=900", &[3])).await,
            Reply::Accepted
        );
        ids.push(id);
    }
    ids
}

fn starts_of(bed: &Bed, task: &str) -> usize {
    let crew = bed.world.crew.borrow();
    let starts = crew.starts.iter();
    starts
        .filter(|start| start.task.to_string() == task)
        .count()
}

/// Guards against a task that crashes worker after worker because its count is lost with the scheduler: the holder is
/// killed again and again, at any moment between a crash and the next start.
#[tokio::test(start_paused = true)]
async fn crashing_task_is_given_up_across_takeovers() {
    for every_ms in (700..5_000).step_by(300) {
        local(async move {
            let bed = Bed::new(5);
            bed.start_all(&["e1", "e2", "e3"]).await;
            let ids = submit_harmless(&bed, "e1").await;
            assert_eq!(
                bed.submit("e1", ID, job("crashes=0", &[2])).await,
                Reply::Accepted
            );
            for _ in 0..6 {
                sleep(Duration::from_millis(every_ms)).await;
                let holder = bed.holder();
                bed.kill(&holder);
                sleep(Duration::from_millis(4_500)).await;
                bed.start(&holder);
            }
            let end = Duration::from_secs(45);
            bed.wait_for("e1", ID, JobState::Failed, end).await;
            for id in ids {
                bed.wait_for("e1", &id, JobState::Completed, end).await;
            }
            let starts = starts_of(&bed, &format!("{ID}.0.0.0"));
            assert!(starts <= STARTS_MAX, "{every_ms} ms: {starts} starts");
        })
        .await;
    }
}

/// Guards against starts on a worker whose capacity has shrunk beside its runs, also by the next holder of the role.
#[tokio::test(start_paused = true)]
async fn shrunk_capacity_holds_starts_across_a_takeover() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        for number in 0..10 {
            let id = format!("00000000000000c{number}");
            let spec = job("ms=2500", &[4]);
            assert_eq!(bed.submit("e1", &id, spec).await, Reply::Accepted);
        }
        sleep(Duration::from_millis(500)).await;
        for worker in ["w1", "w2"] {
            bed.world.crew.borrow_mut().set_capacity(worker, 2_000);
        }
        // The registry is read every 600 ms.
        sleep(Duration::from_secs(1)).await;
        let shrunk_at = Instant::now();
        let holder = bed.holder();
        bed.kill(&holder);
        sleep(Duration::from_secs(8)).await;
        bed.start(&holder);
        let running_at_a_start = |since: Instant| {
            let crew = bed.world.crew.borrow();
            let later: Vec<_> = crew
                .starts
                .iter()
                .filter(|start| start.at >= since)
                .cloned()
                .collect();
            let ends: Vec<_> = crew.history().cloned().collect();
            let most = later.iter().map(|start| {
                let beside = crew.starts.iter().filter(|other| {
                    let is_over = ends.iter().any(|end| {
                        end.task == other.task && end.run == other.run && end.at <= start.at
                    });
                    other.worker == start.worker && other.at <= start.at && !is_over
                });
                beside.count()
            });
            (later.len(), most.max().unwrap_or_default())
        };
        let (starts, most) = running_at_a_start(shrunk_at);
        assert!(
            starts > 0 && most <= 2,
            "{most} tasks of one core beside each other"
        );
        for worker in ["w1", "w2"] {
            bed.world.crew.borrow_mut().set_capacity(worker, 4_000);
        }
        for number in 0..10 {
            let id = format!("00000000000000c{number}");
            bed.wait_for("e2", &id, JobState::Completed, Duration::from_secs(40))
                .await;
        }
        bed.check_once();
    })
    .await;
}
