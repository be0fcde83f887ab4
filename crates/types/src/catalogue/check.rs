//! The rules of the catalogue that concern several records or fields.
//!
//! [`check`] checks the whole catalogue and reports every finding, each with its section, its record and the remedy.

use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;

use super::spec::{CatalogueSpec, PoolKind, QueueSpec, REPEAT_WINDOW_MAX_MS, REPEAT_WINDOW_MIN_MS};
use crate::names::{PoolName, TeamName};

/// A top-level field of the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Section {
    /// The document as a whole.
    Document,
    /// `data_centres`.
    DataCentres,
    /// `pools`.
    Pools,
    /// `teams`.
    Teams,
    /// `queues`.
    Queues,
    /// `keys`.
    Keys,
    /// `operators`.
    Operators,
    /// `weights`.
    Weights,
    /// `maintenance`.
    Maintenance,
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Document => "document",
            Self::DataCentres => "data_centres",
            Self::Pools => "pools",
            Self::Teams => "teams",
            Self::Queues => "queues",
            Self::Keys => "keys",
            Self::Operators => "operators",
            Self::Weights => "weights",
            Self::Maintenance => "maintenance",
        })
    }
}

/// One error in a catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The section with the error.
    pub section: Section,
    /// The index of the record in its section, from 0. It is 0 for a section that is not a list, and for a finding that
    /// was added by [`Findings::push_at`].
    pub index: usize,
    /// The line in the YAML text, from 1; absent if the catalogue was not read from YAML.
    pub line: Option<u64>,
    /// The error and its remedy.
    pub message: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.section, self.message),
            None => write!(f, "{}[{}]: {}", self.section, self.index, self.message),
        }
    }
}

/// All errors of a catalogue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    found: Vec<Finding>,
}

impl Findings {
    /// Returns an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding about the record at `index`, whose line is not known yet.
    pub fn push(&mut self, section: Section, index: usize, message: impl Into<Box<str>>) {
        self.found.push(Finding {
            section,
            index,
            line: None,
            message: message.into(),
        });
    }

    /// Adds a finding at a known line.
    pub fn push_at(&mut self, section: Section, line: u64, message: impl Into<Box<str>>) {
        self.found.push(Finding {
            section,
            index: 0,
            line: Some(line),
            message: message.into(),
        });
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns the number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.found.len()
    }

    /// Returns the findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.found.iter()
    }

    /// Sets the line of each finding that has none to the one that `line_of` returns for its record, and sorts the
    /// findings by line.
    pub fn locate(&mut self, line_of: impl Fn(Section, usize) -> Option<u64>) {
        for finding in &mut self.found {
            finding.line = finding
                .line
                .or_else(|| line_of(finding.section, finding.index));
        }
        self.found.sort_by_key(|finding| finding.line);
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.found {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// The sections with records that could not be decoded. References into these sections are not checked.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnreadSections {
    /// Some teams could not be decoded.
    pub teams: bool,
    /// Some pools could not be decoded.
    pub pools: bool,
    /// Some data centres could not be decoded.
    pub data_centres: bool,
}

/// Returns all findings about `spec`.
#[must_use]
pub fn check(spec: &CatalogueSpec) -> Findings {
    check_readable(spec, UnreadSections::default())
}

/// Returns all findings about the decoded part of a catalogue.
#[must_use]
pub fn check_readable(spec: &CatalogueSpec, unread: UnreadSections) -> Findings {
    let mut out = Findings::new();
    check_data_centres(spec, unread, &mut out);
    check_pools(spec, &mut out);
    check_teams(spec, &mut out);
    check_queues(spec, unread, &mut out);
    check_keys(spec, unread, &mut out);
    check_maintenance(spec, &mut out);
    out
}

fn check_unique<'a, N: Hash + Eq + fmt::Display + 'a>(
    section: Section,
    names: impl Iterator<Item = &'a N>,
    out: &mut Findings,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let message = format!("'{name}' stands twice: rename or remove one of them");
            out.push(section, index, message);
        }
    }
}

fn check_data_centres(spec: &CatalogueSpec, unread: UnreadSections, out: &mut Findings) {
    if spec.data_centres.is_empty() && !unread.data_centres {
        out.push(
            Section::Document,
            0,
            "there is no data centre: list at least one under data_centres",
        );
    }
    let names = spec.data_centres.iter().map(|dc| &dc.name);
    check_unique(Section::DataCentres, names, out);
}

fn check_pools(spec: &CatalogueSpec, out: &mut Findings) {
    check_unique(Section::Pools, spec.pools.iter().map(|p| &p.name), out);
    for (index, pool) in spec.pools.iter().enumerate() {
        if pool.min_vms > pool.max_vms {
            let message = format!(
                "pool '{}': min_vms {} is above max_vms {}: lower the one or raise the other",
                pool.name, pool.min_vms, pool.max_vms
            );
            out.push(Section::Pools, index, message);
        }
        if pool.kind == PoolKind::Spare && !pool.vm_slots.is_zero() {
            let message = format!(
                "pool '{}': vm_slots {} has no meaning for a spare pool, which does no work: remove it",
                pool.name, pool.vm_slots
            );
            out.push(Section::Pools, index, message);
        }
        if pool.max_unavailable_vms.is_zero() && spec.maintenance.enabled {
            let message = format!(
                "pool '{}': max_unavailable_vms 0 lets no VM be maintained: set it to 1 or more, or set maintenance.enabled to false",
                pool.name
            );
            out.push(Section::Pools, index, message);
        }
    }
}

