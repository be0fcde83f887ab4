//! The session with the store: one lease, which this entry's keys end with.
//!
//! The lease is valid from the sending of the last answered renewal for its time less a margin, on a clock that counts
//! suspension. A lease that has ended is replaced by a new one, and every role with it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::entry::{Entry, Session};
use crate::ports::{CallError, Platform};

/// How long the lease lasts without a renewal. Weighs the time to replace a lost holder against short outages.
const TTL: Duration = Duration::from_millis(2_200);

/// How often the lease is renewed.
const RENEW_EVERY: Duration = Duration::from_millis(550);

/// How long a renewal may take.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

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
    let result = entry.platform.open_lease(TTL, RENEW_TIMEOUT).await;
    match entry.note("open lease", sent_at, result) {
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
    loop {
        let sent_at = entry.now();
        let result = entry
            .platform
            .renew_lease(session.lease, RENEW_TIMEOUT)
            .await;
        match entry.note("renew lease", sent_at, result) {
            Ok(ttl) => {
                session.valid_until = valid_until(sent_at, ttl);
                return true;
            }
            Err(CallError::LeaseEnded) => return false,
            Err(_) => tokio::time::sleep(RETRY_AFTER).await,
        }
    }
}
