//! The embedded stand-ins: a platform, upstreams and workers on loopback, and the entries that serve on them.
//!
//! Every entry runs on a runtime of its own, so that [`Lab::crash`] ends all of it at once, as a VM's loss does.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use goldcrest_daemon::entry::{Addresses, Entry, StartError};
use goldcrest_daemon::settings::{
    EntrySettings, FrontSettings, LogSettings, PeerSettings, PlatformSettings, Secret, Settings,
    StopSettings, StoreSettings, TaskSettings,
};
use goldcrest_daemon::sizing::settings::SizingSettings;
use goldcrest_front::DrainReport;
use goldcrest_ports::fleet::{VmPhase, VmRecord, VmRole};
use goldcrest_standin::upstream::CallBook;
use goldcrest_standin::worker::RunBook;
use goldcrest_standin::{FleetFake, KvFake, KvFault, UpstreamFake, WorkerFake};
use goldcrest_types::clock::{Clock, SystemClock};
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{DcName, VmName};
use goldcrest_types::units::{Accelerators, Bytes, CpuMillis, PerSecond, Resources, Revision};
use quick_error::quick_error;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

/// How long a reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(800);

/// How far the list of VMs lags.
const LIST_LAG: Duration = Duration::from_millis(300);

/// The threads of an entry.
const ENTRY_THREADS: usize = 2;

/// The key of the first operator.
pub const OPERATOR_SECRET: &str = "first";

quick_error! {
    /// Why the stand-ins can't start.
    #[derive(Debug)]
    pub enum LabError {
        /// A name in the plan is no name.
        Name(text: Box<str>) {
            display("'{text}' is no name: use a-z, 0-9 and '-'")
        }
        /// The operating system refuses.
        System(cause: io::Error) {
            display("{cause}: free some ports, file handles or memory")
            source(cause)
            from()
        }
        /// An entry can't start.
        Start(cause: StartError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An entry's start was cut off.
        Ended {
            display("an entry ended while it started: see its log")
        }
    }
}

/// How many of each there are in one data centre.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Entries.
    pub entries: u32,
    /// Upstreams.
    pub upstreams: u32,
    /// Workers.
    pub workers: u32,
}

/// One running entry with its runtime.
struct Running {
    dc: DcName,
    entry: Entry,
    runtime: Runtime,
}

/// The platform, upstreams and workers.
pub struct Lab {
    /// The key-value service.
    pub kv: KvFake,
    /// The list of VMs.
    pub fleet: FleetFake,
    /// What ran on the upstreams.
    pub calls: Arc<CallBook>,
    /// What ran on the workers.
    pub runs: Arc<RunBook>,
    dcs: Vec<DcPlace>,
    upstreams: BTreeMap<VmName, UpstreamFake>,
    workers: BTreeMap<VmName, WorkerFake>,
    running: BTreeMap<VmName, Running>,
    peers: Vec<SocketAddr>,
    stop: CancellationToken,
}

struct DcPlace {
    name: DcName,
    store: SocketAddr,
    list: SocketAddr,
}

/// The error of a text in the plan that is no name.
pub fn bad_name<E: std::fmt::Display>(error: E) -> LabError {
    LabError::Name(error.to_string().into())
}

/// A name from the plan.
fn name<T: std::str::FromStr>(text: &str) -> Result<T, LabError> {
    text.parse().map_err(|_| LabError::Name(text.into()))
}

impl Lab {
    /// Starts the platform, the upstreams and the workers of these data centres, and no entry yet.
    ///
    /// # Errors
    ///
    /// A listener that can't be opened.
    pub async fn start(dcs: &[(&str, Sizes)]) -> Result<Self, LabError> {
        let mut lab = Self {
            kv: KvFake::new(),
            fleet: FleetFake::new(REBOOT_TIME, LIST_LAG),
            calls: Arc::default(),
            runs: Arc::default(),
            dcs: Vec::new(),
            upstreams: BTreeMap::new(),
            workers: BTreeMap::new(),
            running: BTreeMap::new(),
            peers: Vec::new(),
            stop: CancellationToken::new(),
        };
        for (text, sizes) in dcs {
            lab.add_data_centre(text, *sizes).await?;
        }
        Ok(lab)
    }

