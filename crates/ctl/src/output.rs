//! Output of results: either text and tables for people, or JSON for programs.

use comfy_table::{presets, Table};
use serde::Serialize;

/// Selects the format in which results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// Prints a value as JSON, or the text that `text` returns.
    pub fn print(self, value: &impl Serialize, text: impl FnOnce() -> String) {
        match self {
            Self::Text => println!("{}", text().trim_end()),
            Self::Json => println!("{}", serde_json::json!(value)),
        }
    }
}

/// Returns an empty table with a header. It is coloured and fitted to the width
/// only on a terminal.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}
