//! A queue that gets another name while it has the same host name and prefix. To its submitters nothing has changed.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_grid::ports::Txn;
use goldcrest_jobs::catalogue::{Catalogue, Queue};
use goldcrest_jobs::spec::{Feature, JobSpec, JobState};
use goldcrest_standin::grid::StoreFault;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, KEY, catalogue, job, local};

const ID: &str = "00000000000000a1";

const OTHER: &str = "00000000000000b1";

/// The catalogue of the other tests, whose queue has this name, and a second queue if that is named.
fn named(version: u64, name: &str, second: Option<&str>) -> Catalogue {
    let base = catalogue(version, &[KEY], 0);
    let queue = &base.queues()[0];
    let first = Queue {
        name: name.parse().expect("a name"),
        ..queue.clone()
    };
    let second = second.map(|name| Queue {
        name: name.parse().expect("a name"),
        prefix: "/second/".into(),
        ..queue.clone()
    });
    let teams = base.teams().iter();
    let teams = teams.map(|team| (team.clone(), vec![Box::from(KEY)]));
    Catalogue::new(
        version,
        [first].into_iter().chain(second).collect(),
        base.pools().to_vec(),
        teams.collect(),
    )
}

fn service() -> JobSpec {
    let mut spec = job("lasts", &[1]);
    spec.steps[0].features.push(Feature::Service);
    spec
}

async fn rename(bed: &Bed, catalogue: Catalogue) {
    bed.world.set_catalogue(catalogue);
    sleep(Duration::from_secs(3)).await;
}

/// Plays a job that is done and one that lasts, whose queue is then renamed, and checks that both are known by all entries.
async fn check_jobs_are_known(bed: &Bed, renamed: Catalogue, restart: impl AsyncFn(&Bed)) {
    assert_eq!(
        bed.submit("e1", ID, job("ms=300", &[2])).await,
        Reply::Accepted
    );
    assert_eq!(bed.submit("e1", OTHER, service()).await, Reply::Accepted);
    bed.wait_for("e2", ID, JobState::Completed, Duration::from_secs(3))
        .await;
    restart(bed).await;
    rename(bed, renamed).await;
    for entry in ["e1", "e2"] {
        let state = Reply::State(JobState::Completed);
        assert_eq!(bed.query(entry, ID).await, state);
        let state = Reply::State(JobState::Running);
        assert_eq!(bed.query(entry, OTHER).await, state);
        let again = bed.submit(entry, ID, job("ms=300", &[2])).await;
        assert_eq!(again, Reply::Accepted);
    }
    assert_eq!(bed.cancel("e2", OTHER).await, Reply::Cancelled);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(bed.world.crew.borrow().running().count(), 0);
    // Two tasks of the first job and one of the second.
    assert_eq!(bed.world.crew.borrow().starts.len(), 3);
    bed.check_once();
}

/// Guards against a completed job that runs again, and open ones that nobody knows, once their queue has another name.
#[tokio::test(start_paused = true)]
async fn jobs_of_a_renamed_queue_are_known() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        check_jobs_are_known(&bed, named(2, "r", None), async |_| {}).await;
    })
    .await;
}

/// The same with entries that have not seen the queue's earlier name, and with two queues that swap their names.
#[tokio::test(start_paused = true)]
async fn jobs_of_a_renamed_queue_are_known_after_restarts() {
    for renamed in [named(2, "r", None), named(2, "s", Some("q"))] {
        local(async move {
            let bed = Bed::new(2);
            bed.world.set_catalogue(named(1, "q", Some("s")));
            bed.start_all(&["e1", "e2"]).await;
            check_jobs_are_known(&bed, renamed, async |bed: &Bed| {
                for entry in ["e1", "e2"] {
                    bed.kill(entry);
                }
                sleep(Duration::from_secs(1)).await;
                bed.start_all(&["e1", "e2"]).await;
            })
            .await;
        })
        .await;
    }
}

