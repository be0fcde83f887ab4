//! Whom to ask in one heartbeat.
//!
//! An entry asks its data centre's relay, and every other member there once in [`LOCAL_HEARTBEATS`]. Of two data centres
//! the relay of the one that is first by name asks the other's every [`REMOTE_HEARTBEATS`]; both learn from it. An entry that
//! wants the usage of all data centres asks each relay for that only, once a heartbeat. Without contact with the key-value service the relay asks
//! everyone it can, since proof that the catalogue is fresh then only comes from others.

use std::net::SocketAddr;
use std::time::Instant;

use goldcrest_types::names::DcName;

use super::state::State;
use crate::message::Member;

/// A relay asks each other data centre once in so many heartbeats.
pub const REMOTE_HEARTBEATS: u64 = 4;

/// An entry asks a member that is no relay once in so many heartbeats, one after the other.
pub const LOCAL_HEARTBEATS: u64 = 2;

/// Someone to ask.
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

/// Whom to ask in heartbeat number `cycle`.
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

/// The relays that are to be asked for the usage of their data centres.
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

/// The relay of each other data centre, or one of its listed addresses if no member is known there. Unless `all` are
/// wanted, a data centre that comes before this one and has a known member asks by itself.
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
