//! Pure decisions about tasks on workers: which task starts next, where, and what gives way to it.
//!
//! Start with [`Scheduler`]: it owns a [`state::State`], takes events (submissions, cancellations, reports, grants)
//! and runs one [`Scheduler::round`] after the other. A round runs named passes over the state, each one module
//! and one function:
//!
//! 1. [`lease`]: renewals, lost workers, the longest run.
//! 2. [`overload`]: throttle, checkpoint, stop on a worker that measures above its capacity.
//! 3. [`evacuate`]: long tasks leave workers that drain.
//! 4. [`share`]: what each team is entitled to, by weighted max-min over the dominant resource.
//! 5. [`hold`]: workers that are kept free for one task that waited too long.
//! 6. [`order`]: which task is next; it calls [`place`] for each.
//! 7. [`preempt`]: urgent tasks without room, and shares taken back.
//! 8. [`verify`]: the promises, as a debug assertion.
//!
//! [`report`], [`retry`] and [`health`] run when a report comes in, [`estimate`] learns from it. Every decision
//! carries a [`reason::Reason`]. Time is passed in; nothing here does I/O.

pub mod config;
pub mod decision;
pub mod estimate;
pub mod evacuate;
pub mod health;
pub mod hold;
pub mod lease;
pub mod order;
pub mod overload;
pub mod place;
pub mod preempt;
pub mod reason;
pub mod report;
pub mod retry;
pub mod scheduler;
pub mod share;
pub mod state;
pub mod verify;

pub use config::Config;
pub use decision::{Command, CommandKind, Decisions, Ended, Parked, RequeueCause, Requeued, Start};
pub use lease::RoleLease;
pub use reason::Reason;
pub use report::{ObservedPhase, StartOutcome, TaskObservation};
pub use scheduler::{CancelOutcome, Explanation, Scheduler, Snapshot, SubmitError, TeamStatus};
pub use state::{Availability, Outcome, Progress, TaskSpec, WorkerSpec};
