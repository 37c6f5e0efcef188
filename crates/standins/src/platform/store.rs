//! Key-value store with revisions, leases and notification of watches.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::platform::{KvListing, KvPut, KvRecord};

/// Largest value that a key may hold, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Value of one key.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Timestamp,
}

/// All keys and leases, with one revision counter for the whole store.
#[derive(Debug, Default)]
pub struct KeyStore {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    watchers: Vec<async_channel::Sender<()>>,
}

impl KeyStore {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<KvRecord> {
        self.values.get(key).map(|stored| record(key, stored))
    }

    /// Returns the records whose keys begin with a prefix, and the store's revision.
    pub fn list(&self, prefix: &str) -> KvListing {
        let records = self
            .values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| record(key, stored))
            .collect();
        KvListing { records, revision: self.revision }
    }

    /// Writes a key if its revision is the expected one and its lease exists.
    ///
    /// # Errors
    ///
    /// Returns the present record if it has another revision or the lease has expired.
    pub fn put(&mut self, key: &str, put: KvPut) -> Result<u64, Option<KvRecord>> {
        let current = self.get(key);
        let revision = current.as_ref().map_or(0, |record| record.revision);
        let lease_expired = put.lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        if lease_expired || put.expected.is_some_and(|expected| expected != revision) {
            return Err(current);
        }
        self.revision += 1;
        let stored = StoredValue { value: put.value, revision: self.revision, lease: put.lease };
        self.values.insert(key.to_owned(), stored);
        self.notify_watchers();
        Ok(self.revision)
    }

    /// Deletes a key if its revision is the expected one.
    ///
    /// # Errors
    ///
    /// Returns the present record if it has another revision.
    pub fn delete(&mut self, key: &str, expected: u64) -> Result<u64, Option<KvRecord>> {
        let current = self.get(key);
        if current.as_ref().map_or(0, |record| record.revision) != expected {
            return Err(current);
        }
        self.values.remove(key);
        self.revision += 1;
        self.notify_watchers();
        Ok(self.revision)
    }

    /// Returns a receiver that is notified of the next change of any key.
    pub fn subscribe(&mut self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.retain(|watcher| !watcher.is_closed());
        self.watchers.push(sender);
        receiver
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Timestamp) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, expires_at: now + ttl });
        self.next_lease
    }

    /// Renews a lease; returns `false` if it has expired.
    pub fn renew(&mut self, lease: u64, now: Timestamp) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and deletes the keys that are attached to it.
    pub fn release(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let before = self.values.len();
        self.values.retain(|_, stored| stored.lease != Some(lease));
        if self.values.len() < before {
            self.revision += 1;
            self.notify_watchers();
        }
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.release(lease);
        }
    }

    fn notify_watchers(&mut self) {
        for watcher in self.watchers.drain(..) {
            let _ = watcher.try_send(());
        }
    }
}

fn record(key: &str, stored: &StoredValue) -> KvRecord {
    KvRecord { key: key.to_owned(), value: stored.value.clone(), revision: stored.revision }
}
