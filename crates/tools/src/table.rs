//! Tables for people.

/// `TextTable` aligns cells in columns.
#[derive(Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        let mut table = Self::default();
        table.push(heading);
        table
    }

    /// Adds a row.
    pub fn push<T: ToString>(&mut self, cells: &[T]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
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
