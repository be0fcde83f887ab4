//! A catalogue with one open queue `q` and its pool `p`.

use std::fmt::Debug;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_jobs::catalogue::{Catalogue, PoolSpec, Queue};
use goldcrest_jobs::id::FencingToken;
use goldcrest_jobs::pool::{Bounds, Pool};

/// How often a task of the queue may fail.
const ATTEMPTS_MAX: u32 = 2;

fn name<T: FromStr<Err: Debug>>() -> T {
    "p".parse().expect("a name")
}

/// The catalogue with the queue and the pool.
pub fn catalogue() -> Catalogue {
    let queue = Queue {
        name: "q".parse().expect("a name"),
        host: "host".into(),
        prefix: "/q/".into(),
        pool: name(),
        is_open: true,
        priority: 0,
        attempts_max: ATTEMPTS_MAX,
        stretch_milli: 1_600,
        target_latency: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        permit_queries: None,
    };
    let spec = PoolSpec {
        name: name(),
        has_admission_control: true,
        is_spare: false,
    };
    Catalogue::new(1, vec![queue], vec![spec], Vec::new())
}

/// The pool's scheduler, without jobs and workers.
pub fn pool(token: u64) -> Pool {
    Pool::new(
        name(),
        FencingToken(token),
        Bounds::default(),
        Arc::new(catalogue()),
    )
}
