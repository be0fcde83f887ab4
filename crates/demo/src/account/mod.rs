//! What a demonstration checked, and whether it held.

use goldcrest_types::breach::Promise;

/// How often one promise was checked, and how often it was broken.
#[derive(Debug, Clone)]
struct Row {
    promise: Promise,
    what: Box<str>,
    checked: u64,
    broken: u64,
}

/// The checks so far.
#[derive(Debug, Default)]
pub struct Account {
    rows: Vec<Row>,
    failures: Vec<Box<str>>,
}

impl Account {
    /// An empty account.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `promise` was checked `checked` times and broken `broken` times.
    pub fn check(&mut self, promise: Promise, what: &str, checked: u64, broken: u64) {
        self.rows.push(Row {
            promise,
            what: what.into(),
            checked,
            broken,
        });
    }

    /// Notes a step that did not come to what it should.
    pub fn fail(&mut self, what: impl Into<Box<str>>) {
        self.failures.push(what.into());
    }

    /// Whether everything held, and each promise on the list was checked at least once.
    #[must_use]
    pub fn holds(&self) -> bool {
        let is_kept = self
            .rows
            .iter()
            .all(|row| row.checked > 0 && row.broken == 0);
        is_kept && self.failures.is_empty() && self.unchecked().next().is_none()
    }

    /// The promises that were never checked.
    pub fn unchecked(&self) -> impl Iterator<Item = Promise> {
        let is_checked = |promise: &Promise| self.rows.iter().any(|row| row.promise == *promise);
        Promise::ALL
            .into_iter()
            .filter(move |promise| !is_checked(promise))
    }

    /// Prints the account.
    pub fn print(&self) {
        println!();
        println!("{:<24} {:>8} {:>7}  what", "promise", "checked", "broken");
        for row in &self.rows {
            println!(
                "{:<24} {:>8} {:>7}  {}",
                row.promise, row.checked, row.broken, row.what
            );
        }
        for promise in self.unchecked() {
            println!("{promise:<24} {:>8} {:>7}  not checked", 0, "-");
        }
        for failure in &self.failures {
            println!("failed: {failure}");
        }
        println!(
            "{}",
            if self.holds() {
                "all promises held"
            } else {
                "NOT all promises held"
            }
        );
    }
}
