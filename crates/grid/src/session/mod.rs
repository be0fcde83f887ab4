//! The session with the store: one lease, to which this entry's keys are bound.
//!
//! The lease counts as valid for its TTL less a margin, from the sending of the last renewal that was answered, on a
//! clock that counts suspension. When a lease ends, all roles of this entry are lost, and a new lease is opened.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::entry::{Entry, Session};
use crate::ports::{CallError, LeaseId, Platform};

/// The validity of the lease without a renewal. A longer one delays the replacement of a lost holder; a shorter one
/// ends roles in short outages of the store.
const TTL: Duration = Duration::from_millis(1_600);

/// The interval between renewals.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// The timeout of a renewal and of opening a lease.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay after which a renewal without an answer is hedged by another one, while the first is still waited for: its
/// answer may be lost, or the store may be slow.
const HEDGE_AFTER: Duration = Duration::from_millis(250);

/// The most renewals in flight.
const RENEWALS_MAX: usize = 4;

/// The delay before a failed call is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(120);

/// Subtracted from the validity of a lease, for the drift between both clocks and the time to carry out a command.
const MARGIN: Duration = Duration::from_millis(300);

/// Keeps a session open. Runs until the task is aborted.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        let Some(mut session) = open(&entry).await else {
            tokio::time::sleep(RETRY_AFTER).await;
            continue;
        };
        entry.session.set(Some(session));
        log::info!(target: "store", lease = session.lease.0; "Session opened.");
        while renew(&entry, &mut session).await {
            entry.session.set(Some(session));
        }
        log::warn!(target: "store", lease = session.lease.0; "Session lost: the lease has ended.");
        entry.session.set(None);
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
            log::warn!(target: "store", error:%; "Opening a session with the store failed; trying again.");
            None
        }
    }
}

/// Waits for the renewal interval and renews the lease. Returns whether the lease is still valid, as far as is known.
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
