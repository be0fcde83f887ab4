//! Withdrawals of a key while data centres lose the service and each other, and answers travel for any time.

use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::{Bound, Evidence, Proof, evaluate};
use goldcrest_ledger::verify::{self, Acceptance, Admission};
use goldcrest_types::breach::Breaches;
use goldcrest_types::entity::{DcId, EntityRef};
use goldcrest_types::units::Revision;
use quickcheck::{Gen, QuickCheck};

const DCS: usize = 3;
const TICK: Duration = Duration::from_millis(500);

/// What a data centre told another, as it was when asked.
struct Answer {
    to: usize,
    from: usize,
    asked_at: Instant,
    /// The age and revision of its own freshest read.
    read: Option<(Duration, Revision)>,
    /// The revision that it knows, if it has no contact.
    outage: Option<Revision>,
}

struct World {
    now: Instant,
    accepted: Revision,
    evidence: Vec<Evidence>,
    has_contact: [bool; DCS],
    answers: Vec<Answer>,
    admissions: Vec<Admission>,
    acceptances: Vec<Acceptance>,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let revision = Revision::new(1);
        let first = Evidence {
            revision,
            own: Some(Proof { at: now, revision }),
            dc_count: DCS,
            ..Evidence::default()
        };
        Self {
            now,
            accepted: revision,
            evidence: vec![first; DCS],
            has_contact: [true; DCS],
            answers: Vec::new(),
            admissions: Vec::new(),
            acceptances: Vec::new(),
        }
    }

    fn step(&mut self, kind: u8, dc: usize, arg: u8) {
        match kind % 8 {
            0 | 1 => self.now += TICK,
            2 => self.has_contact[dc] = !self.has_contact[dc],
            3 => self.read(dc),
            4 => self.withdraw(dc),
            5 => self.ask(dc, usize::from(arg) % DCS),
            6 => self.hear(arg),
            _ => self.cut_for_all(arg),
        }
        self.report_own();
        self.admit();
    }

    fn read(&mut self, dc: usize) {
        if self.has_contact[dc] {
            let (at, revision) = (self.now, self.accepted);
            self.evidence[dc].revision = revision;
            self.evidence[dc].own = Some(Proof { at, revision });
        }
    }

    /// An edit is accepted through an entry, which then knows of it.
    fn withdraw(&mut self, dc: usize) {
        if self.has_contact[dc] {
            self.accepted = self.accepted.next();
            let (at, revision) = (self.now, self.accepted);
            self.acceptances.push(Acceptance { at, revision });
            self.read(dc);
        }
    }

    fn ask(&mut self, to: usize, from: usize) {
        let peer = &self.evidence[from];
        let read = peer
            .own
            .map(|own| (self.now.duration_since(own.at), own.revision));
        let outage = (!self.has_contact[from]).then_some(peer.revision);
        self.answers.push(Answer {
            to,
            from,
            asked_at: self.now,
            read,
            outage,
        });
    }

    /// Any answer on its way arrives; the revision comes with it.
    fn hear(&mut self, arg: u8) {
        let Some(at) = usize::from(arg).checked_rem(self.answers.len()) else {
            return;
        };
        let answer = self.answers.remove(at);
        let evidence = &mut self.evidence[answer.to];
        if let Some((age, revision)) = answer.read {
            let told = Proof::told(answer.asked_at, age, revision);
            if told.is_some_and(|told| evidence.peer.is_none_or(|known| told.at > known.at)) {
                evidence.peer = told;
            }
        }
        if let Some(revision) = answer.outage {
            let at = answer.asked_at;
            evidence.outages[DcId::new(answer.from)] = Some(Proof { at, revision });
        }
    }

    fn cut_for_all(&mut self, arg: u8) {
        if arg.is_multiple_of(4) {
            self.has_contact = [false; DCS];
        }
    }

    /// Each data centre knows at once whether it has contact itself.
    fn report_own(&mut self) {
        for (dc, evidence) in self.evidence.iter_mut().enumerate() {
            let report = Proof {
                at: self.now,
                revision: evidence.revision,
            };
            if !self.has_contact[dc] {
                evidence.outages[DcId::new(dc)] = Some(report);
            }
        }
    }

    fn admit(&mut self) {
        for evidence in &self.evidence {
            let (at, revision) = (self.now, evidence.revision);
            if evaluate(evidence, Bound::DEFAULT, at).holds(at) {
                self.admissions.push(Admission { at, revision });
            }
        }
    }
}

/// Whatever is lost and late, no keyed work is admitted by a revision replaced for longer than the bound.
fn withdrawn_in_time(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut world = World::new();
    for (kind, dc, arg) in steps {
        world.step(kind, usize::from(dc) % DCS, arg);
    }
    let mut found = Breaches::new();
    let bound = Bound::DEFAULT.age_max;
    verify::key_authority(&world.admissions, &world.acceptances, bound, &mut found);
    found.is_empty()
}

#[test]
fn evaluate_any_order_of_faults() {
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(200, 8))
        .quickcheck(withdrawn_in_time as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn key_authority_late_admission() {
    let start = Instant::now();
    let bound = Bound::DEFAULT.age_max;
    let accepted = Acceptance {
        at: start,
        revision: Revision::new(2),
    };
    let admission = |revision, after| Admission {
        at: start + after,
        revision: Revision::new(revision),
    };
    let admissions = [
        admission(1, bound),
        admission(1, bound + TICK),
        admission(2, bound + TICK),
    ];
    let mut found = Breaches::new();
    verify::key_authority(&admissions, &[accepted], bound, &mut found);
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    let late = "key-authority: admitted by revision 1 though 2 was accepted 4500 ms before";
    assert_eq!(found, [late]);
}
