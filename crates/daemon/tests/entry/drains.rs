//! A task on a draining worker, with a running entry and two workers.

use std::sync::Arc;

use goldcrest_standin::worker::RunBook;
use goldcrest_types::names::TaskKey;

use crate::common::{Fixture, GUIDES, example, until};

const TASK: &str = "{\"queue\":\"backfill\",\"need\":{\"cpu_millis\":100,\"memory_bytes\":1000},\"run_ms\":600000,\"payload\":\"run_ms=600000\",\"idempotent\":false}";

/// Moves have weight 0, so every task on a draining worker is checkpointed. The task is not idempotent and would run
/// for
/// 10 min.
#[tokio::test]
async fn drain_task_resumes_on_another_worker() {
    let mut spec = example();
    spec.maintenance.enabled = false;
    spec.weights.one_move = 0;
    for queue in &mut spec.queues {
        queue.limits.run_max_ms = 3_600_000;
    }
    let fix = Fixture::start_with("", &spec, 1).await;
    let book = Arc::new(RunBook::default());
    fix.add_worker("w-1", &book).await;
    let key = fix.submit_task(GUIDES, TASK).await;
    let key: TaskKey = key.parse().expect("a key");
    until(|| book.started(key) == 1).await;
    fix.add_worker("w-2", &book).await;
    fix.drain("w-1").await;
    until(|| book.resumed(key) == 1).await;
    assert_eq!(book.started(key), 2);
    assert_eq!(book.overlaps(), 0);
    fix.stop().await;
}
