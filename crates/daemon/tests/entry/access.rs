//! Access control of an entry's interfaces, over real connections to one entry with stand-ins.

use goldcrest_api::{CatalogueView, EditRequest, path};
use goldcrest_ledger::catalogue::Change;
use goldcrest_types::names::EditId;
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::common::{AGENCIES, Fixture, GUIDES, OPERATOR, TASK};

#[tokio::test]
async fn operator_without_key() {
    let fix = Fixture::start().await;
    for path in [
        path::CATALOGUE,
        path::STATUS,
        path::IN_FORCE,
        "/v1/explain/team/agencies",
    ] {
        for key in [None, Some("wrong"), Some(AGENCIES)] {
            let answer = fix.operator(Method::GET, path, key, "").await;
            assert_eq!(
                answer.status,
                StatusCode::UNAUTHORIZED,
                "{path} with {key:?}"
            );
            let text = String::from_utf8_lossy(&answer.body);
            assert!(
                !text.contains("agencies"),
                "{path} with {key:?} reveals: {text}"
            );
        }
    }
    let edit = fix.operator(Method::POST, path::EDITS, None, "{}").await;
    assert_eq!(edit.status, StatusCode::UNAUTHORIZED);
    fix.stop().await;
}

#[tokio::test]
async fn operator_first_key_after_operators() {
    let fix = Fixture::start().await;
    // The catalogue names an operator by now, so the key of the settings counts no more.
    let answer = fix
        .operator(Method::GET, path::STATUS, Some("at-first"), "")
        .await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    let answer = fix
        .operator(Method::GET, path::STATUS, Some(OPERATOR), "")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    fix.stop().await;
}

#[tokio::test]
async fn operator_oversize_edit() {
    let fix = Fixture::start().await;
    let body = "x".repeat(5 << 20);
    let answer = fix
        .operator(Method::POST, path::EDITS, Some(OPERATOR), &body)
        .await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    fix.stop().await;
}

#[tokio::test]
async fn task_other_team() {
    let fix = Fixture::start().await;
    let key = fix.submit(AGENCIES).await;
    let path = format!("/v1/tasks/{key}");
    let own = fix.task(Method::GET, &path, Some(AGENCIES), "").await;
    assert_eq!(own.status, StatusCode::OK);
    for method in [Method::GET, Method::DELETE] {
        let other = fix.task(method, &path, Some(GUIDES), "").await;
        assert_eq!(other.status, StatusCode::NOT_FOUND);
        assert_eq!(other.headers["x-outcome"], "not-run");
    }
    let still = fix.task(Method::GET, &path, Some(AGENCIES), "").await;
    assert!(!String::from_utf8_lossy(&still.body).contains("cancelled"));
    fix.stop().await;
}

#[tokio::test]
async fn task_without_key() {
    let fix = Fixture::start().await;
    for key in [None, Some("wrong")] {
        let answer = fix.task(Method::POST, "/v1/tasks", key, TASK).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "with {key:?}");
        assert_eq!(answer.headers["x-outcome"], "not-run");
    }
    fix.stop().await;
}

#[tokio::test]
async fn task_key_withdrawn_while_body_comes() {
    let fix = Fixture::start().await;
    fix.submit(AGENCIES).await;
    let mut task = fix.begin_task(AGENCIES, TASK.len()).await;
    let view = fix
        .operator(Method::GET, path::CATALOGUE, Some(OPERATOR), "")
        .await;
    let view: CatalogueView = serde_json::from_slice(&view.body).expect("a catalogue");
    let edit = EditRequest {
        id: EditId::new(77),
        changes: Change::withdraw_all(&view.spec, &"agencies".parse().expect("a name")),
    };
    let edit = serde_json::to_string(&edit).expect("it is JSON");
    let edited = fix
        .operator(Method::POST, path::EDITS, Some(OPERATOR), &edit)
        .await;
    assert_eq!(edited.status, StatusCode::OK);
    task.write_all(TASK.as_bytes()).await.expect("a connection");
    let mut answer = String::new();
    let read = task.read_to_string(&mut answer).await;
    read.expect("a connection");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.contains("x-outcome: not-run"), "{answer}");
    fix.stop().await;
}

#[tokio::test]
async fn task_bad_message() {
    let fix = Fixture::start().await;
    let oversize = format!("{{\"payload\":\"{}\"}}", "x".repeat(64 << 10));
    let unknown = TASK.replace("payload", "paylode");
    let no_workers = TASK.replace("backfill", "merge");
    let bad = [
        (oversize, StatusCode::BAD_REQUEST),
        (unknown, StatusCode::BAD_REQUEST),
        (no_workers, StatusCode::BAD_REQUEST),
        (TASK.replace("backfill", "backfil"), StatusCode::NOT_FOUND),
    ];
    for (body, status) in bad {
        let answer = fix
            .task(Method::POST, "/v1/tasks", Some(AGENCIES), &body)
            .await;
        assert_eq!(answer.status, status, "{body:.80}");
        assert_eq!(answer.headers["x-outcome"], "not-run");
    }
    fix.stop().await;
}

#[tokio::test]
async fn metrics_name_no_caller_text() {
    let fix = Fixture::start().await;
    fix.wait_for_pools().await;
    fix.caller("/q/made-up-queue/x", Some("made-up-key")).await;
    let metrics = fix.operator(Method::GET, path::METRICS, None, "").await;
    assert_eq!(metrics.status, StatusCode::OK);
    let text = String::from_utf8_lossy(&metrics.body);
    assert!(text.contains("goldcrest_catalogue_revision 1"), "{text}");
    assert!(text.contains("goldcrest_pool_vms{pool=\"merge\""), "{text}");
    assert!(!text.contains("made-up"), "{text}");
    fix.stop().await;
}
