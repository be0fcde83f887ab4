//! The keys under which the shared documents are stored.

use goldcrest_ledger::catalogue::HEAD_KEY;
use goldcrest_ledger::quota::FLEET_QUOTA_KEY;
use goldcrest_ports::store::StoreKey;
use goldcrest_types::names::{DcName, EntryId};

use crate::lease::LiveSession;
use crate::role::RoleName;

const SESSIONS: &str = "session";

/// The key that these parts form. They come from names and ids, whose characters a key allows.
fn join(parts: &[&str]) -> StoreKey {
    let text = parts.join("/");
    match text.parse() {
        Ok(key) => key,
        Err(error) => unreachable!("{error}"),
    }
}

/// The head of the catalogue.
#[must_use]
pub fn catalogue_head() -> StoreKey {
    join(&[HEAD_KEY])
}

/// The VMs of a data centre.
#[must_use]
pub fn fleet(dc: &DcName) -> StoreKey {
    join(&["fleet", dc.as_str()])
}

/// The quota rows of a data centre. The part in between keeps a data centre of any name apart from the fleet's key.
#[must_use]
pub fn quota(dc: &DcName) -> StoreKey {
    join(&["quota", "dc", dc.as_str()])
}

/// The portions of all data centres.
#[must_use]
pub fn quota_fleet() -> StoreKey {
    join(&[FLEET_QUOTA_KEY])
}

/// A role.
#[must_use]
pub fn role(role: &RoleName) -> StoreKey {
    join(&["role", role.as_str()])
}

/// The prefix of all sessions.
#[must_use]
pub fn sessions() -> StoreKey {
    join(&[SESSIONS])
}

/// The session of an entry.
#[must_use]
pub fn session(dc: &DcName, entry: EntryId) -> StoreKey {
    join(&[SESSIONS, dc.as_str(), &entry.to_string()])
}

/// The session that a key stands for, or none if it is no session's key.
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
