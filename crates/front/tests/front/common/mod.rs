//! Fakes for the tests of the serving path: an entry on a free port, scripted upstreams, and callers that write raw
//! bytes.

pub mod caller;
pub mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_front::{
    Front, FrontCfg, KeyFreshness, TeamGrant, TeamGrants, UpstreamSet, UpstreamSpec,
};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::clock::{Clock, ManualClock};
use goldcrest_types::units::{Revision, Slots};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The secret of the team `desk`.
pub const DESK: &str = "desk-secret";
/// The secret of the team `tours`.
pub const TOURS: &str = "tours-secret";

/// Returns a catalogue with a queue of each access and a small one. Its keys are those of `secrets`.
pub fn catalogue(revision: u64, secrets: &[(&str, &str)]) -> Arc<Catalogue> {
    let mut text = String::from(CATALOGUE);
    for (team, secret) in secrets {
        let digest = goldcrest_types::key::KeyDigest::of(secret);
        let line = format!("  - {{name: {team}-key, team: {team}, digest: \"{digest}\"}}\n");
        text.push_str(&line);
    }
    if secrets.is_empty() {
        text = text.replace("keys:\n", "");
    }
    let spec = parse(&text).unwrap_or_else(|findings| panic!("{findings:?}"));
    let cat = Catalogue::resolve(&spec, Revision::new(revision));
    Arc::new(cat.unwrap_or_else(|findings| panic!("{findings:?}")))
}

const CATALOGUE: &str = "
data_centres:
  - {name: dc1, region: west}
  - {name: dc2, region: west}
pools:
  - {name: web, kind: upstreams, max_unavailable_vms: 1}
teams:
  - {name: desk, share: 2, upper_limit_slots: 1000}
  - {name: tours, share: 1, upper_limit_slots: 1000}
queues:
  - {name: merge, owner: desk, class: interactive, pool: web, limits: {request_bytes: 4096, answer_bytes: 4096}}
  - {name: hurry, owner: desk, class: urgent, pool: web}
  - {name: slow, owner: desk, class: batch, pool: web, limits: {running_slots: 1, waiting_slots: 2}}
  - {name: public, owner: desk, class: interactive, pool: web, access: open}
keys:
";

/// An entry that serves on a free port.
pub struct Entry {
    pub front: Front,
    pub address: SocketAddr,
    pub clock: Arc<ManualClock>,
    pub stop: CancellationToken,
    pub served: tokio::task::JoinHandle<()>,
}

/// Returns settings with a drain that does not wait, and a fixed seed.
pub fn cfg() -> FrontCfg {
    FrontCfg::new("dc1".parse().expect("a name"))
        .with_drain(Duration::ZERO, Duration::ZERO)
        .with_seed(7)
}

impl Entry {
    /// Starts an entry with these upstreams, fresh keys and ample grants.
    pub async fn start(cfg: FrontCfg, upstreams: &[SocketAddr]) -> Self {
        let clock = Arc::new(ManualClock::new());
        let front = Front::new(cfg, clock.clone());
        Self::serve(front, clock, upstreams).await
    }

    /// Starts an entry as [`Entry::start`] with the settings of [`cfg`].
    pub async fn plain(upstreams: &[SocketAddr]) -> Self {
        Self::start(cfg(), upstreams).await
    }

    /// Starts an entry as [`Entry::start`] on a given front.
    pub async fn serve(front: Front, clock: Arc<ManualClock>, upstreams: &[SocketAddr]) -> Self {
        front.set_catalogue(catalogue(1, &[("desk", DESK), ("tours", TOURS)]));
        front.set_upstreams(set(upstreams, false));
        front.set_grants(grants(1_000, 0, None));
        let until = Some(clock.now() + Duration::from_hours(1));
        front.set_key_freshness(KeyFreshness { until });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let stop = CancellationToken::new();
        let (serving, until) = (front.clone(), stop.clone());
        let served = tokio::spawn(async move {
            serving
                .serve(listener, until)
                .await
                .expect("the listener serves");
        });
        Self {
            front,
            address,
            clock,
            stop,
            served,
        }
    }

    /// Waits until `holds` returns true for the entry's status.
    pub async fn until(&self, holds: impl Fn(&goldcrest_front::FrontStatus) -> bool) {
        while !holds(&self.front.status()) {
            tokio::task::yield_now().await;
        }
    }
}

/// Returns a set of these upstreams, all in the entry's data centre.
pub fn set(addresses: &[SocketAddr], leaving: bool) -> UpstreamSet {
    let spec = |(index, address): (usize, &SocketAddr)| UpstreamSpec {
        vm: format!("vm{index}").parse().expect("a name"),
        pool: "web".parse().expect("a name"),
        dc: "dc1".parse().expect("a name"),
        address: *address,
        leaving,
    };
    let upstreams = addresses.iter().enumerate().map(spec).collect();
    UpstreamSet { upstreams }
}

/// Returns the same grant for both teams.
pub fn grants(floor: u32, lent: u32, lent_until: Option<Instant>) -> TeamGrants {
    let grant = |team: &str| TeamGrant {
        team: team.parse().expect("a name"),
        floor: Slots::new(floor),
        lent: Slots::new(lent),
    };
    TeamGrants {
        teams: vec![grant("desk"), grant("tours")],
        lent_until,
    }
}
