//! The work that arrives, as the first sign of a turn.
//!
//! Load pattern: a queue's demand rises from a twentieth of its mean to several times that within a second. What runs and what waits
//! show it only after most of the pool is full; VMs that are ordered then come a second too late. The work of the jobs
//! that have just been submitted shows it at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use goldcrest_types::names::TeamName;

use crate::job::Job;
use crate::worker::millis;

/// The times over which the work is averaged: the short one sees a turn begin, the long one is steadier during it.
const WINDOWS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(1)];

/// Fewer jobs in a window say nothing about a rate.
const JOBS_MIN: u32 = 8;

#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    team: Option<TeamName>,
    /// In thousandths of a core times milliseconds.
    work: u64,
}

/// Jobs that were submitted of late, in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Takes a job that has just been submitted. Services and scheduled jobs are not part of a turn.
    pub fn note(&mut self, job: &Job, now: Instant) {
        let longest = WINDOWS[WINDOWS.len() - 1];
        let is_old = |it: &Arrival| now.saturating_duration_since(it.at) > longest;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        if job.record.spec.is_service() || job.record.spec.schedule.is_some() {
            return;
        }
        let steps = job.record.spec.steps.iter().zip(&job.step_times);
        let of_steps = steps.map(|(step, time)| step.work(step.tasks, *time));
        self.recent.push_back(Arrival {
            at: now,
            team: job.record.team.clone(),
            work: of_steps.fold(0, u64::saturating_add),
        });
    }

    /// The processors that the arriving work needs to be done as fast as it comes, in thousandths of a core. It is less than
    /// the average by what chance may add to so few jobs. Teams for which `is_held` is true are left out: their work waits for
    /// their limit, not for VMs.
    #[must_use]
    pub fn rate_millis(&self, now: Instant, is_held: impl Fn(&TeamName) -> bool) -> u64 {
        let of_window = |window: Duration| {
            let recent = self.recent.iter().rev();
            let recent = recent.take_while(|it| now.saturating_duration_since(it.at) <= window);
            let counted = recent.filter(|it| !it.team.as_ref().is_some_and(&is_held));
            let (jobs, work) = counted.fold((0_u32, 0_u64), |(jobs, work), it| {
                (jobs + 1, work.saturating_add(it.work))
            });
            if jobs < JOBS_MIN {
                return 0;
            }
            // The spread of a count is its root.
            let certain = u64::from(jobs - jobs.isqrt());
            let rate = work / millis(window).max(1);
            rate / u64::from(jobs) * certain
        };
        WINDOWS.into_iter().map(of_window).max().unwrap_or_default()
    }
}
