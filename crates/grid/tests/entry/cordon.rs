//! Cordons: no task is started in a data centre that operators have evacuated, whichever entry schedules and whatever
//! happens to the store meanwhile.
//!
//! Load pattern: jobs keep arriving while data centres are cordoned and opened, roles change hands and watches break.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::spec::JobState;
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

/// The limit from a cordon to the last start there, on days without faults.
const CALM_DELAY: Duration = Duration::from_secs(1);

/// The limit for an entry in touch with the platform, as the operators' bounds state it.
const DELAY_MAX: Duration = Duration::from_secs(5);

/// Two workers in the data centre `east` and two in `west`, with two entries.
async fn bed() -> Bed {
    let bed = Bed::new(0);
    for (worker, dc) in [
        ("w1", "east"),
        ("w2", "east"),
        ("w3", "west"),
        ("w4", "west"),
    ] {
        bed.add_worker_in(worker, Some(dc));
    }
    bed.start_all(&["e1", "e2"]).await;
    bed
}

fn other(holder: &str) -> &'static str {
    if holder == "e1" { "e2" } else { "e1" }
}

/// Submits a job of two tasks every 100 ms through `entry`, for `time`.
async fn keep_submitting(bed: &Bed, entry: &str, first: u64, time: Duration) {
    let until = Instant::now() + time;
    for number in first.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{number:016x}");
        bed.submit(entry, &id, job("ms=200", &[2])).await;
        sleep(Duration::from_millis(100)).await;
    }
}

/// The starts in `east` after a time.
fn starts_in_east(bed: &Bed, after: Instant) -> usize {
    let crew = bed.world.crew.borrow();
    let starts = crew.starts.iter().filter(|start| start.at > after);
    starts
        .filter(|start| matches!(start.worker.as_str(), "w1" | "w2"))
        .count()
}

#[tokio::test(start_paused = true)]
async fn cordon_stops_starts_and_its_end_resumes_them() {
    local(async {
        let bed = bed().await;
        let began_at = Instant::now();
        keep_submitting(&bed, "e1", 0, Duration::from_secs(2)).await;
        assert!(starts_in_east(&bed, began_at) > 0);
        bed.world.set_cordoned("east", true);
        let cordoned_at = Instant::now();
        keep_submitting(&bed, "e2", 0x100, Duration::from_secs(4)).await;
        assert_eq!(starts_in_east(&bed, cordoned_at + CALM_DELAY), 0);
        bed.world.set_cordoned("east", false);
        let opened_at = Instant::now();
        keep_submitting(&bed, "e1", 0x200, Duration::from_secs(2)).await;
        assert!(starts_in_east(&bed, opened_at) > 0);
        bed.check_once();
    })
    .await;
}

/// The holder is killed right after the cordon; its successor starts its first task elsewhere.
#[tokio::test(start_paused = true)]
async fn cordon_holds_through_a_takeover() {
    local(async {
        let bed = bed().await;
        let holder = bed.holder();
        bed.world.set_cordoned("east", true);
        let cordoned_at = Instant::now();
        sleep(Duration::from_millis(20)).await;
        bed.kill(&holder);
        keep_submitting(&bed, other(&holder), 0, Duration::from_secs(8)).await;
        assert_eq!(bed.holder(), other(&holder));
        assert!(!bed.world.crew.borrow().starts.is_empty());
        assert_eq!(starts_in_east(&bed, cordoned_at + CALM_DELAY), 0);
        bed.check_once();
    })
    .await;
}

