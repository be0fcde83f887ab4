//! The keys under which the shared documents are stored.

use goldcrest_ledger::catalogue::HEAD_KEY;
use goldcrest_ledger::quota::FLEET_QUOTA_KEY;
use goldcrest_ports::store::StoreKey;
use goldcrest_types::names::{DcName, EntryId};

use crate::lease::LiveSession;
use crate::role::RoleName;

const SESSIONS: &str = "session";

/// Joins the segments of a key. They come from names and ids, whose characters are all allowed in a key.
fn join(parts: &[&str]) -> StoreKey {
    let text = parts.join("/");
    match text.parse() {
        Ok(key) => key,
        Err(error) => unreachable!("{error}"),
    }
}

/// The key of the catalogue's head.
#[must_use]
pub fn catalogue_head() -> StoreKey {
    join(&[HEAD_KEY])
}

/// The key of a data centre's fleet document, which holds the VMs.
#[must_use]
pub fn fleet(dc: &DcName) -> StoreKey {
    join(&["fleet", dc.as_str()])
}

/// The key of a data centre's quota document. Its `dc` segment avoids a collision of a data centre named `fleet` with
/// [`quota_fleet`].
#[must_use]
pub fn quota(dc: &DcName) -> StoreKey {
    join(&["quota", "dc", dc.as_str()])
}

/// The key of the fleet's quota document, which holds the allocations of all data centres.
#[must_use]
pub fn quota_fleet() -> StoreKey {
    join(&[FLEET_QUOTA_KEY])
}

/// The key of a role's document.
#[must_use]
pub fn role(role: &RoleName) -> StoreKey {
    join(&["role", role.as_str()])
}

/// The prefix of the keys of all session records.
#[must_use]
pub fn sessions() -> StoreKey {
    join(&[SESSIONS])
}

/// The key of an entry's session record.
#[must_use]
pub fn session(dc: &DcName, entry: EntryId) -> StoreKey {
    join(&[SESSIONS, dc.as_str(), &entry.to_string()])
}

/// Parses the key of a session record, or returns `None` for any other key.
#[must_use]
pub fn parse_session(key: &StoreKey) -> Option<LiveSession> {
    let mut parts = key.as_str().split('/');
    let (Some(SESSIONS), Some(dc), Some(entry), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    let (dc, entry) = (dc.parse().ok()?, entry.parse().ok()?);
    Some(LiveSession { dc, entry })
}
