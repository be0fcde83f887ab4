//! The steps of the demonstration. Each brings about one thing and checks the promises that it touches.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use goldcrest_ledger::catalogue::Change;
use goldcrest_ports::fleet::VmPhase;
use goldcrest_standin::KvFault;
use goldcrest_types::breach::Promise;
use goldcrest_types::names::{KeyName, TaskKey, VmName};
use tokio::time::Instant;

use super::setup::Stage;
use super::{LOOK_INTERVAL, STEP_TIMEOUT, StoryError};
use crate::account::Account;
use crate::callers::{Callers, Plan, Tally};
use crate::submitters::Submitter;

/// How long callers run where a step only needs some work.
const WORK: Duration = Duration::from_secs(2);

/// How long the key-value service is cut off before its effect is looked at. It is longer than a proof of freshness
/// lasts.
const OUTAGE_LEAD: Duration = Duration::from_secs(6);

/// Within this time a withdrawn key must have stopped working.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(6);

/// Within this time a leaving upstream must have received its last new request.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// How many tasks are submitted.
const TASKS: usize = 16;

/// The longest deadline in the catalogue of the demonstration, with some time for the steps around a drain.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// How many VMs must have been rebooted.
const REBOOTS: usize = 4;

/// The upper limit of the team `guides` in the catalogue of the demonstration.
const GUIDES_LIMIT: u32 = 6;

fn plan(queue: &'static str, key: Option<&str>, is_idempotent: bool, delay_ms: u32) -> Plan {
    Plan {
        queue,
        key: key.map(Into::into),
        is_idempotent,
        delay_ms,
    }
}

fn agencies() -> Plan {
    plan("merge", Some("agencies-example"), false, 5)
}

fn start(stage: &Stage, label: &str, count: u32, plan: &Plan) -> Callers {
    Callers::start(label, count, plan, &stage.targets, &stage.lab.calls)
}

/// Checks what holds for every request, whatever happens meanwhile.
fn check_tally(account: &mut Account, what: &str, tally: &Tally) {
    println!(
        "{what}: {} sent, {} answered, {} not run, {} unknown{}",
        tally.sent,
        tally.answered,
        tally.not_run,
        tally.unknown,
        tally.codes_text()
    );
    let wrong = tally.wrong + tally.unclear;
    account.check(Promise::WholeAnswer, what, tally.sent, wrong);
    if tally.not_run > 0 {
        let broken = tally.not_run_but_ran;
        account.check(Promise::TrueRefusal, what, tally.not_run, broken);
    }
    if tally.answered == 0 {
        account.fail(format!("{what}: no request was answered"));
    }
}

/// Waits until every entry knows the past of the idempotency keys of which it is the home.
async fn settle(stage: &mut Stage, label: &str, account: &mut Account) {
    let callers = start(stage, label, 4, &agencies());
    let started = Instant::now();
    let mut last = callers.tally();
    loop {
        stage.pause(WORK / 2).await;
        let next = callers.tally();
        let is_settled = next.answered > last.answered && next.unknown == last.unknown;
        if is_settled {
            break;
        }
        if started.elapsed() > STEP_TIMEOUT * 2 {
            account.fail(format!("{label}: some keys have no home that knows them"));
            break;
        }
        last = next;
    }
    check_tally(account, label, &callers.finish().await);
}

/// Requests with and without keys.
pub async fn serve_requests(stage: &mut Stage, account: &mut Account) {
    settle(stage, "requests after the start", account).await;
    let callers = start(stage, "first", 4, &agencies());
    let open = start(stage, "open", 2, &plan("status", None, true, 2));
    stage.pause(WORK).await;
    check_tally(account, "keyed requests", &callers.finish().await);
    check_tally(account, "open requests", &open.finish().await);
}

/// More callers of one team than its upper limit allows, over all entries at one time.
pub async fn reach_upper_limit(stage: &mut Stage, account: &mut Account) {
    let guides = plan("merge", Some("guides-example"), true, 60);
    let callers = start(stage, "guides", 30, &guides);
    let started = Instant::now();
    stage.pause(WORK).await;
    while stage.lab.calls.most_running("guides") < GUIDES_LIMIT && started.elapsed() < STEP_TIMEOUT
    {
        stage.pause(LOOK_INTERVAL).await;
    }
    println!(
        "a team at its upper limit after {} ms",
        started.elapsed().as_millis()
    );
    check_tally(
        account,
        "a team at its upper limit",
        &callers.finish().await,
    );
    let most = stage.lab.calls.most_running("guides");
    let what = format!("guides: at most {most} at one time, upper limit {GUIDES_LIMIT}");
    let broken = u64::from(most.saturating_sub(GUIDES_LIMIT));
    account.check(Promise::UpperLimit, &what, u64::from(most), broken);
    if most < GUIDES_LIMIT {
        account.fail(format!("{what}: the limit was not reached"));
    }
}

