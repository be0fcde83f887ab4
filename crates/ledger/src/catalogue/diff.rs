//! The changes that turn one catalogue into another.

use goldcrest_types::catalogue::CatalogueSpec;

use super::change::{Change, Delta, Named};

/// Returns the changes that turn `old` into `new`, section by section. The order of records in a section does not
/// matter.
#[must_use]
pub fn diff(old: &CatalogueSpec, new: &CatalogueSpec) -> Vec<Change> {
    let mut out = Vec::new();
    diff_records(&old.data_centres, &new.data_centres, Change::Dc, &mut out);
    diff_records(&old.pools, &new.pools, Change::Pool, &mut out);
    diff_records(&old.teams, &new.teams, Change::Team, &mut out);
    diff_records(&old.queues, &new.queues, Change::Queue, &mut out);
    diff_records(&old.keys, &new.keys, Change::Key, &mut out);
    diff_records(&old.operators, &new.operators, Change::Operator, &mut out);
    if old.weights != new.weights {
        let delta = Delta::replace(old.weights.clone(), new.weights.clone());
        out.push(Change::Weights(delta));
    }
    if old.maintenance != new.maintenance {
        let delta = Delta::replace(old.maintenance.clone(), new.maintenance.clone());
        out.push(Change::Maintenance(delta));
    }
    out
}

fn diff_records<T: Named>(
    old: &[T],
    new: &[T],
    wrap: impl Fn(Delta<T>) -> Change,
    out: &mut Vec<Change>,
) {
    let by_name = |records: &[T], name: &str| {
        let found = records.iter().find(|record| record.name_text() == name);
        found.cloned()
    };
    for before in old {
        let after = by_name(new, before.name_text());
        if after.as_ref() != Some(before) {
            let before = Some(before.clone());
            out.push(wrap(Delta { before, after }));
        }
    }
    for after in new {
        if by_name(old, after.name_text()).is_none() {
            out.push(wrap(Delta::put(after.clone())));
        }
    }
}
