//! The plan's steps as edits of the fleet documents.

use std::collections::BTreeMap;

use goldcrest_ledger::fleet::{Permit, Purpose, VmEdit};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::names::{DcName, EntryId};
use goldcrest_types::units::Epoch;
use goldcrest_upkeep::fleet::VmState;
use goldcrest_upkeep::maintenance::{Action, Step};
use goldcrest_upkeep::sizing::Move;

use super::view::View;

/// The holder of the upkeep role, in whose name edits are stored.
#[derive(Debug, Clone, Copy)]
pub struct Editor {
    /// The entry that holds the role.
    pub holder: EntryId,
    /// The fencing epoch in which the entry holds the role.
    pub epoch: Epoch,
}

impl Editor {
    /// Returns the edits of `steps` by data centre, in the order of the steps.
    #[must_use]
    pub fn edits(
        self,
        cat: &Catalogue,
        view: &View,
        steps: &[Step],
    ) -> BTreeMap<DcName, Vec<VmEdit>> {
        let mut edits: BTreeMap<DcName, Vec<VmEdit>> = BTreeMap::new();
        for step in steps {
            if let Some(edit) = self.edit(cat, view, step) {
                let dc = view.place(step.vm).dc.clone();
                edits.entry(dc).or_default().push(edit);
            }
        }
        edits
    }

    /// Returns the edits that begin `moves` by data centre, in the order of the moves.
    #[must_use]
    pub fn moves(
        self,
        cat: &Catalogue,
        view: &View,
        moves: &[Move],
    ) -> BTreeMap<DcName, Vec<VmEdit>> {
        let mut edits: BTreeMap<DcName, Vec<VmEdit>> = BTreeMap::new();
        for step in moves {
            let place = view.place(step.vm);
            let to = cat.pools[step.to].name.clone();
            let edit = VmEdit::Drain {
                vm: place.vm.clone(),
                permit: self.permit(Purpose::Move { to }),
                budget: cat.pools[step.from].max_unavailable_vms,
            };
            edits.entry(place.dc.clone()).or_default().push(edit);
        }
        edits
    }

    fn permit(self, purpose: Purpose) -> Permit {
        Permit {
            holder: self.holder,
            epoch: self.epoch,
            purpose,
        }
    }

    /// Returns the edits by which this entry takes over every pool in one data centre's document.
    #[must_use]
    pub fn take_over(self, cat: &Catalogue) -> Vec<VmEdit> {
        let pools = cat.pools.values().map(|pool| VmEdit::TakeOver {
            pool: pool.name.clone(),
            holder: self.holder,
            epoch: self.epoch,
        });
        pools.collect()
    }

    /// Returns the edit of one step; none if the step stores nothing.
    fn edit(self, cat: &Catalogue, view: &View, step: &Step) -> Option<VmEdit> {
        let record = &view.fleet.vms[step.vm];
        let vm = view.place(step.vm).vm.clone();
        let epoch = self.epoch;
        Some(match (step.action, record.state) {
            (Action::Drain, _) => VmEdit::Drain {
                vm,
                permit: self.permit(Purpose::Maintain {
                    wave: view.fleet.cycle.number,
                }),
                budget: cat.pools[record.pool].max_unavailable_vms,
            },
            (Action::Return, VmState::Draining | VmState::Moving(_)) => {
                VmEdit::Cancel { vm, epoch }
            }
            (Action::Return, _) => VmEdit::Serve {
                vm,
                boots: record.boots,
            },
            (Action::Reboot, VmState::Draining) => VmEdit::Reboot { vm, epoch },
            (Action::Join(_), _) => VmEdit::Move { vm, epoch },
            (Action::MarkFailed, _) => VmEdit::Fail { vm },
            (Action::Remove, _) => VmEdit::Remove { vm },
            (Action::Reboot | Action::CheckpointTasks, _) => return None,
        })
    }
}
