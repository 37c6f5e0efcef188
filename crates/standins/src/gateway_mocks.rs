//! Stand-ins of the users' platform for the gateway: a store, backend servers
//! that follow a script, and what callers write and read on raw sockets.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine};
use parking_lot::Mutex;
use serde_json::{json, Value};

/// A request as a stand-in read it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header; names are lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the id that the caller gave the request.
    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        let target = self.request_line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Tells whether only the prompt is to be read.
    pub fn is_prefill(&self) -> bool {
        self.header("x-serving-stage") == Some("prefill")
    }
}

/// Reads one request, or nothing if the connection ends or breaks.
pub fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(bytes).ok()?;
    let mut lines = head.trim_end().split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = match headers.get("content-length") {
        Some(length) => length.parse().ok()?,
        None => 0,
    };
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { request_line: line, headers, body: String::from_utf8(body).ok()? })
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A backend server that does with each request what its script says.
pub struct ScriptedServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

/// What a script does with a request: it may write any bytes and returns
/// whether the connection stays.
pub type RequestHandler = Arc<dyn Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync>;

impl ScriptedServer {
    /// Starts a server on a port of the system's choice.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start(
        script: impl Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let (listener, address) = listener();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script: RequestHandler = Arc::new(script);
        let requests = Arc::clone(&seen);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                thread::spawn(move || serve(stream, &script, &requests));
            }
        });
        Self { address, received: seen }
    }

    /// Returns all requests that came so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().clone()
    }
}

fn serve(mut stream: TcpStream, script: &RequestHandler, seen: &Mutex<Vec<ReceivedRequest>>) {
    while let Some(request) = read_request(&mut stream) {
        seen.lock().push(request.clone());
        if !script(&request, &mut stream) {
            return;
        }
    }
}

/// Answers as a sound server does.
pub fn write_response(request: &ReceivedRequest, stream: &mut TcpStream, body: &str) -> bool {
    let length = format!("Content-Length: {}", body.len());
    write_text(stream, &format!("{}{body}", response_head(request, &length)))
}

/// Returns the head of a sound server's answer with one more header.
pub fn response_head(request: &ReceivedRequest, header: &str) -> String {
    let id = request.id();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal\r\n{header}\r\n\r\n")
}

