//! Adjusts this pool's rows of the teams' shares.
//!
//! A row is raised in the store before anything is started on its account, and lowered here before it is lowered in the
//! store. So the resources that a team's runs use never exceed what the store allows, whichever answer is lost.
//! Resources that a pool has not used for a while are released, as another pool may need them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::share::{Share, WantedTasks};
use goldcrest_types::names::{PoolName, TeamName};

use crate::keys;
use crate::pool::Scheduler;
use crate::ports::{CallError, Committed, Item, Platform, Put, Revision, Txn};

/// The maximum time between two adjustments of the rows. A shortfall triggers one at once.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(150);

/// The minimum time between two adjustments.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(8);

/// How long a row must exceed the usage and the shortfall before it is lowered.
const IDLE_GRACE: Duration = Duration::from_millis(700);

/// The same while the team's limit is nearly used up.
const IDLE_GRACE_CONTENDED: Duration = Duration::from_millis(150);

/// A limit is nearly used up if less than this percentage of it is free.
const CONTENDED_PERCENT: u64 = 15;

/// The headroom of a row beyond the usage, in percent of the limit, so that not every start needs a raise.
const RESERVE_PERCENT: u64 = 4;

/// The interval at which a share is read again in which this pool has a shortfall.
const REREAD_INTERVAL: Duration = Duration::from_millis(300);

/// The most teams in one transaction. Each takes two rows of it: the expected revision and the write.
const TEAMS_PER_TXN: usize = 15;

/// A team's share as last read or written, and this pool's state of adjusting it.
#[derive(Debug, Default)]
struct CachedShare {
    share: Share,
    revision: Revision,
    /// Since when the row has exceeded the usage and the shortfall.
    idle_since: Option<Instant>,
    /// Whether the share must be read before it is used: a write of it had no answer.
    needs_reread: bool,
    /// The pool's row in a write of `revision` that had no answer. It may be carried out as long as the share has this
    /// revision.
    pending_row: Option<Resources>,
    read_at: Option<Instant>,
}

impl CachedShare {
    /// What the pool may use: its row, or less if an unanswered write may still lower it.
    fn usable_row(&self, pool: &PoolName) -> Resources {
        let row = self.share.row(pool);
        self.pending_row
            .map_or(row, |pending| pending.zip(row, u64::min))
    }

    /// Applies a share as it is stored at a revision.
    fn set(&mut self, share: Share, revision: Revision) {
        if revision != self.revision {
            // The unanswered write expected the revision before.
            self.pending_row = None;
        }
        self.share = share;
        self.revision = revision;
        self.needs_reread = false;
    }
}

/// Adjusts the rows while the role is held.
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
        // On a timeout, adjusts the rows even without a shortfall.
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
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "Listing the teams' shares failed; trying again.");
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
            cached.set(share, item.revision);
            cached.read_at = Some(now);
        }
        Err(error) => log::error!(target: "quota", error:%; "Ignoring a malformed team share."),
    }
}

/// Reads those shares again whose stored state is unknown, and periodically those with a shortfall or above the limit.
async fn refresh<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
) {
    let now = scheduler.now();
    let due: Vec<TeamName> = demands(scheduler, cache)
        .into_iter()
        .filter(|demand| {
            let Some(cached) = cache.get(&demand.team) else {
                return false;
            };
            let is_old = cached
                .read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= REREAD_INTERVAL);
            let has_shortfall = !demand.shortfall.is_empty();
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
                log::warn!(target: "quota", team:% = team, error:%; "Reading a team's share failed.");
            }
        }
    }
}

/// A team with a limit, its usage of this pool, known and unknown, and what it could start in it beyond its row.
#[derive(Debug)]
struct Demand {
    team: TeamName,
    cap: Resources,
    used: Resources,
    shortfall: Vec<WantedTasks>,
}

fn demands<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &BTreeMap<TeamName, CachedShare>,
) -> Vec<Demand> {
    let pool = scheduler.pool.borrow();
    let row = |team| {
        let cached = cache.get(team);
        cached.map_or(Resources::ZERO, |cached| cached.usable_row(&scheduler.name))
    };
    pool.caps()
        .filter(|(_, cap)| *cap != Resources::ZERO)
        .map(|(team, cap)| Demand {
            team: team.clone(),
            cap,
            used: pool.usage_within(team, row(team)),
            shortfall: pool.shortfall().get(team).cloned().unwrap_or_default(),
        })
        .collect()
}

