//! Plain tables: columns as wide as what they hold.

use jzon::JsonValue;

/// Rows of text, the headings first.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(heads: &[&str]) -> Table {
        Table { rows: vec![heads.iter().map(|h| h.to_string()).collect()] }
    }

    pub fn row(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub fn show(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |at: usize| self.rows.iter().filter_map(|r| r.get(at)).map(|c| c.chars().count()).max();
        let widths: Vec<usize> = (0..columns).map(|at| width(at).unwrap_or(0)).collect();
        let mut out = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            out.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            out.push('\n');
        }
        out
    }
}

/// A value as the text of a cell: strings without quotes, null as a dash.
pub fn cell(value: &JsonValue) -> String {
    match value {
        JsonValue::Null => "-".into(),
        JsonValue::Boolean(true) => "yes".into(),
        JsonValue::Boolean(false) => "no".into(),
        JsonValue::Array(list) if list.is_empty() => "-".into(),
        JsonValue::Array(list) if list.iter().all(|v| v.is_string()) => {
            list.iter().map(cell).collect::<Vec<_>>().join(",")
        }
        other => other.as_str().map_or_else(|| other.dump(), str::to_string),
    }
}

/// A table of an answer's rows. `columns`: the heading and the field of each.
pub fn list(rows: &JsonValue, columns: &[(&str, &str)]) -> String {
    let mut table = Table::new(&columns.iter().map(|c| c.0).collect::<Vec<_>>());
    for row in rows.members() {
        table.row(columns.iter().map(|c| cell(&row[c.1])).collect());
    }
    table.show()
}
