//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{fs, path::Path, sync::Arc, time::Instant};

use parking_lot::Mutex;

/// Lines of the record; clones share them.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }
}

impl Record {
    /// Adds a line.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.lines.lock().push(format!("{at:8.3} {}", text.as_ref()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().join("\n");
        text.push('\n');
        if let Err(error) = fs::write(path, text) {
            eprintln!("can't write the record: {error}");
        }
    }
}
