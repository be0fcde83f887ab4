//! Three whole entries in two data centres over a key-value service, a list of VMs and real links.
//!
//! Nothing is shared between the entries but what they tell each other: each has its own claims, session and quota.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use goldcrest_api::{EditRequest, TeamStatus};
use goldcrest_ctl::client::Client;
use goldcrest_demo::lab::{Lab, OPERATOR_SECRET, Sizes};
use goldcrest_ledger::catalogue::diff;
use goldcrest_standin::KvFault;
use goldcrest_types::catalogue::parse;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::EditId;
use tokio::time::{Instant, sleep};

use crate::AnyError;
use crate::caller::{Callers, OPEN_QUEUE, SECRET};

/// The data centre with two entries and most upstreams.
pub const LARGE: &str = "dc1";
/// The data centre with one entry.
pub const SMALL: &str = "dc2";
/// The entry that faults befall.
pub const STRUCK: &str = "entry-1";

const ENTRIES: [(&str, &str); 3] = [(STRUCK, LARGE), ("entry-2", LARGE), ("entry-3", SMALL)];
/// The entry that comes in the place of [`STRUCK`].
const NEXT: &str = "entry-4";
/// Upstreams of the first data centre; the others are in the second one. The pool's size is split evenly, so with another
/// number some would be drained.
const LARGE_UPSTREAMS: usize = 3;
/// The longest wait for something to come about.
const TIMEOUT: Duration = Duration::from_mins(2);
/// The time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// So many requests in a row must be answered before a run begins.
const PROBES: usize = 40;

/// The addresses that the balancer sends to.
pub type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

/// The entries of one run.
pub struct Site {
    lab: Lab,
    balancer: Balancer,
}

impl Site {
    /// Starts everything and waits until every entry answers requests that may run only once.
    pub async fn start(
        upstreams: &[SocketAddr],
        repeat_window: Duration,
    ) -> Result<Self, AnyError> {
        let none = Sizes {
            entries: 0,
            upstreams: 0,
            workers: 0,
        };
        let mut lab = Lab::start(&[(LARGE, none), (SMALL, none)]).await?;
        for (index, address) in upstreams.iter().enumerate() {
            let dc = if index < LARGE_UPSTREAMS {
                LARGE
            } else {
                SMALL
            };
            lab.put_upstream(&format!("up-{index}"), dc, *address)?;
        }
        let mut addresses = Vec::new();
        for (vm, dc) in ENTRIES {
            addresses.push(lab.start_entry(vm, dc).await?);
        }
        let client = Client::new(addresses[0].operator, OPERATOR_SECRET)?;
        let current = client.catalogue().await?;
        let spec = parse(&catalogue(upstreams.len(), repeat_window))
            .map_err(|found| format!("{found:?}"))?;
        let (id, changes) = (EditId::new(rand::random()), diff(&current.spec, &spec));
        client.edit(&EditRequest { id, changes }).await?;
        let site = Self {
            lab,
            balancer: Balancer::default(),
        };
        for entry in &addresses {
            wait_for_quota(&Client::new(entry.operator, OPERATOR_SECRET)?).await?;
        }
        site.balance(addresses.iter().map(|entry| entry.caller).collect());
        Ok(site)
    }

    /// What callers send to.
    pub fn addresses(&self) -> Balancer {
        Arc::clone(&self.balancer)
    }

    /// Waits until every entry answers requests that may run only once, so that homes know their keys' past.
    pub async fn settle(&self, callers: &Callers) -> Result<(), AnyError> {
        let began = Instant::now();
        let addresses = self.known();
        let (mut in_row, mut number) = (0, 0);
        while in_row < PROBES {
            if began.elapsed() > TIMEOUT {
                return Err("requests are not answered before the run: look at the log".into());
            }
            let address = addresses[number % addresses.len()];
            in_row = if callers.probe(address, number).await {
                in_row + 1
            } else {
                sleep(LOOK).await;
                0
            };
            number += 1;
        }
        Ok(())
    }

    /// Stops an entry gracefully; the balancer stops sending to it when it shows that it is not ready.
    pub async fn drain(&mut self, callers: &Callers) -> Result<(), AnyError> {
        let address = self.address(STRUCK)?;
        let balancer = Arc::clone(&self.balancer);
        let watch = async {
            while callers.is_ready(address).await {
                sleep(LOOK / 5).await;
            }
            forget(&balancer, address);
        };
        let (report, ()) = tokio::join!(self.lab.drain_entry(STRUCK), watch);
        let report = report.ok_or("the entry ended before it was drained: look at the log")?;
        if report.cut + report.connections_cut > 0 {
            return Err(format!("the drain has cut requests: {report:?}").into());
        }
        Ok(())
    }

