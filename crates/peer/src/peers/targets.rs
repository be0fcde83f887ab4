//! Selection of the peers that are sent gossip in one heartbeat.
//!
//! An entry sends gossip to its data centre's relay, and to the other members there in rotation, one in every
//! [`LOCAL_HEARTBEATS`]. Of two data centres, the relay of the one whose name sorts first sends gossip to the other's
//! relay every [`REMOTE_HEARTBEATS`]; both learn from the exchange. An entry that requests the usage of all data
//! centres queries each relay for that only, once per heartbeat. Without contact with the key-value service, an entry
//! sends gossip to all local members, and a relay to the relay of every data centre, since proof that the catalogue is
//! fresh then only comes from peers.

use std::net::SocketAddr;
use std::time::Instant;

use goldcrest_types::names::DcName;

use super::state::State;
use crate::message::Member;

/// A relay sends gossip to each remote data centre once in this many heartbeats.
pub const REMOTE_HEARTBEATS: u64 = 4;

/// An entry sends gossip to one local member, in rotation, once in this many heartbeats.
pub const LOCAL_HEARTBEATS: u64 = 2;

/// A recipient of gossip. `member` is absent if only a listed address is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) member: Option<Member>,
}

impl Target {
    pub(super) fn of(member: &Member) -> Self {
        Self {
            address: member.address,
            member: Some(member.clone()),
        }
    }
}

/// Returns the recipients of gossip in heartbeat number `cycle`.
pub(super) fn targets(state: &State, cycle: u64, now: Instant) -> Vec<Target> {
    let own = state.members.own();
    let is_relay = state.is_relay;
    let is_cut = state.own.no_contact.is_some();
    let local = state.members.members_of(&own.dc);
    let local: Vec<&Member> = local.filter(|member| member.entry != own.entry).collect();
    let mut out = Vec::new();
    if is_cut {
        out.extend(local.iter().copied().map(Target::of));
    } else if cycle.is_multiple_of(LOCAL_HEARTBEATS) {
        let turn = in_turn(&local, cycle / LOCAL_HEARTBEATS);
        out.extend(turn.copied().map(Target::of));
    }
    if let Some(relay) = state.members.relay(&own.dc, now)
        && relay.entry != own.entry
    {
        out.push(Target::of(relay));
    }
    let is_remote_due = cycle.is_multiple_of(REMOTE_HEARTBEATS);
    if is_relay && (is_remote_due || is_cut) {
        out.extend(remote_relays(state, cycle, now, is_cut));
    }
    if local.is_empty() {
        out.extend(seed(state, &own.dc, cycle));
    }
    out.sort_by_key(|target| target.address);
    out.dedup_by_key(|target| target.address);
    out.retain(|target| target.address != own.address);
    out
}

/// Returns the relays to query for the usage of their data centres.
pub(super) fn usage_relays(state: &State, now: Instant) -> Vec<Member> {
    if !state.wants_dcs {
        return Vec::new();
    }
    let own = &state.members.own().dc;
    let dcs = state.members.dcs();
    let others = dcs.iter().filter(|dc| *dc != own);
    let relays = others.filter_map(|dc| state.members.relay(dc, now));
    relays.cloned().collect()
}

/// Returns the relay of each remote data centre, or one of its listed addresses if no member is known there. Unless
/// `all` is set, it omits relays of data centres whose names sort before this one, since those send gossip to it
/// themselves.
fn remote_relays(state: &State, cycle: u64, now: Instant, all: bool) -> Vec<Target> {
    let own = &state.members.own().dc;
    let mut dcs = state.members.dcs();
    dcs.extend(state.seeds.iter().map(|seed| seed.dc.clone()));
    dcs.remove(own);
    let target = |dc: &DcName| match state.members.relay(dc, now) {
        Some(relay) => (all || own < dc).then(|| Target::of(relay)),
        None => seed(state, dc, cycle),
    };
    dcs.iter().filter_map(target).collect()
}

fn seed(state: &State, dc: &DcName, cycle: u64) -> Option<Target> {
    let own = state.members.own().address;
    let listed = state.seeds.iter().filter(|seed| seed.dc == *dc);
    let listed: Vec<SocketAddr> = listed
        .map(|seed| seed.address)
        .filter(|a| *a != own)
        .collect();
    let address = *in_turn(&listed, cycle)?;
    Some(Target {
        address,
        member: None,
    })
}

fn in_turn<T>(all: &[T], cycle: u64) -> Option<&T> {
    let count = u64::try_from(all.len()).ok()?;
    let at = cycle.checked_rem(count)?;
    all.get(usize::try_from(at).ok()?)
}
