//! Pass 1: returns draining VMs to service when failures in their group exceed its budget.

use goldcrest_types::catalogue::Catalogue;

use super::{Action, Context, Reason, Step};
use crate::fleet::{Fleet, Group, Seen, VmState};

/// Returns live VMs that drain or wait to move, from groups with more VMs out of service than their budget allows.
pub(super) fn run(ctx: &mut Context, fleet: &Fleet, cat: &Catalogue) {
    for (id, vm) in fleet.vms.iter() {
        let can_return = matches!(vm.state, VmState::Draining | VmState::Moving(_));
        if !can_return || vm.seen != Seen::Live {
            continue;
        }
        let group = Group {
            pool: vm.pool,
            dc: vm.dc,
        };
        let unavailable = ctx.census.group(group).unavailable;
        let max = cat.pools[vm.pool].max_unavailable_vms.get();
        if unavailable > max {
            let reason = Reason::BudgetOverrun {
                group,
                unavailable,
                max,
            };
            let step = Step {
                vm: id,
                action: Action::Return,
                reason,
            };
            ctx.emit(fleet, step);
        }
    }
}
