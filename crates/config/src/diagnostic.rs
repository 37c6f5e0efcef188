//! Faults of a text, each with its place.

use std::fmt;

/// Names one fault of a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextDiagnostic {
    /// Line of the text, from 1.
    pub line: usize,
    /// Field, such as `engines[2].role`.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for TextDiagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}: {}", self.line, self.field, self.message)
    }
}

/// Lists all faults of a text, by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDiagnostics(Vec<TextDiagnostic>);

impl TextDiagnostics {
    /// Sorts the faults and drops those that are named twice.
    pub fn new(mut faults: Vec<TextDiagnostic>) -> Self {
        faults.sort();
        faults.dedup();
        Self(faults)
    }

    /// Visits the faults by line.
    pub fn iter(&self) -> impl Iterator<Item = &TextDiagnostic> {
        self.0.iter()
    }
}

impl fmt::Display for TextDiagnostics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for TextDiagnostics {}
