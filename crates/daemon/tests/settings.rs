//! Settings as files: each case is a settings text, a line `---- errors`, and the errors that the check must report.

use goldcrest_cases::{Cases, split};
use goldcrest_daemon::settings::parse;

/// The line that separates the settings text from the errors.
const MARK: &str = "---- errors\n";

fn cases() -> Cases {
    Cases::new(env!("CARGO_MANIFEST_DIR")).with_least(11)
}

fn run(case: &str) -> String {
    let text = split(case, MARK);
    let errors = match parse(text) {
        Ok(_) => "none\n".to_owned(),
        Err(errors) => errors.to_string(),
    };
    format!("{text}{MARK}{errors}")
}

#[test]
fn parse_case_files() {
    cases().check(run);
}

#[test]
fn parse_secret_debug() {
    let case = cases().read("whole.yaml");
    let settings = parse(split(&case, MARK)).unwrap();
    assert_eq!(settings.peers.secret.reveal(), "between-entries");
    assert!(!format!("{settings:?}").contains("between-entries"));
}
