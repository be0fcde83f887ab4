//! The settings of an entry process, read from YAML.
//!
//! [`parse`] reads each section separately and reports all errors at once, each with its line and remedy. Every limit
//! has its unit in its name and a default; only addresses and names have none.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use goldcrest_obs::logs::{Format, Level};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, VmName};
use goldcrest_types::units::{Bytes, PerSecond};
use goldcrest_types::yaml::{LineError, Record};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::sizing::settings::SizingSettings;

/// The settings of one entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The VM of this process and the addresses that it listens on.
    pub entry: EntrySettings,
    /// The addresses and timings of the platform's services.
    pub platform: PlatformSettings,
    /// The lease of tasks on workers.
    pub tasks: TaskSettings,
    /// The connections between entries.
    pub peers: PeerSettings,
    /// The limits on callers and their requests.
    pub front: FrontSettings,
    /// The use of the key-value service.
    pub store: StoreSettings,
    /// The time bounds of a graceful stop.
    pub stop: StopSettings,
    /// The sizing of pools.
    pub sizing: SizingSettings,
    /// The level and format of the logs.
    pub log: LogSettings,
}

/// The VM of this process and the addresses that it listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The VM that the process runs on, as the platform lists it.
    pub vm: VmName,
    /// The data centre of that VM.
    pub data_centre: DcName,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for submitters of tasks.
    pub task_address: SocketAddr,
    /// The listen address for operators, the balancer's health checks and the metrics scraper.
    pub operator_address: SocketAddr,
    /// The digest of the key that operators use while the catalogue names no operator.
    #[serde(default)]
    pub first_operator_digest: Option<KeyDigest>,
}

/// The addresses and timings of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the key-value service.
    pub store_address: SocketAddr,
    /// The address of the fleet service, which lists and reboots VMs.
    pub fleet_address: SocketAddr,
    /// The timeout of one call to the platform or a worker, in milliseconds.
    #[serde(default = "platform_timeout_ms")]
    pub timeout_ms: u64,
    /// How often the list of VMs is read, in milliseconds.
    #[serde(default = "fleet_poll_ms")]
    pub fleet_poll_ms: u64,
    /// The longest time until a started VM appears on the platform's list, in milliseconds.
    #[serde(default = "list_lag_max_ms")]
    pub list_lag_max_ms: u64,
}

fn platform_timeout_ms() -> u64 {
    1_500
}

fn fleet_poll_ms() -> u64 {
    1_000
}

fn list_lag_max_ms() -> u64 {
    60_000
}

impl PlatformSettings {
    /// The longest time until a started VM appears on the platform's list.
    #[must_use]
    pub const fn list_lag_max(&self) -> Duration {
        Duration::from_millis(self.list_lag_max_ms)
    }

    /// The timeout of one call to the platform or a worker.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How often the list of VMs is read.
    #[must_use]
    pub const fn fleet_poll(&self) -> Duration {
        Duration::from_millis(self.fleet_poll_ms)
    }
}

/// The connections between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The listen address for other entries.
    pub address: SocketAddr,
    /// The secret that all entries of one installation share. It is never logged.
    pub secret: Secret,
    /// Entries to connect to before the platform's list is read.
    #[serde(default)]
    pub first_addresses: Vec<SocketAddr>,
}

/// A secret from the settings. Its debug form does not show it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(Box<str>);

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: Box<str>) -> Self {
        Self(text)
    }

    /// Returns the secret's text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The lease of tasks on workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskSettings {
    /// How long a task runs without a renewal, in milliseconds. Should outlast short outages of the key-value service,
    /// in which no scheduler renews leases. The slots of a lost entry's tasks become free only after this time.
    pub lease_ms: u64,
}

impl Default for TaskSettings {
    fn default() -> Self {
        Self { lease_ms: 300_000 }
    }
}

