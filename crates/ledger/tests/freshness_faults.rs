//! Key withdrawals while data centres lose contact with the key-value service and with each other, and replies are
//! delayed for any time: work must not be admitted by a withdrawn key for longer than the bound.

use std::time::{Duration, Instant};

use goldcrest_ledger::freshness::{Bound, Evidence, Proof, evaluate};
use goldcrest_ledger::verify::{self, Acceptance, Admission};
use goldcrest_types::breach::Breaches;
use goldcrest_types::entity::{DcId, EntityRef};
use goldcrest_types::units::Revision;
use quickcheck::{Gen, QuickCheck};

const DCS: usize = 3;
const TICK: Duration = Duration::from_millis(500);

/// A data centre's reply to another one, with its state at the time of the request.
struct Reply {
    to: usize,
    from: usize,
    requested_at: Instant,
    /// Age and revision of the sender's latest own read.
    read: Option<(Duration, Revision)>,
    /// The revision that the sender knows, if it has no contact with the key-value service.
    outage: Option<Revision>,
}

struct World {
    now: Instant,
    accepted: Revision,
    evidence: Vec<Evidence>,
    has_contact: [bool; DCS],
    replies: Vec<Reply>,
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
            replies: Vec::new(),
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
            5 => self.request(dc, usize::from(arg) % DCS),
            6 => self.receive(arg),
            _ => self.lose_contact_everywhere(arg),
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

    /// Accepts an edit through an entry, which then knows the new revision.
    fn withdraw(&mut self, dc: usize) {
        if self.has_contact[dc] {
            self.accepted = self.accepted.next();
            let (at, revision) = (self.now, self.accepted);
            self.acceptances.push(Acceptance { at, revision });
            self.read(dc);
        }
    }

    fn request(&mut self, to: usize, from: usize) {
        let peer = &self.evidence[from];
        let read = peer
            .own
            .map(|own| (self.now.duration_since(own.at), own.revision));
        let outage = (!self.has_contact[from]).then_some(peer.revision);
        self.replies.push(Reply {
            to,
            from,
            requested_at: self.now,
            read,
            outage,
        });
    }

    /// Delivers any reply in transit, with its revision.
    fn receive(&mut self, arg: u8) {
        let Some(at) = usize::from(arg).checked_rem(self.replies.len()) else {
            return;
        };
        let reply = self.replies.remove(at);
        let evidence = &mut self.evidence[reply.to];
        if let Some((age, revision)) = reply.read {
            let read = Proof::from_peer(reply.requested_at, age, revision);
            if read.is_some_and(|read| evidence.peer.is_none_or(|known| read.at > known.at)) {
                evidence.peer = read;
            }
        }
        if let Some(revision) = reply.outage {
            let at = reply.requested_at;
            evidence.outages[DcId::new(reply.from)] = Some(Proof { at, revision });
        }
    }

    fn lose_contact_everywhere(&mut self, arg: u8) {
        if arg.is_multiple_of(4) {
            self.has_contact = [false; DCS];
        }
    }

    /// Records each data centre's own outage, of which it knows without delay.
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

/// Whatever is lost or delayed, no keyed work is admitted by a revision replaced for longer than the bound.
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
