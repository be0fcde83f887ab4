//! Keeps this pool's rows of the teams' shares.
//!
//! A row is raised in the store before anything is started by it, and lowered here before it is lowered in the store;
//! so whatever answer is lost, what a team may have running is never more than what the store says. What a pool does
//! not use for a while it gives back, as another pool may need it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::share::Share;
use goldcrest_types::names::{PoolName, TeamName};

use crate::keys;
use crate::pool::Scheduler;
use crate::ports::{CallError, Committed, Item, Platform, Put, Revision, Txn};

/// The rows are compared with what is used and wanted at least this often, and whenever something is wanted.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(150);

/// The least time between two comparisons.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(8);

/// A row that is larger than what is used and wanted for this long is lowered.
const IDLE_GRACE: Duration = Duration::from_millis(700);

/// The same while the limit is nearly used up.
const IDLE_GRACE_CONTENDED: Duration = Duration::from_millis(150);

/// A limit of which less than this share is left, in percent, is nearly used up.
const CONTENDED_PERCENT: u64 = 15;

/// A row holds this share of the limit beyond what is used, in percent, so that not each start needs a raise.
const RESERVE_PERCENT: u64 = 4;

/// How often a share is read again in which this pool finds no room.
const REREAD_INTERVAL: Duration = Duration::from_millis(300);

/// The most teams in one transaction. Each takes two rows.
const TEAMS_PER_TXN: usize = 15;

/// What is known of a team's share.
#[derive(Debug, Default)]
struct CachedShare {
    share: Share,
    revision: Revision,
    /// Since when more was reserved than used and wanted.
    idle_since: Option<Instant>,
    /// It must be read before it is used.
    needs_reread: bool,
    read_at: Option<Instant>,
}

/// Keeps the rows while the role is held.
pub async fn run<P: Platform>(scheduler: Rc<Scheduler<P>>) {
    let mut cache: BTreeMap<TeamName, CachedShare> = BTreeMap::new();
    let mut is_loaded = false;
    loop {
        if !is_loaded {
            is_loaded = load(&scheduler, &mut cache).await;
        }
        if is_loaded && scheduler.may_send_commands() {
            refresh(&scheduler, &mut cache).await;
            adjust(&scheduler, &mut cache).await;
        }
        // A comparison is due now and then even if nothing is wanted.
        let _ = tokio::time::timeout(CHECK_INTERVAL_MAX, scheduler.share_needed.notified()).await;
        tokio::time::sleep(CHECK_INTERVAL_MIN).await;
    }
}

async fn load<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
) -> bool {
    match scheduler.entry.list(keys::SHARES, false).await {
        Ok(page) => {
            for item in &page.items {
                ingest(cache, item, scheduler.now());
            }
            true
        }
        Err(error) => {
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "The teams' shares can't be listed.");
            tokio::time::sleep(REREAD_INTERVAL).await;
            false
        }
    }
}

fn ingest(cache: &mut BTreeMap<TeamName, CachedShare>, item: &Item, now: Instant) {
    let Some(team) = item
        .key
        .strip_prefix(keys::SHARES)
        .and_then(|team| team.parse::<TeamName>().ok())
    else {
        return;
    };
    match keys::decode::<Share>(&item.key, &item.value) {
        Ok(share) => {
            let cached = cache.entry(team).or_default();
            cached.share = share;
            cached.revision = item.revision;
            cached.needs_reread = false;
            cached.read_at = Some(now);
        }
        Err(error) => log::error!(target: "quota", error:%; "A team's share is skipped."),
    }
}

/// Reads the shares again whose state is unsure, or that left no room.
async fn refresh<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
) {
    let now = scheduler.now();
    let due: Vec<TeamName> = demands(scheduler)
        .into_iter()
        .filter(|demand| {
            let Some(cached) = cache.get(&demand.team) else {
                return false;
            };
            let is_old = cached
                .read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= REREAD_INTERVAL);
            let has_shortfall = demand.shortfall != Resources::ZERO;
            cached.needs_reread
                || (is_old && (has_shortfall || !cached.share.is_within(demand.cap)))
        })
        .map(|demand| demand.team)
        .collect();
    for team in due {
        let key = keys::share(&team);
        match scheduler.entry.read(&key).await {
            Ok(Some(item)) => ingest(cache, &item, scheduler.now()),
            Ok(None) => {
                cache.insert(team, CachedShare::default());
            }
            Err(error) => {
                log::warn!(target: "quota", team:% = team, error:%; "A team's share can't be read.");
            }
        }
    }
}

/// A team with a limit, and what it uses and lacks in this pool.
#[derive(Debug)]
struct Demand {
    team: TeamName,
    cap: Resources,
    used: Resources,
    shortfall: Resources,
}

