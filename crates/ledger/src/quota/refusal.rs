//! Why an edit of a quota document is refused.

use goldcrest_types::names::{DcName, EntryId, TeamName};
use goldcrest_types::units::{Epoch, Revision, Slots};
use quick_error::quick_error;

use super::{RowId, SessionId};

quick_error! {
    /// Why an edit of a quota document was refused. Nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum QuotaRefusal {
        /// The parts would pass the portion.
        Portion(team: TeamName, portion: Slots, parts: Slots) {
            display("team '{team}': parts of {parts} would pass the portion of {portion}: take less, or wait until others give back")
        }
        /// The fleet has fewer free slots.
        Free(team: TeamName, free: Slots, wanted: Slots) {
            display("team '{team}': {free} slots are free, {wanted} asked for: release from a data centre first")
        }
        /// There is no such row.
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
        /// The row's session is another one.
        Session(row: RowId, session: SessionId) {
            display("{row} holds session {session}: read the value again and renew the session")
        }
        /// The row's phase does not allow it.
        Phase(row: RowId) {
            display("{row} is in another phase: read the value again")
        }
        /// The proof does not show that the owner is gone.
        Proof(row: RowId) {
            display("it is not shown that the owner of {row} is gone: wait for the list of VMs")
        }
        /// Another process has changed the waiting time meanwhile.
        Waited(row: RowId, waited_ms: u64) {
            display("{row} has waited {waited_ms} ms by now: measure from that on")
        }
        /// What the owner may have started can still run.
        RunBound(row: RowId, waited_ms: u64, bound_ms: u64) {
            display("{row} has waited {waited_ms} ms of {bound_ms}: wait for the rest")
        }
        /// A move is numbered out of sequence.
        Sequence(found: u64, wanted: u64) {
            display("move {found} is out of sequence after {wanted}: read quota/fleet again")
        }
        /// A move of this data centre and direction is open.
        Open(dc: DcName) {
            display("data centre '{dc}' has a move open: complete it first")
        }
        /// No such move is open.
        NotOpen(dc: DcName) {
            display("data centre '{dc}' has no such move open: read quota/fleet again")
        }
        /// The limits come from an older catalogue.
        Stale(found: Revision, current: Revision) {
            display("the limits are of revision {found}, {current} is in force: read the catalogue again")
        }
        /// A higher limit is not yet announced in a data centre.
        NotAnnounced(dc: DcName) {
            display("the higher limits are not announced in '{dc}': announce them there first")
        }
        /// The holder's epoch is older than one seen.
        Fenced(found: Epoch, current: Epoch) {
            display("epoch {found} is older than {current}: give up the role and take it anew")
        }
    }
}