    /// Starts a new entry in the place of one that is gone.
    pub async fn start_next(&mut self, callers: &Callers) -> Result<(), AnyError> {
        let caller = self.lab.start_entry(NEXT, LARGE).await?.caller;
        while !callers.is_ready(caller).await {
            sleep(LOOK).await;
        }
        let mut known = self.known();
        known.push(caller);
        self.balance(known);
        Ok(())
    }

    /// Ends an entry in the midst of what it does.
    pub fn kill(&mut self) -> Result<(), AnyError> {
        let address = self.address(STRUCK)?;
        self.lab.crash(STRUCK);
        forget(&self.balancer, address);
        Ok(())
    }

    /// Pauses an entry. Nobody tells the balancer.
    pub fn pause(&self, time: Duration) {
        self.lab.pause(STRUCK, time);
    }

    /// Sets the key-value service's fault for both data centres.
    pub fn set_service(&self, fault: KvFault) {
        self.lab.set_store_fault(fault);
    }

    /// Cuts the small data centre off: its entry reaches neither the service nor the others. Callers know it alone.
    pub fn cut_off(&self, time: Duration) -> Result<(), AnyError> {
        for (vm, _) in ENTRIES.iter().filter(|(_, dc)| *dc == LARGE) {
            self.lab.pause(vm, time);
        }
        self.lab.set_store_fault_in(SMALL, KvFault::Down);
        let left = self.address("entry-3")?;
        self.balance(vec![left]);
        Ok(())
    }

    /// Ends everything.
    pub async fn stop(mut self) {
        let running: Vec<_> = self.lab.entries().map(|(vm, _, _)| vm.clone()).collect();
        for vm in running {
            self.lab.crash(vm.as_str());
        }
        self.lab.shut_down().await;
    }

    fn address(&self, vm: &str) -> Result<SocketAddr, AnyError> {
        let mut entries = self.lab.entries();
        let found = entries.find(|(known, _, _)| known.as_str() == vm);
        let (_, _, addresses) = found.ok_or_else(|| format!("{vm} does not run"))?;
        Ok(addresses.caller)
    }

    fn known(&self) -> Vec<SocketAddr> {
        let known = self.balancer.lock();
        known.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn balance(&self, addresses: Vec<SocketAddr>) {
        let balancer = self.balancer.lock();
        *balancer.unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

fn forget(balancer: &Balancer, address: SocketAddr) {
    let mut known = balancer.lock().unwrap_or_else(PoisonError::into_inner);
    known.retain(|other| *other != address);
}

async fn wait_for_quota(client: &Client) -> Result<(), AnyError> {
    let began = Instant::now();
    while began.elapsed() < TIMEOUT {
        let status = client.status().await?;
        let has_some = |team: &TeamStatus| !team.usable_slots.is_zero();
        if !status.teams.is_empty() && status.teams.iter().all(has_some) {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    Err("an entry has no slots: look at the log".into())
}

/// Four queues, one for each class and an open one.
fn catalogue(upstreams: usize, repeat_window: Duration) -> String {
    let digest = KeyDigest::of(SECRET);
    let window_ms = repeat_window.as_millis();
    // No deadline may outlast the time for which a repetition is recognised.
    let deadline_max_ms = window_ms.min(30_000);
    let limits = format!(
        "limits: {{upstream_slots: 2, waiting_slots: 64, deadline_ms: 1000, deadline_max_ms: {deadline_max_ms}, repeat_window_ms: {window_ms}}}"
    );
    format!(
        "data_centres: [{{name: {LARGE}, region: west}}, {{name: {SMALL}, region: west}}]
pools: [{{name: web, kind: upstreams, min_vms: {upstreams}, max_vms: {upstreams}, max_unavailable_vms: 1}}]
teams: [{{name: desk, share: 1, upper_limit_slots: 384}}]
queues:
  - {{name: urgent, owner: desk, class: urgent, pool: web, {limits}}}
  - {{name: interactive, owner: desk, class: interactive, pool: web, {limits}}}
  - {{name: batch, owner: desk, class: batch, pool: web, {limits}}}
  - {{name: {OPEN_QUEUE}, owner: desk, class: interactive, pool: web, access: open, {limits}}}
keys: [{{name: desk-key, team: desk, digest: \"{digest}\"}}]
"
    )
}
