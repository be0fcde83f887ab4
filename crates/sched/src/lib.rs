//! Scheduling of tasks on workers: which task starts next, on which worker, and which tasks are preempted for it.
//!
//! [`Scheduler`] owns a [`state::State`], receives events (submissions, cancellations, reports, grants) and decides in
//! rounds ([`Scheduler::round`]). A round runs named passes over the state, each one module and one function:
//!
//! 1. [`lease`]: renewals, lost workers, the longest run time.
//! 2. [`overload`]: throttles, checkpoints or stops tasks on a worker whose usage exceeds its capacity.
//! 3. [`evacuate`]: long tasks leave workers that drain.
//! 4. [`share`]: the entitlement of each team, by weighted max-min fairness over the dominant resource.
//! 5. [`hold`]: workers that are held for one task that waited too long.
//! 6. [`order`]: which task is next; it calls [`place`] for each.
//! 7. [`preempt`]: preempts tasks for urgent tasks that fit no worker, and reclaims shares.
//! 8. [`verify`]: the invariants, as a debug assertion.
//!
//! [`report`], [`retry`] and [`health`] run when a report arrives, [`estimate`] learns from it. Every decision carries
//! a [`reason::Reason`]. The caller passes the time; nothing here does I/O.

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
