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
use goldcrest_types::names::TeamName;

use crate::keys;
use crate::pool::Scheduler;
use crate::ports::{CallError, Committed, Item, Platform, Put, Revision, Txn};

/// How often the rows are compared with what is used and wanted.
const CHECK_EVERY: Duration = Duration::from_millis(60);

/// A row that is larger than what is used and wanted for this long is lowered.
const IDLE: Duration = Duration::from_millis(700);

/// Rows are raised by at least this share of the limit, in percent, so that not each start needs a raise.
const RAISE_PERCENT: u64 = 8;

/// Less than this share of the limit, in percent, is not worth giving back, unless the pool uses nothing.
const KEEP_PERCENT: u64 = 5;

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
        tokio::time::sleep(CHECK_EVERY).await;
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
    let teams = teams(scheduler);
    let due: Vec<TeamName> = teams
        .iter()
        .filter(|(team, cap, _)| {
            let Some(it) = known.get(team) else {
                return false;
            };
            let is_old = it
                .read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= READ_AGAIN);
            it.is_unsure || (is_old && !it.share.is_within(*cap))
        })
        .map(|(team, ..)| team.clone())
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

/// The teams with a limit: what each may have, and what it uses and wants in this pool.
fn teams<P: Platform>(scheduler: &Scheduler<P>) -> Vec<(TeamName, Resources, Resources)> {
    let catalogue = scheduler.entry.catalogue.borrow();
    let Some(stored) = catalogue.as_ref() else {
        return Vec::new();
    };
    let pool = scheduler.pool.borrow();
    let limited = stored.catalogue.teams().iter();
    limited
        .filter(|team| team.cap != Resources::ZERO)
        .map(|team| {
            let used = pool.usage().get(&team.name).copied().unwrap_or_default();
            let short = pool.short().get(&team.name).copied().unwrap_or_default();
            (team.name.clone(), team.cap, used + short)
        })
        .collect()
}

/// Raises and lowers rows.
async fn adjust<P: Platform>(scheduler: &Scheduler<P>, known: &mut BTreeMap<TeamName, Known>) {
    let now = scheduler.now();
    let mut changes: Vec<(TeamName, Share)> = Vec::new();
    for (team, cap, wanted) in teams(scheduler) {
        let it = known.entry(team.clone()).or_default();
        if it.is_unsure {
            continue;
        }
        let row = it.share.row(&scheduler.name);
        let mut share = it.share.clone();
        let used = used(scheduler, &team);
        if !wanted.fits(&row) {
            it.idle_since = None;
            let least = cap.percent(RAISE_PERCENT);
            let raised = wanted.max(row).zip(wanted.max(row) + least, |_, more| more);
            if share.is_within(cap) && share.raise(&scheduler.name, raised, cap) {
                changes.push((team.clone(), share));
            } else {
                lower_to_use(scheduler, it, &team, used, cap, &mut share, &mut changes);
            }
        } else {
            let spare = row - wanted;
            let is_large = !spare.fits(&cap.percent(KEEP_PERCENT)) || wanted == Resources::ZERO;
            if row == Resources::ZERO || !is_large {
                it.idle_since = None;
            } else if now.saturating_duration_since(*it.idle_since.get_or_insert(now)) >= IDLE
                || !it.share.is_within(cap)
            {
                it.idle_since = None;
                let kept = if wanted == Resources::ZERO {
                    wanted
                } else {
                    wanted + cap.percent(KEEP_PERCENT)
                };
                if share.lower(&scheduler.name, kept) {
                    // What is given back must not be used from here on.
                    scheduler
                        .pool
                        .borrow_mut()
                        .set_allowance(team.clone(), share.row(&scheduler.name));
                    changes.push((team.clone(), share));
                }
            }
        }
        publish_allowance(scheduler, &team, cap, known.get(&team), &changes);
    }
    for batch in changes.chunks(TEAMS_PER_TXN) {
        write(scheduler, known, batch).await;
    }
}

fn used<P: Platform>(scheduler: &Scheduler<P>, team: &TeamName) -> Resources {
    let pool = scheduler.pool.borrow();
    pool.usage().get(team).copied().unwrap_or_default()
}

/// There is no room in the share. If its rows are above the limit, what this pool doesn't use is given back.
fn lower_to_use<P: Platform>(
    scheduler: &Scheduler<P>,
    it: &Known,
    team: &TeamName,
    used: Resources,
    cap: Resources,
    share: &mut Share,
    changes: &mut Vec<(TeamName, Share)>,
) {
    if !it.share.is_within(cap) && share.lower(&scheduler.name, used) {
        changes.push((team.clone(), share.clone()));
    }
}

/// Tells the pool what it may start by. Where the rows are above the limit, nothing more is started.
fn publish_allowance<P: Platform>(
    scheduler: &Scheduler<P>,
    team: &TeamName,
    cap: Resources,
    known: Option<&Known>,
    changes: &[(TeamName, Share)],
) {
    let Some(it) = known else { return };
    let mut allowance = it.share.row(&scheduler.name);
    if let Some((_, changed)) = changes.iter().find(|(name, _)| name == team) {
        allowance = allowance.zip(changed.row(&scheduler.name), u64::min);
    }
    if !it.share.is_within(cap) {
        allowance = allowance.zip(used(scheduler, team), u64::min);
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
                scheduler
                    .pool
                    .borrow_mut()
                    .set_allowance(team.clone(), row);
            }
            scheduler.replan.notify_one();
        }
        Ok(Committed::Conflict(conflict)) => {
            let (role, revision) = scheduler.held.guard();
            let is_held = conflict
                .items
                .iter()
                .any(|item| item.key == role && item.revision == revision);
            if !is_held {
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
