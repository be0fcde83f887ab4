//! Admission: which requests start, in which order they wait, and which are refused.

use std::sync::Arc;
use std::time::Duration;

use goldcrest_serve::admission::{AdmissionDecision, AdmissionRequest};
use goldcrest_serve::dispatch::WaitResult;
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_types::key::KeyDigest;

use crate::fixture::{CATALOGUE, Fixture, cat, grants};

const FAR: Duration = Duration::from_mins(1);

fn refused(decision: AdmissionDecision) -> NotRunCode {
    match decision {
        AdmissionDecision::Refuse(code, _) => code,
        other => panic!("{other:?}"),
    }
}

#[test]
fn offer_pool_full_waits_by_class_then_deadline() {
    let mut f = Fixture::new();
    let running: Vec<_> = (0..4).map(|_| f.start("fill", "desk")).collect();
    let batch = f.wait("fill", "desk", FAR);
    let late = f.wait("merge", "desk", FAR);
    let soon = f.wait("merge", "desk", FAR / 2);
    let urgent = f.wait("hurry", "desk", FAR);
    let mut order = Vec::new();
    for work in running {
        order.extend(f.end(work));
    }
    let start = |work| (work, WaitResult::Start);
    assert_eq!(
        order,
        [start(urgent), start(soon), start(late), start(batch)]
    );
}

#[test]
fn offer_pool_full_shares_by_team() {
    let mut f = Fixture::new();
    let mut running: Vec<_> = (0..4).map(|_| f.start("merge", "desk")).collect();
    for _ in 0..4 {
        f.wait("merge", "desk", FAR);
        f.wait("merge", "tours", FAR);
    }
    // desk has a share of 3 and tours of 1, so tours gets one of four slots.
    let mut tours = 0;
    for _ in 0..4 {
        let ended = running.remove(0);
        let dequeued = f.end(ended);
        assert_eq!(dequeued.len(), 1);
        let cat = f.dispatch.catalogue().expect("a catalogue").clone();
        let lane = f.dispatch.admission().lane_of(dequeued[0].0).expect("runs");
        tours += u32::from(cat.teams[lane.team].name.as_str() == "tours");
        running.push(dequeued[0].0);
    }
    assert_eq!(tours, 1);
}

#[test]
fn offer_quota_bounds_each_team() {
    let mut f = Fixture::new();
    f.dispatch.set_grants(grants(1, 0, 0, None), f.now);
    let work = f.start("merge", "desk");
    let next = f.wait("merge", "desk", FAR);
    f.wait("merge", "tours", FAR);
    assert_eq!(f.end(work), [(next, WaitResult::Start)]);
    let usage = f.dispatch.usage();
    let counts: Vec<_> = usage
        .iter()
        .map(|u| (u.running.get(), u.waiting.get()))
        .collect();
    assert_eq!(counts, [(1, 0), (0, 1)]);
}

#[test]
fn offer_lapsed_lent_part_does_not_count() {
    let mut f = Fixture::new();
    let until = Some(f.now + Duration::from_secs(5));
    f.dispatch.set_grants(grants(1, 1, 1, until), f.now);
    let first = f.start("merge", "desk");
    f.start("merge", "desk");
    let waits = f.wait("merge", "desk", FAR);
    f.pass(Duration::from_secs(5));
    // One request still runs and fills the floor of 1.
    assert_eq!(f.end(first), []);
    let until = Some(f.now + Duration::from_secs(5));
    f.dispatch.set_grants(grants(1, 1, 1, until), f.now);
    assert_eq!(f.dequeued(), [(waits, WaitResult::Start)]);
}

#[test]
fn offer_refused_early_if_it_cannot_start_in_time() {
    let mut f = Fixture::new();
    for _ in 0..4 {
        let work = f.start("merge", "desk");
        f.pass(Duration::from_secs(8));
        f.end(work);
    }
    for _ in 0..4 {
        f.start("merge", "desk");
    }
    // Each of four slots frees up after about 8 s, so the estimated wait is 2 s.
    let AdmissionDecision::Refuse(code, after) = f.offer("merge", "desk", Duration::from_secs(1))
    else {
        panic!("a request that cannot start in time must be refused");
    };
    assert_eq!(
        (code, after),
        (NotRunCode::TooLateToStart, Duration::from_secs(2))
    );
    f.wait("merge", "desk", Duration::from_secs(3));
}

#[test]
fn offer_overload_sheds_least_urgent() {
    let mut f = Fixture::with_bounds(4, 2);
    for _ in 0..4 {
        f.start("merge", "desk");
    }
    let soon = f.wait("fill", "desk", FAR / 2);
    let late = f.wait("fill", "desk", FAR);
    assert_eq!(refused(f.offer_minute("fill", "tours")), NotRunCode::Shed);
    f.wait("merge", "desk", FAR);
    assert!(
        matches!(f.dequeued()[..], [(work, WaitResult::Refuse(NotRunCode::Shed, _))] if work == late)
    );
    f.wait("hurry", "desk", FAR);
    assert!(
        matches!(f.dequeued()[..], [(work, WaitResult::Refuse(NotRunCode::Shed, _))] if work == soon)
    );
    assert_eq!(refused(f.offer_minute("merge", "desk")), NotRunCode::Shed);
    assert_eq!(f.dispatch.admission().waiting(), 2);
}

