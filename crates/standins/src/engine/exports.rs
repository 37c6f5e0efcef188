//! KV cache that this engine exports to other engines, and that it imported from them.

use std::collections::{HashMap, VecDeque};

/// Largest number of exports that an engine keeps.
const MAX_EXPORTS: usize = 1024;

/// Exports and imports of one engine; a prompt's hash represents its KV cache.
#[derive(Debug)]
pub struct ExportStore {
    incarnation: u64,
    export_count: u64,
    exports: HashMap<String, u64>,
    /// Handles of the exports, oldest first.
    export_order: VecDeque<String>,
    imports: HashMap<String, u64>,
}

impl ExportStore {
    /// Makes an empty store.
    ///
    /// Handles contain the incarnation, so that those of an earlier process are unknown.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            export_count: 0,
            exports: HashMap::new(),
            export_order: VecDeque::new(),
            imports: HashMap::new(),
        }
    }

    /// Exports the KV cache of a prompt and returns its handle.
    pub fn add(&mut self, prompt_hash: u64) -> String {
        self.export_count += 1;
        let handle = format!("kv-{}-{}", self.incarnation, self.export_count);
        self.exports.insert(handle.clone(), prompt_hash);
        self.export_order.push_back(handle.clone());
        if self.export_order.len() > MAX_EXPORTS {
            if let Some(oldest) = self.export_order.pop_front() {
                self.exports.remove(&oldest);
            }
        }
        handle
    }

    /// Returns the number of exports made so far.
    pub fn export_count(&self) -> u32 {
        self.export_count as u32
    }

    /// Returns the prompt hash of an export, or `None` if its handle is unknown.
    pub fn get_export(&self, handle: &str) -> Option<u64> {
        self.exports.get(handle).copied()
    }

    /// Stores KV cache that was fetched from another engine.
    pub fn add_import(&mut self, handle: String, prompt_hash: u64) {
        self.imports.insert(handle, prompt_hash);
    }

    /// Removes imported KV cache and returns its prompt hash, for use by a sequence.
    pub fn take_import(&mut self, handle: &str) -> Option<u64> {
        self.imports.remove(handle)
    }
}
