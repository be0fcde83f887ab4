//! Expected run times of tasks, from the submitters' guesses and from past run times.
//!
//! Load pattern: guesses are off by a factor that differs from job to job. For each queue, a regression over the
//! logarithms of guesses and run times gives the weight of a guess: its slope. A guess without information is replaced
//! by the queue's typical run time; an accurate one is kept.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcrest_types::names::QueueName;

/// The fewest run times from which an expectation is computed.
const SAMPLES_MIN: f64 = 12.0;

/// The number of run times beyond which older ones lose weight.
const SAMPLE_WINDOW: f64 = 400.0;

/// Shorter times count as this one, in seconds.
const TIME_MIN_S: f64 = 0.001;

/// The regression of a queue's run times on guesses, over the natural logarithms of seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Fit {
    count: f64,
    mean_guess: f64,
    mean_time: f64,
    variance_sum: f64,
    covariance_sum: f64,
}

impl Fit {
    fn add(&mut self, guess: f64, time: f64) {
        if self.count >= SAMPLE_WINDOW {
            let kept = 1.0 - 1.0 / SAMPLE_WINDOW;
            self.count *= kept;
            self.variance_sum *= kept;
            self.covariance_sum *= kept;
        }
        self.count += 1.0;
        let off_guess = guess - self.mean_guess;
        self.mean_guess += off_guess / self.count;
        self.mean_time += (time - self.mean_time) / self.count;
        self.variance_sum += off_guess * (guess - self.mean_guess);
        self.covariance_sum += off_guess * (time - self.mean_time);
    }

    fn time(&self, guess: f64) -> f64 {
        let slope = if self.variance_sum > f64::EPSILON {
            (self.covariance_sum / self.variance_sum).clamp(0.0, 1.0)
        } else {
            0.0
        };
        self.mean_time + slope * (guess - self.mean_guess)
    }
}

/// The regressions of all queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Estimates {
    by_queue: BTreeMap<QueueName, Fit>,
}

fn log_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(TIME_MIN_S).ln()
}

impl Estimates {
    /// Adds the run time of a task that ran from its beginning to its end.
    pub fn learn(&mut self, queue: &QueueName, guess: Duration, time: Duration) {
        let fit = self.by_queue.entry(queue.clone()).or_default();
        fit.add(log_seconds(guess), log_seconds(time));
    }

    /// How long a task with this guess is expected to take.
    #[must_use]
    pub fn expect(&self, queue: &QueueName, guess: Duration) -> Duration {
        match self.by_queue.get(queue) {
            Some(fit) if fit.count >= SAMPLES_MIN => {
                let seconds = fit.time(log_seconds(guess)).exp();
                Duration::try_from_secs_f64(seconds).unwrap_or(guess)
            }
            _ => guess,
        }
    }
}
