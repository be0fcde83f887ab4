//! Random sequences of events keep every invariant. The fixture checks them after each event.

use std::time::Duration;

use goldcrest_serve::admission::{AdmissionDecision, WorkId};
use goldcrest_serve::dispatch::WaitResult;
use goldcrest_serve::routing::{SendOutcome, UpstreamId};
use quickcheck::{QuickCheck, TestResult};

use crate::fixture::{CATALOGUE, Fixture, cat, grants, upstream};

/// The requests that have not ended, as the test expects them.
#[derive(Default)]
struct OpenRequests {
    running: Vec<(WorkId, Option<UpstreamId>)>,
    waiting: Vec<WorkId>,
}

impl OpenRequests {
    /// Applies the waiting requests that have started or were refused.
    fn apply_dequeued(&mut self, f: &mut Fixture) {
        for (work, wake) in f.dequeued() {
            let before = self.waiting.len();
            self.waiting.retain(|known| *known != work);
            assert_eq!(self.waiting.len() + 1, before, "{work:?} waited");
            if wake == WaitResult::Start {
                let upstream = f.dispatch.pick(work, None, f.now).ok();
                self.running.push((work, upstream));
            }
        }
    }

    fn step(&mut self, f: &mut Fixture, kind: u8, detail: u8) {
        let queue = ["hurry", "merge", "fill"][usize::from(detail % 3)];
        let team = ["desk", "tours"][usize::from(detail % 2)];
        match kind % 8 {
            0..=2 => match f.offer(queue, team, Duration::from_secs(u64::from(detail) + 1)) {
                AdmissionDecision::Start(work) => {
                    let upstream = f.dispatch.pick(work, None, f.now).ok();
                    self.running.push((work, upstream));
                }
                AdmissionDecision::Wait(work) => self.waiting.push(work),
                AdmissionDecision::Refuse(..) => {}
            },
            3 | 4 if !self.running.is_empty() => {
                let index = usize::from(detail) % self.running.len();
                let (work, upstream) = self.running.swap_remove(index);
                let outcomes = [
                    SendOutcome::Failed,
                    SendOutcome::Answered(Duration::from_millis(5)),
                ];
                if let Some(upstream) = upstream {
                    f.dispatch.record_send_outcome(
                        work,
                        upstream,
                        outcomes[usize::from(detail % 2)],
                        f.now,
                    );
                }
                f.dispatch.end(work, f.now);
            }
            3 | 4 if !self.waiting.is_empty() => {
                let index = usize::from(detail) % self.waiting.len();
                let work = self.waiting.swap_remove(index);
                f.dispatch.end(work, f.now);
            }
            5 => f.pass(Duration::from_millis(u64::from(detail) * 100)),
            6 => {
                let until = Some(f.now + Duration::from_secs(u64::from(detail % 8)));
                let rows = grants(u32::from(detail % 4), u32::from(detail % 3), 2, until);
                f.dispatch.set_grants(rows, f.now);
            }
            _ => Self::change(f, detail),
        }
        self.apply_dequeued(f);
        f.check();
    }

    fn change(f: &mut Fixture, detail: u8) {
        if detail.is_multiple_of(3) {
            let revision = f.dispatch.catalogue().expect("one").revision().get() + 1;
            // The order of the queues decides their ids, so each change shifts them.
            let (first, second) = ("name: hurry", "name: fill");
            let swapped = CATALOGUE.replace(first, "name: x").replace(second, first);
            let swapped = swapped.replace("name: x", second);
            let text = if detail.is_multiple_of(2) {
                CATALOGUE
            } else {
                &swapped
            };
            f.dispatch.set_catalogue(cat(text, revision), f.now);
            return;
        }
        let all = (0..4).filter(|index| detail >> index & 1 == 1);
        let set = all.map(|index| {
            let mut spec = upstream(index, if index < 2 { "dc1" } else { "dc2" });
            spec.leaving = detail >> (4 + index) & 1 == 1;
            spec
        });
        let set = set.collect();
        f.set(set);
    }
}

#[test]
fn any_order_keeps_invariants() {
    fn holds(steps: Vec<(u8, u8)>) -> TestResult {
        let mut f = Fixture::with_bounds(6, 5);
        let mut open = OpenRequests::default();
        for (kind, detail) in steps {
            open.step(&mut f, kind, detail);
        }
        let count = |len: usize| u32::try_from(len).expect("small");
        let admission = f.dispatch.admission();
        TestResult::from_bool(
            admission.running() == count(open.running.len())
                && admission.waiting() == count(open.waiting.len()),
        )
    }
    let rng = quickcheck::Gen::from_size_and_seed(300, 17);
    QuickCheck::new()
        .rng(rng)
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> TestResult);
}
