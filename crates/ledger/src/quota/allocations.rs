//! Planning of the releases and issues that follow the data centres' demand.
//!
//! The holder of the fleet quota role computes a plan each second. A data centre that holds more than its target has
//! its parts lowered by a recall, and releases the slots that no row holds; one below its target is issued free slots.
//! The holder applies recalls and releases first, then plans again and applies the issues.

use std::collections::BTreeMap;

use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::Slots;

use super::fill::fill;
use super::rebalance::IDLE_SLOTS;
use super::{DcQuota, FleetQuota, RowPhase, TeamAllocations, TeamSlots};

/// The demand and the quota document of one data centre, as input of [`plan`].
#[derive(Debug, Clone, Copy)]
pub struct DcView<'a> {
    /// The data centre's name in the catalogue.
    pub dc: &'a DcName,
    /// The data centre's quota document, as last read.
    pub quota: &'a DcQuota,
    /// The demand for each team, summed over the entries of the data centre: running and waiting work, in slots.
    pub demand: &'a BTreeMap<TeamName, Slots>,
}

/// The planned steps for one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DcPlan {
    /// New sums to which the parts of a team must shrink. The team's allocation itself ends a recall.
    pub keep: Vec<TeamSlots>,
    /// Slots to release now.
    pub release: Vec<TeamSlots>,
    /// Slots to issue now.
    pub issue: Vec<TeamSlots>,
}

impl DcPlan {
    /// Returns whether the plan has no steps.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keep.is_empty() && self.release.is_empty() && self.issue.is_empty()
    }
}

/// Returns the plan for each data centre, in the order of `views`.
#[must_use]
pub fn plan(fleet: &FleetQuota, views: &[DcView<'_>]) -> Vec<DcPlan> {
    let mut plans = vec![DcPlan::default(); views.len()];
    for (team, division) in fleet.teams() {
        plan_team(team, division, views, &mut plans);
    }
    plans
}

fn plan_team(
    team: &TeamName,
    division: &TeamAllocations,
    views: &[DcView<'_>],
    plans: &mut [DcPlan],
) {
    let demand_of = |view: &DcView<'_>| view.demand.get(team).copied().unwrap_or(Slots::ZERO);
    let demands: Vec<Slots> = views.iter().map(demand_of).collect();
    let targets = fill(reachable(division, views), &demands);
    let mut shortfall = division.outstanding;
    for (view, (target, demand)) in views.iter().zip(targets.iter().zip(&demands)) {
        let entitled = (*demand).max(idle_slots(view.quota));
        shortfall += (*target).min(entitled) - division.allocation(view.dc);
    }
    let mut free = division.free;
    for (index, view) in views.iter().enumerate() {
        let allocation = division.allocation(view.dc);
        let target = targets[index];
        if target > allocation {
            let slots = free.min(target - allocation);
            free -= slots;
            push(&mut plans[index].issue, team, slots);
        } else if shortfall > division.free {
            plan_release(team, target, view, &mut plans[index]);
        } else {
            plan_end_of_recall(team, view, &mut plans[index]);
        }
    }
}

/// Returns the slots of every team to which a data centre is entitled without demand: [`IDLE_SLOTS`] for each held row.
#[must_use]
pub fn idle_slots(quota: &DcQuota) -> Slots {
    let rows = quota.rows().values();
    let held = rows.filter(|row| row.phase == RowPhase::Held);
    held.map(|_| IDLE_SLOTS).sum()
}

/// Returns the slots to divide over the data centres in `views`: the limit less the allocations of the other ones.
fn reachable(division: &TeamAllocations, views: &[DcView<'_>]) -> Slots {
    let is_in_view = |dc: &DcName| views.iter().any(|view| view.dc == dc);
    let others = division.allocations.iter();
    let others: Slots = others
        .filter(|(dc, _)| !is_in_view(dc))
        .map(|(_, slots)| *slots)
        .sum();
    division.limit - others
}

fn plan_release(team: &TeamName, target: Slots, view: &DcView<'_>, plan: &mut DcPlan) {
    let Some(quota) = view.quota.teams().get(team) else {
        return;
    };
    let above = quota.allocation - target;
    let ready = above.min(quota.free());
    push(&mut plan.release, team, ready);
    if above > ready && quota.keep != Some(target) {
        let team = team.clone();
        plan.keep.push(TeamSlots {
            team,
            slots: target,
        });
    }
}

/// Ends a recall that no shortfall calls for any longer.
fn plan_end_of_recall(team: &TeamName, view: &DcView<'_>, plan: &mut DcPlan) {
    let quota = view.quota.teams().get(team);
    if let Some(quota) = quota.filter(|quota| quota.keep.is_some()) {
        push(&mut plan.keep, team, quota.allocation);
    }
}

fn push(list: &mut Vec<TeamSlots>, team: &TeamName, slots: Slots) {
    if !slots.is_zero() {
        let team = team.clone();
        list.push(TeamSlots { team, slots });
    }
}
