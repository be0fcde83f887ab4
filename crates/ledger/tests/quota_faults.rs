//! The upper limit under crashes, pauses, expired sessions, lost replies and delayed swaps in any order.

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use world::{Rule, Step, World};

const RUNS: u64 = 400;
const STEPS: usize = 300;
const SEED: u64 = 4;

fn breaks(steps: &[Step], rule: Rule) -> Option<String> {
    let mut world = World::new(rule);
    for (index, step) in steps.iter().enumerate() {
        let found = world.step(step);
        if !found.is_empty() {
            return Some(format!("step {index} {step:?}: {found}"));
        }
    }
    None
}

fn run<T: Testable>(property: T) -> Result<u64, TestResult> {
    QuickCheck::new()
        .tests(RUNS)
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .quicktest(property)
}

/// Random steps under the rule with index `RULE`. Shrinking a failing trace removes steps.
#[derive(Debug, Clone)]
struct Trace<const RULE: usize>(Vec<Step>);

const RULES: [Rule; 3] = [Rule::Kept, Rule::ReclaimEarly, Rule::TrustSession];

impl<const RULE: usize> Arbitrary for Trace<RULE> {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..STEPS).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

fn keeps_limit<const RULE: usize>(trace: Trace<RULE>) -> TestResult {
    let Trace(steps) = trace;
    match breaks(&steps, RULES[RULE]) {
        None => TestResult::passed(),
        Some(found) => TestResult::error(found),
    }
}

#[test]
fn upper_limit_any_order_of_faults() {
    let passed = run(keeps_limit as fn(Trace<0>) -> TestResult);
    assert_eq!(passed.expect("no breach"), RUNS);
}

/// Returns the number of steps in the shrunk trace that breaks the limit under a broken rule.
fn shrunk<const RULE: usize>() -> usize {
    let found = run(keeps_limit as fn(Trace<RULE>) -> TestResult);
    let found = found.expect_err("a broken rule has to break the limit");
    let steps = format!("{found:?}").matches("kind: ").count() - 1;
    println!("{:?}: {steps} steps", RULES[RULE]);
    steps
}

#[test]
fn upper_limit_reclaim_early_is_found() {
    assert!(shrunk::<1>() < 40);
}

#[test]
fn upper_limit_lapsed_session_trusted_is_found() {
    assert!(shrunk::<2>() < 40);
}

#[test]
fn step_admits_work() {
    let mut g = Gen::from_size_and_seed(STEPS, SEED);
    let mut world = World::new(Rule::Kept);
    for _ in 0..20_000 {
        let step = Step::arbitrary(&mut g);
        assert!(world.step(&step).is_empty());
    }
    assert!(world.admitted > 500, "admitted {}", world.admitted);
}