impl TaskSettings {
    /// How long a task runs without a renewal.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// The limits on callers and their requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontSettings {
    /// The most connections of callers.
    pub connections: u32,
    /// The timeout for receiving a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The largest head of a request, in bytes.
    pub header_bytes: Bytes,
    /// The timeout for connecting to an upstream, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The largest payload of a task, in bytes.
    pub task_bytes: Bytes,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            connections: 20_000,
            header_timeout_ms: 10_000,
            header_bytes: Bytes::new(32 << 10),
            connect_timeout_ms: 1_000,
            task_bytes: Bytes::new(4 << 10),
        }
    }
}

impl FrontSettings {
    /// The timeout for receiving a request's head.
    #[must_use]
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// The timeout for connecting to an upstream.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

/// The use of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// The most calls per second of this process, including watches.
    pub calls_per_second: PerSecond,
    /// The time to live of this process's lease, in milliseconds.
    pub lease_ttl_ms: u64,
    /// How long requests with keys are admitted after the last proof that the catalogue is fresh, in milliseconds.
    pub key_freshness_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            calls_per_second: PerSecond::new(20),
            lease_ttl_ms: 10_000,
            key_freshness_ms: 5_000,
        }
    }
}

impl StoreSettings {
    /// The time to live of this process's lease.
    #[must_use]
    pub const fn lease_ttl(&self) -> Duration {
        Duration::from_millis(self.lease_ttl_ms)
    }

    /// How long requests with keys are admitted after the last proof that the catalogue is fresh.
    #[must_use]
    pub const fn key_freshness(&self) -> Duration {
        Duration::from_millis(self.key_freshness_ms)
    }
}

/// The time bounds of a graceful stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long the process reports "not ready" before it accepts no more connections, in milliseconds.
    pub settle_ms: u64,
    /// How long running requests may take to end before they are cut off, in milliseconds.
    pub drain_max_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            settle_ms: 5_000,
            drain_max_ms: 300_000,
        }
    }
}

impl StopSettings {
    /// How long the process reports "not ready" before it accepts no more connections.
    #[must_use]
    pub const fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }

    /// How long running requests may take to end before they are cut off.
    #[must_use]
    pub const fn drain_max(&self) -> Duration {
        Duration::from_millis(self.drain_max_ms)
    }
}

/// The level and format of the logs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level that is written.
    pub level: Level,
    /// The format of a log line.
    pub format: Format,
}

/// All errors of a settings text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<LineError>,
}

impl SettingsErrors {
    /// The errors, sorted by line.
    pub fn iter(&self) -> impl Iterator<Item = &LineError> {
        self.errors.iter()
    }

