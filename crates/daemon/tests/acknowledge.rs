//! `lagging` counts the entries that have not confirmed a fleet document, and so hold back a reboot.

use goldcrest_daemon::maintenance::acknowledge::lagging;
use goldcrest_peer::message::FleetSeen;
use goldcrest_types::names::DcName;
use goldcrest_types::units::StoreVersion;

fn dc(name: &str) -> DcName {
    name.parse().expect("a name")
}

fn seen(name: &str, version: u64) -> FleetSeen {
    FleetSeen {
        dc: dc(name),
        version: StoreVersion::new(version),
    }
}

fn lagging_at(answers: &[Option<Vec<FleetSeen>>], version: u64) -> usize {
    lagging(answers, &dc("a"), StoreVersion::new(version))
}

#[test]
fn lagging_all_have_seen() {
    let answers = [
        Some(vec![seen("a", 5), seen("b", 1)]),
        Some(vec![seen("a", 7)]),
    ];
    assert_eq!(lagging_at(&answers, 5), 0);
}

#[test]
fn lagging_older_version() {
    let answers = [Some(vec![seen("a", 4)]), Some(vec![seen("a", 5)])];
    assert_eq!(lagging_at(&answers, 5), 1);
}

#[test]
fn lagging_no_answer() {
    let answers = [None, Some(vec![seen("a", 5)])];
    assert_eq!(lagging_at(&answers, 5), 1);
}

#[test]
fn lagging_other_data_centre_only() {
    let answers = [Some(vec![seen("b", 9)]), Some(Vec::new())];
    assert_eq!(lagging_at(&answers, 5), 2);
}
