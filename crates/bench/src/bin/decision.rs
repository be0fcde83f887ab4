//! The time of one admission and routing decision at the planned size: 100 teams, 81 pools, 1,500 upstreams.
//!
//! `cargo run --release -p goldcrest-bench --bin decision -- [--decisions N]`
//!
//! Heap allocations are not counted in here, since a counting allocator needs unsafe code. The tables' capacity
//! before and after shows that none of them grew.

use std::error::Error;
use std::hint::black_box;
use std::time::{Duration, Instant};

use goldcrest_serve::admission::{
    AdmissionCfg, AdmissionDecision, AdmissionRequest, TeamGrant, TeamGrants,
};
use goldcrest_serve::dispatch::Dispatch;
use goldcrest_serve::routing::{SendOutcome, UpstreamSet, UpstreamSpec};
use goldcrest_types::catalogue::{
    Access, Catalogue, CatalogueSpec, Class, DcSpec, PoolKind, PoolSpec, QueueLimits, QueueSpec,
    TeamSpec,
};
use goldcrest_types::entity::{EntityRef, QueueId, TeamId};
use goldcrest_types::units::{Revision, Share, Slots, VmCount};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TEAMS: usize = 100;
const POOLS: usize = 81;
const UPSTREAMS: usize = 1_500;
const DCS: usize = 11;
/// Decisions timed as one, so that reading the clock does not count.
const BATCH: u32 = 100;
/// Requests that run at one time, in the mean.
const RUNNING: usize = 512;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let decisions: u32 = args.opt_value_from_str("--decisions")?.unwrap_or(2_000_000);
    let mut dispatch = dispatch()?;
    run(&mut dispatch, 200_000)?;
    let before = dispatch.capacity();
    let times = run(&mut dispatch, decisions)?;
    let after = dispatch.capacity();
    let p50 = times.value_at_quantile(0.5);
    let p99 = times.value_at_quantile(0.99);
    println!("sizes: {TEAMS} teams, {POOLS} pools, {UPSTREAMS} upstreams, {DCS} data centres");
    println!("decisions: {decisions}, in batches of {BATCH}");
    println!("admission and routing: median {p50} ns, 99th percentile {p99} ns a decision");
    println!("table capacity: {before} records before, {after} after");
    if p50 >= 2_000 || before != after {
        return Err(
            "over 2,000 ns, or a table grew: look at the last change of crates/serve".into(),
        );
    }
    Ok(())
}

/// Times offer and pick in batches; the ends of earlier requests are not timed.
fn run(dispatch: &mut Dispatch, decisions: u32) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut times = Histogram::new(3)?;
    let mut running = Vec::with_capacity(RUNNING + BATCH as usize);
    for _ in 0..decisions / BATCH {
        let began = Instant::now();
        for _ in 0..BATCH {
            let ask = ask(&mut rng, began);
            match dispatch.offer(black_box(&ask), began) {
                AdmissionDecision::Start(work) => {
                    let upstream = dispatch.pick(work, None, began).ok();
                    running.push((work, black_box(upstream)));
                }
                AdmissionDecision::Wait(work) => dispatch.end(work, began),
                AdmissionDecision::Refuse(..) => {}
            }
        }
        let spent = began.elapsed() / BATCH;
        times.record(u64::try_from(spent.as_nanos())?)?;
        while running.len() > RUNNING {
            let index = rng.random_range(0..running.len());
            let (work, upstream) = running.swap_remove(index);
            if let Some(upstream) = upstream {
                let latency = Duration::from_micros(rng.random_range(200..2_000));
                dispatch.record_send_outcome(work, upstream, SendOutcome::Answered(latency), began);
            }
            dispatch.end(work, began);
            dispatch.drain_dequeued(|_, _| {});
        }
    }
    for (work, upstream) in running {
        if let Some(upstream) = upstream {
            dispatch.record_send_outcome(work, upstream, SendOutcome::Neutral, Instant::now());
        }
        dispatch.end(work, Instant::now());
    }
    dispatch.drain_dequeued(|_, _| {});
    Ok(times)
}

fn ask(rng: &mut SmallRng, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        queue: QueueId::new(rng.random_range(0..POOLS)),
        team: TeamId::new(rng.random_range(0..TEAMS)),
        key: None,
        deadline: now + Duration::from_secs(30),
    }
}

fn dispatch() -> Result<Dispatch, Box<dyn Error>> {
    let cat = Catalogue::resolve(&catalogue()?, Revision::new(1));
    let cat = cat.map_err(|findings| format!("{findings:?}"))?;
    let cfg = AdmissionCfg {
        running_max: Slots::new(16_384),
        waiting_max: Slots::new(8_192),
    };
    let now = Instant::now();
    let mut dispatch = Dispatch::new("dc0".parse()?, cfg, 7);
    dispatch.set_upstreams(upstreams()?, now);
    dispatch.set_catalogue(cat.into(), now);
    let grant = |index: usize| {
        Ok::<_, Box<dyn Error>>(TeamGrant {
            team: format!("team{index}").parse()?,
            floor: Slots::new(64),
            lent: Slots::new(64),
        })
    };
    let grants = TeamGrants {
        teams: (0..TEAMS).map(grant).collect::<Result<_, _>>()?,
        lent_until: Some(now + Duration::from_hours(1)),
    };
    dispatch.set_grants(grants, now);
    Ok(dispatch)
}

fn upstreams() -> Result<UpstreamSet, Box<dyn Error>> {
    let upstream = |index: usize| {
        Ok::<_, Box<dyn Error>>(UpstreamSpec {
            vm: format!("vm{index}").parse()?,
            pool: format!("pool{}", index % POOLS).parse()?,
            dc: format!("dc{}", index / POOLS % DCS).parse()?,
            address: ([127, 0, 0, 1], u16::try_from(index + 1_024)?).into(),
            leaving: false,
        })
    };
    let upstreams = (0..UPSTREAMS).map(upstream).collect::<Result<_, _>>()?;
    Ok(UpstreamSet { upstreams })
}

fn catalogue() -> Result<CatalogueSpec, Box<dyn Error>> {
    let mut spec = CatalogueSpec::default();
    for index in 0..DCS {
        spec.data_centres.push(DcSpec {
            name: format!("dc{index}").parse()?,
            region: format!("region{}", index % 5).parse()?,
        });
    }
    for index in 0..TEAMS {
        spec.teams.push(TeamSpec {
            name: format!("team{index}").parse()?,
            share: Share::new(1 + u32::try_from(index % 5)?),
            upper_limit_slots: Slots::new(10_000),
        });
    }
    for index in 0..POOLS {
        spec.pools.push(PoolSpec {
            name: format!("pool{index}").parse()?,
            kind: PoolKind::Upstreams,
            min_vms: VmCount::ZERO,
            max_vms: VmCount::MAX,
            max_unavailable_vms: VmCount::new(1),
            vm_slots: Slots::ZERO,
        });
        spec.queues.push(QueueSpec {
            name: format!("queue{index}").parse()?,
            owner: format!("team{}", index % TEAMS).parse()?,
            class: Class::ALL[index % 3],
            pool: format!("pool{index}").parse()?,
            access: Access::Keyed,
            limits: QueueLimits::default(),
        });
    }
    Ok(spec)
}