/// Raises and lowers this pool's rows, and passes the allowances to the pool.
async fn adjust<P: Platform>(
    scheduler: &Scheduler<P>,
    cache: &mut BTreeMap<TeamName, CachedShare>,
) {
    let now = scheduler.now();
    let mut changes: Vec<(TeamName, Share)> = Vec::new();
    for demand in demands(scheduler, cache) {
        let cached = cache.entry(demand.team.clone()).or_default();
        if cached.needs_reread {
            continue;
        }
        if let Some(row) = next_row(&scheduler.name, cached, &demand, now) {
            let mut share = cached.share.clone();
            // A write of the same row settles an unanswered one.
            if share.set(&scheduler.name, row) || cached.pending_row.is_some() {
                changes.push((demand.team.clone(), share));
            }
        }
        publish_allowance(scheduler, &demand, cached, &changes);
    }
    for batch in changes.chunks(TEAMS_PER_TXN) {
        write(scheduler, cache, batch).await;
    }
}

/// The new value of the pool's row, or `None` if the row should not change now.
fn next_row(
    pool: &PoolName,
    cached: &mut CachedShare,
    demand: &Demand,
    now: Instant,
) -> Option<Resources> {
    let row = cached.usable_row(pool);
    let reserve = demand.cap.percent(RESERVE_PERCENT);
    let (used, cap) = (demand.used, demand.cap);
    let target = cached
        .share
        .target(pool, used, &demand.shortfall, reserve, cap);
    let is_within = cached.share.is_within(cap);
    if !target.fits(&row) && is_within {
        cached.idle_since = None;
        // If the whole shortfall is covered, the row is not lowered in any kind of resource.
        let wanted = demand.shortfall.iter().map(WantedTasks::total);
        let has_all = wanted.fold(used, |sum, total| sum + total).fits(&target);
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
    // While the rows together exceed the limit, the row keeps no headroom.
    Some(if is_within { target } else { used }.zip(row, u64::min))
}

/// Passes to the pool how much the team may use in it: the row, or what is in use while the rows together exceed the
/// limit, so that nothing more is started.
fn publish_allowance<P: Platform>(
    scheduler: &Scheduler<P>,
    demand: &Demand,
    cached: &CachedShare,
    changes: &[(TeamName, Share)],
) {
    let team = &demand.team;
    let mut allowance = cached.usable_row(&scheduler.name);
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
        txn.puts.push(Put {
            key,
            value: keys::encode(share),
            lease: None,
        });
    }
    match scheduler.entry.commit(&txn).await {
        Ok(Committed::Done(revision)) => {
            for (team, share) in changes {
                let row = share.row(&scheduler.name);
                log::info!(target: "quota", team:% = team, pool:% = scheduler.name, row:% = row, total:% = share.total(); "Row of a team's share changed.");
                let cached = cache.entry(team.clone()).or_default();
                cached.set(share.clone(), revision);
                scheduler.pool.borrow_mut().set_allowance(team.clone(), row);
            }
            scheduler.replan.notify_one();
        }
        Ok(Committed::Conflict(conflict)) => {
            if !scheduler.held.is_held_in(&conflict) {
                scheduler.step_down("the role's key was removed or replaced");
                return;
            }
            let now = scheduler.now();
            for item in &conflict.items {
                ingest(cache, item, now);
            }
        }
        Err(error) => {
            log::warn!(target: "quota", pool:% = scheduler.name, error:%; "Writing the teams' shares failed.");
            if !matches!(error, CallError::NotDone(_)) {
                for (team, share) in changes {
                    let cached = cache.entry(team.clone()).or_default();
                    let row = share.row(&scheduler.name);
                    cached.pending_row =
                        Some(cached.usable_row(&scheduler.name).zip(row, u64::min));
                    cached.needs_reread = true;
                }
            }
        }
    }
}
