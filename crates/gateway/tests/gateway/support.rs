//! A gateway with stand-ins of the platform, and callers over raw sockets.

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

/// Longest wait for a condition. No assertion depends on its length.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an unused address for a gateway. The host part is derived from the process id and the
/// ports are counted, so that no listener on an ephemeral port takes the address first.
fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 100, middle, low], port))
}

/// A gateway with its key-value store.
pub struct System {
    pub store: StandinStore,
    pub gateway: Arc<Gateway>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl System {
    /// Starts a gateway with an empty store.
    pub fn start() -> Self {
        Self::start_on(StandinStore::start(), "daemon-1")
    }

    /// Starts a gateway on a new store that holds the same keys of the gateways, except those of
    /// running ones: all of them were killed at once.
    pub fn start_after_kill(store: &StandinStore) -> Self {
        let copy = StandinStore::start();
        let is_kept = |key: &&String| {
            let own_key = key.strip_prefix("gateway/");
            own_key.is_some_and(|key| !key.starts_with("daemons/") && key != "steward")
        };
        for key in store.keys().iter().filter(is_kept) {
            let text = store.value_text(key).expect("a listed key has a value");
            copy.put(key, &serde_json::from_str(&text).expect("a value in JSON"));
        }
        Self::start_on(copy, "daemon-1")
    }

    /// Starts another gateway on the same store.
    pub fn join(&self, name: &str) -> Self {
        let system = Self::start_on(self.store.clone(), name);
        system.wait(|state| state.configuration.is_some());
        system
    }

    /// Starts another gateway on another address of the same store.
    pub fn join_view(&self, view: &StandinStore, name: &str) -> Self {
        let system = Self::start_on(view.clone(), name);
        system.wait(|state| state.configuration.is_some());
        system
    }

    fn start_on(store: StandinStore, name: &str) -> Self {
        Self::start_with(store, name, &json!({}))
    }

    /// Starts a gateway with further settings.
    pub fn start_with(store: StandinStore, name: &str, further: &Value) -> Self {
        let (callers, ready) = (unused_address(), unused_address());
        let mut settings = json!({
            "name": name,
            "failure_domain": "a",
            "regions": {"a": "one", "b": "two"},
            "listen": callers.to_string(),
            "ready_listen": ready.to_string(),
            "metrics_listen": unused_address().to_string(),
            "peer_listen": unused_address().to_string(),
            "store": store.address.to_string(),
        });
        for (field, value) in further.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let settings: GatewaySettings = serde_json::from_value(settings).expect("valid settings");
        let options = GatewayOptions::new(&settings).expect("valid options");
        let started = async_std::task::block_on(program::start(options, Box::new(|| 0)));
        let (gateway, _) = started.expect("gateway starts");
        Self { store, gateway, callers, ready }
    }

    /// Writes [`gateway_mocks::configuration`].
    pub fn configure(&self, version: u64) {
        self.store.put_configuration(&gateway_mocks::configuration(version, "plain"));
    }

    /// Registers a server. `stage` is empty for a server of a plain service.
    pub fn register(&self, id: &str, service: &str, server: &ScriptedServer, stage: &str) {
        self.store.put_server(id, &server_entry(service, server, stage, "ready"));
        self.wait(|state| state.fleet.key(id).is_some());
    }

    /// Registers an engine that prefills and decodes, with a version of its software.
    pub fn register_version(&self, id: &str, server: &ScriptedServer, version: &str) {
        let mut entry = server_entry("model", server, "decode", "ready");
        entry["version"] = version.into();
        self.store.put_server(id, &entry);
        self.wait(|state| state.fleet.key(id).is_some());
    }

    /// Waits until the state of the gateway fulfils a condition.
    pub fn wait(&self, condition: impl Fn(&gooseberry_gateway::state::GatewayState) -> bool) {
        wait_for(|| condition(&self.gateway.state.lock()));
    }

    /// Waits until the gateway has applied a version of the configuration.
    pub fn wait_version(&self, version: u64) {
        self.wait(|state| state.configuration.as_ref().is_some_and(|row| row.version == version));
    }

    /// Sends bytes on a new connection and reads until the response ends.
    pub fn send(&self, text: &str) -> String {
        let mut stream = self.connect();
        assert!(write_text(&mut stream, text));
        read_response(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).expect("connection succeeds");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("read timeout is set");
        stream
    }
}

/// Makes the kernel reset a connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("linger is set");
}

/// Waits until a condition holds.
pub fn wait_for(condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition did not hold in time");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Creates the entry of a server.
pub fn server_entry(service: &str, server: &ScriptedServer, stage: &str, state: &str) -> Value {
    gateway_mocks::server_entry(service, &server.address.to_string(), stage, state)
}

/// Creates a request without a body, with a unique id.
pub fn get_request(path: &str, headers: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    gateway_mocks::get_request(&format!("id-{id}"), path, headers)
}
