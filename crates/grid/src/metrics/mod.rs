//! Counters and latency histograms of an entry.
//!
//! Label values come from the catalogue or from fixed sets, so callers can't add series. At most [`SERIES_MAX`] pairs
//! of team and queue have series of their own; the others share the series `other`.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// The most pairs of team and queue that have series of their own.
const SERIES_MAX: usize = 500;

/// The label of pairs of team and queue without series of their own.
const OTHER: &str = "other";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct JobLabels {
    team: Box<str>,
    queue: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabels {
    pool: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    pool: Box<str>,
    how: &'static str,
}

fn seconds() -> Histogram {
    // 1 ms to about 65 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// The metrics of an entry, with the registry that exports them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    store: Family<CallLabels, Counter>,
    store_seconds: Histogram,
    accept: Family<JobLabels, Histogram>,
    wait: Family<JobLabels, Histogram>,
    completion: Family<JobLabels, Histogram>,
    ends: Family<EndLabels, Counter>,
    suspect_losses: Family<JobLabels, Counter>,
    given_up: Family<JobLabels, Counter>,
    open_jobs: Family<PoolLabels, Gauge>,
    double_runs: Family<PoolLabels, Counter>,
    roles: Gauge,
    catalogue_version: Gauge,
    cordoned_dcs: Gauge,
    series: RefCell<HashSet<JobLabels>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("goldcrest"),
            calls: Family::default(),
            store: Family::default(),
            store_seconds: seconds(),
            accept: Family::new_with_constructor(seconds),
            wait: Family::new_with_constructor(seconds),
            completion: Family::new_with_constructor(seconds),
            ends: Family::default(),
            suspect_losses: Family::default(),
            given_up: Family::default(),
            open_jobs: Family::default(),
            double_runs: Family::default(),
            roles: Gauge::default(),
            catalogue_version: Gauge::default(),
            cordoned_dcs: Gauge::default(),
            series: RefCell::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "calls",
            "Calls of submitters by outcome",
            self.calls.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by outcome",
            self.store.clone(),
        );
        registry.register_with_unit(
            "store_call",
            "Time of calls to the store",
            Unit::Seconds,
            self.store_seconds.clone(),
        );
        registry.register_with_unit(
            "accept",
            "Time to accept a job",
            Unit::Seconds,
            self.accept.clone(),
        );
        registry.register_with_unit(
            "wait",
            "Time from accepting a job to its first start",
            Unit::Seconds,
            self.wait.clone(),
        );
        registry.register_with_unit(
            "completion",
            "Time from accepting a job to its end",
            Unit::Seconds,
            self.completion.clone(),
        );
        registry.register("run_ends", "Ends of runs", self.ends.clone());
        registry.register(
            "suspect_losses",
            "Runs that had just started when their worker was lost",
            self.suspect_losses.clone(),
        );
        registry.register(
            "jobs_given_up",
            "Jobs given up because a task crashes its workers",
            self.given_up.clone(),
        );
        registry.register("open_jobs", "Open jobs", self.open_jobs.clone());
        registry.register(
            "double_runs",
            "Runs found on a worker while their task may be executing elsewhere",
            self.double_runs.clone(),
        );
        registry.register("roles", "Roles held", self.roles.clone());
        registry.register(
            "catalogue_version",
            "Version of the catalogue in force",
            self.catalogue_version.clone(),
        );
        registry.register(
            "cordoned_data_centres",
            "Data centres in which no task is started",
            self.cordoned_dcs.clone(),
        );
    }

    /// Counts a call of a submitter by its name and outcome.
    pub fn call(&self, call: &'static str, outcome: &'static str) {
        self.calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts a call to the store by its name and outcome, and observes its duration.
    pub fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.store
            .get_or_create(&CallLabels { call, outcome })
            .inc();
        self.store_seconds.observe(took.as_secs_f64());
    }

    fn labels(&self, team: Option<&str>, queue: &str) -> JobLabels {
        let labels = JobLabels {
            team: team.unwrap_or("none").into(),
            queue: queue.into(),
        };
        let mut series = self.series.borrow_mut();
        if series.contains(&labels) {
            return labels;
        }
        if series.len() >= SERIES_MAX {
            return JobLabels {
                team: OTHER.into(),
                queue: OTHER.into(),
            };
        }
        series.insert(labels.clone());
        labels
    }

    /// Observes the time that accepting a job took.
    pub fn accepted(&self, team: Option<&str>, queue: &str, took: Duration) {
        self.accept
            .get_or_create(&self.labels(team, queue))
            .observe(took.as_secs_f64());
    }

    /// Observes the time from accepting a job to the start of its first task.
    pub fn started(&self, team: Option<&str>, queue: &str, waited: Duration) {
        self.wait
            .get_or_create(&self.labels(team, queue))
            .observe(waited.as_secs_f64());
    }

    /// Observes the time from accepting a job to its end.
    pub fn ended(&self, team: Option<&str>, queue: &str, took: Duration) {
        self.completion
            .get_or_create(&self.labels(team, queue))
            .observe(took.as_secs_f64());
    }

    /// Counts a run that had just started when its worker was lost.
    pub fn suspect_loss(&self, team: Option<&str>, queue: &str) {
        self.suspect_losses
            .get_or_create(&self.labels(team, queue))
            .inc();
    }

    /// Counts a job that was given up because a task of it crashes its workers.
    pub fn job_given_up(&self, team: Option<&str>, queue: &str) {
        self.given_up.get_or_create(&self.labels(team, queue)).inc();
    }

    /// Counts the end of a run.
    pub fn run_ended(&self, pool: &str, how: &'static str) {
        let pool = pool.into();
        self.ends.get_or_create(&EndLabels { pool, how }).inc();
    }

    /// Counts a run that was found on a worker while its task may be executing elsewhere.
    pub fn double_run(&self, pool: &str) {
        let pool = pool.into();
        self.double_runs.get_or_create(&PoolLabels { pool }).inc();
    }

    /// Sets the number of open jobs of a pool.
    pub fn set_open_jobs(&self, pool: &str, jobs: usize) {
        let pool = pool.into();
        self.open_jobs
            .get_or_create(&PoolLabels { pool })
            .set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// Sets the number of roles that this entry holds.
    pub fn set_roles(&self, roles: usize) {
        self.roles.set(i64::try_from(roles).unwrap_or(i64::MAX));
    }

    /// Sets the version of the catalogue in force.
    pub fn set_catalogue_version(&self, version: u64) {
        self.catalogue_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the number of cordoned data centres.
    pub fn set_cordoned_dcs(&self, dcs: usize) {
        self.cordoned_dcs
            .set(i64::try_from(dcs).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the text format for scraping.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let is_written = encode(&mut text, &self.registry).is_ok();
        debug_assert!(is_written);
        text
    }
}