fn demands<P: Platform>(scheduler: &Scheduler<P>) -> Vec<Demand> {
    let catalogue = scheduler.entry.catalogue.borrow();
    let Some(stored) = catalogue.as_ref() else {
        return Vec::new();
    };
    let pool = scheduler.pool.borrow();
    let limited = stored.catalogue.teams().iter();
    limited
        .filter(|team| team.cap != Resources::ZERO)
        .map(|team| Demand {
            team: team.name.clone(),
            cap: team.cap,
            used: pool.usage().get(&team.name).copied().unwrap_or_default(),
            shortfall: pool.short().get(&team.name).copied().unwrap_or_default(),
        })
        .collect()
}

/// Raises and lowers rows.
async fn adjust<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
) {
    let now = scheduler.now();
    let mut changes: Vec<(TeamName, Share)> = Vec::new();
    for demand in demands(scheduler) {
        let cached = cache.entry(demand.team.clone()).or_default();
        if cached.needs_reread {
            continue;
        }
        if let Some(row) = next_row(&scheduler.name, cached, &demand, now) {
            let mut share = cached.share.clone();
            if share.set(&scheduler.name, row) {
                changes.push((demand.team.clone(), share));
            }
        }
        publish_allowance(scheduler, &demand, cached, &changes);
    }
    for batch in changes.chunks(TEAMS_PER_TXN) {
        write(scheduler, cache, batch).await;
    }
}

/// What the pool's row should become, if it should change now.
fn next_row(
    pool: &PoolName,
    cached: &mut CachedShare,
    demand: &Demand,
    now: Instant,
) -> Option<Resources> {
    let row = cached.share.row(pool);
    let reserve = demand.cap.percent(RESERVE_PERCENT);
    let (used, shortfall, cap) = (demand.used, demand.shortfall, demand.cap);
    let target = cached.share.target(pool, used, shortfall, reserve, cap);
    let is_within = cached.share.is_within(cap);
    if !target.fits(&row) && is_within {
        cached.idle_since = None;
        // With room left, what the row holds already is kept.
        let has_all = (used + shortfall).fits(&target);
        return Some(if has_all { target.max(row) } else { target });
    }
    if (row - target).fits(&reserve) {
        cached.idle_since = None;
        return None;
    }
    let free = cap - cached.share.total();
    let is_contended = !cap.percent(CONTENDED_PERCENT).fits(&free) || !is_within;
    let grace = if is_contended {
        IDLE_GRACE_CONTENDED
    } else {
        IDLE_GRACE
    };
    let idle_since = *cached.idle_since.get_or_insert(now);
    if now.saturating_duration_since(idle_since) < grace {
        return None;
    }
    cached.idle_since = None;
    // A row that is above the limit with the others keeps nothing that it doesn't use.
    Some(if is_within { target } else { used }.zip(row, u64::min))
}

/// Tells the pool what it may start by. Where the rows are above the limit, nothing more is started.
fn publish_allowance<P: Platform>(
    scheduler: &Scheduler<P>,
    demand: &Demand,
    cached: &CachedShare,
    changes: &[(TeamName, Share)],
) {
    let team = &demand.team;
    let mut allowance = cached.share.row(&scheduler.name);
    if let Some((_, changed)) = changes.iter().find(|(name, _)| name == team) {
        allowance = allowance.zip(changed.row(&scheduler.name), u64::min);
    }
    if !cached.share.is_within(demand.cap) {
        allowance = allowance.zip(demand.used, u64::min);
    }
    let mut pool = scheduler.pool.borrow_mut();
    if pool.allowance(team) != allowance {
        pool.set_allowance(team.clone(), allowance);
        drop(pool);
        scheduler.replan.notify_one();
    }
}

async fn write<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
    changes: &[(TeamName, Share)],
) {
    let mut txn = Txn {
        expect: vec![scheduler.held.guard()],
        ..Txn::default()
    };
    for (team, share) in changes {
        let key = keys::share(team);
        let revision = cache
            .get(team)
            .map_or(Revision::ABSENT, |cached| cached.revision);
        txn.expect.push((key.clone(), revision));
        txn.put.push(Put {
            key,
            value: keys::encode(share),
            lease: None,
        });
    }
    match scheduler.entry.commit(&txn).await {
        Ok(Committed::Done(revision)) => {
            for (team, share) in changes {
                let row = share.row(&scheduler.name);
                log::info!(target: "quota", team:% = team, pool:% = scheduler.name, row:% = row, total:% = share.total(); "Share changed.");
                let cached = cache.entry(team.clone()).or_default();
                cached.share = share.clone();
                cached.revision = revision;
                scheduler.pool.borrow_mut().set_allowance(team.clone(), row);
            }
            scheduler.replan.notify_one();
        }
        Ok(Committed::Conflict(conflict)) => {
            if !scheduler.held.is_held_in(&conflict) {
                scheduler.step_down("its key has ended");
                return;
            }
            let now = scheduler.now();
            for item in &conflict.items {
                ingest(cache, item, now);
            }
        }
        Err(error) => {
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "Shares not changed.");
            if !matches!(error, CallError::NotDone(_)) {
                for (team, _) in changes {
                    cache.entry(team.clone()).or_default().needs_reread = true;
                }
            }
        }
    }
}