/// Answers that the request isn't run.
pub fn write_rejection(stream: &mut TcpStream) -> bool {
    write_text(stream, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Answers that a prompt was read.
pub fn write_prefill_response(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    let body = json!({"kv-handle": request.id(), "token-count": 1, "version": 1}).to_string();
    write_response(request, stream, &body)
}

/// Writes bytes as they are; returns whether the connection still takes them.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// What a store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehaviour {
    #[default]
    Normal,
    /// Answers after a while.
    Slow(Duration),
    /// Answers 503 and does nothing.
    Unavailable,
    /// Does what is asked and closes the connection without an answer.
    DroppingResponses,
}

#[derive(Debug)]
struct StoreItem {
    value: Option<String>,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreTables {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    /// Revision before which no history is kept.
    floor: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    mood: StoreBehaviour,
}

impl StoreTables {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) -> u64 {
        self.revision += 1;
        let item = StoreItem { value, revision: self.revision, lease };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
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

/// A store that keeps its items in memory.
#[derive(Clone)]
pub struct StandinStore {
    pub address: SocketAddr,
    tables: Arc<Mutex<StoreTables>>,
}

impl StandinStore {
    /// Starts an empty store on a port of the system's choice.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start() -> Self {
        let (listener, address) = listener();
        let store = Self { address, tables: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let mood = self.tables.lock().mood;
            let (status, body) = match mood {
                StoreBehaviour::Unavailable => (503, Value::Null),
                StoreBehaviour::Slow(span) => {
                    thread::sleep(span);
                    self.call(&request)
                }
                StoreBehaviour::Normal | StoreBehaviour::DroppingResponses => self.call(&request),
            };
            if mood == StoreBehaviour::DroppingResponses {
                return;
            }
            let text = body.to_string();
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", text.len());
            if !write_text(&mut stream, &(head + &text)) {
                return;
            }
        }
    }

    /// Sets what the store does with calls from now on.
    pub fn set_behaviour(&self, mood: StoreBehaviour) {
        self.tables.lock().mood = mood;
    }

    /// Forgets all history.
    pub fn compact(&self) {
        let mut tables = self.tables.lock();
        tables.floor = tables.revision;
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.tables.lock().write(key, Some(STANDARD.encode(value.to_string())), 0);
    }

    /// Writes the newest configuration.
    pub fn put_configuration(&self, configuration: &Value) {
        self.put("op/config", configuration);
    }

    /// Writes a server's entry.
    pub fn put_server(&self, id: &str, entry: &Value) {
        self.put(&format!("servers/{id}"), entry);
    }

    /// Removes a server's entry.
    pub fn remove_server(&self, id: &str) {
        self.remove(&format!("servers/{id}"));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.tables.lock().write(key, None, 0);
    }

    /// Removes a key and all history, so that no watch tells of it.
    pub fn remove_and_compact(&self, key: &str) {
        let mut tables = self.tables.lock();
        tables.write(key, None, 0);
        tables.floor = tables.revision;
    }

    /// Returns the text of a key.
    pub fn value_text(&self, key: &str) -> Option<String> {
        let tables = self.tables.lock();
        let value = tables.items.get(key)?.value.as_ref()?;
        String::from_utf8(STANDARD.decode(value).ok()?).ok()
    }

    fn call(&self, request: &ReceivedRequest) -> (u16, Value) {
        self.tables.lock().end_leases();
        let target = request.request_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
        };
        match path {
            "/gooseberrykeel/kv-range" => (200, self.range()),
            "/gooseberrykeel/kv-watch" => {
                self.watch(field("after").unwrap_or(0), field("wait-ms").unwrap_or(0))
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
        let rows = tables.items.iter().filter_map(|(key, item)| row(key, item));
        let rows: Vec<Value> = rows.collect();
        json!({"items": rows, "has-more": false, "as-of": tables.revision})
    }

    fn watch(&self, after: u64, wait_ms: u64) -> (u16, Value) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut tables = self.tables.lock();
                tables.end_leases();
                if after < tables.floor {
                    return (410, json!({"error": "compacted"}));
                }
                if tables.revision > after || Instant::now() >= end {
                    let newer = tables.items.iter().filter(|(_, item)| item.revision > after);
                    let events: Vec<Value> = newer
                        .map(|(key, item)| {
                            row(key, item).unwrap_or_else(
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
        let body: Value = serde_json::from_str(body).expect("a transaction");
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
        (200, json!({"revision": revision}))
    }

    fn grant(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).expect("a request for a lease");
        let span = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1000));
        let mut tables = self.tables.lock();
        let id = tables.leases.last_key_value().map_or(1, |(id, _)| id + 1);
        tables.leases.insert(id, (span, Instant::now() + span));
        (200, json!({"lease": id, "ttl-ms": span.as_millis() as u64}))
    }

    fn renew(&self, lease: &str) -> (u16, Value) {
        let mut tables = self.tables.lock();
        let known = lease.parse().ok().and_then(|id: u64| tables.leases.get_mut(&id));
        match known {
            Some((span, end)) => {
                *end = Instant::now() + *span;
                (200, json!({"ttl-ms": span.as_millis() as u64}))
            }
            None => (404, json!({"error": "no lease"})),
        }
    }
}

fn row(key: &str, item: &StoreItem) -> Option<Value> {
    let value = item.value.as_ref()?;
    let revision = item.revision;
    Some(
        json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": item.lease}),
    )
}

/// Makes a configuration with a route of each kind: `/plain/` and `/order/` lead
/// to the service `plain`, or to `plain_service` if that is another, `/chat/` and
/// `/review/` to `model`.
pub fn configuration(version: u64, plain_service: &str) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "host.example", "path-prefix": format!("/{name}/"),
            "route-kind": kind, "timeout-ms": 4000, "slo-ms": 2000, "priority": 1,
            "service": service, "attempts": attempts, "sticky": service == "model",
            "resumable": resumable,
        })
    };
    let plain = |name: &str| json!({"name": name, "health-path": "/healthz", "max-conns": 50});
    json!({
        "version": version,
        "routes": [
            route("plain", "idempotent", plain_service, 2, false),
            route("order", "non_idempotent", plain_service, 1, false),
            route("chat", "streaming", "model", 1, false),
            route("review", "streaming", "model", 2, true),
        ],
        "services": [
            plain("plain"),
            plain("other"),
            {"name": "model", "health-path": "/healthz", "max-conns": 50, "engine": {
                "slots": 64, "kv-capacity": 100000, "kv-bytes": 1000, "link-mbps": 1e6,
                "kv-hold-s": 5.0, "switch-s": 3.0}},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

/// Makes the entry of a server, `stage` empty for one of a plain service.
pub fn server_entry(service: &str, address: &str, stage: &str, state: &str) -> Value {
    let mut entry = json!({
        "service": service, "address": address, "zone": "a",
        "version": "v1", "slots": 6, "state": state, "cold-left-ms": 0, "sequence": 1,
    });
    if !stage.is_empty() {
        entry["stage"] = stage.into();
    }
    entry
}

/// Makes a request without a body, with more header lines.
pub fn get_request(id: &str, path: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\n{headers}\r\n"
    )
}

/// Header lines of a request that carries a prompt with a shared part.
pub fn prompt_headers(shared: &str, own: &str) -> String {
    format!("X-Model: m\r\nX-Token-Usage: 400,5\r\nX-Prompt-Prefix: {shared}:300,{own}:100\r\n")
}

/// Tells whether an answer bears a server's signature.
pub fn is_signed(answer: &str) -> bool {
    let head = answer.split("\r\n\r\n").next().unwrap_or_default();
    head.to_ascii_lowercase().contains("\r\nx-response-seal:")
}

/// The readiness question of the balancer.
pub const READINESS_REQUEST: &str = "GET /gooseberrykeel/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";

/// Reads an answer with a length or in chunks, or up to the connection's end.
pub fn read_response(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    loop {
        if is_complete_response(&text) {
            return text;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return text,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
        }
    }
}

/// Tells whether a text holds a whole answer.
pub fn is_complete_response(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let mut lines = head.lines().filter_map(|line| line.strip_prefix("content-length: "));
    lines.next().is_some_and(|length| body.len() >= length.parse::<usize>().unwrap_or(usize::MAX))
}

/// Returns the status of an answer.
pub fn status_code(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}
