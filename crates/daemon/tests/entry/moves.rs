//! A move through a running entry: from the look to what operators see.

use goldcrest_api::{Explanation, Status, path};
use goldcrest_types::catalogue::{PoolKind, PoolSpec};
use goldcrest_types::units::{Slots, VmCount};
use http::Method;

use crate::common::{Fixture, OPERATOR, example};

const SIZING: &str = "sizing:\n  enabled: true\n  look_ms: 5000\n";

/// Four upstreams: two for the one pool, one for the other, and one to spare that the first pool lacks.
#[tokio::test]
async fn move_is_begun_and_explained() {
    let mut spec = example();
    spec.maintenance.enabled = false;
    spec.pools.push(PoolSpec {
        name: "spare".parse().expect("a name"),
        kind: PoolKind::Spare,
        min_vms: VmCount::ZERO,
        max_vms: VmCount::MAX,
        max_unavailable_vms: VmCount::new(1),
        vm_slots: Slots::ZERO,
    });
    let fix = Fixture::start_with(SIZING, &spec, 4).await;
    let (vm, to) = fix.wait_for_move().await;
    assert_eq!(to.as_str(), "merge");
    let path = format!("{}/vm/{vm}", path::EXPLAIN);
    let answer = fix.operator(Method::GET, &path, Some(OPERATOR), "").await;
    let told: Explanation = serde_json::from_slice(&answer.body).expect("an explanation");
    let told = told.lines.join("\n");
    let why = "moved from pool spare to pool merge: outside its least and greatest size";
    assert!(told.contains("for a move to pool merge"), "{told}");
    assert!(told.contains(why), "{told}");
    let answer = fix
        .operator(Method::GET, path::STATUS, Some(OPERATOR), "")
        .await;
    let status: Status = serde_json::from_slice(&answer.body).expect("a status");
    let lines = status.waves.join("\n");
    assert!(lines.contains("by the demand of 1 entries"), "{lines}");
    let metrics = fix.operator(Method::GET, path::METRICS, None, "").await;
    let text = String::from_utf8_lossy(&metrics.body);
    assert!(text.contains("goldcrest_moves_begun 1"), "{text}");
    fix.stop().await;
}
