//! The platform's key-value store, in memory. It answers the calls that gateways make.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine};
use parking_lot::Mutex;
use serde_json::{json, Value};

use crate::wire::{self, ReceivedRequest};

/// How a store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// Executes each call and responds.
    #[default]
    Normal,
    /// Executes each call after this delay, then responds.
    Slow(Duration),
    /// Responds with 503 and executes nothing.
    Unavailable,
    /// Executes the call and closes the connection without a response.
    DroppingResponses,
}

#[derive(Clone, Debug)]
struct StoreItem {
    value: Option<String>,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Debug, Default)]
struct StoreTables {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    /// Revision before which no history is kept.
    compacted_revision: u64,
    /// TTL and end of each lease, by its id.
    leases: BTreeMap<u64, (Duration, Instant)>,
    behaviour: StoreBehaviour,
    /// Number of the era, which rises each time the store comes back from a copy. A store without one
    /// doesn't state it.
    era: Option<u64>,
}

/// A copy of a store's items and leases.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    tables: StoreTables,
    taken_at: Instant,
}

impl StoreTables {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) -> u64 {
        self.revision += 1;
        let item = StoreItem { value, revision: self.revision, lease };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease && item.value.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.write(&key, None, 0);
            }
        }
    }
}

/// A mock of the platform's store that keeps its items in memory.
#[derive(Clone)]
pub struct StandinStore {
    pub address: SocketAddr,
    tables: Arc<Mutex<StoreTables>>,
}

