//! Plain-text tables for people.

use std::fmt::Write;

/// A table of left-aligned columns. The first row holds the headings.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<Box<str>>>,
}

impl Table {
    /// Creates a table that has headings and no rows.
    #[must_use]
    pub fn new(headings: &[&str]) -> Self {
        let heading = headings.iter().map(|text| (*text).into()).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Appends a row, with one cell per column.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows
            .push(cells.into_iter().map(String::into_boxed_str).collect());
    }

    /// Returns whether the table has no rows beside the headings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() < 2
    }

    /// Formats the table, without a line break at the end.
    #[must_use]
    pub fn text(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for (index, row) in self.rows.iter().enumerate() {
            if index > 0 {
                text.push('\n');
            }
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                // Writing to a string does not fail.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