/// An entry is cut off from the store while a data centre is cordoned. It takes the role over as soon as it is back,
/// before or after its watch of the operators' requests has recovered.
#[tokio::test(start_paused = true)]
async fn cordon_during_a_cut_is_known_before_the_first_start() {
    for cut_ms in (6_000..8_000).step_by(250) {
        local(async move {
            let bed = bed().await;
            let holder = bed.holder();
            let cut_off = other(&holder);
            bed.world.set_fault(cut_off, StoreFault::Silent);
            sleep(Duration::from_secs(1)).await;
            bed.world.set_cordoned("east", true);
            let cordoned_at = Instant::now();
            let spec = job("ms=200", &[2, 2]);
            for number in 0..8 {
                let id = format!("{number:016x}");
                assert_eq!(
                    bed.submit(&holder, &id, spec.clone()).await,
                    Reply::Accepted
                );
            }
            sleep(Duration::from_millis(cut_ms)).await;
            bed.kill(&holder);
            bed.world.set_fault(cut_off, StoreFault::None);
            keep_submitting(&bed, cut_off, 0x100, Duration::from_secs(8)).await;
            assert_eq!(bed.holder(), cut_off);
            assert_eq!(starts_in_east(&bed, cordoned_at + CALM_DELAY), 0);
            bed.check_once();
        })
        .await;
    }
}

/// A cordon that began or ended while the history was removed is read again: one is not missed, the other not kept.
#[tokio::test(start_paused = true)]
async fn cordon_changes_survive_a_compaction() {
    local(async {
        let bed = bed().await;
        for is_cordoned in [true, false] {
            bed.world.set_cordoned("east", is_cordoned);
            bed.world.table.borrow_mut().compact();
            let changed_at = Instant::now();
            let first = u64::from(is_cordoned) << 12;
            keep_submitting(&bed, "e1", first, Duration::from_secs(4)).await;
            let starts = starts_in_east(&bed, changed_at + CALM_DELAY);
            assert_eq!(starts == 0, is_cordoned, "{starts} starts");
        }
    })
    .await;
}

/// All entries restart during a cordon.
#[tokio::test(start_paused = true)]
async fn cordon_survives_a_restart_of_all_entries() {
    local(async {
        let bed = bed().await;
        bed.world.set_cordoned("east", true);
        bed.kill("e1");
        bed.kill("e2");
        sleep(Duration::from_secs(2)).await;
        let restarted_at = Instant::now();
        bed.start_all(&["e1", "e2"]).await;
        keep_submitting(&bed, "e1", 0, Duration::from_secs(3)).await;
        assert!(!bed.world.crew.borrow().starts.is_empty());
        assert_eq!(starts_in_east(&bed, restarted_at), 0);
    })
    .await;
}

/// Two cordons overlap and cover both data centres. Nothing starts until one of them ends; then all jobs are done.
#[tokio::test(start_paused = true)]
async fn cordons_that_cover_everything_hold_all_starts() {
    local(async {
        let bed = bed().await;
        bed.world.set_cordoned("east", true);
        sleep(Duration::from_secs(1)).await;
        bed.world.set_cordoned("west", true);
        sleep(CALM_DELAY).await;
        let id = "00000000000000a1";
        assert_eq!(
            bed.submit("e1", id, job("ms=200", &[2])).await,
            Reply::Accepted
        );
        sleep(Duration::from_secs(3)).await;
        assert_eq!(bed.world.crew.borrow().starts.len(), 0);
        bed.world.set_cordoned("east", false);
        bed.wait_for("e1", id, JobState::Completed, Duration::from_secs(2))
            .await;
    })
    .await;
}

/// The holder keeps its session, but its knowledge of the operators' requests is out of date. It starts nothing that it
/// can't know to be allowed.
#[tokio::test(start_paused = true)]
async fn cordon_unknown_to_the_holder_stops_its_starts_in_time() {
    local(async {
        let bed = bed().await;
        let holder = bed.holder();
        bed.world.lose_requests(&holder, true);
        bed.world.set_cordoned("east", true);
        let cordoned_at = Instant::now();
        keep_submitting(&bed, other(&holder), 0, Duration::from_secs(9)).await;
        assert_eq!(bed.holder(), holder);
        assert_eq!(starts_in_east(&bed, cordoned_at + DELAY_MAX), 0);
        bed.world.lose_requests(&holder, false);
        let found_at = Instant::now();
        keep_submitting(&bed, other(&holder), 0x100, Duration::from_secs(4)).await;
        let starts = bed.world.crew.borrow().starts.clone();
        assert!(starts.iter().any(|start| start.at > found_at));
        assert_eq!(starts_in_east(&bed, found_at), 0);
    })
    .await;
}
