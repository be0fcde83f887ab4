//! The time in which quota follows demand, at 66 entries in 11 data centres, and the number of writes that this costs.

use std::collections::BTreeMap;

use goldcrest_ledger::Document;
use goldcrest_ledger::quota::allocations::{DcPlan, DcView, plan};
use goldcrest_ledger::quota::rebalance::{Demand, RebalanceContext, rebalance};
use goldcrest_ledger::quota::{
    DcEdit, DcQuota, FleetEdit, FleetQuota, QuotaRefusal, SessionId, TeamSlots,
};
use goldcrest_ledger::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{DcName, EditId, EntryId, TeamName, TransferId};
use goldcrest_types::units::{Epoch, Revision, Slots};
use quickcheck::{Gen, QuickCheck};

const DCS: usize = 11;
const ENTRIES: usize = 6;
/// Bound on the cycles, of one second each: each entry sets its parts once, then the fleet quota holder moves
/// allocations once.
const CYCLES_MAX: usize = 5;
const LIMIT: u32 = 200;

struct Fleet {
    names: Vec<DcName>,
    teams: Vec<TeamName>,
    dcs: Vec<DcQuota>,
    quota: FleetQuota,
    /// The demand of each entry for each team, by data centre.
    demand: Vec<Demand>,
    last_id: u128,
    writes: usize,
}

fn entry(dc: usize, index: usize) -> EntryId {
    EntryId::new(u128::try_from(dc * ENTRIES + index + 1).expect("a small number"))
}

impl Fleet {
    fn new(teams: usize) -> Self {
        let mut out = Self {
            names: (0..DCS)
                .map(|i| format!("dc{i}").parse().expect("a name"))
                .collect(),
            teams: (0..teams)
                .map(|i| format!("t{i}").parse().expect("a name"))
                .collect(),
            dcs: vec![DcQuota::empty(); DCS],
            quota: FleetQuota::empty(),
            demand: vec![Demand::new(); DCS],
            last_id: 0,
            writes: 0,
        };
        let limits = out.teams.iter().map(|team| TeamSlots {
            team: team.clone(),
            slots: Slots::new(LIMIT),
        });
        let limits = limits.collect();
        out.fleet_edit(FleetEdit::SetLimits {
            revision: Revision::new(1),
            limits,
            announced: Vec::new(),
        });
        for dc in 0..DCS {
            for index in 0..ENTRIES {
                out.dc_edit(
                    dc,
                    DcEdit::Join {
                        owner: entry(dc, index),
                        vm: format!("vm{dc}-{index}").parse().expect("a name"),
                        boots: 1,
                        session: SessionId::new(1),
                    },
                );
            }
        }
        out
    }

    fn next_id(&mut self) -> u128 {
        self.last_id += 1;
        self.last_id
    }

    fn dc_edit(&mut self, dc: usize, step: DcEdit) {
        self.writes += 1;
        let id = EditId::new(self.next_id());
        self.dcs[dc].apply(id, &[step]).expect("an edit that fits");
    }

    fn fleet_edit(&mut self, step: FleetEdit) {
        self.writes += 1;
        let id = EditId::new(self.next_id());
        let applied = self.quota.apply(id, Epoch::ZERO, &[step]);
        applied.expect("an edit that fits");
    }

    fn limits(&self, slots: u32) -> Vec<TeamSlots> {
        let limit = |team: &TeamName| TeamSlots {
            team: team.clone(),
            slots: Slots::new(slots),
        };
        self.teams.iter().map(limit).collect()
    }

    fn set_limits(&mut self, revision: u64, slots: u32, announced: &[DcName]) -> FleetEdit {
        FleetEdit::SetLimits {
            revision: Revision::new(revision),
            limits: self.limits(slots),
            announced: announced.to_vec(),
        }
    }

    /// Runs one cycle with the demand that all processes have received in the cycle before.
    fn cycle(&mut self, received: &[Demand]) {
        let mut ctx = RebalanceContext::new();
        for (dc, demand) in received.iter().enumerate() {
            for index in 0..ENTRIES {
                let owner = entry(dc, index);
                let running = BTreeMap::new();
                let parts = rebalance(&mut ctx, &self.dcs[dc], owner, demand, &running);
                if !parts.is_empty() {
                    let session = SessionId::new(1);
                    let set = DcEdit::Set {
                        owner,
                        session,
                        parts,
                    };
                    self.dc_edit(dc, set);
                }
            }
        }
        self.move_allocations(received);
        self.verify();
    }

