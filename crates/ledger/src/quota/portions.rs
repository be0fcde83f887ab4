//! What data centres release and are issued, by demand.
//!
//! The holder of the fleet's quota role works this out each second from the data centres' demand. A data centre that
//! holds more than its target is asked to let its parts shrink, and releases what no row holds; one that is short is
//! issued from what is free. The holder asks back and releases first, then plans anew and issues.

use std::collections::BTreeMap;

use goldcrest_types::names::{DcName, TeamName};
use goldcrest_types::units::Slots;

use super::fill::fill;
use super::rebalance::IDLE_SLOTS;
use super::{DcQuota, FleetQuota, RowPhase, TeamPortions, TeamSlots};

/// What data centres want of each team, and what their documents say.
#[derive(Debug, Clone, Copy)]
pub struct DcView<'a> {
    /// The data centre.
    pub dc: &'a DcName,
    /// Its quota document.
    pub quota: &'a DcQuota,
    /// What all its entries want of each team: running and waiting together.
    pub demand: &'a BTreeMap<TeamName, Slots>,
}

/// What to do for one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DcPlan {
    /// What its parts shall shrink to.
    pub keep: Vec<TeamSlots>,
    /// What to release from it now.
    pub release: Vec<TeamSlots>,
    /// What to issue to it now.
    pub issue: Vec<TeamSlots>,
}

impl DcPlan {
    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keep.is_empty() && self.release.is_empty() && self.issue.is_empty()
    }
}

/// What to do for each data centre, in the order of `views`.
#[must_use]
pub fn plan(fleet: &FleetQuota, views: &[DcView<'_>]) -> Vec<DcPlan> {
    let mut plans = vec![DcPlan::default(); views.len()];
    for (team, portions) in fleet.teams() {
        plan_team(team, portions, views, &mut plans);
    }
    plans
}

fn plan_team(team: &TeamName, portions: &TeamPortions, views: &[DcView<'_>], plans: &mut [DcPlan]) {
    let wanted = |view: &DcView<'_>| view.demand.get(team).copied().unwrap_or(Slots::ZERO);
    let demands: Vec<Slots> = views.iter().map(wanted).collect();
    let targets = fill(reachable(portions, views), &demands);
    let mut short = portions.owed;
    for (view, (target, demand)) in views.iter().zip(targets.iter().zip(&demands)) {
        let due = (*demand).max(idle_slots(view.quota));
        short += (*target).min(due) - portions.portion(view.dc);
    }
    let mut free = portions.free;
    for (index, view) in views.iter().enumerate() {
        let portion = portions.portion(view.dc);
        let target = targets[index];
        if target > portion {
            let slots = free.min(target - portion);
            free -= slots;
            push(&mut plans[index].issue, team, slots);
        } else if short > portions.free {
            plan_release(team, target, view, &mut plans[index]);
        } else {
            plan_rest(team, view, &mut plans[index]);
        }
    }
}

/// What a data centre is due of every team without any demand: [`IDLE_SLOTS`] for each entry that holds a row.
#[must_use]
pub fn idle_slots(quota: &DcQuota) -> Slots {
    let rows = quota.rows().values();
    let held = rows.filter(|row| row.phase == RowPhase::Held);
    held.map(|_| IDLE_SLOTS).sum()
}

/// What can be divided over the data centres in view: the limit without the portions of the others.
fn reachable(portions: &TeamPortions, views: &[DcView<'_>]) -> Slots {
    let is_in_view = |dc: &DcName| views.iter().any(|view| view.dc == dc);
    let others = portions.portions.iter();
    let others: Slots = others
        .filter(|(dc, _)| !is_in_view(dc))
        .map(|(_, slots)| *slots)
        .sum();
    portions.limit - others
}

fn plan_release(team: &TeamName, target: Slots, view: &DcView<'_>, plan: &mut DcPlan) {
    let Some(quota) = view.quota.teams().get(team) else {
        return;
    };
    let above = quota.portion - target;
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

/// Ends what was asked back when nobody needs it any longer.
fn plan_rest(team: &TeamName, view: &DcView<'_>, plan: &mut DcPlan) {
    let quota = view.quota.teams().get(team);
    if let Some(quota) = quota.filter(|quota| quota.keep.is_some()) {
        push(&mut plan.keep, team, quota.portion);
    }
}

fn push(list: &mut Vec<TeamSlots>, team: &TeamName, slots: Slots) {
    if !slots.is_zero() {
        let team = team.clone();
        list.push(TeamSlots { team, slots });
    }
}
