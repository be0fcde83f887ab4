//! Entries that are replaced one at a time at the required rate of 250 a day, and a service that is slow after an
//! outage.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use goldcrest_ledger::Document;
use goldcrest_ledger::jobs::{
    Checkpoint, JobAnswer, JobEdit, JobRefusal, JobsDoc, Task, TaskState,
};
use goldcrest_ports::store::StoreKey;
use goldcrest_session::{FollowConfig, Follower, Updated, keys};
use goldcrest_types::catalogue::Class;
use goldcrest_types::names::{EditId, TaskKey};
use goldcrest_types::units::Resources;
use tokio_util::sync::CancellationToken;

use crate::common::{FakeStore, TokioClock};
use crate::linked::{first_edit, grant};
use crate::world::{Entry, Fleet, pass, quota_role};

const LIMIT: u32 = 100;

/// The time from one replacement to the next.
const REPLACED_EACH_S: u32 = 86_400 / 250;

/// The number of replacements in two hours.
const REPLACEMENTS: u32 = 2 * 3_600 / REPLACED_EACH_S;

/// The time within which an accepted edit must be in force at all entries.
const IN_FORCE_WITHIN_S: u32 = 6;

/// The time after the expiry of a crashed holder's lease within which another entry must hold the role.
const TAKEN_OVER_WITHIN_S: u32 = 5;

struct RunningFollower {
    follower: Follower<FakeStore, TokioClock>,
    stop: CancellationToken,
}

impl RunningFollower {
    fn start(entry: &Entry) -> Self {
        let follower = Follower::new(entry.session.clone(), FollowConfig::default());
        let stop = CancellationToken::new();
        tokio::spawn(follower.clone().run(stop.clone()));
        Self { follower, stop }
    }
}

fn jobs_key() -> StoreKey {
    "jobs/lis-0/0".parse().expect("a key")
}

