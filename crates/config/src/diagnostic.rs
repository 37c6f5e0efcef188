//! Diagnostics of a text: what is wrong, on which line and in which field.

use std::fmt;

/// One error in a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextDiagnostic {
    /// Line number, from 1.
    pub line: usize,
    /// Path of the field, such as `engines[2].role`.
    pub field: String,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl fmt::Display for TextDiagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}: {}", self.line, self.field, self.message)
    }
}

/// All errors in a text, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDiagnostics(Vec<TextDiagnostic>);

impl TextDiagnostics {
    /// Sorts the diagnostics and removes duplicates.
    pub fn new(mut diagnostics: Vec<TextDiagnostic>) -> Self {
        diagnostics.sort();
        diagnostics.dedup();
        Self(diagnostics)
    }

    /// Iterates over the diagnostics in the order of their lines.
    pub fn iter(&self) -> impl Iterator<Item = &TextDiagnostic> {
        self.0.iter()
    }
}

impl fmt::Display for TextDiagnostics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for TextDiagnostics {}
