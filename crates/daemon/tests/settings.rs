//! Settings as files: each case is a settings text, a line `---- errors`, and what the check must say.

use std::fs;
use std::path::PathBuf;

use goldcrest_daemon::settings::parse;

fn case_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases")
}

fn errors_of(text: &str) -> String {
    match parse(text) {
        Ok(_) => "none\n".to_owned(),
        Err(errors) => errors.to_string(),
    }
}

#[test]
fn parse_case_files() {
    let mut cases = 0;
    let mut wrong = Vec::new();
    for entry in fs::read_dir(case_dir()).unwrap() {
        let path = entry.unwrap().path();
        let case = fs::read_to_string(&path).unwrap();
        let (text, expected) = case.split_once("---- errors\n").unwrap();
        let found = errors_of(text);
        cases += 1;
        if found != expected {
            wrong.push(format!("{}:\n{found}", path.display()));
        }
    }
    assert!(cases > 10, "only {cases} case files were found");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn parse_secret_debug() {
    let text = fs::read_to_string(case_dir().join("whole.yaml")).unwrap();
    let (text, _) = text.split_once("---- errors\n").unwrap();
    let settings = parse(text).unwrap();
    assert_eq!(settings.peers.secret.reveal(), "between-entries");
    assert!(!format!("{settings:?}").contains("between-entries"));
}
