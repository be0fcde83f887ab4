//! A move of a VM by a running entry, from the demand sample to the operators' interface.

use goldcrest_api::{Explanation, Status, path};
use goldcrest_types::catalogue::{PoolKind, PoolSpec};
use goldcrest_types::units::{Slots, VmCount};
use http::Method;

use crate::common::{Fixture, OPERATOR, example};

const SIZING: &str = "sizing:\n  enabled: true\n  look_ms: 5000\n";

/// Four upstreams: two pools take two and one, and the spare one must move to the first pool, which is below its
/// `min_vms`.
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
    let explanation: Explanation = serde_json::from_slice(&answer.body).expect("an explanation");
    let text = explanation.lines.join("\n");
    let why = "moved from pool spare to pool merge: outside its least and greatest size";
    assert!(text.contains("for a move to pool merge"), "{text}");
    assert!(text.contains(why), "{text}");
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
