//! The session with the store: one lease, which this entry's keys end with.
//!
//! The lease is valid from the sending of the last answered renewal for its time less a margin, on a clock that counts
//! suspension. A lease that has ended is replaced by a new one, and every role with it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::entry::{Entry, Session};
use crate::ports::{CallError, LeaseId, Platform};

/// How long the lease lasts without a renewal. Weighs the time to replace a lost holder against short outages.
const TTL: Duration = Duration::from_millis(1_600);

/// How often the lease is renewed.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// How long a renewal or the opening of a lease may take.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);

/// A renewal without an answer is sent again after this time, while the first one is still waited for: an answer may be
/// lost, or the store be slow.
const HEDGE_AFTER: Duration = Duration::from_millis(250);

/// The most renewals that are waited for at once.
const RENEWALS_MAX: usize = 4;

/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(120);

/// Kept from the end of a lease: rates of both clocks, and the time to carry an order out.
const MARGIN: Duration = Duration::from_millis(300);

/// Keeps a session until the entry stops.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        let Some(mut session) = open(&entry).await else {
            tokio::time::sleep(RETRY_AFTER).await;
            continue;
        };
        entry.session.send_replace(Some(session));
        log::info!(target: "store", lease = session.lease.0; "Session opened.");
        while renew(&entry, &mut session).await {
            entry.session.send_replace(Some(session));
        }
        log::warn!(target: "store", lease = session.lease.0; "Session lost: the lease has ended.");
        entry.session.send_replace(None);
    }
}

fn valid_until(sent_at: Instant, ttl: Duration) -> Instant {
    sent_at + ttl.saturating_sub(MARGIN)
}

async fn open<P: Platform>(entry: &Entry<P>) -> Option<Session> {
    let sent_at = entry.now();
    entry.responsiveness.sent(sent_at);
    let result = entry.platform.open_lease(TTL, RENEW_TIMEOUT).await;
    match entry.record_call("open lease", sent_at, result) {
        Ok((lease, ttl)) => Some(Session {
            lease,
            valid_until: valid_until(sent_at, ttl),
        }),
        Err(error) => {
            log::warn!(target: "store", error:%; "No session.");
            None
        }
    }
}

/// Renews after a while; returns whether the lease still stands, as far as is known.
async fn renew<P: Platform>(entry: &Entry<P>, session: &mut Session) -> bool {
    tokio::time::sleep(RENEW_EVERY).await;
    let lease = session.lease;
    let mut renewals = FuturesUnordered::new();
    renewals.push(renew_once(entry, lease));
    loop {
        tokio::select! {
            Some((sent_at, result)) = renewals.next() => match result {
                Ok(ttl) => {
                    session.valid_until = valid_until(sent_at, ttl);
                    return true;
                }
                Err(CallError::LeaseEnded) => return false,
                Err(_) if renewals.is_empty() => {
                    tokio::time::sleep(RETRY_AFTER).await;
                    renewals.push(renew_once(entry, lease));
                }
                Err(_) => {}
            },
            () = tokio::time::sleep(HEDGE_AFTER), if renewals.len() < RENEWALS_MAX => {
                renewals.push(renew_once(entry, lease));
            }
        }
    }
}

async fn renew_once<P: Platform>(
    entry: &Entry<P>,
    lease: LeaseId,
) -> (Instant, Result<Duration, CallError>) {
    let sent_at = entry.now();
    entry.responsiveness.sent(sent_at);
    let result = entry.platform.renew_lease(lease, RENEW_TIMEOUT).await;
    (sent_at, entry.record_call("renew lease", sent_at, result))
}