    fn push(&mut self, line: u64, message: impl Into<Box<str>>) {
        let message = message.into();
        self.errors.push(LineError { line, message });
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.errors {
            writeln!(f, "line {}: {}", error.line, error.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outline {
    entry: Option<Record>,
    platform: Option<Record>,
    peers: Option<Record>,
    tasks: Option<Record>,
    front: Option<Record>,
    store: Option<Record>,
    stop: Option<Record>,
    sizing: Option<Record>,
    log: Option<Record>,
}

/// Reads settings from YAML.
///
/// # Errors
///
/// All errors of the text, sorted by line.
pub fn parse(text: &str) -> Result<Settings, SettingsErrors> {
    let outline: Outline = serde_saphyr::from_str(text).map_err(|error| SettingsErrors {
        errors: vec![LineError::of_text(&error)],
    })?;
    let mut errors = SettingsErrors::default();
    let entry = required(outline.entry.as_ref(), "entry", &mut errors);
    let platform = required(outline.platform.as_ref(), "platform", &mut errors);
    let peers = required(outline.peers.as_ref(), "peers", &mut errors);
    let tasks = optional(outline.tasks.as_ref(), &mut errors);
    let front = optional(outline.front.as_ref(), &mut errors);
    let store = optional(outline.store.as_ref(), &mut errors);
    let stop = optional(outline.stop.as_ref(), &mut errors);
    let sizing: SizingSettings = optional(outline.sizing.as_ref(), &mut errors);
    let log = optional(outline.log.as_ref(), &mut errors);
    check_tasks(&tasks, outline.tasks.as_ref(), &mut errors);
    check_front(&front, outline.front.as_ref(), &mut errors);
    check_store(&store, outline.store.as_ref(), &mut errors);
    if let Some(record) = &outline.sizing {
        errors.errors.extend(sizing.check(record));
    }
    errors.errors.sort_by_key(|error| error.line);
    match (entry, platform, peers) {
        (Some(entry), Some(platform), Some(peers)) if errors.errors.is_empty() => Ok(Settings {
            entry,
            platform,
            tasks,
            peers,
            front,
            store,
            stop,
            sizing,
            log,
        }),
        _ => Err(errors),
    }
}

fn required<T: DeserializeOwned>(
    record: Option<&Record>,
    name: &str,
    errors: &mut SettingsErrors,
) -> Option<T> {
    let Some(record) = record else {
        errors.push(1, format!("section '{name}' is missing: add it"));
        return None;
    };
    match record.read() {
        Ok(section) => Some(section),
        Err(found) => {
            errors.errors.extend(found);
            None
        }
    }
}

fn optional<T: DeserializeOwned + Default>(
    record: Option<&Record>,
    errors: &mut SettingsErrors,
) -> T {
    let Some(record) = record else {
        return T::default();
    };
    match record.read() {
        Ok(section) => section,
        Err(found) => {
            errors.errors.extend(found);
            T::default()
        }
    }
}

/// The shortest lease of a task that survives a few lost renewals, in milliseconds.
const TASK_LEASE_MIN_MS: u64 = 10_000;

fn check_tasks(tasks: &TaskSettings, record: Option<&Record>, errors: &mut SettingsErrors) {
    let Some(record) = record else {
        return;
    };
    if tasks.lease_ms < TASK_LEASE_MIN_MS {
        errors.push(
            record.line_of("lease_ms"),
            format!("lease_ms is below {TASK_LEASE_MIN_MS} and a short outage would stop every task: raise it"),
        );
    }
}

/// The smallest limit on a request's head that the HTTP library accepts.
const HEADER_BYTES_MIN: Bytes = Bytes::new(8 << 10);

fn check_front(front: &FrontSettings, record: Option<&Record>, errors: &mut SettingsErrors) {
    let Some(record) = record else {
        return;
    };
    if front.connections == 0 {
        errors.push(
            record.line_of("connections"),
            "connections is 0 and no caller could connect: set it to 1 or more",
        );
    }
    if front.header_bytes < HEADER_BYTES_MIN {
        errors.push(
            record.line_of("header_bytes"),
            format!("header_bytes is below {HEADER_BYTES_MIN} and the HTTP library can't work with less: raise it"),
        );
    }
    if front.header_timeout_ms == 0 {
        errors.push(
            record.line_of("header_timeout_ms"),
            "header_timeout_ms is 0 and every request would time out: set it to 1 or more",
        );
    }
}

/// The shortest lease that survives a few lost renewals, in milliseconds.
const LEASE_TTL_MIN_MS: u64 = 2_000;

/// The greatest value of `key_freshness_ms`, in milliseconds: a withdrawn key must stop working within seconds.
const KEY_FRESHNESS_MAX_MS: u64 = 10_000;

fn check_store(store: &StoreSettings, record: Option<&Record>, errors: &mut SettingsErrors) {
    let Some(record) = record else {
        return;
    };
    if store.calls_per_second.is_zero() {
        errors.push(
            record.line_of("calls_per_second"),
            "calls_per_second is 0 and the catalogue could not be read: set it to 1 or more",
        );
    }
    if store.lease_ttl_ms < LEASE_TTL_MIN_MS {
        errors.push(
            record.line_of("lease_ttl_ms"),
            format!("lease_ttl_ms is below {LEASE_TTL_MIN_MS} and one lost renewal would end it: raise it"),
        );
    }
    if store.key_freshness_ms > KEY_FRESHNESS_MAX_MS {
        errors.push(
            record.line_of("key_freshness_ms"),
            format!("key_freshness_ms is above {KEY_FRESHNESS_MAX_MS} and a withdrawn key would work too long: lower it"),
        );
    }
}
