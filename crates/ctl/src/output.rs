//! Output: tables for people, JSON for programs, never both.

use comfy_table::{presets, Table};
use serde::Serialize;

/// Says how results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// Prints a value as JSON for programs, or as text for people.
    pub fn print(self, value: &impl Serialize, text: impl FnOnce() -> String) {
        match self {
            Self::Text => println!("{}", text().trim_end()),
            Self::Json => println!("{}", serde_json::json!(value)),
        }
    }
}

/// Makes a table with a header; it is coloured and fitted only on a terminal.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}
