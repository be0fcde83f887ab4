//! A queue that the operators give another pool.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::catalogue::{Catalogue, Queue};
use tokio::time::sleep;

use crate::common::{Bed, KEY, catalogue, job, local, pools_with_second};

/// The catalogue of the other tests with a second pool, and its queue in one of both.
fn two_pools(version: u64, pool: &str) -> Catalogue {
    let base = catalogue(version, &[KEY], 0);
    let queues = base.queues().iter().map(|queue| Queue {
        pool: pool.parse().expect("a name"),
        ..queue.clone()
    });
    let pools = pools_with_second(&base);
    let teams = base.teams().iter();
    let teams = teams.map(|team| (team.clone(), vec![Box::from(KEY)]));
    Catalogue::new(version, queues.collect(), pools, teams.collect())
}

/// Guards against waiting jobs that are left out of the count when their queue moves to another pool. They stay in the
/// pool that accepted them.
#[tokio::test(start_paused = true)]
async fn waiting_counts_jobs_of_the_earlier_pool() {
    local(async {
        let bed = Bed::new(0);
        bed.world.set_catalogue(two_pools(2, "p"));
        bed.start_all(&["e1", "e2"]).await;
        for number in 0..10 {
            let id = format!("{number:015x}a");
            assert_eq!(bed.submit("e1", &id, job("", &[1])).await, Reply::Accepted);
        }
        sleep(Duration::from_secs(3)).await;
        assert_eq!(bed.query("e2", "").await, Reply::Waiting(10));
        bed.world.set_catalogue(two_pools(3, "p2"));
        for _ in 0..40 {
            sleep(Duration::from_millis(100)).await;
            assert_eq!(bed.query("e2", "").await, Reply::Waiting(10));
        }
        let id = "00000000000000b1";
        assert_eq!(bed.submit("e1", id, job("", &[1])).await, Reply::Accepted);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(bed.query("e2", "").await, Reply::Waiting(11));
    })
    .await;
}
