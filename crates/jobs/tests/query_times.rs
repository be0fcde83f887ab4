//! What a query for placement permits may ask, by the times that its queue states.

use std::time::{Duration, Instant};

use goldcrest_jobs::query_times::QueryTimes;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn times(decision_ms: u64, per_worker_ms: u64, validity_ms: u64) -> QueryTimes {
    QueryTimes {
        decision: ms(decision_ms),
        per_worker: ms(per_worker_ms),
        validity: ms(validity_ms),
    }
}

#[test]
fn workers_max_leaves_half_of_the_permits_use() {
    assert_eq!(times(200, 20, 3_000).workers_max(), 30);
    assert_eq!(times(200, 100, 3_000).workers_max(), 9);
    assert_eq!(times(2_000, 100, 3_000).workers_max(), 1);
    assert_eq!(QueryTimes::default().workers_max(), 30);
}

#[test]
fn timeout_ends_when_permits_are_useless() {
    assert_eq!(times(200, 20, 3_000).timeout(12), ms(1_880));
    assert_eq!(times(700, 20, 3_000).timeout(12), ms(2_250));
    assert_eq!(times(5_000, 0, 60_000).timeout(1), ms(11_000));
    assert_eq!(QueryTimes::default().timeout(30), ms(3_000));
}

#[test]
fn used_until_decision_longer_than_validity() {
    let sent_at = Instant::now();
    let until = |times: QueryTimes| times.used_until(sent_at, 10, times.validity) - sent_at;
    assert_eq!(until(times(200, 20, 3_000)), ms(2_250));
    assert_eq!(until(times(2_500, 20, 3_000)), ms(4_950));
}