    /// Applies recalls and releases first, then issues the slots that have become free.
    fn move_allocations(&mut self, received: &[Demand]) {
        for (dc, plan) in self.plan(received).into_iter().enumerate() {
            if !plan.keep.is_empty() {
                let keep = plan.keep;
                self.dc_edit(dc, DcEdit::AskBack { keep });
            }
            if !plan.release.is_empty() {
                self.release(dc, plan.release);
            }
        }
        for (dc, plan) in self.plan(received).into_iter().enumerate() {
            if !plan.issue.is_empty() {
                self.issue(dc, plan.issue);
            }
        }
    }

    fn plan(&self, received: &[Demand]) -> Vec<DcPlan> {
        let sums: Vec<BTreeMap<TeamName, Slots>> = (0..DCS)
            .map(|dc| self.dc_demand(&received[dc], dc))
            .collect();
        let views: Vec<DcView<'_>> = (0..DCS)
            .map(|dc| DcView {
                dc: &self.names[dc],
                quota: &self.dcs[dc],
                demand: &sums[dc],
            })
            .collect();
        plan(&self.quota, &views)
    }

    fn release(&mut self, dc: usize, teams: Vec<TeamSlots>) {
        let name = self.names[dc].clone();
        let id = TransferId::new(self.next_id());
        self.fleet_edit(FleetEdit::BeginRelease {
            dc: name.clone(),
            id,
            teams,
        });
        let open = self.quota.moves()[&name].release.clone();
        self.dc_edit(dc, DcEdit::Lower(open.expect("an open release")));
        let lowered = self.dcs[dc].lowered().cloned().expect("a release");
        self.fleet_edit(FleetEdit::EndRelease { dc: name, lowered });
    }

    fn issue(&mut self, dc: usize, teams: Vec<TeamSlots>) {
        let name = self.names[dc].clone();
        let id = TransferId::new(self.next_id());
        self.fleet_edit(FleetEdit::BeginIssue {
            dc: name.clone(),
            id,
            teams,
        });
        let open = self.quota.moves()[&name].issue.clone();
        self.dc_edit(dc, DcEdit::Raise(open.expect("an open issue")));
        let raised_seq = self.dcs[dc].raised_seq();
        self.fleet_edit(FleetEdit::EndIssue {
            dc: name,
            raised_seq,
        });
    }

    fn dc_demand(&self, received: &Demand, dc: usize) -> BTreeMap<TeamName, Slots> {
        let sum = |team: &TeamName| (0..ENTRIES).map(|i| received.of(entry(dc, i), team)).sum();
        self.teams
            .iter()
            .map(|team| (team.clone(), sum(team)))
            .collect()
    }

    fn verify(&self) {
        let mut found = Breaches::new();
        verify::limits(&self.quota, &mut found);
        let dcs = self.names.iter().cloned().zip(self.dcs.iter().cloned());
        verify::allocations_counted(&self.quota, &dcs.collect(), &mut found);
        assert!(found.is_empty(), "{found}");
    }

    /// Returns the slots of a team that can be in use: at each entry the smaller of its part and its demand.
    fn used(&self, team: &TeamName) -> u32 {
        let mut sum = 0;
        for (dc, doc) in self.dcs.iter().enumerate() {
            for index in 0..ENTRIES {
                let owner = entry(dc, index);
                let row = doc.row_of(owner).expect("a row");
                let part = doc.teams().get(team).map(|quota| quota.part(row).total());
                let part = part.unwrap_or(Slots::ZERO);
                sum += part.min(self.demand[dc].of(owner, team)).get();
            }
        }
        sum
    }

    /// Sets the demand of all teams to `weights` by entry, scaled so that its sum is at least the limit.
    fn shift(&mut self, weights: &[u8]) {
        let sum: u32 = weights.iter().map(|w| u32::from(*w)).sum();
        self.demand = vec![Demand::new(); DCS];
        for (at, weight) in weights.iter().enumerate() {
            let (dc, index) = (at / ENTRIES, at % ENTRIES);
            let slots = (u32::from(*weight) * LIMIT).div_ceil(sum.max(1));
            for team in &self.teams {
                self.demand[dc].set(entry(dc, index), team, Slots::new(slots));
            }
        }
    }

    /// Runs cycles until every team can use 0.95 of its limit, and returns their number.
    fn settle(&mut self) -> usize {
        let received = self.demand.clone();
        for cycle in 0..20 {
            let least = self.teams.iter().map(|team| self.used(team)).min();
            if least.is_some_and(|used| used * 100 >= LIMIT * 95) {
                return cycle;
            }
            self.cycle(&received);
        }
        usize::MAX
    }
}

