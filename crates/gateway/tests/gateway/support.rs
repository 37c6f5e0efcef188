//! Stand-ins of the platform: a store, backend servers that follow a script,
//! and callers over raw sockets.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU16, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine};
use gooseberry_gateway::{gateway::Gateway, program, settings::GatewayOptions};
use gooseberry_wire::gateway::GatewaySettings;
use serde_json::{json, Value};

/// Longest wait for what must happen; no verdict depends on it.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request as a stand-in read it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl SeenRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }
}

/// Reads one request, or nothing if the connection ends.
pub fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(bytes).expect("a head of text");
    let mut lines = head.trim_end().split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(SeenRequest { line, headers, body: String::from_utf8(body).expect("a body of text") })
}

/// Returns an address for a gateway. Its host is this process's own and its
/// ports are counted, so that no listener on a port of the system's choice takes
/// it before the gateway does.
fn free() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 100, middle, low], port))
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A backend server that does with each request what its script says.
pub struct StandinServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

/// What a script does with a request: it may write any bytes and returns
/// whether the connection stays.
pub type Script = Arc<dyn Fn(&SeenRequest, &mut TcpStream) -> bool + Send + Sync>;

impl StandinServer {
    pub fn start(
        script: impl Fn(&SeenRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let (listener, address) = listener();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script: Script = Arc::new(script);
        let requests = Arc::clone(&seen);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                thread::spawn(move || serve(stream, &script, &requests));
            }
        });
        Self { address, seen }
    }

    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, script: &Script, seen: &Mutex<Vec<SeenRequest>>) {
    while let Some(request) = read_request(&mut stream) {
        seen.lock().unwrap().push(request.clone());
        if !script(&request, &mut stream) {
            return;
        }
    }
}

/// Answers as a sound server does.
pub fn answer(request: &SeenRequest, stream: &mut TcpStream, body: &str) -> bool {
    let id = request.id();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        ),
    )
}

/// Writes bytes as they are; returns whether the connection still takes them.
pub fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

type StoreItems = BTreeMap<String, (Option<String>, u64)>;

/// A store that keeps its items in memory.
#[derive(Clone)]
pub struct StandinStore {
    pub address: SocketAddr,
    items: Arc<Mutex<(StoreItems, u64)>>,
}

