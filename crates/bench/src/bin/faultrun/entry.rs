//! Two entries that share their claims.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcrest_front::{
    Front, FrontCfg, KeyFreshness, LocalClaims, TeamGrant, TeamGrants, UpstreamSet, UpstreamSpec,
};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::clock::SystemClock;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::units::{Revision, Slots};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::AnyError;
use crate::caller::SECRET;

/// The bound on a drain.
const DRAIN_MAX: Duration = Duration::from_secs(10);

/// The addresses that the balancer sends to.
pub type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

struct Entry {
    front: Front,
    address: SocketAddr,
    stop: CancellationToken,
    served: JoinHandle<()>,
    runtime: Option<tokio::runtime::Runtime>,
}

/// The entries of one scenario.
pub struct Entries {
    running: Vec<Entry>,
    upstreams: Vec<SocketAddr>,
    claims: Arc<LocalClaims>,
    balancer: Balancer,
}

/// Keys that are known to be granted for longer than the run.
pub fn fresh() -> KeyFreshness {
    let until = Some(Instant::now() + Duration::from_hours(1));
    KeyFreshness { until }
}

impl Entries {
    /// Starts two entries.
    pub fn start(upstreams: &[SocketAddr]) -> Result<Self, AnyError> {
        let mut entries = Self {
            running: Vec::new(),
            upstreams: upstreams.to_vec(),
            claims: Arc::new(LocalClaims::new(Arc::new(SystemClock))),
            balancer: Balancer::default(),
        };
        for _ in 0..2 {
            let entry = entries.entry()?;
            entries.running.push(entry);
        }
        entries.balance();
        Ok(entries)
    }

    /// What callers send to.
    pub fn addresses(&self) -> Balancer {
        Arc::clone(&self.balancer)
    }

    /// Sets the freshness of keys at all entries.
    pub fn set_freshness(&self, freshness: KeyFreshness) {
        for entry in &self.running {
            entry.front.set_key_freshness(freshness);
        }
    }

    /// Stops an entry gracefully; the balancer stops sending to it when it shows that it is not ready.
    pub async fn drain(&mut self, index: usize) -> Result<(), AnyError> {
        let front = self.running[index].front.clone();
        let drain = tokio::spawn(async move { front.drain(DRAIN_MAX).await });
        while self.running[index].front.is_ready() {
            tokio::task::yield_now().await;
        }
        self.balance();
        let report = drain.await?;
        if report.cut + report.connections_cut > 0 {
            return Err(format!("the drain has cut requests: {report:?}").into());
        }
        Ok(())
    }

    /// Puts a new entry in the place of one that was stopped.
    pub fn restart(&mut self, index: usize) -> Result<(), AnyError> {
        let entry = self.entry()?;
        let mut old = std::mem::replace(&mut self.running[index], entry);
        if let Some(runtime) = old.runtime.take() {
            runtime.shutdown_background();
        }
        self.balance();
        Ok(())
    }

    /// Ends an entry in the midst of what it does.
    pub fn kill(&mut self, index: usize) {
        if let Some(runtime) = self.running[index].runtime.take() {
            runtime.shutdown_background();
        }
        let address = self.running[index].address;
        let mut balancer = self.balancer.lock().unwrap_or_else(PoisonError::into_inner);
        balancer.retain(|known| *known != address);
    }

    /// Ends all entries.
    pub fn stop(self) {
        for mut entry in self.running {
            entry.stop.cancel();
            entry.served.abort();
            if let Some(runtime) = entry.runtime.take() {
                runtime.shutdown_background();
            }
        }
    }

    fn balance(&self) {
        let ready = self.running.iter().filter(|entry| entry.front.is_ready());
        let mut balancer = self.balancer.lock().unwrap_or_else(PoisonError::into_inner);
        *balancer = ready.map(|entry| entry.address).collect();
    }

    fn entry(&self) -> Result<Entry, AnyError> {
        let settle = Duration::from_millis(100);
        let cfg = FrontCfg::new("dc1".parse()?).with_drain(settle, settle);
        let front = Front::new(cfg, Arc::new(SystemClock)).with_claims(Arc::clone(&self.claims));
        front.set_catalogue(catalogue()?);
        front.set_grants(TeamGrants {
            teams: vec![TeamGrant {
                team: "desk".parse()?,
                floor: Slots::new(64),
                lent: Slots::ZERO,
            }],
            lent_until: None,
        });
        front.set_key_freshness(fresh());
        front.set_upstreams(self.set()?);
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let (serving, until) = (front.clone(), stop.clone());
        // An entry has a runtime of its own, so that it can be killed with everything it has open.
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build()?;
        let served = runtime.spawn(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                serving.serve(listener, until).await.ok();
            }
        });
        Ok(Entry {
            front,
            address,
            stop,
            served,
            runtime: Some(runtime),
        })
    }

    fn set(&self) -> Result<UpstreamSet, AnyError> {
        let spec = |(index, address): (usize, &SocketAddr)| {
            Ok::<_, AnyError>(UpstreamSpec {
                vm: format!("vm{index}").parse()?,
                pool: "web".parse()?,
                dc: "dc1".parse()?,
                address: *address,
                leaving: false,
            })
        };
        let upstreams = self.upstreams.iter().enumerate().map(spec);
        let upstreams = upstreams.collect::<Result<_, _>>()?;
        Ok(UpstreamSet { upstreams })
    }
}

/// Three queues, one for each class, with two requests at a time on each upstream.
fn catalogue() -> Result<Arc<Catalogue>, AnyError> {
    let digest = KeyDigest::of(SECRET);
    let limits = "limits: {upstream_slots: 2, waiting_slots: 64, deadline_ms: 1000}";
    let text = format!(
        "data_centres: [{{name: dc1, region: west}}]
pools: [{{name: web, kind: upstreams, max_unavailable_vms: 1}}]
teams: [{{name: desk, share: 1, upper_limit_slots: 128}}]
queues:
  - {{name: urgent, owner: desk, class: urgent, pool: web, {limits}}}
  - {{name: interactive, owner: desk, class: interactive, pool: web, {limits}}}
  - {{name: batch, owner: desk, class: batch, pool: web, {limits}}}
keys: [{{name: desk-key, team: desk, digest: \"{digest}\"}}]
"
    );
    let spec = parse(&text).map_err(|findings| format!("{findings:?}"))?;
    let cat = Catalogue::resolve(&spec, Revision::new(1));
    Ok(Arc::new(cat.map_err(|findings| format!("{findings:?}"))?))
}
