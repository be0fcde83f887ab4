//! The commands that print state: `status`, `explain` and `watch`.

use goldcrest_api::{Explanation, PoolStatus, Status, Subject, TeamShare, TeamStatus};
use serde::Serialize;
use tokio::time::sleep;

use super::fail;
use crate::Output;
use crate::args::WATCH_INTERVAL;
use crate::client::Client;
use crate::exit::Exit;
use crate::table::Table;

pub async fn status(client: &Client, json: bool, output: &mut Output<'_>) -> Exit {
    match client.status().await {
        Ok(status) => {
            show_status(&status, json, output);
            Exit::Done
        }
        Err(error) => fail(&error, output),
    }
}

pub async fn explain(
    client: &Client,
    subject: Subject,
    id: &str,
    json: bool,
    output: &mut Output<'_>,
) -> Exit {
    match client.explain(subject, id).await {
        Ok(explanation) => {
            show_explanation(&explanation, json, output);
            Exit::Done
        }
        Err(error) => fail(&error, output),
    }
}

pub async fn watch(
    client: &Client,
    json: bool,
    count: Option<u32>,
    output: &mut Output<'_>,
) -> Exit {
    let mut last: Option<Status> = None;
    let mut shown = 0;
    while count.is_none_or(|count| shown < count) {
        match client.status().await {
            Ok(status) => {
                if last.as_ref().is_none_or(|last| is_changed(last, &status)) {
                    show_status(&status, json, output);
                    last = Some(status);
                    shown += 1;
                }
            }
            Err(error) => {
                let exit = fail(&error, output);
                if exit == Exit::Refused {
                    return exit;
                }
            }
        }
        if count.is_none_or(|count| shown < count) {
            sleep(WATCH_INTERVAL).await;
        }
    }
    Exit::Done
}

/// Returns whether two answers differ beside the number of store calls, which grows all the time.
fn is_changed(last: &Status, now: &Status) -> bool {
    let mut now = now.clone();
    now.store.calls = last.store.calls;
    *last != now
}

fn show_json<T: Serialize>(value: &T, output: &mut Output<'_>) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => output.line(&text),
        Err(error) => output.diagnostic(&format!("goldcrestctl: {error}: leave out --json")),
    }
}

fn show_explanation(explanation: &Explanation, json: bool, output: &mut Output<'_>) {
    if json {
        return show_json(explanation, output);
    }
    for line in &explanation.lines {
        output.line(line);
    }
}

fn show_status(status: &Status, json: bool, output: &mut Output<'_>) {
    if json {
        return show_json(status, output);
    }
    output.line(&format!(
        "entry {} on {} in {}: revision {}, {}",
        status.entry, status.vm, status.data_centre, status.revision, status.ready
    ));
    output.line(&format!(
        "store: {} calls, {} without answer, session {}, keys {}",
        status.store.calls,
        status.store.failed_calls,
        if status.store.has_session {
            "held"
        } else {
            "not held"
        },
        status.store.key_freshness
    ));
    show_table(&pool_table(&status.pools), output);
    show_table(&team_table(&status.teams, &status.shares), output);
    for line in status.waves.iter().chain(&status.tasks) {
        output.line(line);
    }
}

fn show_table(table: &Table, output: &mut Output<'_>) {
    if !table.is_empty() {
        output.line("");
        output.line(&table.text());
    }
}

fn pool_table(pools: &[PoolStatus]) -> Table {
    let mut table = Table::new(&[
        "pool",
        "data centre",
        "serving",
        "draining",
        "rebooting",
        "failed",
        "joining",
        "budget",
    ]);
    for pool in pools {
        table.row([
            pool.pool.to_string(),
            pool.data_centre.to_string(),
            pool.serving_vms.to_string(),
            pool.draining_vms.to_string(),
            pool.rebooting_vms.to_string(),
            pool.failed_vms.to_string(),
            pool.joining_vms.to_string(),
            pool.max_unavailable_vms.to_string(),
        ]);
    }
    table
}

fn team_table(teams: &[TeamStatus], shares: &[TeamShare]) -> Table {
    let mut table = Table::new(&[
        "team",
        "share",
        "uses of workers",
        "entitled to",
        "limit",
        "usable here",
        "running",
        "waiting",
    ]);
    for team in teams {
        let share = shares.iter().find(|share| share.team == team.team);
        table.row([
            team.team.to_string(),
            team.share.to_string(),
            percent(share.map(|share| share.used_ratio)),
            percent(share.map(|share| share.entitled_ratio)),
            team.upper_limit_slots.to_string(),
            team.usable_slots.to_string(),
            team.running_slots.to_string(),
            team.waiting_slots.to_string(),
        ]);
    }
    table
}

/// Formats a ratio in percent, or a dash if it is not known.
fn percent(ratio: Option<f64>) -> String {
    ratio.map_or_else(|| "-".into(), |ratio| format!("{:.1}%", ratio * 100.0))
}
