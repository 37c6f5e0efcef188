//! A gateway before stand-ins of the platform, and callers over raw sockets.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU16, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_gateway::{gateway::Gateway, program, settings::GatewayOptions};
use gooseberry_standins::gateway_mocks;
pub use gooseberry_standins::gateway_mocks::{
    is_complete_response, read_response, status_code, write_response, write_text, ScriptedServer,
    StandinStore,
};
use gooseberry_wire::gateway::GatewaySettings;
use serde_json::{json, Value};

/// Longest wait for what must happen; no verdict depends on it.
const PATIENCE: Duration = Duration::from_secs(20);

/// Returns an address for a gateway. Its host is this process's own and its
/// ports are counted, so that no listener on a port of the system's choice takes
/// it before the gateway does.
fn free() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 100, middle, low], port))
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
        let started = async_std::task::block_on(program::start(options, Box::new(|| 0)));
        let (gateway, _) = started.expect("a gateway");
        Self { store, gateway, callers, ready }
    }

    /// Writes [`gateway_mocks::configuration`].
    pub fn configure(&self, version: u64) {
        self.store.put_configuration(&gateway_mocks::configuration(version, "plain"));
    }

    /// Registers a server, `stage` empty for one of a plain service.
    pub fn register(&self, id: &str, service: &str, server: &ScriptedServer, stage: &str) {
        self.store.put_server(id, &server_entry(service, server, stage, "ready"));
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
        assert!(write_text(&mut stream, text));
        read_response(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        stream
    }
}

/// Waits until something holds.
pub fn wait_for(holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Makes the entry of a server.
pub fn server_entry(service: &str, server: &ScriptedServer, stage: &str, state: &str) -> Value {
    gateway_mocks::server_entry(service, &server.address.to_string(), stage, state)
}

/// Makes a request without a body; each has an id of its own.
pub fn get_request(path: &str, headers: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    gateway_mocks::get_request(&format!("id-{id}"), path, headers)
}
