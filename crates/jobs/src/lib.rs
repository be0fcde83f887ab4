//! Jobs: directed graphs of steps, whose tasks run on the workers of a pool.
//!
//! A queue belongs to one pool, and each pool has one scheduler at a time. Start with [`pool::Pool`]: it holds the open
//! jobs and the workers of a pool, ingests the workers' reports, and its passes decide what to start, stop and
//! throttle. [`catalogue::Catalogue`] finds the queue and the team of a call, [`policy::AcceptedPolicy`] is what a job
//! was promised, [`query_times::QueryTimes`] bounds the queries for placement permits, [`lease::LeaseBound`] is the
//! longest lease that workers may hold, [`share::Share`] divides a team's upper limit between pools, [`size::Sizes`]
//! moves VMs between pools, [`upkeep::Upkeep`] decides which VM is maintained next, [`progress::Progress`] is the
//! stored progress of an open job, and [`suspect::SuspectTasks`] are its tasks that may have crashed their workers.
//!
//! Nothing here does I/O; the time is passed in.

pub mod catalogue;
pub mod estimate;
pub mod id;
pub mod job;
pub mod lease;
pub mod policy;
pub mod pool;
pub mod progress;
pub mod query_times;
pub mod recent;
pub mod resources;
pub mod share;
pub mod size;
pub mod spec;
pub mod suspect;
pub mod upkeep;
pub mod verify;
pub mod worker;
