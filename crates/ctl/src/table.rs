//! Formats human-readable tables with aligned columns.

use std::fmt;

/// Table with a header row; its `Display` output pads each column to its widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows; `header` holds the column names.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Appends a row; cells beyond the header's columns get columns without a name.
    pub fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |c: usize| {
            self.rows.iter().filter_map(|row| row.get(c)).map(|cell| cell.chars().count()).max()
        };
        (0..columns).map(|c| width(c).unwrap_or(0)).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