/// Whatever the spread of demand before and after a shift, 0.95 of the limit can be used within the bound. The first
/// cycle is the one in which the demand is received.
fn settles_in_time(before: Vec<u8>, after: Vec<u8>) -> bool {
    let spread = |mut weights: Vec<u8>| {
        weights.resize(DCS * ENTRIES, 0);
        if weights.iter().all(|weight| *weight == 0) {
            weights[17] = 1;
        }
        weights
    };
    let mut fleet = Fleet::new(2);
    fleet.shift(&spread(before));
    fleet.settle();
    fleet.shift(&spread(after));
    fleet.settle() < CYCLES_MAX
}

#[test]
fn rebalance_any_shift_of_demand() {
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(DCS * ENTRIES, 7))
        .quickcheck(settles_in_time as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn rebalance_all_demand_to_one_entry() {
    let mut fleet = Fleet::new(1);
    fleet.shift(&[1; DCS * ENTRIES]);
    fleet.settle();
    let mut one = [0; DCS * ENTRIES];
    one[40] = 1;
    fleet.shift(&one);
    assert!(fleet.settle() < CYCLES_MAX);
}

#[test]
fn rebalance_steady_demand_costs_no_write() {
    let mut fleet = Fleet::new(3);
    fleet.shift(&[1; DCS * ENTRIES]);
    fleet.settle();
    let received = fleet.demand.clone();
    for _ in 0..3 {
        fleet.cycle(&received);
    }
    fleet.writes = 0;
    for _ in 0..10 {
        fleet.cycle(&received);
    }
    assert_eq!(fleet.writes, 0);
}

/// All of 100 teams at 66 entries shift their demand at the same time: the writes of each second stay far below the
/// several hundred that the key-value service can process.
#[test]
fn rebalance_writes_of_hundred_teams() {
    let mut fleet = Fleet::new(100);
    fleet.shift(&[1; DCS * ENTRIES]);
    fleet.settle();
    let ramp: Vec<u8> = (0..DCS * ENTRIES)
        .map(|at| u8::try_from(at % 9).expect("a small number"))
        .collect();
    fleet.shift(&ramp);
    let received = fleet.demand.clone();
    let mut writes = Vec::new();
    for _ in 0..10 {
        fleet.writes = 0;
        fleet.cycle(&received);
        writes.push(fleet.writes);
    }
    println!("writes a second after the shift: {writes:?}");
    assert!(writes.iter().all(|writes| *writes <= 150), "{writes:?}");
    assert_eq!(writes.last(), Some(&0));
    assert_eq!(fleet.settle(), 0);
}

#[test]
fn set_limits_lowered_converges() {
    let mut fleet = Fleet::new(2);
    fleet.shift(&[1; DCS * ENTRIES]);
    fleet.settle();
    let lowered = fleet.set_limits(2, LIMIT / 2, &[]);
    fleet.fleet_edit(lowered);
    let received = fleet.demand.clone();
    for _ in 0..CYCLES_MAX {
        fleet.cycle(&received);
    }
    for (team, division) in fleet.quota.teams() {
        assert_eq!(division.outstanding, Slots::ZERO, "team {team}");
    }
    for team in &fleet.teams {
        let held = fleet.dcs.iter().filter_map(|doc| doc.teams().get(team));
        let held: Slots = held.map(|quota| quota.allocation).sum();
        assert_eq!(held, Slots::new(LIMIT / 2), "team {team}");
    }
}

#[test]
fn set_limits_raised_unannounced() {
    let mut fleet = Fleet::new(1);
    fleet.shift(&[1; DCS * ENTRIES]);
    fleet.settle();
    let early = fleet.set_limits(2, LIMIT * 2, &[]);
    let edit = EditId::new(fleet.next_id());
    let refusal = fleet.quota.apply(edit, Epoch::ZERO, &[early]);
    assert!(matches!(refusal, Err(QuotaRefusal::NotAnnounced(_))));
    let limits = fleet.limits(LIMIT * 2);
    for dc in 0..DCS {
        let limits = limits.clone();
        fleet.dc_edit(
            dc,
            DcEdit::Announce {
                limits,
                is_settled: false,
            },
        );
    }
    let names = fleet.names.clone();
    let raised = fleet.set_limits(2, LIMIT * 2, &names);
    fleet.fleet_edit(raised);
    let stale = fleet.set_limits(1, LIMIT, &names);
    let edit = EditId::new(fleet.next_id());
    let refusal = fleet.quota.apply(edit, Epoch::ZERO, &[stale]);
    assert!(matches!(refusal, Err(QuotaRefusal::Stale(..))));
}