impl StandinStore {
    pub fn start() -> Self {
        let (listener, address) = listener();
        let store = Self { address, items: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    while let Some(request) = read_request(&mut stream) {
                        let (status, body) = store.call(&request);
                        let text = body.to_string();
                        let head = format!(
                            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                            text.len()
                        );
                        if !write(&mut stream, &(head + &text)) {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.write(key, Some(STANDARD.encode(value.to_string())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut items = self.items.lock().unwrap();
        items.1 += 1;
        let revision = items.1;
        items.0.insert(key.to_owned(), (value, revision));
        revision
    }

    fn call(&self, request: &SeenRequest) -> (u16, Value) {
        let mut words = request.line.split(' ').skip(1);
        let (path, query) = words.next().unwrap().split_once('?').unwrap_or_else(|| {
            let path = request.line.split(' ').nth(1).unwrap();
            (path, "")
        });
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
        };
        match path {
            "/gooseberrykeel/kv-range" => (200, self.range()),
            "/gooseberrykeel/kv-watch" => {
                (200, self.watch(field("after").unwrap_or(0), field("wait-ms").unwrap_or(0)))
            }
            "/gooseberrykeel/kv-txn" => self.transact(&request.body),
            "/gooseberrykeel/kv-lease" => (200, json!({"lease": 1, "ttl-ms": 4000})),
            _ => (200, json!({"ttl-ms": 4000})),
        }
    }

    fn range(&self) -> Value {
        let items = self.items.lock().unwrap();
        let rows: Vec<Value> = items
            .0
            .iter()
            .filter_map(|(key, (value, revision))| Some(row(key, value.as_ref()?, *revision)))
            .collect();
        json!({"items": rows, "has-more": false, "as-of": items.1})
    }

    fn watch(&self, after: u64, wait_ms: u64) -> Value {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let items = self.items.lock().unwrap();
                if items.1 > after || Instant::now() >= end {
                    let newer = items.0.iter().filter(|(_, (_, revision))| *revision > after);
                    let events: Vec<Value> = newer
                        .map(|(key, (value, revision))| match value {
                            Some(value) => row(key, value, *revision),
                            None => json!({"key": key, "revision": revision, "deleted": true}),
                        })
                        .collect();
                    return json!({"events": events, "as-of": items.1});
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).expect("a transaction");
        for condition in body["precondition"].as_array().unwrap() {
            let items = self.items.lock().unwrap();
            let item = items.0.get(condition["key"].as_str().unwrap());
            let revision = item.filter(|item| item.0.is_some()).map_or(0, |item| item.1);
            if revision != condition["revision"].as_u64().unwrap() {
                return (412, json!({"items": []}));
            }
        }
        let mut revision = 0;
        for put in body["puts"].as_array().unwrap() {
            let value = put["value"].as_str().unwrap().to_owned();
            revision = self.write(put["key"].as_str().unwrap(), Some(value));
        }
        (200, json!({"revision": revision}))
    }
}

fn row(key: &str, value: &str, revision: u64) -> Value {
    json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": 0})
}

/// A gateway with its store.
pub struct System {
    pub store: StandinStore,
    pub gateway: Arc<Gateway>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl System {
    /// Starts a gateway before a store that holds nothing.
    pub fn start() -> Self {
        let store = StandinStore::start();
        let (callers, ready) = (free(), free());
        let settings: GatewaySettings = serde_json::from_value(json!({
            "name": "daemon-1",
            "failure_domain": "a",
            "regions": {"a": "one", "b": "two"},
            "listen": callers.to_string(),
            "ready_listen": ready.to_string(),
            "metrics_listen": free().to_string(),
            "peer_listen": free().to_string(),
            "store": store.address.to_string(),
        }))
        .expect("settings");
        let options = GatewayOptions::new(&settings).expect("options");
        let started = async_std::task::block_on(program::start(options));
        let (gateway, _) = started.expect("a gateway");
        Self { store, gateway, callers, ready }
    }

    /// Writes a configuration with a route of each kind; `/plain/` and
    /// `/order/` lead to the service `plain`, the others to `model`.
    pub fn configure(&self, version: u64) {
        let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "host.example", "path-prefix": format!("/{name}/"),
                "route-kind": kind, "timeout-ms": 4000, "slo-ms": 2000, "priority": 1,
                "service": service, "attempts": attempts, "sticky": service == "model",
                "resumable": resumable,
            })
        };
        self.store.put(
            "op/config",
            &json!({
                "version": version,
                "routes": [
                    route("plain", "idempotent", "plain", 2, false),
                    route("order", "non_idempotent", "plain", 1, false),
                    route("chat", "streaming", "model", 1, false),
                    route("review", "streaming", "model", 2, true),
                ],
                "services": [
                    {"name": "plain", "health-path": "/healthz", "max-conns": 50},
                    {"name": "model", "health-path": "/healthz", "max-conns": 50, "engine": {
                        "slots": 64, "kv-capacity": 100000, "kv-bytes": 1000, "link-mbps": 1e6,
                        "kv-hold-s": 5.0, "switch-s": 3.0}},
                ],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                    "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            }),
        );
    }

    /// Registers a server, `stage` empty for one of a plain service.
    pub fn register(&self, id: &str, service: &str, server: &StandinServer, stage: &str) {
        self.store.put(&format!("servers/{id}"), &entry(service, server, stage, "ready"));
        self.wait(|state| state.fleet.key(id).is_some());
    }

    /// Waits until the gateway's tables say something.
    pub fn wait(&self, holds: impl Fn(&gooseberry_gateway::state::GatewayState) -> bool) {
        wait_for(|| holds(&self.gateway.state.lock()));
    }

    /// Waits until a version is in force.
    pub fn wait_version(&self, version: u64) {
        self.wait(|state| state.configuration.as_ref().is_some_and(|row| row.version == version));
    }

    /// Sends bytes on a new connection and reads until the answer ends.
    pub fn send(&self, text: &str) -> String {
        let mut stream = self.connect();
        assert!(write(&mut stream, text));
        read_answer(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        stream
    }
}

/// Makes the entry of a server.
pub fn entry(service: &str, server: &StandinServer, stage: &str, state: &str) -> Value {
    let mut entry = json!({
        "service": service, "address": server.address.to_string(), "zone": "a",
        "version": "v1", "slots": 6, "state": state, "cold-left-ms": 0, "sequence": 1,
    });
    if !stage.is_empty() {
        entry["stage"] = stage.into();
    }
    entry
}

/// Waits until something holds.
pub fn wait_for(holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads an answer with a length or in chunks, or up to the connection's end.
pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    loop {
        if is_complete(&text) {
            return text;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return text,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
        }
    }
}

/// Tells whether a text holds a whole answer.
pub fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let mut lines = head.lines().filter_map(|line| line.strip_prefix("content-length: "));
    lines.next().is_some_and(|length| body.len() >= length.parse::<usize>().unwrap())
}

/// Makes a request without a body; each has an id of its own.
pub fn get(path: &str, headers: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: id-{id}\r\n\
         X-Deadline-Ms: 3000\r\n{headers}\r\n"
    )
}

/// Returns the status of an answer.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}
