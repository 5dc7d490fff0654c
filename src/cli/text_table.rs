/// Table of texts whose columns are aligned when it is printed.
#[derive(Debug, Clone, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table whose first row holds the headings.
    #[must_use]
    pub fn new(headings: &[&str]) -> Self {
        let mut table = Self::default();
        table.add(headings.iter().map(ToString::to_string).collect());
        table
    }

    /// Adds a row below the others.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Renders the table, one row a line, with two spaces between columns.
    ///
    /// ```
    /// use toucanring::cli::TextTable;
    ///
    /// let mut table = TextTable::new(&["group", "state"]);
    /// table.add(vec!["kochi-1-1".into(), "serving".into()]);
    /// assert_eq!(table.render(), "group      state\nkochi-1-1  serving\n");
    /// ```
    #[must_use]
    pub fn render(&self) -> String {
        let mut widths: Vec<usize> = Vec::new();
        for row in &self.rows {
            widths.resize(widths.len().max(row.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(cell);
                let gap = width + 2 - cell.chars().count();
                line.extend(std::iter::repeat_n(' ', gap));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