fn task() -> Task {
    Task {
        queue: "merges".parse().expect("a name"),
        team: "guides".parse().expect("a name"),
        class: Class::Batch,
        need: Resources::ZERO,
        run_ms: 1_000,
        payload: "x".into(),
        is_idempotent: false,
        attempts: 0,
        checkpoint: Checkpoint::Possible,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}

/// Accepts a task through an entry.
async fn accept_task(entry: &Entry, key: u32) {
    let key = TaskKey::new(u128::from(key));
    let id = EditId::new(key.bits());
    let steps = [JobEdit::Accept { key, task: task() }];
    let change = |doc: &mut JobsDoc| match doc.apply(id, &steps).pop() {
        Some(Ok(answer)) => Ok(answer),
        other => Err(other),
    };
    let updated = entry.session.update(&jobs_key(), id, change).await;
    let _: &Updated<JobAnswer, Option<Result<JobAnswer, JobRefusal>>> = match &updated {
        Ok(updated @ Updated::Applied { .. }) => updated,
        other => panic!("not accepted: {other:?}"),
    };
}

fn holders(entries: &[Entry]) -> usize {
    let role = quota_role();
    let holds = |entry: &&Entry| entry.roles.epoch(&role).is_some();
    entries.iter().filter(holds).count()
}

/// Lets time pass and returns the number of seconds in which no entry held the role.
async fn unheld_s(fleet: &Arc<Fleet>, entries: &[Entry], seconds: u32) -> u32 {
    let mut unheld = 0;
    for _ in 0..seconds {
        pass(fleet, entries, 1, LIMIT).await;
        let holders = holders(entries);
        assert!(holders <= 1, "{holders} hold the role");
        unheld += u32::from(holders == 0);
    }
    unheld
}

/// Asserts that this revision is in force at every entry.
fn check_all_at(followers: &[RunningFollower], revision: u64) {
    for running in followers {
        assert_eq!(running.follower.revision().get(), revision);
    }
}

#[tokio::test(start_paused = true)]
async fn replaced_one_at_a_time() {
    let (store, fleet) = (FakeStore::default(), Fleet::new(2, LIMIT));
    let start =
        |bits: u32| Entry::start(&store, &fleet, u128::from(bits) << 64, (bits % 2) as usize);
    let mut entries: Vec<Entry> = (1..=6).map(start).collect();
    let mut followers: Vec<RunningFollower> = entries.iter().map(RunningFollower::start).collect();
    unheld_s(&fleet, &entries, 30).await;
    let accepted = followers[0].follower.edit(&first_edit(2)).await;
    assert!(accepted.is_ok());
    let lease_s = u32::try_from(entries[0].session.cfg().lease_ttl.as_secs()).expect("short");
    let mut longest_s = 0;
    let mut held_by = BTreeSet::new();
    for number in 0..REPLACEMENTS {
        let index = (number % 6) as usize;
        accept_task(&entries[index], number).await;
        let next = start(number + 7);
        followers[index].stop.cancel();
        let old = std::mem::replace(&mut entries[index], next);
        if number % 2 == 0 {
            old.stop().await;
        } else {
            old.crash();
        }
        followers[index] = RunningFollower::start(&entries[index]);
        let edit = grant(u128::from(number) + 2);
        let other = &followers[(index + 1) % 6];
        assert!(matches!(
            other.follower.edit(&edit).await,
            Ok(Updated::Applied { .. })
        ));
        let unheld = unheld_s(&fleet, &entries, IN_FORCE_WITHIN_S).await;
        check_all_at(&followers, u64::from(number) + 2);
        let rest = REPLACED_EACH_S - IN_FORCE_WITHIN_S;
        let unheld = unheld + unheld_s(&fleet, &entries, rest).await;
        longest_s = longest_s.max(unheld);
        assert!(unheld <= lease_s + TAKEN_OVER_WITHIN_S, "{unheld} s unheld");
        let holder = entries
            .iter()
            .find(|entry| entry.roles.epoch(&quota_role()).is_some());
        held_by.extend(holder.map(|entry| entry.id));
    }
    println!(
        "{REPLACEMENTS} replaced, {} held the role, at most {longest_s} s unheld",
        held_by.len()
    );
    assert!(held_by.len() > 1, "the role moved");
    let stored = store.peek(&jobs_key()).expect("the accepted tasks");
    let doc = JobsDoc::decode(&stored.value).expect("a whole document");
    assert_eq!(doc.tasks().len(), REPLACEMENTS as usize);
}

/// Returns the number of calls that all entries have made.
fn calls(entries: &[Entry]) -> u64 {
    entries
        .iter()
        .map(|entry| entry.session.counts().total())
        .sum()
}

fn set_latency(entries: &[Entry], latency_ms: u64, down: bool) {
    for entry in entries {
        entry.store.set_faults(crate::common::Faults {
            down,
            latency: Duration::from_millis(latency_ms),
            ..crate::common::Faults::default()
        });
    }
}

/// After an outage of ten minutes the service answers each call only after more than a second. Call rates, leases and
/// edits must stay within their bounds.
#[tokio::test(start_paused = true)]
async fn service_restored_slow() {
    // A tenth of the service's rate limits is 230 calls a second, shared by a fleet of 66 entries.
    const CALLS_A_MINUTE: u64 = 230 * 60 / 66;
    // The default rate limit of one entry, which also bounds its attempts while the service is unreachable.
    const RATE_LIMIT_A_MINUTE: u64 = 20 * 60;
    let (store, fleet) = (FakeStore::default(), Fleet::new(2, LIMIT));
    let start = |bits: usize| Entry::start(&store, &fleet, (bits as u128) << 64, bits % 2);
    let entries: Vec<Entry> = (1..=6).map(start).collect();
    let followers: Vec<RunningFollower> = entries.iter().map(RunningFollower::start).collect();
    set_latency(&entries, 5, false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(followers[0].follower.edit(&first_edit(2)).await.is_ok());
    tokio::time::sleep(Duration::from_mins(1)).await;
    let budget = entries[0].session.cfg().retry.budget;
    let phases = [
        ("down", 5, true),
        ("slow", 1_200, false),
        ("too slow to answer", 4_000, false),
        ("slow again", 1_200, false),
        ("well", 5, false),
    ];
    for (id, (what, latency_ms, down)) in (10..).zip(phases) {
        set_latency(&entries, latency_ms, down);
        if what == "down" {
            store.expire_leases();
        }
        for minute in 0..10 {
            let before = calls(&entries);
            tokio::time::sleep(Duration::from_mins(1)).await;
            let called = calls(&entries) - before;
            println!(
                "{what}, minute {minute}: {called} calls of {} entries",
                entries.len()
            );
            let calls_max = if down {
                RATE_LIMIT_A_MINUTE
            } else {
                CALLS_A_MINUTE
            };
            assert!(called <= calls_max * entries.len() as u64, "{called} calls");
        }
        let has_lease = |entry: &Entry| entry.session.valid_until(entry.session.now()).is_some();
        let is_reached = latency_ms < 1_500 && !down;
        assert!(entries.iter().all(|entry| has_lease(entry) == is_reached));
        let began = entries[0].session.now();
        let edited = followers[1].follower.edit(&grant(id)).await;
        assert_eq!(edited.is_ok(), is_reached, "{edited:?}");
        assert!(
            entries[0].session.now() - began <= budget + 2 * entries[0].session.cfg().call_timeout
        );
    }
    assert!(store.peek(&keys::catalogue_head()).is_some());
}
