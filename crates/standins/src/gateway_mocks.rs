//! Mocks for tests of the gateway: the platform's store, backend servers whose
//! responses a test scripts, and helpers that write requests to raw sockets and
//! read responses from them.

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

/// A request as a mock received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header; the name must be lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the attempt id that the request carries, or an empty text.
    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }

    /// Returns the id of the server that the request is addressed to, if it names one.
    pub fn expected_server(&self) -> Option<&str> {
        self.header("x-expect-instance")
    }

    /// Returns the parts of the prompt as the request lists them, or an empty text.
    pub fn prompt_parts(&self) -> &str {
        self.header("x-prompt-prefix").unwrap_or_default()
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        let target = self.request_line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns whether the request asks for prefill only.
    pub fn is_prefill(&self) -> bool {
        self.header("x-serving-stage") == Some("prefill")
    }
}

/// Reads one request; returns `None` if the connection is closed or fails.
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
    let first_line = lines.next().unwrap_or_default().to_owned();
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
    Some(ReceivedRequest { request_line: first_line, headers, body: String::from_utf8(body).ok()? })
}

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on 127.0.0.1");
    let address = listener.local_addr().expect("the listener has a local address");
    (listener, address)
}

/// A backend server that passes each request to a handler of the test.
pub struct ScriptedServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

/// Handles a request: it may write any bytes to the connection, and returns whether
/// the connection stays open.
pub type RequestHandler = Arc<dyn Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync>;

impl ScriptedServer {
    /// Starts a server on a free port that the operating system assigns.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start(
        handler: impl Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let (listener, address) = bind_listener();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let handler: RequestHandler = Arc::new(handler);
        let recorded = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, recorded) = (Arc::clone(&handler), Arc::clone(&recorded));
                thread::spawn(move || serve(stream, &handler, &recorded));
            }
        });
        Self { address, received: requests }
    }

    /// Returns all requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().clone()
    }
}

fn serve(mut stream: TcpStream, handler: &RequestHandler, received: &Mutex<Vec<ReceivedRequest>>) {
    while let Some(request) = read_request(&mut stream) {
        received.lock().push(request.clone());
        if !handler(&request, &mut stream) {
            return;
        }
    }
}

/// Writes a 200 response with a seal and a body, as a correct server does; returns
/// whether the connection accepted it.
pub fn write_response(request: &ReceivedRequest, stream: &mut TcpStream, body: &str) -> bool {
    write_response_with(request, stream, "", body)
}

/// Writes the same response with additional header lines.
pub fn write_response_with(
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    headers: &str,
    body: &str,
) -> bool {
    let headers = format!("{headers}Content-Length: {}", body.len());
    write_text(stream, &format!("{}{body}", response_head(request, &headers)))
}

/// Returns the head of a correct server's 200 response with one additional header.
pub fn response_head(request: &ReceivedRequest, header: &str) -> String {
    let id = request.id();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal\r\n{header}\r\n\r\n")
}

/// Writes a 503 response which states that the request wasn't executed, with additional header
/// lines.
pub fn write_rejection(request: &ReceivedRequest, stream: &mut TcpStream, headers: &str) -> bool {
    write_refusal(503, request, stream, headers)
}

/// Writes a response that repeats the request's id and states that it wasn't executed.
fn write_refusal(
    status: u16,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    headers: &str,
) -> bool {
    let id = request.id();
    let head = format!("HTTP/1.1 {status} X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}");
    write_text(stream, &format!("{head}\r\nContent-Length: 0\r\n{headers}\r\n"))
}

/// Header line with which a server says that it leaves.
pub const LEAVING_HEADER: &str = "Server-Leaving: 1\r\n";

/// Returns the header line with which a server names its request limit.
pub fn limit_header(per_second: f64) -> String {
    format!("Server-Limit: {per_second}\r\n")
}

/// Writes the 421 response of a server that the request isn't addressed to.
pub fn write_misdirected(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    write_refusal(421, request, stream, "")
}

/// Returns the body of the response to a prefill request, with a KV cache handle and one token.
pub fn prefill_body(request: &ReceivedRequest) -> String {
    json!({"kv-handle": request.id(), "token-count": 1, "version": 1}).to_string()
}