/// The same with jobs that a version accepted which stores no names of queues.
#[tokio::test(start_paused = true)]
async fn jobs_of_an_older_version_are_known_after_a_rename() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        check_jobs_are_known(&bed, named(2, "r", None), async |bed: &Bed| {
            for entry in ["e1", "e2"] {
                bed.kill(entry);
            }
            let names = bed.world.table.borrow().list("route/").items;
            let txn = Txn {
                remove: names.into_iter().map(|item| item.key).collect(),
                ..Txn::default()
            };
            let removed = bed.world.table.borrow_mut().commit(&txn, Instant::now());
            assert!(removed.is_ok());
            sleep(Duration::from_secs(1)).await;
            bed.start_all(&["e1", "e2"]).await;
        })
        .await;
    })
    .await;
}

/// Guards against waiting jobs that are left out of the count of a renamed queue, with and without a scheduler.
#[tokio::test(start_paused = true)]
async fn waiting_counts_jobs_from_before_a_rename() {
    local(async {
        let bed = Bed::new(0);
        bed.start_all(&["e1", "e2"]).await;
        for number in 0..4 {
            let id = format!("{number:015x}a");
            assert_eq!(bed.submit("e1", &id, job("", &[1])).await, Reply::Accepted);
        }
        rename(&bed, named(2, "r", None)).await;
        assert_eq!(
            bed.submit("e1", OTHER, job("", &[1])).await,
            Reply::Accepted
        );
        sleep(Duration::from_secs(1)).await;
        for entry in ["e1", "e2"] {
            assert_eq!(bed.query(entry, "").await, Reply::Waiting(5));
        }
    })
    .await;
}

/// Guards against a job that runs after its cancellation was answered: the cancellation is stored under one name of its
/// queue, and the submission, which was under way, is carried out or comes after the queue has got another.
#[tokio::test(start_paused = true)]
async fn cancellation_before_a_rename_keeps_its_job_out() {
    for late_ms in [None, Some(5_000)] {
        local(async move {
            let bed = Bed::new(2);
            bed.start_all(&["e1", "e2"]).await;
            if let Some(late_ms) = late_ms {
                let late = StoreFault::CarriesOutLate(Duration::from_millis(late_ms));
                bed.world.set_fault("e1", late);
                let lost = bed.submit("e1", ID, job("ms=300", &[1])).await;
                assert_ne!(lost, Reply::Accepted);
                bed.world.set_fault("e1", StoreFault::None);
            }
            assert_eq!(bed.cancel("e2", ID).await, Reply::NoSuchJob);
            rename(&bed, named(2, "r", None)).await;
            let _ = bed.submit("e1", ID, job("ms=300", &[1])).await;
            sleep(Duration::from_secs(6)).await;
            assert_eq!(bed.world.crew.borrow().starts.len(), 0);
        })
        .await;
    }
}

/// Names are added to a queue's earlier ones while entries know different ones. One id stays one job.
#[tokio::test(start_paused = true)]
async fn repeated_submissions_over_renames_are_one_job() {
    local(async {
        let bed = Bed::new(2);
        bed.start_all(&["e1", "e2"]).await;
        for (version, name) in (2..).zip(["r", "q", "s", "t", "r"]) {
            for entry in ["e1", "e2"] {
                let reply = bed.submit(entry, ID, job("ms=300", &[1])).await;
                assert_eq!(reply, Reply::Accepted);
            }
            bed.world.set_catalogue(named(version, name, None));
        }
        sleep(Duration::from_secs(3)).await;
        let id = "00000000000000c1";
        for entry in ["e2", "e1"] {
            let reply = bed.submit(entry, id, job("ms=300", &[1])).await;
            assert_eq!(reply, Reply::Accepted);
        }
        bed.wait_for("e1", id, JobState::Completed, Duration::from_secs(4))
            .await;
        assert_eq!(bed.world.crew.borrow().starts.len(), 2);
        bed.check_once();
    })
    .await;
}
