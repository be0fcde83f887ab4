//! The platform's list of VMs, which may be out of date, and its reboots.
//!
//! [`FleetFake`] holds the actual state of the VMs and the listing that was answered last, which it refreshes only once
//! it is older than the lag. A reboot takes a set time; a VM can be set to fail in its reboot. A test can register the
//! open work of a VM, so that work interrupted by reboots is counted.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord};
use goldcrest_ports::http::fleet::RebootVm;
use goldcrest_types::names::{DcName, VmName};
use goldcrest_types::units::Epoch;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::{self, Answer, HangUp};

#[derive(Debug, Default)]
struct State {
    vms: HashMap<VmName, VmRecord>,
    epochs: HashMap<VmName, Epoch>,
    broken: HashSet<VmName>,
    disconnected: HashSet<DcName>,
    reboots: Vec<VmName>,
    open_work: HashMap<VmName, Arc<AtomicU32>>,
    cut_work: u32,
    listing: VmListing,
    listed_at: Option<Instant>,
    listing_version: u64,
    unchanged_answers: u32,
}

/// The platform's list of VMs and its reboots. Clones share the state.
#[derive(Debug, Clone)]
pub struct FleetFake {
    state: Arc<Mutex<State>>,
    reboot_time: Duration,
    lag: Duration,
}

impl FleetFake {
    /// Creates a fleet without VMs, whose reboots take `reboot_time` and whose list is out of date by up to `lag`.
    #[must_use]
    pub fn new(reboot_time: Duration, lag: Duration) -> Self {
        Self {
            state: Arc::default(),
            reboot_time,
            lag,
        }
    }

    /// Serves one data centre until `stop`, and returns the address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no listener can be bound.
    pub async fn listen(&self, dc: DcName, stop: CancellationToken) -> io::Result<SocketAddr> {
        let fake = self.clone();
        let handle = move |request| {
            let fake = fake.clone();
            let dc = dc.clone();
            async move { fake.handle(&dc, request).await }
        };
        server::listen(stop, handle).await
    }

    /// Adds a VM or replaces its record.
    pub fn put(&self, vm: VmRecord) {
        self.state().vms.insert(vm.name.clone(), vm);
    }

    /// Registers the number of open pieces of work on a VM, which a reboot adds to [`FleetFake::cut_work`].
    pub fn watch_work(&self, vm: &VmName, open: Arc<AtomicU32>) {
        self.state().open_work.insert(vm.clone(), open);
    }

    /// Returns how many pieces of work were interrupted by reboots.
    #[must_use]
    pub fn cut_work(&self) -> u32 {
        self.state().cut_work
    }

    /// Returns how many reads of the list were answered with 304 (not modified).
    #[must_use]
    pub fn unchanged_answers(&self) -> u32 {
        self.state().unchanged_answers
    }

    /// Sets the phase of a VM, if it is on the list.
    pub fn set_phase(&self, vm: &VmName, phase: VmPhase) {
        if let Some(record) = self.state().vms.get_mut(vm) {
            record.phase = phase;
        }
    }

    /// Removes a VM from the list.
    pub fn remove(&self, vm: &VmName) {
        self.state().vms.remove(vm);
    }

    /// Sets whether a VM stays in [`VmPhase::Rebooting`] after a reboot.
    pub fn set_broken(&self, vm: &VmName, is_broken: bool) {
        let mut state = self.state();
        if is_broken {
            state.broken.insert(vm.clone());
        } else {
            state.broken.remove(vm);
        }
    }

    /// Disconnects a data centre from the platform, or connects it again.
    pub fn set_cut(&self, dc: &DcName, is_cut: bool) {
        let mut state = self.state();
        if is_cut {
            state.disconnected.insert(dc.clone());
        } else {
            state.disconnected.remove(dc);
        }
    }

    /// Returns the VMs whose reboots were started, in order of time.
    #[must_use]
    pub fn reboots(&self) -> Vec<VmName> {
        self.state().reboots.clone()
    }

    /// Returns the VMs that are rebooting.
    #[must_use]
    pub fn rebooting(&self) -> Vec<VmRecord> {
        let state = self.state();
        let is_rebooting = |vm: &&VmRecord| vm.phase == VmPhase::Rebooting;
        state.vms.values().filter(is_rebooting).cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, dc: &DcName, request: Request<Incoming>) -> Result<Answer, HangUp> {
        if self.state().disconnected.contains(dc) {
            return Err(HangUp::Fault);
        }
        let path: Box<str> = request.uri().path().into();
        if *request.method() == Method::GET && &*path == "/v1/vms" {
            return Ok(self.listing_answer(&request));
        }
        let vm = path
            .strip_prefix("/v1/vms/")
            .and_then(|rest| rest.strip_suffix("/reboot"))
            .and_then(|name| name.parse::<VmName>().ok());
        let Some(vm) = vm else {
            return Ok(server::text(StatusCode::BAD_REQUEST, "no such path"));
        };
        let Some(command) = server::read_json::<RebootVm>(request.into_body()).await else {
            return Ok(server::text(StatusCode::BAD_REQUEST, "give epoch"));
        };
        Ok(self.reboot(&vm, command.epoch))
    }

    fn listing_answer(&self, request: &Request<Incoming>) -> Answer {
        let listing = self.listing();
        let tag = HeaderValue::from(self.state().listing_version);
        if request.headers().get(IF_NONE_MATCH) == Some(&tag) {
            self.state().unchanged_answers += 1;
            return server::text(StatusCode::NOT_MODIFIED, "");
        }
        let mut answer = server::json(&listing);
        answer.headers_mut().insert(ETAG, tag);
        answer
    }

    fn listing(&self) -> VmListing {
        let mut state = self.state();
        let is_outdated = state
            .listed_at
            .is_none_or(|listed_at| listed_at.elapsed() >= self.lag);
        if is_outdated {
            let mut vms: Vec<VmRecord> = state.vms.values().cloned().collect();
            vms.sort_by(|a, b| a.name.cmp(&b.name));
            let listing = VmListing { vms };
            if state.listing != listing {
                state.listing = listing;
                state.listing_version += 1;
            }
            state.listed_at = Some(Instant::now());
        }
        state.listing.clone()
    }

    fn reboot(&self, vm: &VmName, epoch: Epoch) -> Answer {
        let mut state = self.state();
        let last_epoch = state.epochs.get(vm).copied().unwrap_or(Epoch::ZERO);
        if epoch < last_epoch {
            return server::text(StatusCode::CONFLICT, "an older epoch");
        }
        let Some(record) = state.vms.get_mut(vm) else {
            return server::text(StatusCode::NOT_FOUND, "no such VM");
        };
        let starts = record.phase != VmPhase::Rebooting;
        record.phase = VmPhase::Rebooting;
        state.epochs.insert(vm.clone(), epoch);
        if starts {
            let open = state.open_work.get(vm);
            state.cut_work += open.map_or(0, |open| open.load(Ordering::Acquire));
            state.reboots.push(vm.clone());
            tokio::spawn(self.clone().complete_reboot(vm.clone()));
        }
        server::text(StatusCode::ACCEPTED, "")
    }

    async fn complete_reboot(self, vm: VmName) {
        tokio::time::sleep(self.reboot_time).await;
        let mut state = self.state();
        if state.broken.contains(&vm) {
            return;
        }
        if let Some(record) = state.vms.get_mut(&vm) {
            record.phase = VmPhase::Live;
            record.boots += 1;
        }
    }
}