    async fn add_data_centre(&mut self, text: &str, sizes: Sizes) -> Result<(), LabError> {
        let dc: DcName = name(text)?;
        let store = self.kv.listen(dc.clone(), self.stop.clone()).await?;
        let list = self.fleet.listen(dc.clone(), self.stop.clone()).await?;
        for number in 1..=sizes.upstreams {
            let vm: VmName = name(&format!("up-{text}-{number}"))?;
            let fake = UpstreamFake::new(Arc::clone(&self.calls));
            let address = fake.listen(self.stop.clone()).await?;
            self.fleet.put(record(&vm, &dc, VmRole::Upstream, address)?);
            self.fleet.watch_work(&vm, fake.open());
            self.upstreams.insert(vm, fake);
        }
        for number in 1..=sizes.workers {
            let vm: VmName = name(&format!("work-{text}-{number}"))?;
            let fake = WorkerFake::new(Arc::clone(&self.runs));
            let address = fake.listen(self.stop.clone()).await?;
            self.fleet.put(record(&vm, &dc, VmRole::Worker, address)?);
            self.workers.insert(vm, fake);
        }
        self.dcs.push(DcPlace {
            name: dc,
            store,
            list,
        });
        Ok(())
    }

    /// Starts an entry in a data centre.
    ///
    /// # Errors
    ///
    /// A listener that can't be opened.
    pub async fn start_entry(&mut self, vm: &str, dc: &str) -> Result<Addresses, LabError> {
        let vm: VmName = name(vm)?;
        let settings = self.settings(&vm, dc)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(ENTRY_THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(async move {
            let clock: Arc<dyn Clock> = Arc::new(SystemClock);
            Entry::start(settings, clock)
        });
        let entry = started.await.map_err(|_| LabError::Ended)??;
        let addresses = entry.addresses();
        let dc: DcName = name(dc)?;
        self.fleet
            .put(record(&vm, &dc, VmRole::Entry, addresses.peer)?);
        self.peers.push(addresses.peer);
        self.running.insert(vm, Running { dc, entry, runtime });
        Ok(addresses)
    }

    fn settings(&self, vm: &VmName, dc: &str) -> Result<Settings, LabError> {
        let place = self.dcs.iter().find(|place| place.name.as_str() == dc);
        let place = place.ok_or_else(|| LabError::Name(dc.into()))?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(Settings {
            entry: EntrySettings {
                vm: vm.clone(),
                data_centre: place.name.clone(),
                caller_address: any,
                task_address: any,
                operator_address: any,
                first_operator_digest: Some(KeyDigest::of(OPERATOR_SECRET)),
            },
            platform: PlatformSettings {
                store_address: place.store,
                fleet_address: place.list,
                timeout_ms: 1_000,
                fleet_poll_ms: 300,
                list_lag_max_ms: 2_000,
            },
            peers: PeerSettings {
                address: any,
                secret: Secret::new("between-entries".into()),
                first_addresses: self.peers.clone(),
            },
            tasks: TaskSettings { lease_ms: 10_000 },
            front: FrontSettings::default(),
            store: StoreSettings {
                calls_per_second: PerSecond::new(50),
                lease_ttl_ms: 10_000,
                key_freshness_ms: 4_000,
            },
            sizing: SizingSettings::default(),
            stop: StopSettings {
                settle_ms: 300,
                drain_max_ms: 10_000,
            },
            log: LogSettings::default(),
        })
    }

    /// Adds an upstream that somebody else serves.
    ///
    /// # Errors
    ///
    /// A text that is no name.
    pub fn put_upstream(&self, vm: &str, dc: &str, address: SocketAddr) -> Result<(), LabError> {
        let (vm, dc): (VmName, DcName) = (name(vm)?, name(dc)?);
        self.fleet.put(record(&vm, &dc, VmRole::Upstream, address)?);
        Ok(())
    }

    /// Stops an entry gracefully. Returns how many requests the stop cut off.
    pub async fn stop_entry(&mut self, vm: &str) -> u64 {
        let report = self.drain_entry(vm).await;
        report.map_or(0, |report| report.cut)
    }

    /// Stops an entry gracefully. Returns what became of its requests and connections, if it ran.
    pub async fn drain_entry(&mut self, vm: &str) -> Option<DrainReport> {
        let running = self.running.remove(vm)?;
        let address = running.entry.addresses().peer;
        let stopped = running.runtime.spawn(running.entry.stop());
        let report = stopped.await.ok();
        running.runtime.shutdown_background();
        self.peers.retain(|peer| *peer != address);
        report
    }

    /// Pauses an entry, as a pause of its VM does: its threads do nothing for `time`, then go on with what they had.
    pub fn pause(&self, vm: &str, time: Duration) {
        let Some(running) = self.running.get(vm) else {
            return;
        };
        let gathered = Arc::new(Barrier::new(ENTRY_THREADS));
        for _ in 0..ENTRY_THREADS {
            let gathered = Arc::clone(&gathered);
            running.runtime.spawn(async move {
                // Each thread waits here for the others, so none of them takes two of these.
                gathered.wait();
                std::thread::sleep(time);
            });
        }
    }

    /// Ends an entry at once, as the loss of its VM does.
    pub fn crash(&mut self, vm: &str) {
        if let Some(running) = self.running.remove(vm) {
            let address = running.entry.addresses().peer;
            running.runtime.shutdown_background();
            self.peers.retain(|peer| *peer != address);
        }
        if let Ok(vm) = vm.parse() {
            self.fleet.remove(&vm);
        }
    }

    /// The addresses of the entries that run, by VM.
    pub fn entries(&self) -> impl Iterator<Item = (&VmName, &DcName, Addresses)> {
        self.running
            .iter()
            .map(|(vm, running)| (vm, &running.dc, running.entry.addresses()))
    }

    /// The data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &DcName> {
        self.dcs.iter().map(|place| &place.name)
    }