#[test]
fn offer_bounds_of_queue() {
    let mut f = Fixture::new();
    for _ in 0..4 {
        f.start("merge", "desk");
    }
    for _ in 0..4 {
        f.wait("merge", "desk", FAR);
    }
    assert_eq!(
        refused(f.offer_minute("merge", "desk")),
        NotRunCode::QueueFull
    );
    assert_eq!(
        refused(f.offer_minute("lost", "desk")),
        NotRunCode::NoUpstream
    );
    assert_eq!(
        refused(f.offer("merge", "tours", Duration::ZERO)),
        NotRunCode::DeadlinePassed
    );
}

#[test]
fn catalogue_change_keeps_counts_and_refuses_what_is_gone() {
    let mut f = Fixture::new();
    let mut running: Vec<_> = (0..3).map(|_| f.start("merge", "desk")).collect();
    running.push(f.start("fill", "tours"));
    let kept = f.wait("merge", "desk", FAR);
    let gone = f.wait("fill", "tours", FAR);
    // A new queue before all others and a removed one behind shift every id.
    let text = CATALOGUE.replace(
        "queues:\n",
        "queues:\n  - {name: early, owner: tours, class: batch, pool: web}\n",
    );
    let fill = text
        .lines()
        .find(|line| line.contains("name: fill"))
        .expect("the queue");
    let text = text.replace(fill, "");
    assert!(f.dispatch.set_catalogue(cat(&text, 2), f.now));
    f.check();
    let dequeued = f.dequeued();
    assert!(dequeued.iter().any(
        |item| matches!(item, (work, WaitResult::Refuse(NotRunCode::QueueUnknown, _)) if *work == gone)
    ));
    let mut starts = 0;
    for work in running {
        starts += f.end(work).len();
    }
    starts += dequeued.len() - 1;
    assert_eq!(starts, 1);
    f.end(kept);
    assert_eq!(f.dispatch.admission().running(), 0);
    assert!(!f.dispatch.set_catalogue(cat(CATALOGUE, 1), f.now));
}

/// What a request loses between its start and its first byte.
#[derive(Debug, Clone, Copy)]
enum Expiry {
    Freshness,
    Key,
    Quota,
    Deadline,
}

fn expire(f: &mut Fixture, expiry: Expiry) -> NotRunCode {
    match expiry {
        Expiry::Freshness => {
            f.dispatch.set_keys_fresh_until(Some(f.now));
            NotRunCode::KeysNotFresh
        }
        Expiry::Key => {
            assert!(f.dispatch.set_catalogue(cat(CATALOGUE, 3), f.now));
            NotRunCode::KeyWithdrawn
        }
        Expiry::Quota => {
            f.dispatch.set_grants(grants(0, 0, 0, None), f.now);
            NotRunCode::QuotaLapsed
        }
        Expiry::Deadline => {
            f.pass(FAR);
            NotRunCode::DeadlinePassed
        }
    }
}

/// A started request is not sent once its key, the key's freshness, its quota or its deadline has expired; each has
/// its own code.
#[test]
fn pick_lapsed_after_start() {
    let digest = KeyDigest::of("secret");
    let keyed = format!("{CATALOGUE}keys: [{{name: k, team: desk, digest: \"{digest}\"}}]\n");
    for expiry in [
        Expiry::Freshness,
        Expiry::Key,
        Expiry::Quota,
        Expiry::Deadline,
    ] {
        let mut f = Fixture::new();
        let cat = cat(&keyed, 2);
        assert!(f.dispatch.set_catalogue(Arc::clone(&cat), f.now));
        f.dispatch
            .set_keys_fresh_until(Some(f.now + Duration::from_hours(1)));
        let request = AdmissionRequest {
            queue: cat.queue("merge").expect("a queue"),
            team: cat.team("desk").expect("a team"),
            key: cat.key("secret"),
            deadline: f.now + FAR,
        };
        assert!(request.key.is_some());
        let AdmissionDecision::Start(work) = f.dispatch.offer(&request, f.now) else {
            panic!("a request within every limit must start");
        };
        let code = expire(&mut f, expiry);
        assert_eq!(f.dispatch.pick(work, None, f.now), Err(code), "{expiry:?}");
    }
}

/// `refusal` returns the refusal that `offer` would return, and takes no slot.
#[test]
fn refusal_as_offer_would() {
    let mut f = Fixture::new();
    let cat = f.dispatch.catalogue().expect("a catalogue");
    let request = |queue: &str| AdmissionRequest {
        queue: cat.queue(queue).expect("a queue"),
        team: cat.team("desk").expect("a team"),
        key: None,
        deadline: f.now + FAR,
    };
    let (merge, lost) = (request("merge"), request("lost"));
    assert_eq!(f.dispatch.refusal(&merge, f.now), None);
    assert_eq!(f.dispatch.admission().running(), 0);
    let found = f.dispatch.refusal(&lost, f.now).expect("no upstream");
    assert_eq!(refused(found), NotRunCode::NoUpstream);
    for _ in 0..4 {
        f.start("merge", "desk");
    }
    for _ in 0..4 {
        assert_eq!(f.dispatch.refusal(&merge, f.now), None);
        f.wait("merge", "desk", FAR);
    }
    let found = f
        .dispatch
        .refusal(&merge, f.now)
        .expect("the queue is full");
    assert_eq!(refused(found), NotRunCode::QueueFull);
    assert_eq!(
        refused(f.offer("merge", "desk", FAR)),
        NotRunCode::QueueFull
    );
}
