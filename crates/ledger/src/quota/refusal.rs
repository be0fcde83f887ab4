//! Refusals of edits of quota documents.

use goldcrest_types::names::{DcName, EntryId, TeamName};
use goldcrest_types::units::{Epoch, Revision, Slots};
use quick_error::quick_error;

use super::{RowId, SessionId};

quick_error! {
    /// Why an edit of a quota document was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum QuotaRefusal {
        /// The parts would exceed the allocation, or the part that gives slots away.
        Allocation(team: TeamName, allocation: Slots, parts: Slots) {
            display("team '{team}': parts of {parts} would exceed the allocation of {allocation}: request less, or wait until other entries give slots back")
        }
        /// The fleet has fewer free slots than requested.
        Free(team: TeamName, free: Slots, requested: Slots) {
            display("team '{team}': {free} slots are free, {requested} requested: release from a data centre first")
        }
        /// The owner has no row, or the row has been removed.
        NoRow {
            display("there is no such row: join first")
        }
        /// The owner has a row already.
        Joined(owner: EntryId) {
            display("entry {owner} has a row already: renew its session instead")
        }
        /// The row was declared orphaned.
        Orphaned(row: RowId) {
            display("{row} is orphaned: stop admitting and join as a new process")
        }
        /// The row has another session than the edit names, or is not held.
        Session(row: RowId, session: SessionId) {
            display("{row} holds session {session}: read the value again and renew the session")
        }
        /// The row's phase does not allow the step, or has changed since the row was read.
        Phase(row: RowId) {
            display("{row} is in another phase: read the value again")
        }
        /// The document does not bear out the proof that the owner has departed.
        Proof(row: RowId) {
            display("there is no proof that the owner of {row} has departed: wait for the list of VMs")
        }
        /// Another observer has changed the waiting time meanwhile.
        Waited(row: RowId, waited_ms: u64) {
            display("{row} has waited {waited_ms} ms by now: read the value again and measure from there")
        }
        /// Work admitted against the row can still run.
        RunBound(row: RowId, waited_ms: u64, bound_ms: u64) {
            display("{row} has waited {waited_ms} ms of {bound_ms} ms: wait until the bound is reached")
        }
        /// The number of a move does not follow the last one.
        Sequence(found: u64, last: u64) {
            display("move {found} is out of sequence after {last}: read quota/fleet again")
        }
        /// Another move of this data centre and direction is open.
        Open(dc: DcName) {
            display("data centre '{dc}' has a move open: complete it first")
        }
        /// The move to end is not the open one.
        NotOpen(dc: DcName) {
            display("data centre '{dc}' has no such move open: read quota/fleet again")
        }
        /// The limits come from an older catalogue revision than the counted ones.
        Stale(found: Revision, current: Revision) {
            display("the limits are of revision {found}, {current} is in force: read the catalogue again")
        }
        /// A higher limit is not yet announced in a data centre.
        NotAnnounced(dc: DcName) {
            display("the higher limits are not announced in '{dc}': announce them there first")
        }
        /// A holder with a newer epoch has edited the document.
        Fenced(found: Epoch, current: Epoch) {
            display("epoch {found} is older than {current}: give up the role and acquire it again")
        }
    }
}
