//! A stand-in of the platform's store, as PROTOCOL.md and the news pages describe it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine};
use serde_json::{json, Value};

use crate::{
    http::{self, Request},
    record::Record,
};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was deleted.
    item: Option<Item>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

/// What the store keeps. A copy of it is what the store comes back from in a drill.
#[derive(Clone, Debug, Default)]
struct Tables {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
}

impl Tables {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), revision, item: Some(item) });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let change = Change { key: key.to_owned(), revision: self.revision, item: None };
            self.history.push(change);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.end <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// A copy of the store's tables.
#[derive(Clone)]
pub struct StoreCopy {
    tables: Tables,
    taken_at: Instant,
}

impl StoreCopy {
    pub fn revision(&self) -> u64 {
        self.tables.revision
    }

    pub fn age(&self) -> Duration {
        self.taken_at.elapsed()
    }
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Every call gets 503; nothing is done.
    Busy,
    /// Calls get no response, and their connections return nothing further.
    Silent,
}

struct State {
    tables: Tables,
    mode: Mode,
    era: u64,
    /// Lease ids are never given out twice.
    next_lease: u64,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let tables = Tables { revision: 100, ..Tables::default() };
        let state = State { tables, mode: Mode::Up, era: 1, next_lease: 70_000 };
        let store = Self { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let serving = store.clone();
        http::serve(listener, Arc::new(move |request, stream| serving.handle(request, stream)));
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
        self.record.line(format!("store: {mode:?}"));
    }

    pub fn copy(&self) -> StoreCopy {
        let tables = self.state.lock().unwrap().tables.clone();
        StoreCopy { tables, taken_at: Instant::now() }
    }

    /// Comes back from a copy: what was written since is gone, leases too, revisions go back, and the
    /// era rises by one. Leases of the copy go on with the time that they had left.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let lost = state.tables.revision;
        let age = copy.age();
        state.tables = copy.tables.clone();
        for lease in state.tables.leases.values_mut() {
            lease.end += age;
        }
        state.era += 1;
        state.mode = Mode::Up;
        let (era, revision) = (state.era, state.tables.revision);
        drop(state);
        self.record.say(format!(
            "store: back from a copy {:.1} s old; revision {lost} -> {revision}, Store-Era {era}",
            age.as_secs_f64()
        ));
    }

    /// Writes a key as the operator or an engine does, and returns its revision. Returns `None`
    /// while the store isn't up.
    pub fn put(&self, key: &str, value: &Value) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Up {
            return None;
        }
        Some(state.tables.put(key, STANDARD.encode(value.to_string()), 0))
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let mode = self.state.lock().unwrap().mode;
        match mode {
            Mode::Up => {}
            Mode::Busy => return self.write(stream, 503, &Value::Null),
            Mode::Silent => return hold(stream),
        }
        let (status, body) = match self.respond(request) {
            Some(answer) => answer,
            // The store went away while the call waited.
            None if self.state.lock().unwrap().mode == Mode::Silent => return hold(stream),
            None => return false,
        };
        self.write(stream, status, &body)
    }

    fn write(&self, stream: &mut TcpStream, status: u16, body: &Value) -> bool {
        let era = self.state.lock().unwrap().era;
        let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        http::respond(stream, status, &headers, body.to_string().as_bytes())
    }

    fn respond(&self, request: &Request) -> Option<(u16, Value)> {
        self.state.lock().unwrap().tables.expire_leases();
        let path = request.path.strip_prefix("/gooseberrykeel/").unwrap_or_default();
        Some(match (request.method.as_str(), path) {
            ("GET", "kv-range") => self.range(request),
            ("GET", "kv-key") => self.item(request),
            ("GET", "kv-watch") => return self.watch(request),
            ("POST", "kv-txn") => self.transact(request),
            ("POST", "kv-lease") => self.grant(request),
            ("POST", _) => match path.strip_prefix("kv-keep/") {
                Some(id) => self.renew(id),
                None => (400, Value::Null),
            },
            ("DELETE", _) => match path.strip_prefix("kv-lease-end/") {
                Some(id) => {
                    self.state.lock().unwrap().tables.end_lease(id.parse().unwrap_or(0));
                    (200, json!({}))
                }
                None => (400, Value::Null),
            },
            _ => (400, Value::Null),
        })
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let prefix = request.parameter("path-prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let matching = state.tables.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<Value> = matching.map(|(key, item)| item_json(key, item)).collect();
        (200, json!({"items": items, "has-more": false, "as-of": state.tables.revision}))
    }

    fn item(&self, request: &Request) -> (u16, Value) {
        let key = request.parameter("key").unwrap_or_default();
        let state = self.state.lock().unwrap();
        match state.tables.items.get(&key) {
            Some(item) => {
                let mut body = item_json(&key, item);
                body["as-of"] = state.tables.revision.into();
                (200, body)
            }
            None => (404, json!({"as-of": state.tables.revision})),
        }
    }

    /// Returns `None` if the store goes away meanwhile.
    fn watch(&self, request: &Request) -> Option<(u16, Value)> {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let prefix = request.parameter("path-prefix").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let era = self.state.lock().unwrap().era;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                if state.mode != Mode::Up || state.era != era {
                    return None;
                }
                state.tables.expire_leases();
                let revision = state.tables.revision;
                if after > revision {
                    return Some((410, json!({"error": "no such revision"})));
                }
                let newer = state.tables.history.iter();
                let newer = newer.filter(|change| change.revision > after);
                let newer = newer.filter(|change| change.key.starts_with(&prefix));
                let events: Vec<Value> = newer.map(change_json).collect();
                if !events.is_empty() || Instant::now() >= end {
                    return Some((200, json!({"events": events, "as-of": revision})));
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }

    fn transact(&self, request: &Request) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return (400, Value::Null);
        };
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let tables = &mut state.tables;
        for condition in rows("precondition") {
            let key = condition["key"].as_str().unwrap_or_default();
            let current = tables.items.get(key).map_or(0, |item| item.revision);
            if Some(current) != condition["revision"].as_u64() {
                return (412, json!({"items": []}));
            }
        }
        for put in rows("puts") {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !tables.leases.contains_key(&lease) {
                return (404, json!({"error": "no such lease"}));
            }
        }
        for put in rows("puts") {
            let key = put["key"].as_str().unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, Value::Null);
            }
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            let revision = tables.put(key, value, put["lease"].as_u64().unwrap_or(0));
            self.record.line(format!("store: the system wrote {key} at revision {revision}"));
        }
        for key in rows("remove") {
            tables.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": tables.revision}))
    }

    fn grant(&self, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1000).max(1000));
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        state.tables.leases.insert(id, Lease { ttl, end: Instant::now() + ttl });
        (200, json!({"lease": id, "ttl-ms": ttl.as_millis() as u64}))
    }

    fn renew(&self, id: &str) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let lease = id.parse().ok().and_then(|id: u64| state.tables.leases.get_mut(&id));
        match lease {
            Some(lease) => {
                lease.end = Instant::now() + lease.ttl;
                (200, json!({"ttl-ms": lease.ttl.as_millis() as u64}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }
}

/// Waits until the other end closes the connection, which returns nothing further.
fn hold(stream: &mut TcpStream) -> bool {
    use std::io::Read;
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer), Ok(length) if length > 0) {}
    false
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease})
}

fn change_json(change: &Change) -> Value {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => json!({"key": change.key, "revision": change.revision, "deleted": true}),
    }
}
