//! Case files of catalogues. A case is a catalogue in YAML, a line `---- findings`, and the expected findings.

use goldcrest_cases::{Cases, split};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::units::Revision;

/// The line between the catalogue and the findings.
const MARK: &str = "---- findings\n";

fn cases() -> Cases {
    Cases::new(env!("CARGO_MANIFEST_DIR")).with_least(20)
}

fn run(case: &str) -> String {
    let text = split(case, MARK);
    let findings = match parse(text) {
        Ok(_) => "none\n".to_owned(),
        Err(findings) => findings.to_string(),
    };
    format!("{text}{MARK}{findings}")
}

#[test]
fn parse_case_files() {
    cases().check(run);
}

#[test]
fn key_withdrawn() {
    let case = cases().read("whole.yaml");
    let mut spec = parse(split(&case, MARK)).unwrap();
    let cat = Catalogue::resolve(&spec, Revision::new(1)).unwrap();
    let key = cat.key("hello").unwrap();
    assert_eq!(cat.teams[cat.keys[key].team].name.as_str(), "agency");
    assert!(cat.key("hullo").is_none());
    spec.keys.clear();
    let cat = Catalogue::resolve(&spec, Revision::new(2)).unwrap();
    assert!(cat.key("hello").is_none());
}