impl StandinStore {
    /// Starts an empty store on a free port that the operating system assigns.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start() -> Self {
        Self::serve_tables(Arc::default())
    }

    fn serve_tables(tables: Arc<Mutex<StoreTables>>) -> Self {
        let (listener, address) = wire::bind_listener();
        let store = Self { address, tables };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = wire::read_request(&mut stream) {
            let (behaviour, era) = {
                let tables = self.tables.lock();
                (tables.behaviour, tables.era)
            };
            let (status, body) = match behaviour {
                StoreBehaviour::Unavailable => (503, Value::Null),
                StoreBehaviour::Slow(delay) => {
                    thread::sleep(delay);
                    self.respond(&request)
                }
                StoreBehaviour::Normal | StoreBehaviour::DroppingResponses => {
                    self.respond(&request)
                }
            };
            // A call that waited while the store came back from a copy gets no response.
            if behaviour == StoreBehaviour::DroppingResponses || self.tables.lock().era != era {
                return;
            }
            let text = body.to_string();
            let era = era.map(|era| format!("Store-Era: {era}\r\n")).unwrap_or_default();
            let head =
                format!("HTTP/1.1 {status} X\r\n{era}Content-Length: {}\r\n\r\n", text.len());
            if !wire::write_text(&mut stream, &(head + &text)) {
                return;
            }
        }
    }

    /// Sets how the store handles calls from now on.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        self.tables.lock().behaviour = behaviour;
    }

    /// States an era in all responses from now on.
    pub fn state_era(&self, era: u64) {
        self.tables.lock().era = Some(era);
    }

    /// Returns a copy of all items and leases.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { tables: self.tables.lock().clone(), taken_at: Instant::now() }
    }

    /// Comes back from a copy: what was written since is gone, revisions and ids of leases are given out
    /// again, and the era rises by one. Leases of the copy have the time left that they had then.
    pub fn restore(&self, copy: &StoreCopy) {
        let age = copy.taken_at.elapsed();
        let mut tables = self.tables.lock();
        let (era, behaviour) = (tables.era, tables.behaviour);
        *tables = copy.tables.clone();
        for (_, end) in tables.leases.values_mut() {
            *end += age;
        }
        tables.behaviour = behaviour;
        tables.era = Some(era.unwrap_or_default() + 1);
    }

    /// Writes a key without a lease, as operators and servers do.
    pub fn put(&self, key: &str, value: &Value) {
        self.tables.lock().write(key, Some(STANDARD.encode(value.to_string())), 0);
    }

    /// Writes the operators' configuration.
    pub fn put_configuration(&self, configuration: &Value) {
        self.put("op/config", configuration);
    }

    /// Writes the entry of a server.
    pub fn put_server(&self, id: &str, entry: &Value) {
        self.put(&format!("servers/{id}"), entry);
    }

    fn respond(&self, request: &ReceivedRequest) -> (u16, Value) {
        self.tables.lock().expire_leases();
        let target = request.request_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
            parameters.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
        };
        match path {
            "/gooseberrykeel/kv-range" => (200, self.range()),
            "/gooseberrykeel/kv-watch" => {
                self.watch(parameter("after").unwrap_or(0), parameter("wait-ms").unwrap_or(0))
            }
            "/gooseberrykeel/kv-txn" => self.transact(&request.body),
            "/gooseberrykeel/kv-lease" => self.grant(&request.body),
            _ => match path.strip_prefix("/gooseberrykeel/kv-keep/") {
                Some(lease) => self.renew(lease),
                None => (400, json!({"error": "no call"})),
            },
        }
    }

    fn range(&self) -> Value {
        let tables = self.tables.lock();
        let items = tables.items.iter().filter_map(|(key, item)| self.item_json(key, item));
        let items: Vec<Value> = items.collect();
        json!({"items": items, "has-more": false, "as-of": tables.revision})
    }

    fn item_json(&self, key: &str, item: &StoreItem) -> Option<Value> {
        let value = item.value.as_ref()?;
        let revision = item.revision;
        Some(
            json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": item.lease}),
        )
    }

    fn watch(&self, after: u64, wait_ms: u64) -> (u16, Value) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut tables = self.tables.lock();
                tables.expire_leases();
                if after < tables.compacted_revision || after > tables.revision {
                    return (410, json!({"error": "no such history"}));
                }
                if tables.revision > after || Instant::now() >= end {
                    let newer = tables.items.iter().filter(|(_, item)| item.revision > after);
                    let events: Vec<Value> = newer
                        .map(|(key, item)| {
                            self.item_json(key, item).unwrap_or_else(
                                || json!({"key": key, "revision": item.revision, "deleted": true}),
                            )
                        })
                        .collect();
                    return (200, json!({"events": events, "as-of": tables.revision}));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).expect("the body of a transaction is JSON");
        let mut tables = self.tables.lock();
        for condition in body["precondition"].as_array().unwrap() {
            let item = tables.items.get(condition["key"].as_str().unwrap());
            let revision = item.filter(|item| item.value.is_some()).map_or(0, |item| item.revision);
            if revision != condition["revision"].as_u64().unwrap() {
                return (412, json!({"items": []}));
            }
        }
        let mut revision = 0;
        for put in body["puts"].as_array().unwrap() {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !tables.leases.contains_key(&lease) {
                return (404, json!({"error": "no lease"}));
            }
            let value = put["value"].as_str().unwrap().to_owned();
            revision = tables.write(put["key"].as_str().unwrap(), Some(value), lease);
        }
        for key in body["remove"].as_array().into_iter().flatten() {
            revision = tables.write(key.as_str().unwrap(), None, 0);
        }
        (200, json!({"revision": revision}))
    }

    fn grant(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).expect("the body of a lease request is JSON");
        let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1000));
        let mut tables = self.tables.lock();
        let id = tables.leases.last_key_value().map_or(1, |(id, _)| id + 1);
        tables.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, json!({"lease": id, "ttl-ms": ttl.as_millis() as u64}))
    }

    fn renew(&self, lease: &str) -> (u16, Value) {
        let mut tables = self.tables.lock();
        let found = lease.parse().ok().and_then(|id: u64| tables.leases.get_mut(&id));
        match found {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, json!({"ttl-ms": ttl.as_millis() as u64}))
            }
            None => (404, json!({"error": "no lease"})),
        }
    }
}
