//! The operators' catalogue: queues, pools and teams.
//!
//! A catalogue is built whole from one version and never changes. A call finds its queue by host and the longest
//! matching prefix of its path, and its team by its key.

use std::collections::HashMap;
use std::time::Duration;

use goldcrest_types::names::{PoolName, QueueName, TeamName};

use crate::id::RouteId;
use crate::policy::AcceptedPolicy;
use crate::query_times::QueryTimes;
use crate::resources::Resources;
use crate::spec::JobRecord;
use crate::worker::millis;

/// The longest latency objective: a century. Multiples of longer times could overflow.
const OBJECTIVE_MAX: Duration = Duration::from_hours(24 * 365 * 100);

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// The queue's name.
    pub name: QueueName,
    /// The host name in its calls.
    pub host: Box<str>,
    /// The prefix of the paths of its calls.
    pub prefix: Box<str>,
    /// The pool whose workers run its jobs.
    pub pool: PoolName,
    /// Whether calls need no key.
    pub is_open: bool,
    /// The priority of its jobs. Lower numbers are placed first.
    pub priority: u32,
    /// The number of failures of a task that fails its job.
    pub attempts_max: u32,
    /// The latency objective, as a multiple of a job's longest chain, in thousandths.
    pub stretch_milli: u64,
    /// A constant part of the latency objective.
    pub target_latency: Duration,
    /// The longest time that a call to this queue may take.
    pub timeout: Duration,
    /// The times of the external service whose permits placement needs; `None` if placement needs no permits.
    pub permit_queries: Option<QueryTimes>,
}

impl Queue {
    /// What identifies the queue to its submitters.
    #[must_use]
    pub fn route(&self) -> RouteId {
        RouteId::new(&self.host, &self.prefix)
    }

    /// The time from submission to completion that callers expect of a job with this longest chain.
    #[must_use]
    pub fn objective(&self, longest_chain: Duration) -> Duration {
        objective(longest_chain, self.stretch_milli, self.target_latency)
    }
}

/// The time from submission to completion that callers expect of a job with this longest chain.
pub(crate) fn objective(
    longest_chain: Duration,
    stretch_milli: u64,
    target_latency: Duration,
) -> Duration {
    Duration::from_millis(millis(longest_chain).saturating_mul(stretch_milli) / 1_000)
        .saturating_add(target_latency)
        .min(OBJECTIVE_MAX)
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSpec {
    /// The pool's name.
    pub name: PoolName,
    /// Whether its workers refuse tasks that don't fit into their free capacity.
    pub has_admission_control: bool,
    /// Whether it is the spare pool, whose VMs are off and cost nothing.
    pub is_spare: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// Its relative share when all capacity is in use.
    pub weight: u64,
    /// The most that it may have running. 0 of a kind means no limit.
    pub cap: Resources,
}

/// Limits on the calls to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the catalogue.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// The operators' number of this version.
    pub version: u64,
    /// The limits on calls.
    pub limits: CallLimits,
    queues: Vec<Queue>,
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_name: HashMap<QueueName, usize>,
    by_route: HashMap<RouteId, usize>,
    pools: Vec<PoolSpec>,
    teams: Vec<Team>,
    keys: HashMap<Box<str>, usize>,
    has_permits: bool,
}

impl Catalogue {
    /// Builds a version from its parts. Each team comes with its keys.
    #[must_use]
    pub fn new(
        version: u64,
        queues: Vec<Queue>,
        pools: Vec<PoolSpec>,
        teams: Vec<(Team, Vec<Box<str>>)>,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        let mut by_name = HashMap::new();
        let mut by_route = HashMap::new();
        for (at, queue) in queues.iter().enumerate() {
            by_host.entry(queue.host.clone()).or_default().push(at);
            by_name.insert(queue.name.clone(), at);
            by_route.insert(queue.route(), at);
        }
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|at| std::cmp::Reverse(queues[*at].prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut without_keys = Vec::with_capacity(teams.len());
        for (at, (team, of_team)) in teams.into_iter().enumerate() {
            keys.extend(of_team.into_iter().map(|key| (key, at)));
            without_keys.push(team);
        }
        let has_permits = queues.iter().any(|queue| queue.permit_queries.is_some());
        Self {
            has_permits,
            version,
            limits: CallLimits::default(),
            queues,
            by_host,
            by_name,
            by_route,
            pools,
            teams: without_keys,
            keys,
        }
    }

    /// Sets the limits on calls.
    #[must_use]
    pub fn with_limits(mut self, limits: CallLimits) -> Self {
        self.limits = limits;
        self
    }

    /// The queue of a call, and the rest of the path after the queue's prefix.
    #[must_use]
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.by_host.get(host)?.iter().find_map(|at| {
            let queue = &self.queues[*at];
            path.strip_prefix(&*queue.prefix).map(|rest| (queue, rest))
        })
    }

    /// The queue with this name.
    #[must_use]
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.by_name.get(name).map(|at| &self.queues[*at])
    }

    /// The present queue of a job: the one with the host name and prefix that the job was accepted under, whatever its name is
    /// now, or else the one with the name of the job's queue.
    #[must_use]
    pub fn queue_of(&self, record: &JobRecord) -> Option<&Queue> {
        let by_route = record.route.and_then(|route| self.by_route.get(&route));
        by_route
            .map(|at| &self.queues[*at])
            .or_else(|| self.queue(&record.queue))
    }

    /// Whether any queue needs placement permits.
    #[must_use]
    pub fn has_permits(&self) -> bool {
        self.has_permits
    }

    /// The policy for a job whose record has none. `None` if its queue is not in this version.
    #[must_use]
    pub fn policy_of(&self, record: &JobRecord) -> Option<AcceptedPolicy> {
        let team = record.team.as_ref().and_then(|team| self.team(team));
        self.queue_of(record)
            .map(|queue| AcceptedPolicy::new(queue, team))
    }

    /// All queues.
    #[must_use]
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }

    /// All pools.
    #[must_use]
    pub fn pools(&self) -> &[PoolSpec] {
        &self.pools
    }

    /// The pool with this name.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// All teams.
    #[must_use]
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// The team with this name.
    #[must_use]
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// The team that a key belongs to.
    #[must_use]
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.keys.get(key).map(|at| &self.teams[*at])
    }
}