/// Writes the response to a prefill request.
pub fn write_prefill_response(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    write_response(request, stream, &prefill_body(request))
}

/// Writes a text unchanged; returns whether the connection accepted it.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// A call of a duty as the platform's API received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// How the platform's API handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ApiBehaviour {
    /// Carries out each call.
    #[default]
    Accepting,
    /// Refuses each call with this status.
    Refusing(u16),
    /// Carries out each call and closes the connection without a response.
    DroppingResponses,
    /// Closes each connection without reading a call.
    Down,
}

/// A mock of the platform's API for the duties. It checks no tokens.
#[derive(Clone)]
pub struct StandinApi {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<ApiBehaviour>>,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl StandinApi {
    /// Starts an API on a free port that the operating system assigns.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start() -> Self {
        let (listener, address) = bind_listener();
        let api = Self { address, behaviour: Arc::default(), calls: Arc::default() };
        let accepting = api.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let api = accepting.clone();
                thread::spawn(move || api.serve(stream));
            }
        });
        api
    }

    /// Sets how calls are handled from now on.
    pub fn set_behaviour(&self, behaviour: ApiBehaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// Returns all calls that arrived, also those that were refused.
    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        if *self.behaviour.lock() == ApiBehaviour::Down {
            return;
        }
        while let Some(request) = read_request(&mut stream) {
            let behaviour = *self.behaviour.lock();
            let is_known = request.request_line.starts_with("POST ")
                && matches!(request.path(), "/usage" | "/replicas");
            let token = request.header("x-fencing-token").and_then(|token| token.parse().ok());
            let call = DutyCall {
                path: request.path().to_owned(),
                holder: request.header("x-duty-holder").unwrap_or_default().to_owned(),
                token: token.unwrap_or_default(),
                body: request.body,
            };
            self.calls.lock().push(call);
            let status = match behaviour {
                _ if !is_known => 404,
                ApiBehaviour::Accepting => 200,
                ApiBehaviour::Refusing(status) => status,
                ApiBehaviour::DroppingResponses | ApiBehaviour::Down => return,
            };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
            if !write_text(&mut stream, &head) {
                return;
            }
        }
    }
}

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
    /// Addresses of servers that readers at this address of the store get in place of others.
    redirects: Arc<Mutex<BTreeMap<String, String>>>,
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

    /// Starts another address of this store, whose readers can be given addresses of their own for
    /// the servers.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub fn start_view(&self) -> Self {
        Self::serve_tables(Arc::clone(&self.tables))
    }

    /// Lets readers at this address of the store reach a server at another address.
    pub fn redirect(&self, server: &str, address: &str) {
        self.redirects.lock().insert(server.to_owned(), address.to_owned());
    }

    fn serve_tables(tables: Arc<Mutex<StoreTables>>) -> Self {
        let (listener, address) = bind_listener();
        let store = Self { address, tables, redirects: Arc::default() };
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
        while let Some(request) = read_request(&mut stream) {
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
            if !write_text(&mut stream, &(head + &text)) {
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

    /// Lets all leases expire, as they may while the store is down.
    pub fn expire_all_leases(&self) {
        let mut tables = self.tables.lock();
        let now = Instant::now();
        tables.leases.values_mut().for_each(|(_, end)| *end = now);
        tables.expire_leases();
    }

    /// Removes all history, so that a watch from an earlier revision gets 410.
    pub fn compact(&self) {
        let mut tables = self.tables.lock();
        tables.compacted_revision = tables.revision;
    }

    /// Writes a key without a lease, as operators and servers do.
    pub fn put(&self, key: &str, value: &Value) {
        self.tables.lock().write(key, Some(STANDARD.encode(value.to_string())), 0);
    }

    /// Writes bytes that may be no JSON, as another writer does.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.tables.lock().write(key, Some(STANDARD.encode(value)), 0);
    }

    /// Writes an item whose value isn't base64, so that the responses that hold it are odd themselves.
    pub fn put_unencoded(&self, key: &str, value: &str) {
        self.tables.lock().write(key, Some(value.to_owned()), 0);
    }

    /// Writes the operators' configuration.
    pub fn put_configuration(&self, configuration: &Value) {
        self.put("op/config", configuration);
    }

    /// Writes the entry of a server.
    pub fn put_server(&self, id: &str, entry: &Value) {
        self.put(&format!("servers/{id}"), entry);
    }

    /// Removes the entry of a server.
    pub fn remove_server(&self, id: &str) {
        self.remove(&format!("servers/{id}"));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.tables.lock().write(key, None, 0);
    }

    /// Removes a key and all history, so that no watch reports the removal.
    pub fn remove_and_compact(&self, key: &str) {
        let mut tables = self.tables.lock();
        tables.write(key, None, 0);
        tables.compacted_revision = tables.revision;
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.tables.lock().revision
    }

    /// Returns all keys.
    pub fn keys(&self) -> Vec<String> {
        let tables = self.tables.lock();
        let existing = tables.items.iter().filter(|(_, item)| item.value.is_some());
        existing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the ids of all servers with an entry.
    pub fn server_ids(&self) -> Vec<String> {
        let keys = self.keys();
        keys.iter().filter_map(|key| key.strip_prefix("servers/")).map(str::to_owned).collect()
    }

    /// Returns the decoded value of a key, or `None` if there is none or it isn't UTF-8.
    pub fn value_text(&self, key: &str) -> Option<String> {
        let tables = self.tables.lock();
        let value = tables.items.get(key)?.value.as_ref()?;
        String::from_utf8(STANDARD.decode(value).ok()?).ok()
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
        let redirected =
            key.starts_with("servers/").then(|| redirect(value, &self.redirects.lock()));
        let value = redirected.flatten().unwrap_or_else(|| value.clone());
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

/// Returns the entry of a server with another address, or `None` if it keeps its own.
fn redirect(value: &str, redirects: &BTreeMap<String, String>) -> Option<String> {
    let mut entry: Value = serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
    let address = redirects.get(entry["address"].as_str()?)?;
    entry["address"] = address.as_str().into();
    Some(STANDARD.encode(entry.to_string()))
}

/// Makes a configuration with a route of each kind.
///
/// `/plain/` and `/order/` lead to the service `plain_service` (`plain` or `other`),
/// `/chat/` and `/review/` to the service `model`.
pub fn configuration(version: u64, plain_service: &str) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "host.example", "path-prefix": format!("/{name}/"),
            "route-kind": kind, "timeout-ms": 4000, "slo-ms": 2000, "priority": 1,
            "service": service, "attempts": attempts, "sticky": service == "model",
            "resumable": resumable,
        })
    };
    let plain_entry =
        |name: &str| json!({"name": name, "health-path": "/healthz", "max-conns": 50});
    json!({
        "version": version,
        "routes": [
            route("plain", "idempotent", plain_service, 2, false),
            route("order", "non_idempotent", plain_service, 1, false),
            route("chat", "streaming", "model", 1, false),
            route("review", "streaming", "model", 2, true),
        ],
        "services": [
            plain_entry("plain"),
            plain_entry("other"),
            {"name": "model", "health-path": "/healthz", "max-conns": 50, "engine": {
                "slots": 64, "kv-capacity": 100000, "kv-bytes": 1000, "link-mbps": 1e6,
                "kv-hold-s": 5.0, "switch-s": 3.0}},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

/// Makes the entry of a server; `stage` is empty for a server of a plain service.
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

/// Makes a GET request without a body and with additional header lines, each ending
/// with a line break.
pub fn get_request(id: &str, path: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\n{headers}\r\n"
    )
}

/// Returns the header lines of a prompt with a shared prefix of 300 tokens and 100
/// tokens of its own.
pub fn prompt_headers(shared: &str, own: &str) -> String {
    format!("X-Model: m\r\nX-Token-Usage: 400,5\r\nX-Prompt-Prefix: {shared}:300,{own}:100\r\n")
}

/// Returns whether a response carries a server's seal.
pub fn is_signed(response: &str) -> bool {
    let head = response.split("\r\n\r\n").next().unwrap_or_default();
    head.to_ascii_lowercase().contains("\r\nx-response-seal:")
}

/// Request with which the load balancer checks readiness.
pub const READINESS_REQUEST: &str = "GET /gooseberrykeel/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";

/// Reads a response with a content length or in chunks, or until the connection ends.
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

/// Returns whether a text contains a complete response.
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

/// Returns the status code of a response, as text.
pub fn status_code(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}
