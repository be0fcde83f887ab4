//! Keeps this pool's rows of the teams' shares.
//!
//! A row is raised in the store before anything is started by it, and lowered here before it is lowered in the store; so
//! whatever answer is lost, what a team may have running is never more than what the store says. What a pool does not
//! use for a while it gives back, as another pool may need it.

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
const CHECK_EVERY: Duration = Duration::from_millis(150);

/// The least time between two comparisons.
const CHECK_GAP: Duration = Duration::from_millis(8);

/// A row that is larger than what is used and wanted for this long is lowered.
const IDLE: Duration = Duration::from_millis(700);

/// The same while the limit is nearly used up.
const IDLE_CONTENDED: Duration = Duration::from_millis(150);

/// A limit of which less than this share is left, in percent, is nearly used up.
const CONTENDED_PERCENT: u64 = 15;

/// A row holds this share of the limit beyond what is used, in percent, so that not each start needs a raise.
const RESERVE_PERCENT: u64 = 4;

/// How often a share is read again in which this pool finds no room.
const READ_AGAIN: Duration = Duration::from_millis(300);

/// The most teams in one transaction. Each takes two rows.
const TEAMS_PER_TXN: usize = 15;

/// What is known of a team's share.
#[derive(Debug, Default)]
struct Known {
    share: Share,
    revision: Revision,
    /// Since when more was reserved than used and wanted.
    idle_since: Option<Instant>,
    /// It must be read before it is used.
    is_unsure: bool,
    read_at: Option<Instant>,
}

/// Keeps the rows while the role is held.
pub async fn run<P: Platform>(scheduler: Rc<Scheduler<P>>) {
    let mut known: BTreeMap<TeamName, Known> = BTreeMap::new();
    let mut is_loaded = false;
    loop {
        if !is_loaded {
            is_loaded = load(&scheduler, &mut known).await;
        }
        if is_loaded && scheduler.may_order() {
            refresh(&scheduler, &mut known).await;
            adjust(&scheduler, &mut known).await;
        }
        // A comparison is due now and then even if nothing is wanted.
        let _ = tokio::time::timeout(CHECK_EVERY, scheduler.share_needed.notified()).await;
        tokio::time::sleep(CHECK_GAP).await;
    }
}

async fn load<P: Platform>(
    scheduler: &Scheduler<P>,
    known: &mut BTreeMap<TeamName, Known>,
) -> bool {
    match scheduler.entry.list(keys::SHARES, false).await {
        Ok(page) => {
            for item in &page.items {
                take(known, item, scheduler.now());
            }
            true
        }
        Err(error) => {
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "The teams' shares can't be listed.");
            tokio::time::sleep(READ_AGAIN).await;
            false
        }
    }
}

fn take(known: &mut BTreeMap<TeamName, Known>, item: &Item, now: Instant) {
    let Some(team) = item
        .key
        .strip_prefix(keys::SHARES)
        .and_then(|team| team.parse::<TeamName>().ok())
    else {
        return;
    };
    match keys::decode::<Share>(&item.key, &item.value) {
        Ok(share) => {
            let it = known.entry(team).or_default();
            it.share = share;
            it.revision = item.revision;
            it.is_unsure = false;
            it.read_at = Some(now);
        }
        Err(error) => log::error!(target: "quota", error:%; "A team's share is skipped."),
    }
}

/// Reads the shares again whose state is unsure, or that left no room.
async fn refresh<P: Platform>(scheduler: &Scheduler<P>, known: &mut BTreeMap<TeamName, Known>) {
    let now = scheduler.now();
    let due: Vec<TeamName> = demands(scheduler)
        .into_iter()
        .filter(|demand| {
            let Some(it) = known.get(&demand.team) else {
                return false;
            };
            let is_old = it
                .read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= READ_AGAIN);
            let is_short = demand.short != Resources::ZERO;
            it.is_unsure || (is_old && (is_short || !it.share.is_within(demand.cap)))
        })
        .map(|demand| demand.team)
        .collect();
    for team in due {
        let key = keys::share(&team);
        match scheduler.entry.read(&key).await {
            Ok(Some(item)) => take(known, &item, scheduler.now()),
            Ok(None) => {
                known.insert(team, Known::default());
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
    short: Resources,
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
            short: pool.short().get(&team.name).copied().unwrap_or_default(),
        })
        .collect()
}

