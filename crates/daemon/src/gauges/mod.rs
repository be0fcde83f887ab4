//! Gauges that are computed from the process's state at each scrape.
//!
//! The collector reads the same channels as the parts, so no value is held twice or becomes stale. Labels are names
//! from the catalogue and closed lists.

use std::fmt;
use std::sync::{Arc, Weak};

use goldcrest_api::{PoolStatus, TeamStatus};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::operator::status;
use crate::world::World;

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PoolLabels {
    pool: String,
    data_centre: String,
    state: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SizeLabels {
    pool: String,
    kind: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TeamLabels {
    team: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    kind: &'static str,
}

/// Encodes the gauges from the world; encodes nothing once the world is dropped.
struct WorldCollector {
    world: Weak<World>,
}

impl fmt::Debug for WorldCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WorldCollector")
    }
}

/// Adds the gauges to `registry`.
pub fn register(world: &Arc<World>, registry: &mut Registry) {
    registry.register_collector(Box::new(WorldCollector {
        world: Arc::downgrade(world),
    }));
}

impl Collector for WorldCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let Some(world) = self.world.upgrade() else {
            return Ok(());
        };
        let status = status::status(&world);
        let freshness = *world.freshness.borrow();
        let keys_fresh = freshness.holds(world.now());
        let has_session = status.store.has_session;
        let revision = status.revision.get();
        let mut one = |name, help, value| single(&mut encoder, name, help, value);
        one(
            "catalogue_revision",
            "Revision in force",
            as_gauge(revision),
        )?;
        one(
            "keys_fresh",
            "Whether keyed work is taken",
            i64::from(keys_fresh),
        )?;
        one(
            "store_session",
            "Whether the lease holds",
            i64::from(has_session),
        )?;
        encode_calls(&world, &mut encoder)?;
        encode_pools(&status.pools, &mut encoder)?;
        encode_sizing(&world, &mut encoder)?;
        encode_teams(&status.teams, &mut encoder)
    }
}

fn as_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn single(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: i64,
) -> Result<(), fmt::Error> {
    let gauge = ConstGauge::new(value);
    let metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
    gauge.encode(metric)
}

/// Encodes one gauge for each label set.
fn family<L: EncodeLabelSet>(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    rows: impl Iterator<Item = (L, i64)>,
) -> Result<(), fmt::Error> {
    let kind = ConstGauge::new(0_i64).metric_type();
    let mut metrics = encoder.encode_descriptor(name, help, None, kind)?;
    for (labels, value) in rows {
        let gauge = ConstGauge::new(value);
        gauge.encode(metrics.encode_family(&labels)?)?;
    }
    Ok(())
}

fn encode_calls(world: &World, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
    let counts = world.session.counts();
    let rows = [
        ("lease", counts.leases),
        ("change", counts.changes),
        ("read", counts.reads),
        ("watch", counts.watches),
        ("failed", counts.unreachable + counts.outcomes_unknown),
        ("throttled", counts.throttled),
    ];
    let rows = rows.map(|(kind, count)| (CallLabels { kind }, as_gauge(count)));
    let help = "Calls of the key-value service since the start";
    family(encoder, "store_calls", help, rows.into_iter())
}

fn encode_pools(
    pools: &[PoolStatus],
    encoder: &mut DescriptorEncoder<'_>,
) -> Result<(), fmt::Error> {
    let rows = pools.iter().flat_map(|pool| {
        let of_state = [
            ("serving", pool.serving_vms),
            ("draining", pool.draining_vms),
            ("rebooting", pool.rebooting_vms),
            ("failed", pool.failed_vms),
            ("joining", pool.joining_vms),
            ("budget", pool.max_unavailable_vms),
        ];
        of_state.map(|(state, vms)| {
            let labels = PoolLabels {
                pool: pool.pool.to_string(),
                data_centre: pool.data_centre.to_string(),
                state,
            };
            (labels, i64::from(vms.get()))
        })
    });
    let help = "VMs of a pool by state, and its availability budget";
    family(encoder, "pool_vms", help, rows)
}

/// Encodes the sizes of pools, in thousandths of a VM. Only the entry that sizes the pools has rows.
fn encode_sizing(world: &World, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
    let sizing = world.sizing.borrow().clone();
    let moves = as_gauge(sizing.moves);
    single(
        encoder,
        "moves_begun",
        "Moves of VMs that this entry has begun",
        moves,
    )?;
    let rows = sizing.pools.iter().flat_map(|pool| {
        let of_kind = [
            ("demand", pool.demand_millis),
            ("buffer", pool.buffer_millis()),
            ("unmet", pool.unmet_millis()),
        ];
        of_kind.map(|(kind, millis)| {
            let labels = SizeLabels {
                pool: pool.pool.to_string(),
                kind,
            };
            (labels, as_gauge(millis))
        })
    });
    let help = "Demand, buffer and unmet demand of a pool, in thousandths of a VM";
    family(encoder, "pool_size_vm_millis", help, rows)
}

fn encode_teams(
    teams: &[TeamStatus],
    encoder: &mut DescriptorEncoder<'_>,
) -> Result<(), fmt::Error> {
    let usable = teams.iter().map(|team| {
        let labels = TeamLabels {
            team: team.team.to_string(),
        };
        (labels, i64::from(team.usable_slots.get()))
    });
    let help = "Slots that a team may use through this entry now";
    family(encoder, "team_usable_slots", help, usable)?;
    let limits = teams.iter().map(|team| {
        let labels = TeamLabels {
            team: team.team.to_string(),
        };
        (labels, i64::from(team.upper_limit_slots.get()))
    });
    let help = "A team's upper limit over the fleet";
    family(encoder, "team_upper_limit_slots", help, limits)
}
