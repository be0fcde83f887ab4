//! The runner itself: it must not pass a case that differs, or a folder that lost its cases.

use std::panic::catch_unwind;

use goldcrest_cases::{Cases, split};

const MARK: &str = "----\n";

fn cases(least: usize) -> Cases {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(least)
        .with_no_blessing()
}

fn shout(case: &str) -> String {
    let input = split(case, MARK);
    format!("{input}{MARK}{}", input.to_uppercase())
}

#[test]
fn check_all_as_recorded() {
    cases(2).check(shout);
}

#[test]
fn check_case_differs() {
    let found = catch_unwind(|| cases(2).check(|case| shout(case).replace("SECOND", "third")));
    let told = found.expect_err("the second case differs");
    let told = told.downcast_ref::<String>().expect("a text");
    assert!(
        told.contains("second.txt") && !told.contains("first.txt"),
        "{told}"
    );
}

#[test]
fn check_too_few_cases() {
    let found = catch_unwind(|| cases(3).check(shout));
    assert!(found.is_err(), "there are only two cases");
}
