//! Histograms and counters by team and class.
//!
//! The label sets are bounded: teams come from the catalogue, and the series of a team that leaves it are removed.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use goldcrest_types::catalogue::{Catalogue, Class};
use goldcrest_types::entity::{PrimaryMap, TeamId};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamClass {
    team: Arc<str>,
    class: Arc<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamClassOutcome {
    team: Arc<str>,
    class: Arc<str>,
    outcome: &'static str,
}

type Times = Family<TeamClass, Histogram>;

/// How a request ended: the values of the label `outcome`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndLabel {
    /// The complete answer was forwarded.
    Answered,
    /// Refused without having run.
    NotRun,
    /// Refused although the request may have run.
    Unknown,
    /// The answer broke off after its head was forwarded.
    Cut,
    /// The caller closed the connection or stream before the end.
    CallerGone,
}

impl EndLabel {
    /// All labels, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::Answered,
        Self::NotRun,
        Self::Unknown,
        Self::Cut,
        Self::CallerGone,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// The series of one team and class.
#[derive(Debug, Clone)]
pub(crate) struct Series {
    waiting: Histogram,
    running: Histogram,
    answer: Histogram,
    ends: [Counter; 5],
}

impl Series {
    pub(crate) fn waited(&self, time: Duration) {
        self.waiting.observe(time.as_secs_f64());
    }

    pub(crate) fn ran(&self, time: Duration) {
        self.running.observe(time.as_secs_f64());
    }

    pub(crate) fn ended(&self, how: EndLabel, time: Duration) {
        self.answer.observe(time.as_secs_f64());
        self.ends[how as usize].inc();
    }
}

/// The series of the catalogue in force, by team and class. A series is created at its first request.
#[derive(Debug)]
pub(crate) struct SeriesTable {
    metrics: Metrics,
    names: PrimaryMap<TeamId, Arc<str>>,
    series: PrimaryMap<TeamId, [OnceLock<Series>; 3]>,
}

impl SeriesTable {
    pub(crate) fn get(&self, team: TeamId, class: Class) -> Option<&Series> {
        let name = self.names.get(team)?;
        let cell = &self.series[team][class.index()];
        Some(cell.get_or_init(|| self.metrics.series(name, class)))
    }
}

/// The metric families that the series belong to.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    waiting: Times,
    running: Times,
    answer: Times,
    ends: Family<TeamClassOutcome, Counter>,
}

fn times() -> Times {
    // From 100 us to about 53 s.
    Family::new_with_constructor(|| Histogram::new(exponential_buckets(100e-6, 3.0, 13)))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        Self {
            waiting: times(),
            running: times(),
            answer: times(),
            ends: Family::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("goldcrest_front");
        let times = [
            (
                "waiting",
                "Time a request waited for its slot",
                &self.waiting,
            ),
            ("running", "Time a request held its slot", &self.running),
            (
                "answer",
                "Time from a request's head to its end",
                &self.answer,
            ),
        ];
        for (name, help, family) in times {
            registry.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
        registry.register("requests", "Requests by how they ended", self.ends.clone());
    }

    /// Returns the table for `cat` and removes the series of teams that only `old` has.
    pub(crate) fn table(&self, old: Option<&Catalogue>, cat: &Catalogue) -> SeriesTable {
        let mut table = SeriesTable {
            metrics: self.clone(),
            names: PrimaryMap::new(),
            series: PrimaryMap::new(),
        };
        for team in cat.teams.values() {
            table.names.push(Arc::from(team.name.as_str()));
            table.series.push(Default::default());
        }
        let removed = old.into_iter().flat_map(|old| old.teams.values());
        for team in removed.filter(|team| cat.team(team.name.as_str()).is_none()) {
            let name = Arc::from(team.name.as_str());
            for class in Class::ALL {
                self.remove(&labels(&name, class));
            }
        }
        table
    }

    fn series(&self, team: &Arc<str>, class: Class) -> Series {
        let labels = labels(team, class);
        let end = |how: EndLabel| self.ends.get_or_create_owned(&outcome(&labels, how));
        Series {
            waiting: self.waiting.get_or_create_owned(&labels),
            running: self.running.get_or_create_owned(&labels),
            answer: self.answer.get_or_create_owned(&labels),
            ends: EndLabel::ALL.map(end),
        }
    }

    fn remove(&self, labels: &TeamClass) {
        for family in [&self.waiting, &self.running, &self.answer] {
            family.remove(labels);
        }
        for how in EndLabel::ALL {
            self.ends.remove(&outcome(labels, how));
        }
    }
}

fn labels(team: &Arc<str>, class: Class) -> TeamClass {
    TeamClass {
        team: Arc::clone(team),
        class: Arc::from(class.to_string()),
    }
}

fn outcome(labels: &TeamClass, how: EndLabel) -> TeamClassOutcome {
    TeamClassOutcome {
        team: Arc::clone(&labels.team),
        class: Arc::clone(&labels.class),
        outcome: how.as_str(),
    }
}
