//! Retry budget and backoff.

use std::time::{Duration, Instant};

use goldcrest_serve::outcome::{NotRunCode, Refusal, UnknownCode, Unsent};
use goldcrest_serve::retry::{RetryBudget, backoff};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn take_share_of_recent_successes() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        budget.record_success(now);
    }
    let taken = (0..100).filter(|_| budget.take(10, now)).count();
    assert_eq!(taken, 10);
    // After 5 min the successes have decayed, and only the minimum of 3 retries is left.
    let later = now + Duration::from_mins(5);
    let taken = (0..100).filter(|_| budget.take(10, later)).count();
    assert_eq!(taken, 3);
}

#[test]
fn take_none_if_switched_off() {
    assert!(!RetryBudget::new().take(0, Instant::now()));
}

#[test]
fn backoff_grows_and_ends_before_deadline() {
    let mut rng = SmallRng::seed_from_u64(5);
    let now = Instant::now();
    let far = now + Duration::from_mins(1);
    let longest = |attempt, rng: &mut SmallRng| {
        let pauses = (0..200).filter_map(|_| backoff(attempt, now, far, rng));
        pauses.max().expect("a pause")
    };
    let (first, second) = (longest(1, &mut rng), longest(2, &mut rng));
    assert!(first <= Duration::from_millis(10), "{first:?}");
    assert!(
        second > first && second <= Duration::from_millis(20),
        "{second:?}"
    );
    assert_eq!(backoff(1, now, now, &mut rng), None);
}

#[test]
fn refuse_says_what_its_token_proves() {
    let after = Some(Duration::from_secs(1));
    let refusal = Unsent::new().refuse(NotRunCode::Shed, after);
    assert_eq!((refusal.outcome(), refusal.code()), ("not-run", "shed"));
    let refusal = Unsent::new().into_sent().refuse(UnknownCode::UpstreamLost);
    assert_eq!((refusal.outcome(), refusal.status()), ("unknown", 502));
}

#[test]
fn codes_are_distinct_and_complete() {
    let not_run = NotRunCode::ALL.iter().map(|code| Refusal::NotRun {
        code: *code,
        retry_after: None,
    });
    let unknown = UnknownCode::ALL
        .iter()
        .map(|code| Refusal::Unknown { code: *code });
    let all: Vec<_> = not_run.chain(unknown).collect();
    let mut codes: Vec<_> = all.iter().map(Refusal::code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), all.len());
    for refusal in all {
        assert!((400..600).contains(&refusal.status()), "{}", refusal.code());
        assert!(refusal.remedy().len() > 10, "{}", refusal.code());
    }
}

#[test]
fn codes_stand_on_operators_page() {
    let page = include_str!("../../../../docs/operations/refusals.md");
    let not_run = NotRunCode::ALL
        .iter()
        .map(|c| (c.as_str(), c.status(), c.remedy()));
    let unknown = UnknownCode::ALL
        .iter()
        .map(|c| (c.as_str(), c.status(), c.remedy()));
    for (code, status, remedy) in not_run.chain(unknown) {
        let line = format!("| `{code}` | {status} | {remedy} |");
        assert!(page.contains(&line), "add this line to the page: {line}");
    }
}
