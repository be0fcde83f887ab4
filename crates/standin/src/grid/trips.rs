//! How commands travel to workers, and the tasks that carry them out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use goldcrest_jobs::id::WorkerId;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::grid::World;

/// A kind of command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// The start of a run.
    Start,
    /// The stop of a run.
    Stop,
    /// A request for a report.
    Report,
}

impl CommandKind {
    pub(crate) fn lost(self) -> &'static str {
        match self {
            Self::Start => "answer to a start lost",
            Self::Stop => "answer to a stop lost",
            Self::Report => "report lost",
        }
    }

    pub(crate) fn late(self) -> &'static str {
        match self {
            Self::Start => "start carried out late",
            Self::Stop => "stop carried out late",
            Self::Report => "request for a report carried out late",
        }
    }
}

/// How a command travels to a worker, and its answer back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trip {
    /// When the command arrives; `None` if it is lost.
    pub request: Option<Duration>,
    /// When the answer arrives after it was given; `None` if it is lost.
    pub answer: Option<Duration>,
}

/// Decides how a command of an entry to a worker travels.
pub type Trips = Rc<dyn Fn(&str, &WorkerId, CommandKind) -> Trip>;

type Work = Pin<Box<dyn Future<Output = ()>>>;

/// The tasks of a world, how commands travel, and the record of what happened.
#[derive(Default)]
pub(crate) struct Transport {
    work: RefCell<Option<mpsc::UnboundedSender<Work>>>,
    trips: RefCell<Option<Trips>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    is_recording: Cell<bool>,
    events: RefCell<Vec<(Instant, String)>>,
}

impl World {
    /// Lets the world carry out the calls of all entries, also of those that are killed or frozen meanwhile. Must be called
    /// in a local task set, which ends these calls.
    pub fn carry_out_calls(&self) {
        let (sender, mut receiver) = mpsc::unbounded_channel::<Work>();
        *self.transport.work.borrow_mut() = Some(sender);
        tokio::task::spawn_local(async move {
            while let Some(work) = receiver.recv().await {
                tokio::task::spawn_local(work);
            }
        });
    }

    pub(crate) fn carries_out_calls(&self) -> bool {
        self.transport.work.borrow().is_some()
    }

    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(sender) = &*self.transport.work.borrow() {
            // The receiver ends with the task set, as does everything else.
            let _ = sender.send(Box::pin(work));
        }
    }

    /// Lets commands to workers travel as `trips` says. Needs [`Self::carry_out_calls`].
    pub fn set_trips(&self, trips: Trips) {
        *self.transport.trips.borrow_mut() = Some(trips);
    }

    pub(crate) fn trip(&self, entry: &str, worker: &WorkerId, kind: CommandKind) -> Option<Trip> {
        let trips = self.transport.trips.borrow().clone();
        trips.map(|trips| trips(entry, worker, kind))
    }

    pub(crate) fn incarnation(&self, worker: &WorkerId) -> Option<Instant> {
        let mut crew = self.crew.borrow_mut();
        crew.settle(Instant::now());
        crew.born_at(worker)
    }

    /// Counts an occurrence of what a test plays, under its name.
    pub fn count(&self, what: &'static str) {
        *self.transport.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// How often each thing has occurred, by name.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.transport.counts.borrow().clone()
    }

    /// Records what happens from now on.
    pub fn start_recording(&self) {
        self.transport.is_recording.set(true);
    }

    /// Adds an event to the record, if there is one.
    pub fn record(&self, event: impl FnOnce() -> String) {
        if self.transport.is_recording.get() {
            let event = (Instant::now(), event());
            self.transport.events.borrow_mut().push(event);
        }
    }

    /// The record, in order of time.
    pub fn events(&self) -> Vec<(Instant, String)> {
        self.transport.events.borrow().clone()
    }
}