/// Raises and lowers rows.
async fn adjust<P: Platform>(scheduler: &Scheduler<P>, known: &mut BTreeMap<TeamName, Known>) {
    let now = scheduler.now();
    let mut changes: Vec<(TeamName, Share)> = Vec::new();
    for demand in demands(scheduler) {
        let it = known.entry(demand.team.clone()).or_default();
        if it.is_unsure {
            continue;
        }
        if let Some(row) = next_row(&scheduler.name, it, &demand, now) {
            let mut share = it.share.clone();
            if share.set(&scheduler.name, row) {
                changes.push((demand.team.clone(), share));
            }
        }
        publish_allowance(scheduler, &demand, it, &changes);
    }
    for batch in changes.chunks(TEAMS_PER_TXN) {
        write(scheduler, known, batch).await;
    }
}

/// What the pool's row should become, if it should change now.
fn next_row(pool: &PoolName, it: &mut Known, demand: &Demand, now: Instant) -> Option<Resources> {
    let row = it.share.row(pool);
    let reserve = demand.cap.percent(RESERVE_PERCENT);
    let (used, short, cap) = (demand.used, demand.short, demand.cap);
    let target = it.share.target(pool, used, short, reserve, cap);
    let is_within = it.share.is_within(cap);
    if !target.fits(&row) && is_within {
        it.idle_since = None;
        // With room left, what the row holds already is kept.
        let has_all = (used + short).fits(&target);
        return Some(if has_all { target.max(row) } else { target });
    }
    if (row - target).fits(&reserve) {
        it.idle_since = None;
        return None;
    }
    let free = cap - it.share.total();
    let is_contended = !cap.percent(CONTENDED_PERCENT).fits(&free) || !is_within;
    let patience = if is_contended { IDLE_CONTENDED } else { IDLE };
    let idle_since = *it.idle_since.get_or_insert(now);
    if now.saturating_duration_since(idle_since) < patience {
        return None;
    }
    it.idle_since = None;
    // A row that is above the limit with the others keeps nothing that it doesn't use.
    Some(if is_within { target } else { used }.zip(row, u64::min))
}

/// Tells the pool what it may start by. Where the rows are above the limit, nothing more is started.
fn publish_allowance<P: Platform>(
    scheduler: &Scheduler<P>,
    demand: &Demand,
    it: &Known,
    changes: &[(TeamName, Share)],
) {
    let team = &demand.team;
    let mut allowance = it.share.row(&scheduler.name);
    if let Some((_, changed)) = changes.iter().find(|(name, _)| name == team) {
        allowance = allowance.zip(changed.row(&scheduler.name), u64::min);
    }
    if !it.share.is_within(demand.cap) {
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
    known: &mut BTreeMap<TeamName, Known>,
    changes: &[(TeamName, Share)],
) {
    let mut txn = Txn {
        expect: vec![scheduler.held.guard()],
        ..Txn::default()
    };
    for (team, share) in changes {
        let key = keys::share(team);
        let revision = known.get(team).map_or(Revision::ABSENT, |it| it.revision);
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
                let it = known.entry(team.clone()).or_default();
                it.share = share.clone();
                it.revision = revision;
                scheduler.pool.borrow_mut().set_allowance(team.clone(), row);
            }
            scheduler.replan.notify_one();
        }
        Ok(Committed::Conflict(conflict)) => {
            if !scheduler.held.stands_in(&conflict) {
                scheduler.lose("its key has ended");
                return;
            }
            let now = scheduler.now();
            for item in &conflict.items {
                take(known, item, now);
            }
        }
        Err(error) => {
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "Shares not changed.");
            if !matches!(error, CallError::NotDone(_)) {
                for (team, _) in changes {
                    known.entry(team.clone()).or_default().is_unsure = true;
                }
            }
        }
    }
}
