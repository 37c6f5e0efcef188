//! Exported KV cache: what this engine holds for others, and what it fetched.

use std::collections::{HashMap, VecDeque};

/// Exports that an engine keeps.
const KEPT_EXPORTS: usize = 1024;

/// Holds the exports of one engine; a prompt's hash stands for its KV cache.
#[derive(Debug)]
pub struct ExportStore {
    incarnation: u64,
    export_count: u64,
    exports: HashMap<String, u64>,
    order: VecDeque<String>,
    imports: HashMap<String, u64>,
}

impl ExportStore {
    /// Makes an empty store; handles name the incarnation, so that those of an
    /// earlier process are unknown.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            export_count: 0,
            exports: HashMap::new(),
            order: VecDeque::new(),
            imports: HashMap::new(),
        }
    }

    /// Exports the KV cache of a prompt and returns its handle.
    pub fn add(&mut self, prompt_hash: u64) -> String {
        self.export_count += 1;
        let handle = format!("kv-{}-{}", self.incarnation, self.export_count);
        self.exports.insert(handle.clone(), prompt_hash);
        self.order.push_back(handle.clone());
        if self.order.len() > KEPT_EXPORTS {
            if let Some(oldest) = self.order.pop_front() {
                self.exports.remove(&oldest);
            }
        }
        handle
    }

    /// Returns the number of exports so far.
    pub fn export_count(&self) -> u32 {
        self.export_count as u32
    }

    /// Returns the KV cache of a handle that this engine exported.
    pub fn get_export(&self, handle: &str) -> Option<u64> {
        self.exports.get(handle).copied()
    }

    /// Keeps KV cache that was fetched from another engine.
    pub fn add_import(&mut self, handle: String, prompt_hash: u64) {
        self.imports.insert(handle, prompt_hash);
    }

    /// Takes imported KV cache for a sequence.
    pub fn take_import(&mut self, handle: &str) -> Option<u64> {
        self.imports.remove(handle)
    }
}
