//! Servers that crash under poison requests, and what they have seen.

use std::{
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_core::serving::event_stream::BodyFraming;
use gooseberry_harness::proxy::{ProxyState, TestProxy};
use gooseberry_standins::gateway_mocks::{self, ReceivedRequest, StandinStore};
use parking_lot::Mutex;

use crate::support::{write_text, ScriptedServer};

/// Name of the prompt part, or of the path, that crashes engines.
pub const POISON_PART: &str = "bad0";
/// Time after the last tolerated crash from which poison requests are counted.
pub const CONVICTION_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a crashed engine is down.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time that a plain request takes.
const PLAIN_DURATION: Duration = Duration::from_millis(20);

/// What all engines of a test have seen.
#[derive(Default)]
pub struct EngineRecord {
    pub crashes: Mutex<Vec<Instant>>,
    pub poison_arrivals: Mutex<Vec<Instant>>,
    /// Number of ids that engines have had.
    starts: AtomicUsize,
}

impl EngineRecord {
    /// Returns the number of poison requests that reached an engine too long after this many of
    /// them had crashed.
    pub fn late_sends(&self, crashes: usize) -> usize {
        let Some(last_crash) = self.crashes.lock().get(crashes - 1).copied() else {
            return 0;
        };
        let arrivals = self.poison_arrivals.lock();
        arrivals.iter().filter(|at| **at > last_crash + CONVICTION_LIMIT).count()
    }
}

/// An engine, or a server of a plain service, that crashes when it begins to run a poison request,
/// and starts again at its address under another id.
pub struct CrashingEngine {
    proxy: TestProxy,
    store: StandinStore,
    service: &'static str,
    stage: &'static str,
    framing: BodyFraming,
    id: Mutex<String>,
    is_down: AtomicBool,
    record: Arc<EngineRecord>,
}

impl CrashingEngine {
    /// Starts an engine. `stage` is empty for a server of a plain service.
    pub fn start(
        store: &StandinStore,
        service: &'static str,
        stage: &'static str,
        framing: BodyFraming,
        record: &Arc<EngineRecord>,
    ) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let server = {
            let slot = Arc::clone(&slot);
            ScriptedServer::start(move |request, stream| {
                let engine = slot.lock().clone();
                engine.is_some_and(|engine| engine.respond(request, stream))
            })
        };
        let engine = Arc::new(Self {
            proxy: TestProxy::start(&server.address.to_string()),
            store: store.clone(),
            service,
            stage,
            framing,
            id: Mutex::default(),
            is_down: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        *slot.lock() = Some(Arc::clone(&engine));
        engine.register();
        engine
    }

    fn register(&self) {
        let id = format!("e{}", self.record.starts.fetch_add(1, Ordering::SeqCst));
        let entry =
            gateway_mocks::server_entry(self.service, &self.proxy.address, self.stage, "ready");
        self.store.put_server(&id, &entry);
        *self.id.lock() = id;
    }

    fn respond(self: &Arc<Self>, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let parts = request.header("x-prompt-prefix").unwrap_or_default();
        let is_poison = parts.contains(POISON_PART) || request.path().contains(POISON_PART);
        if is_poison {
            self.record.poison_arrivals.lock().push(Instant::now());
        }
        if request.is_prefill() {
            return gateway_mocks::write_prefill_response(request, stream);
        }
        if self.stage.is_empty() {
            thread::sleep(PLAIN_DURATION);
            if is_poison {
                self.crash();
                return false;
            }
            return gateway_mocks::write_response(request, stream, "done");
        }
        let is_chunked = self.framing == BodyFraming::Chunked;
        let framing = if is_chunked { "Transfer-Encoding: chunked" } else { "X-Framing: none" };
        if !write_text(stream, &gateway_mocks::response_head(request, framing)) {
            return false;
        }
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: x\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write_text(stream, if is_chunked { &chunk } else { &event });
            thread::sleep(Duration::from_millis(10));
            if is_poison {
                self.crash();
                return false;
            }
        }
        is_chunked && write_text(stream, "0\r\n\r\n")
    }

    /// Closes all connections, and starts the engine again after a while.
    pub fn crash(self: &Arc<Self>) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.crashes.lock().push(Instant::now());
        self.proxy.set_state(ProxyState::Closed);
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            engine.store.remove_server(&engine.id.lock().clone());
            engine.proxy.set_state(ProxyState::Forwarding);
            engine.is_down.store(false, Ordering::SeqCst);
            engine.register();
        });
    }
}