    /// The revision in force on every entry that runs.
    pub fn revisions(&self) -> impl Iterator<Item = (VmName, Revision)> {
        let running = self.running.iter();
        running.map(|(vm, running)| (vm.clone(), running.entry.world().revision()))
    }

    /// Switches a fault of the key-value service on or off for one data centre.
    pub fn set_store_fault_in(&self, dc: &str, fault: KvFault) {
        for place in self.dcs.iter().filter(|place| place.name.as_str() == dc) {
            self.kv.set_fault(&place.name, fault);
        }
    }

    /// Switches a fault of the key-value service on or off for all data centres.
    pub fn set_store_fault(&self, fault: KvFault) {
        for place in &self.dcs {
            self.kv.set_fault(&place.name, fault);
        }
    }

    /// An upstream.
    #[must_use]
    pub fn upstream(&self, vm: &str) -> Option<&UpstreamFake> {
        self.upstreams.get(vm)
    }

    /// Stops all entries and then everything else.
    pub async fn shut_down(mut self) -> u64 {
        let vms: Vec<VmName> = self.running.keys().cloned().collect();
        let mut cut = 0;
        for vm in vms {
            cut += self.stop_entry(vm.as_str()).await;
        }
        self.stop.cancel();
        cut
    }
}

fn record(
    vm: &VmName,
    dc: &DcName,
    role: VmRole,
    address: SocketAddr,
) -> Result<VmRecord, LabError> {
    Ok(VmRecord {
        name: vm.clone(),
        data_centre: dc.clone(),
        rack: name(&format!("rack-{dc}"))?,
        role,
        address,
        phase: VmPhase::Live,
        resources: Resources::new(
            CpuMillis::new(16_000),
            Bytes::new(32 << 30),
            Accelerators::ZERO,
        ),
        boots: 1,
    })
}