/// Withdraws a key under load.
pub async fn withdraw_key(stage: &mut Stage, account: &mut Account) -> Result<(), StoryError> {
    let callers = start(
        stage,
        "guided",
        4,
        &plan("merge", Some("guides-example"), true, 2),
    );
    let others = start(stage, "others", 2, &agencies());
    stage.pause(WORK / 2).await;
    let name: KeyName = "guides-1".parse().map_err(crate::lab::bad_name)?;
    let spec = stage.client()?.catalogue().await?.spec;
    let change = Change::withdraw(&spec, &name);
    let revision = stage.edit(change.into_iter().collect()).await?;
    let waited = stage.wait_in_force(revision).await?;
    println!("key withdrawn, in force after {} ms", waited.as_millis());
    let late = u64::from(waited > WITHDRAWAL_BOUND);
    account.check(Promise::ConfigurationInForce, "a key withdrawn", 1, late);
    // Requests that were admitted before still end.
    stage.pause(LOOK_INTERVAL * 4).await;
    let before = callers.tally();
    stage.pause(WORK / 2).await;
    let after = callers.finish().await;
    let worked = after.answered - before.answered;
    let tried = after.sent - before.sent;
    account.check(Promise::KeyAuthority, "a withdrawn key", tried, worked);
    check_tally(account, "requests of other keys", &others.finish().await);
    Ok(())
}

