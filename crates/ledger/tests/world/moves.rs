//! Moves of slots between the data centres, based on a process's last read of the fleet's quota document.

use goldcrest_ledger::quota::{DcEdit, FleetEdit};
use goldcrest_types::names::{EditId, TransferId};

use super::{World, dc_name, slots};

impl World {
    pub(super) fn begin_release(&mut self, dc: usize, arg: u8, fate: u8) {
        let step = FleetEdit::BeginRelease {
            dc: dc_name(dc),
            id: TransferId::new(self.next_id()),
            teams: slots(u32::from(arg) / 2 % 4),
        };
        self.swap_fleet(step, fate);
    }

    pub(super) fn begin_issue(&mut self, dc: usize, arg: u8, fate: u8) {
        let step = FleetEdit::BeginIssue {
            dc: dc_name(dc),
            id: TransferId::new(self.next_id()),
            teams: slots(u32::from(arg) / 2 % 4),
        };
        self.swap_fleet(step, fate);
    }

    pub(super) fn lower(&mut self, who: usize, dc: usize, fate: u8) {
        let moves = self.processes[who].seen_fleet.moves().get(&dc_name(dc));
        if let Some(release) = moves.and_then(|moves| moves.release.clone()) {
            let edit = EditId::new(self.next_id());
            self.swap_dc(dc, edit, DcEdit::Lower(release), fate);
        }
    }

    pub(super) fn raise(&mut self, who: usize, dc: usize, fate: u8) {
        let moves = self.processes[who].seen_fleet.moves().get(&dc_name(dc));
        if let Some(issue) = moves.and_then(|moves| moves.issue.clone()) {
            let edit = EditId::new(self.next_id());
            self.swap_dc(dc, edit, DcEdit::Raise(issue), fate);
        }
    }

    pub(super) fn end_moves(&mut self, who: usize, dc: usize, fate: u8) {
        let seen = &self.processes[who].seen[dc];
        let raised_seq = seen.raised_seq();
        let lowered = seen.lowered().cloned();
        let name = dc_name(dc);
        if let Some(lowered) = lowered {
            let dc = name.clone();
            self.swap_fleet(FleetEdit::EndRelease { dc, lowered }, fate);
        }
        let dc = name;
        self.swap_fleet(FleetEdit::EndIssue { dc, raised_seq }, fate);
    }
}