fn check_teams(spec: &CatalogueSpec, out: &mut Findings) {
    check_unique(Section::Teams, spec.teams.iter().map(|t| &t.name), out);
    for (index, team) in spec.teams.iter().enumerate() {
        if team.share.is_zero() {
            let message = format!(
                "team '{}': share 0 would starve it when the fleet is full: set it to 1 or more",
                team.name
            );
            out.push(Section::Teams, index, message);
        }
    }
}

fn check_queues(spec: &CatalogueSpec, unread: UnreadSections, out: &mut Findings) {
    check_unique(Section::Queues, spec.queues.iter().map(|q| &q.name), out);
    for (index, queue) in spec.queues.iter().enumerate() {
        check_queue_references(spec, unread, index, queue, out);
        check_queue_limits(index, queue, out);
    }
}

fn has_team(spec: &CatalogueSpec, name: &TeamName) -> bool {
    spec.teams.iter().any(|team| team.name == *name)
}

fn pool_kind(spec: &CatalogueSpec, name: &PoolName) -> Option<PoolKind> {
    let pool = spec.pools.iter().find(|pool| pool.name == *name)?;
    Some(pool.kind)
}

fn check_queue_references(
    spec: &CatalogueSpec,
    unread: UnreadSections,
    index: usize,
    queue: &QueueSpec,
    out: &mut Findings,
) {
    if !unread.teams && !has_team(spec, &queue.owner) {
        let message = format!(
            "queue '{}': there is no team '{}': add it under teams or correct owner",
            queue.name, queue.owner
        );
        out.push(Section::Queues, index, message);
    }
    let message = match pool_kind(spec, &queue.pool) {
        None if unread.pools => return,
        None => format!(
            "queue '{}': there is no pool '{}': add it under pools or correct pool",
            queue.name, queue.pool
        ),
        Some(PoolKind::Spare) => format!(
            "queue '{}': pool '{}' is spare and does no work: name a pool of kind upstreams or workers",
            queue.name, queue.pool
        ),
        Some(PoolKind::Upstreams | PoolKind::Workers) => return,
    };
    out.push(Section::Queues, index, message);
}

fn check_queue_limits(index: usize, queue: &QueueSpec, out: &mut Findings) {
    let limits = &queue.limits;
    let positive = [
        ("running_slots", u64::from(limits.running_slots.get())),
        ("upstream_slots", u64::from(limits.upstream_slots.get())),
        ("deadline_ms", limits.deadline_ms),
        ("run_max_ms", limits.run_max_ms),
    ];
    for (field, value) in positive {
        if value == 0 {
            let message = format!(
                "queue '{}': limits.{field} is 0 and would refuse all work: set it to 1 or more",
                queue.name
            );
            out.push(Section::Queues, index, message);
        }
    }
    if limits.deadline_ms > limits.deadline_max_ms {
        let message = format!(
            "queue '{}': limits.deadline_ms {} is above limits.deadline_max_ms {}: lower the one or raise the other",
            queue.name, limits.deadline_ms, limits.deadline_max_ms
        );
        out.push(Section::Queues, index, message);
    }
    if limits.repeat_window_ms < limits.deadline_max_ms {
        let message = format!(
            "queue '{}': limits.repeat_window_ms {} is below limits.deadline_max_ms {}, so a key could be granted again while its request runs: raise the one or lower the other",
            queue.name, limits.repeat_window_ms, limits.deadline_max_ms
        );
        out.push(Section::Queues, index, message);
    }
    if !(REPEAT_WINDOW_MIN_MS..=REPEAT_WINDOW_MAX_MS).contains(&limits.repeat_window_ms) {
        let message = format!(
            "queue '{}': limits.repeat_window_ms {} is not what entries can remember: set it from {REPEAT_WINDOW_MIN_MS} to {REPEAT_WINDOW_MAX_MS}",
            queue.name, limits.repeat_window_ms
        );
        out.push(Section::Queues, index, message);
    }
    if limits.retry_percent > 100 {
        let message = format!(
            "queue '{}': limits.retry_percent {} would let retries pass the work itself: set it to 100 or less",
            queue.name, limits.retry_percent
        );
        out.push(Section::Queues, index, message);
    }
}

fn check_keys(spec: &CatalogueSpec, unread: UnreadSections, out: &mut Findings) {
    check_unique(Section::Keys, spec.keys.iter().map(|k| &k.name), out);
    let operators = spec.operators.iter().map(|o| &o.name);
    check_unique(Section::Operators, operators, out);
    let mut seen = HashSet::new();
    for (index, key) in spec.keys.iter().enumerate() {
        if !unread.teams && !has_team(spec, &key.team) {
            let message = format!(
                "key '{}': there is no team '{}': add it under teams or correct team",
                key.name, key.team
            );
            out.push(Section::Keys, index, message);
        }
        if !seen.insert(key.digest.to_string()) {
            let message = format!(
                "key '{}': another key has the same digest: grant a key of its own",
                key.name
            );
            out.push(Section::Keys, index, message);
        }
    }
}

fn check_maintenance(spec: &CatalogueSpec, out: &mut Findings) {
    let maintenance = &spec.maintenance;
    if maintenance.period_hours == 0 {
        out.push(
            Section::Maintenance,
            0,
            "period_hours is 0: set the hours in which each VM is maintained once, such as 672",
        );
    }
    if maintenance.first_batch_vms.is_zero() {
        out.push(
            Section::Maintenance,
            0,
            "first_batch_vms is 0 and no wave would start: set it to 1 or more",
        );
    }
}