/// Cuts the key-value service off for everyone.
pub async fn cut_store(stage: &mut Stage, account: &mut Account) {
    let callers = start(stage, "outage", 4, &agencies());
    let open = start(stage, "openly", 2, &plan("status", None, true, 2));
    stage.lab.set_store_fault(KvFault::Down);
    stage.pause(OUTAGE_LEAD).await;
    let before = callers.tally();
    stage.pause(WORK).await;
    let after = callers.tally();
    stage.lab.set_store_fault(KvFault::None);
    println!(
        "key-value service cut off for {} s: {} answered in the {} s after that",
        OUTAGE_LEAD.as_secs(),
        after.answered - before.answered,
        WORK.as_secs()
    );
    if after.answered == before.answered {
        account.fail("keyed work stopped while the key-value service was down for all");
    }
    stage.pause(WORK).await;
    check_tally(
        account,
        "keyed requests in an outage",
        &callers.finish().await,
    );
    check_tally(account, "open requests in an outage", &open.finish().await);
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// Loses an entry VM at once, and starts another.
pub async fn lose_entry(stage: &mut Stage, account: &mut Account) -> Result<(), StoryError> {
    let callers = start(stage, "crash", 6, &agencies());
    stage.pause(WORK / 2).await;
    stage.lab.crash("entry-lis-a-2");
    stage.refresh_targets();
    stage.pause(WORK / 2).await;
    stage.lab.start_entry("entry-lis-a-3", "lis-a").await?;
    let revision = stage.client()?.catalogue().await?.revision;
    let waited = stage.wait_in_force(revision).await?;
    println!(
        "an entry lost; the next has the catalogue after {} ms",
        waited.as_millis()
    );
    stage.refresh_targets();
    stage.pause(WORK).await;
    check_tally(
        account,
        "requests while an entry is lost",
        &callers.finish().await,
    );
    settle(stage, "requests after the loss", account).await;
    Ok(())
}

/// The platform shows an upstream as leaving.
pub async fn remove_upstream(stage: &mut Stage, account: &mut Account) {
    let callers = start(stage, "leaving", 6, &agencies());
    stage.pause(WORK / 2).await;
    let Ok(vm) = "up-lis-a-1".parse::<VmName>() else {
        return;
    };
    stage.lab.fleet.set_phase(&vm, VmPhase::Leaving);
    stage.pause(LEAVING_BOUND).await;
    let Some(upstream) = stage.lab.upstream(vm.as_str()).cloned() else {
        return;
    };
    let before = upstream.started();
    stage.pause(WORK).await;
    let late = upstream.started() - before;
    let open = upstream.open().load(Ordering::Acquire);
    println!("an upstream left: {late} new requests after {LEAVING_BOUND:?}, {open} open");
    account.check(Promise::LeavingUpstream, "an upstream that leaves", 1, late);
    check_tally(
        account,
        "requests while an upstream leaves",
        &callers.finish().await,
    );
    stage.lab.fleet.set_phase(&vm, VmPhase::Live);
}

/// Stops an entry gracefully under load.
pub async fn stop_entry(stage: &mut Stage, account: &mut Account) -> Result<(), StoryError> {
    let callers = start(
        stage,
        "stopping",
        6,
        &plan("merge", Some("agencies-example"), false, 40),
    );
    stage.pause(WORK / 2).await;
    let vm = "entry-lis-a-3";
    stage.hide_target(vm);
    let cut = stage.lab.stop_entry(vm).await;
    stage.pause(WORK / 2).await;
    let tally = callers.finish().await;
    println!("an entry stopped: {cut} requests cut");
    account.check(
        Promise::GracefulShutdown,
        "an entry stopped under load",
        tally.sent,
        cut + tally.cut,
    );
    check_tally(account, "requests while an entry stops", &tally);
    Ok(())
}

/// Tasks of two teams, while VMs are maintained.
pub async fn run_tasks(stage: &mut Stage, account: &mut Account) {
    let Some((_, _, addresses)) = stage.lab.entries().next() else {
        return;
    };
    let urgent = Submitter::new(addresses.task, "agencies-example");
    let batch = Submitter::new(addresses.task, "guides-example");
    let mut tasks = Vec::new();
    for number in 0..TASKS {
        let key = TaskKey::new(rand::random());
        let is_urgent = number % 2 == 0;
        let (submitter, queue, run) = if is_urgent {
            (&urgent, "checks", Duration::from_millis(200))
        } else {
            (&batch, "backfill", Duration::from_millis(600))
        };
        if submitter.submit(key, queue, run, false).await {
            tasks.push((key, submitter));
        }
    }
    let started = Instant::now();
    let runs = Arc::clone(&stage.lab.runs);
    while tasks.iter().any(|(key, _)| runs.succeeded(*key) == 0) && started.elapsed() < STEP_TIMEOUT
    {
        stage.pause(LOOK_INTERVAL).await;
    }
    let waited_ms = started.elapsed().as_millis();
    println!(
        "{} of {TASKS} tasks accepted, ended after {waited_ms} ms",
        tasks.len()
    );
    for (key, submitter) in tasks.iter().filter(|(key, _)| runs.succeeded(*key) == 0) {
        let told = submitter.state(*key).await;
        let starts = runs.started(*key);
        account.fail(format!(
            "task {key} did not end well: {starts} starts, told as {told:?}"
        ));
    }
    if tasks.len() < TASKS {
        account.fail(format!(
            "only {} of {TASKS} tasks were accepted",
            tasks.len()
        ));
    }
    let twice = tasks.iter().filter(|(key, _)| runs.started(*key) > 1);
    let twice = as_u64(twice.count());
    account.check(
        Promise::AtMostOnce,
        "tasks that are not idempotent",
        as_u64(tasks.len()),
        twice,
    );
    for (key, submitter) in tasks.iter().take(2) {
        // What the submitter is told lags behind by what the scheduler has yet to hear.
        let mut told = submitter.state(*key).await;
        while told.as_deref() != Some("succeeded") && started.elapsed() < STEP_TIMEOUT {
            stage.pause(LOOK_INTERVAL).await;
            told = submitter.state(*key).await;
        }
        if told.as_deref() != Some("succeeded") {
            account.fail(format!("task {key} is told as {told:?}"));
        }
    }
}

/// Cuts the entry of one data centre off from the key-value service while VMs are maintained. It goes on serving by what
/// it knows, so no VM may be rebooted whose drain it has not seen.
pub async fn cut_entry_in_maintenance(stage: &mut Stage, account: &mut Account) {
    let callers = start(stage, "cut", 4, &plan("status", None, true, 2));
    stage.lab.set_store_fault_in("lis-b", KvFault::Down);
    // Drains that the entry has seen before the cut may still end in a reboot.
    stage.pause(DRAIN_BOUND).await;
    let before = stage.lab.fleet.reboots().len();
    let looks = stage.watch.with_permit();
    stage.pause(DRAIN_BOUND * 2).await;
    let reboots = as_u64(stage.lab.fleet.reboots().len() - before);
    let drains = stage.watch.with_permit() - looks;
    stage.lab.set_store_fault_in("lis-b", KvFault::None);
    println!(
        "an entry cut off in maintenance: {reboots} reboots, {drains} looks at a VM that drains"
    );
    let what = "reboots that an entry cut off has not seen";
    account.check(Promise::GracefulShutdown, what, drains, reboots);
    check_tally(
        account,
        "open requests with an entry cut off",
        &callers.finish().await,
    );
}

/// Waits until some VMs were rebooted under load.
pub async fn maintain(stage: &mut Stage, account: &mut Account) {
    let callers = start(stage, "maintained", 4, &agencies());
    let open = start(stage, "maintained-open", 2, &plan("status", None, true, 2));
    let started = Instant::now();
    while stage.lab.fleet.reboots().len() < REBOOTS && started.elapsed() < STEP_TIMEOUT * 2 {
        stage.pause(LOOK_INTERVAL).await;
    }
    stage.pause(WORK).await;
    let reboots = as_u64(stage.lab.fleet.reboots().len());
    let cut = u64::from(stage.lab.fleet.cut_work());
    println!("{reboots} VMs rebooted so far, {cut} requests or tasks cut by that");
    account.check(Promise::GracefulShutdown, "VMs rebooted", reboots, cut);
    if reboots < as_u64(REBOOTS) {
        account.fail(format!("only {reboots} VMs were rebooted"));
    }
    check_tally(
        account,
        "keyed requests in maintenance",
        &callers.finish().await,
    );
    check_tally(
        account,
        "open requests in maintenance",
        &open.finish().await,
    );
}

/// Checks what holds over the whole story, and ends it.
pub async fn finish(stage: Stage, account: &mut Account) {
    stage.watch.close(account);
    let calls = stage.lab.calls.clone();
    stage.lab.shut_down().await;
    let twice = as_u64(calls.run_twice());
    let keys = as_u64(calls.once_only());
    account.check(
        Promise::AtMostOnce,
        "requests that are not idempotent",
        keys,
        twice,
    );
}
