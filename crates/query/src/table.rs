//! Result tables: filtering, sorting and printing of their rows.
//!
//! The `operator` crate fills a table, a query reduces it, and it is printed as aligned text or as
//! JSON.

use std::{cmp::Ordering, fmt};

use serde_json::{Map, Value, json};
use snafu::Snafu;

use crate::statement::{Comparison, Condition, Direction, Query};

/// The value in one column of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cell {
    Text(String),
    Number(u64),
    Flag(bool),
}

/// A result table; each row has one cell for each column.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    pub columns: Vec<&'static str>,
    pub rows: Vec<Vec<Cell>>,
}

/// A query names a column that the table does not have.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no column `{column}`; the columns are: {known}"))]
pub struct UnknownColumn {
    pub column: String,
    /// The columns of the table, separated by commas.
    pub known: String,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(columns: &[&'static str]) -> Table {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Applies the conditions, order and limit of a query.
    ///
    /// # Errors
    ///
    /// [`UnknownColumn`] if a condition or the order names a column that the table lacks.
    pub fn apply(mut self, query: &Query) -> Result<Table, UnknownColumn> {
        for condition in &query.conditions {
            let column = self.column(&condition.column)?;
            self.rows.retain(|row| matches(&row[column], condition));
        }
        if let Some(order) = &query.order {
            let column = self.column(&order.column)?;
            self.rows.sort_by(|a, b| compare(&a[column], &b[column]));
            if order.direction == Direction::Descending {
                self.rows.reverse();
            }
        }
        if let Some(limit) = query.limit {
            self.rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        }
        Ok(self)
    }

    /// Converts the table to a JSON array with one object for each row.
    pub fn to_json(&self) -> Value {
        let object = |row: &Vec<Cell>| {
            let fields = self.columns.iter().zip(row);
            let fields = fields.map(|(column, cell)| ((*column).to_owned(), to_value(cell)));
            Value::Object(fields.collect::<Map<_, _>>())
        };
        Value::Array(self.rows.iter().map(object).collect())
    }

    fn column(&self, name: &str) -> Result<usize, UnknownColumn> {
        let found = self.columns.iter().position(|column| *column == name);
        found.ok_or_else(|| UnknownColumn {
            column: name.to_owned(),
            known: self.columns.join(", "),
        })
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells: Vec<Vec<String>> =
            self.rows.iter().map(|row| row.iter().map(Cell::to_string).collect()).collect();
        let width = |index: usize| {
            let widths = cells.iter().map(|row| row[index].chars().count());
            widths.max().unwrap_or(0).max(self.columns[index].len())
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        let header: Vec<_> = self.columns.iter().map(|column| (*column).to_owned()).collect();
        write_row(f, &header, &widths)?;
        for row in &cells {
            write_row(f, row, &widths)?;
        }
        Ok(())
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Text(text) => f.write_str(text),
            Cell::Number(number) => write!(f, "{number}"),
            Cell::Flag(true) => f.write_str("yes"),
            Cell::Flag(false) => f.write_str("no"),
        }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Cell {
        Cell::Text(text.to_owned())
    }
}

impl From<u64> for Cell {
    fn from(number: u64) -> Cell {
        Cell::Number(number)
    }
}

impl From<bool> for Cell {
    fn from(flag: bool) -> Cell {
        Cell::Flag(flag)
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &[String], widths: &[usize]) -> fmt::Result {
    let cells: Vec<_> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    writeln!(f, "{}", cells.join("  ").trim_end())
}

/// Returns whether a cell satisfies a condition. Numbers compare by value, everything else as
/// text.
fn matches(cell: &Cell, condition: &Condition) -> bool {
    if condition.comparison == Comparison::Contains {
        return cell.to_string().contains(&condition.value);
    }
    let ordering = match (cell, condition.value.parse::<u64>()) {
        (Cell::Number(number), Ok(value)) => number.cmp(&value),
        _ => cell.to_string().as_str().cmp(&condition.value),
    };
    match condition.comparison {
        Comparison::Equal => ordering == Ordering::Equal,
        Comparison::NotEqual => ordering != Ordering::Equal,
        Comparison::Less => ordering == Ordering::Less,
        Comparison::LessOrEqual => ordering != Ordering::Greater,
        Comparison::Greater => ordering == Ordering::Greater,
        Comparison::GreaterOrEqual => ordering != Ordering::Less,
        Comparison::Contains => true,
    }
}

fn compare(a: &Cell, b: &Cell) -> Ordering {
    match (a, b) {
        (Cell::Number(a), Cell::Number(b)) => a.cmp(b),
        (a, b) => a.to_string().cmp(&b.to_string()),
    }
}

fn to_value(cell: &Cell) -> Value {
    match cell {
        Cell::Text(text) => json!(text),
        Cell::Number(number) => json!(number),
        Cell::Flag(flag) => json!(flag),
    }
}
