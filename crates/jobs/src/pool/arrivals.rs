//! Recently submitted work, the earliest sign of a busy period.
//!
//! [`Arrivals`] holds the jobs submitted within the longest window, oldest first.
//!
//! Load pattern: a queue's demand rises from a twentieth of its mean to several times its mean within a second. Running
//! and waiting tasks show this only after most of the pool is full, and VMs that are requested then arrive a second too
//! late. The work of newly submitted jobs shows it at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use goldcrest_types::names::TeamName;

use crate::job::Job;
use crate::worker::millis;

/// The windows over which arriving work is averaged. The short one detects the onset of a busy period; the long one is
/// steadier during it.
const WINDOWS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(1)];

/// The fewest jobs in a window that give a rate.
const JOBS_MIN: u32 = 8;

#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    team: Option<TeamName>,
    /// In thousandths of a core times milliseconds.
    work: u64,
}

/// The recently submitted jobs, in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records a newly submitted job. Services and scheduled jobs are ignored: they are not part of a busy period.
    pub fn record(&mut self, job: &Job, now: Instant) {
        let longest = WINDOWS[WINDOWS.len() - 1];
        let is_old = |arrival: &Arrival| now.saturating_duration_since(arrival.at) > longest;
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

    /// The processors needed to complete arriving work as fast as it arrives, in thousandths of a core. The average is
    /// lowered by what chance may add to so few jobs. Teams for which `is_held` is true are left out: their work waits
    /// for their limit, not for VMs.
    #[must_use]
    pub fn rate_millis(&self, now: Instant, is_held: impl Fn(&TeamName) -> bool) -> u64 {
        let of_window = |window: Duration| {
            let recent = self.recent.iter().rev();
            let recent =
                recent.take_while(|arrival| now.saturating_duration_since(arrival.at) <= window);
            let counted = recent.filter(|arrival| !arrival.team.as_ref().is_some_and(&is_held));
            let (jobs, work) = counted.fold((0_u32, 0_u64), |(jobs, work), arrival| {
                (jobs + 1, work.saturating_add(arrival.work))
            });
            if jobs < JOBS_MIN {
                return 0;
            }
            // The standard deviation of a random count is its square root.
            let certain = u64::from(jobs - jobs.isqrt());
            let rate = work / millis(window).max(1);
            rate / u64::from(jobs) * certain
        };
        WINDOWS.into_iter().map(of_window).max().unwrap_or_default()
    }
}
