//! The case runner: a case that differs and a folder with too few cases must fail the check.

use std::panic::catch_unwind;

use goldcrest_cases::{Cases, split};

const MARK: &str = "----\n";

fn cases(min_files: usize) -> Cases {
    Cases::new(env!("CARGO_MANIFEST_DIR"))
        .with_least(min_files)
        .with_no_blessing()
}

fn append_uppercase(case: &str) -> String {
    let input = split(case, MARK);
    format!("{input}{MARK}{}", input.to_uppercase())
}

#[test]
fn check_all_as_recorded() {
    cases(2).check(append_uppercase);
}

#[test]
fn check_case_differs() {
    let result =
        catch_unwind(|| cases(2).check(|case| append_uppercase(case).replace("SECOND", "third")));
    let panic = result.expect_err("the second case differs");
    let message = panic.downcast_ref::<String>().expect("a text");
    assert!(
        message.contains("second.txt") && !message.contains("first.txt"),
        "{message}"
    );
}

#[test]
fn check_too_few_cases() {
    let result = catch_unwind(|| cases(3).check(append_uppercase));
    assert!(result.is_err(), "there are only two cases");
}
