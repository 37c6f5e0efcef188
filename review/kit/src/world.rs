//! What the cases share: settings, configuration, clients and the end of a run.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use serde_json::{json, Value};

use crate::{daemon::Daemon, http, record::Record, store::Store};

/// End of a run.
#[derive(Clone, Debug)]
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// Folders, record and options of a run.
pub struct World {
    pub record: Record,
    pub store: Store,
    /// Whether the disruption is made.
    pub has_trouble: bool,
    root: PathBuf,
    folder: PathBuf,
}

impl World {
    pub fn new(root: &Path, case: &Path, has_trouble: bool) -> std::io::Result<Self> {
        let record = Record::create(&case.join("record.txt"))?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(&record);
        Ok(Self { record, store, has_trouble, root: root.to_owned(), folder })
    }

    pub fn daemon(&self, name: &str, zone: &str) -> Daemon {
        Daemon::start(&self.record, &self.root, &self.folder, name, zone, self.store.address)
    }

    /// Starts daemons and waits until all are ready.
    pub fn daemons(&self, names: &[(&str, &str)]) -> Option<Vec<Daemon>> {
        let daemons: Vec<_> = names.iter().map(|(name, zone)| self.daemon(name, zone)).collect();
        let are_ready = daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10)));
        are_ready.then_some(daemons)
    }

    pub fn sleep(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// Waits for a condition. Returns whether it held in time.
    pub fn wait(&self, limit_s: f64, condition: impl Fn() -> bool) -> bool {
        let end = self.record.now() + Duration::from_secs_f64(limit_s);
        while self.record.now() < end {
            if condition() {
                return true;
            }
            self.sleep(0.02);
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The operator's configuration: the routes of the site's sheet, with its timeouts, objectives,
/// attempts and priorities. `plain` is the service of the plain routes.
pub fn configuration(version: u64, plain: &str) -> Value {
    let route =
        |name: &str, kind: &str, service: &str, timeout_ms: u64, slo_ms: u64, attempts: u32| {
            json!({
                "name": name, "host": "lan.example", "path-prefix": format!("/{name}/"),
                "route-kind": kind, "timeout-ms": timeout_ms, "slo-ms": slo_ms, "priority": 1,
                "service": service, "attempts": attempts, "sticky": service == "lan-adstod",
                "resumable": attempts > 1 && kind == "streaming", "gap-target-ms": 200,
            })
        };
    let plain_service = |name: &str| json!({"name": name, "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": false});
    json!({
        "version": version,
        "routes": [
            route("damage-summary", "streaming", "lan-adstod", 8000, 400, 1),
            route("manual-answer", "streaming", "lan-adstod", 6000, 600, 1),
            route("loan-history-chat", "streaming", "lan-adstod", 4000, 600, 2),
            route("reserve-tool", "non_idempotent", plain, 800, 120, 1),
            route("check-stock", "idempotent", plain, 800, 120, 2),
        ],
        "services": [
            {"name": "lan-adstod", "health-path": "/healthz", "max-conns": 360, "protocol": "h1",
             "tls": false, "engine": {"slots": 64, "kv-capacity": 472920, "kv-bytes": 163840,
             "link-mbps": 1600000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
             "kv-hold-s": 5.0, "switch-s": 3.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
             "models": [{"name": "m"}]}},
            plain_service("boka"),
            plain_service("boka-ny"),
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

/// A request of a client, with what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub daemon: String,
    pub sent_at: Duration,
    pub answered_at: Duration,
    pub answer: http::Answer,
}

/// Sends requests with ids of their own and records them; clones share the list.
#[derive(Clone)]
pub struct Clients {
    record: Record,
    next: Arc<AtomicU64>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), next: Arc::default(), attempts: Arc::default() }
    }

    fn send(
        &self,
        daemon: &str,
        address: SocketAddr,
        deadline_ms: u64,
        head: impl Fn(&str) -> String,
    ) -> Attempt {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let sent_at = self.record.now();
        self.record.line(format!("client: sends {id} to {daemon}"));
        let limit = Duration::from_millis(deadline_ms + 500);
        let answer = http::call(address, &head(&id), limit);
        let answered_at = self.record.now();
        self.record.line(format!("client: {id} from {daemon}: {}", answer.summary()));
        let attempt = Attempt { id, daemon: daemon.to_owned(), sent_at, answered_at, answer };
        self.attempts.lock().unwrap().push(attempt.clone());
        attempt
    }

    /// Sends a request of a plain route.
    pub fn plain(&self, daemon: &str, address: SocketAddr, method: &str, route: &str) -> Attempt {
        self.send(daemon, address, 800, |id| {
            let body =
                if method == "POST" { format!("{{\"tool\":\"{id}\"}}") } else { String::new() };
            let length = if method == "POST" {
                format!("Content-Length: {}\r\n", body.len())
            } else {
                String::new()
            };
            format!(
                "{method} /{route}/1 HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: 800\r\n{length}\r\n{body}"
            )
        })
    }

    /// Sends a request of a streaming route with a prompt of `own` tokens after a shared part of 20.
    pub fn stream(
        &self,
        daemon: &str,
        address: SocketAddr,
        route: &str,
        deadline_ms: u64,
        own: u32,
    ) -> Attempt {
        self.send(daemon, address, deadline_ms, |id| {
            stream_request(id, route, deadline_ms, own, &format!("{:.8}", &id[8..]), "")
        })
    }

    /// Takes up the stream of an attempt after the last event that the client got.
    pub fn resume(
        &self,
        daemon: &str,
        address: SocketAddr,
        route: &str,
        left_ms: u64,
        own: u32,
        first: &str,
        last: u32,
    ) -> Attempt {
        let headers = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        self.record.line(format!("client: takes up {first} after event {last}"));
        self.send(daemon, address, left_ms, |id| {
            stream_request(id, route, left_ms, own, &format!("{:.8}", &first[8..]), &headers)
        })
    }

    pub fn all(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }
}

fn stream_request(
    id: &str,
    route: &str,
    deadline_ms: u64,
    own: u32,
    part: &str,
    headers: &str,
) -> String {
    let body = format!("{{\"prompt\":\"{part}\"}}");
    format!(
        "POST /{route}/1 HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: {},600\r\nX-Prompt-Prefix: aa{own:04x}:20,{part}:{own}\r\n{headers}\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        own + 20,
        body.len()
    )
}
