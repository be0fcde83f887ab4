//! Catalogues as files: each case is a catalogue, a line `---- findings`, and what the check must say.

use std::fs;
use std::path::PathBuf;

use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::units::Revision;

fn case_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases")
}

fn findings_of(text: &str) -> String {
    match parse(text) {
        Ok(_) => "none\n".to_owned(),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn parse_case_files() {
    let mut cases = 0;
    let mut wrong = Vec::new();
    for entry in fs::read_dir(case_dir()).unwrap() {
        let path = entry.unwrap().path();
        let case = fs::read_to_string(&path).unwrap();
        let (text, expected) = case.split_once("---- findings\n").unwrap();
        let found = findings_of(text);
        cases += 1;
        if found != expected {
            wrong.push(format!("{}:\n{found}", path.display()));
        }
    }
    assert!(cases >= 20, "only {cases} case files were found");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn key_withdrawn() {
    let text = fs::read_to_string(case_dir().join("whole.yaml")).unwrap();
    let (text, _) = text.split_once("---- findings\n").unwrap();
    let mut spec = parse(text).unwrap();
    let cat = Catalogue::resolve(&spec, Revision::new(1)).unwrap();
    let key = cat.key("hello").unwrap();
    assert_eq!(cat.teams[cat.keys[key].team].name.as_str(), "agency");
    assert!(cat.key("hullo").is_none());
    spec.keys.clear();
    let cat = Catalogue::resolve(&spec, Revision::new(2)).unwrap();
    assert!(cat.key("hello").is_none());
}
