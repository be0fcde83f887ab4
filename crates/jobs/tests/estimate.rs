//! Expected run times from guesses that are off.

use std::time::Duration;

use goldcrest_jobs::estimate::Estimates;
use goldcrest_types::names::QueueName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn queue() -> QueueName {
    "q".parse().expect("a name")
}

/// A factor between 1/x and x, uniform over its logarithm.
fn off(rng: &mut StdRng, x: f64) -> f64 {
    (rng.random_range(-1.0..1.0) * x.ln()).exp()
}

/// The mean absolute errors of the raw guesses and of the expectations, as logarithms of a factor.
fn error(guess_off: f64, time_spread: f64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut estimates = Estimates::default();
    let (mut raw, mut learned) = (0.0, 0.0);
    for round in 0..600 {
        let time = 0.6 * off(&mut rng, time_spread);
        let guess = Duration::from_secs_f64(time * off(&mut rng, guess_off));
        if round >= 100 {
            let expected = estimates.expect(&queue(), guess).as_secs_f64();
            learned += (expected / time).ln().abs();
            raw += (guess.as_secs_f64() / time).ln().abs();
        }
        estimates.learn(&queue(), guess, Duration::from_secs_f64(time));
    }
    (raw / 500.0, learned / 500.0)
}

#[test]
fn expect_wild_guesses_fall_back_to_typical() {
    let (raw, learned) = error(4.0, 1.5);
    assert!(learned < raw / 2.0, "{learned} against {raw}");
}

#[test]
fn expect_good_guesses_are_kept() {
    let (raw, learned) = error(1.05, 3.0);
    assert!(learned < raw * 1.2, "{learned} against {raw}");
}

#[test]
fn expect_unknown_queue_is_the_guess() {
    let guess = Duration::from_millis(300);
    assert_eq!(Estimates::default().expect(&queue(), guess), guess);
}
