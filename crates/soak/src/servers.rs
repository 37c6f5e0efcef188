//! Backend servers of the soak, which serve requests, reject them or drop their responses.

use std::{
    net::TcpStream,
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant},
};

use gooseberry_harness::proxy::ProxyState;
use gooseberry_standins::gateway_mocks::{self, ReceivedRequest, ScriptedServer};
use parking_lot::Mutex;
use serde_json::{json, Value};

use crate::{
    history::{
        ArrivalRecord, ExecutionRecord, FaultInterval, FaultScope, NamedLimit, OrderRecord,
        PoisonArrival, SoakHistory,
    },
    links::ServerLinks,
    plan::PoisonKind,
};

/// Time that a server takes for a plain call, a prefill or the start of a stream.
const CALL_DURATION: Duration = Duration::from_millis(15);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of events of a stream.
pub const EVENTS_PER_STREAM: usize = 5;

/// Number of events of a stream that is cut, of which the last isn't complete.
const EVENTS_BEFORE_CUT: usize = 3;

/// Name of the prompt part with which a request crashes its engine.
pub const POISON_PART: &str = "badc0de0bad";
/// Last segment of the path with which a plain request crashes its server.
pub const POISON_PATH: &str = "badc0de";
/// Time for which a crashed server is down.
pub const CRASH_DURATION: Duration = Duration::from_millis(500);

/// Time for which a server asks for quiet.
pub const QUIET_DURATION: Duration = Duration::from_millis(1800);

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    #[default]
    Normal,
    /// Rejects every request.
    Rejecting,
    /// Rejects every request and asks for quiet each time.
    AskingForQuiet,
    /// Executes requests and closes the connection without a response.
    DroppingResponses,
    /// Sends streams without a length or chunks and closes the connection in order inside an event.
    CuttingStreams,
}

/// What a server says of itself in all its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotices {
    /// Requests per second that it takes from all daemons together.
    pub limit: Option<f64>,
    pub is_leaving: bool,
}

impl ServerNotices {
    fn headers(self) -> String {
        let leaving = if self.is_leaving { gateway_mocks::LEAVING_HEADER } else { "" };
        self.limit.map(gateway_mocks::limit_header).unwrap_or_default() + leaving
    }
}

/// A backend server with the links to it.
pub struct SoakServer {
    /// Id of the server's entry; it changes when the server is replaced.
    pub id: String,
    pub service: &'static str,
    pub stage: &'static str,
    pub links: Arc<ServerLinks>,
    pub behaviour: Arc<Mutex<ServerBehaviour>>,
    /// What the server says of itself in all its responses.
    pub notices: Arc<Mutex<ServerNotices>>,
    /// Time of the crash, while the server is down.
    pub crashed_at: Arc<Mutex<Option<Instant>>>,
    name: Arc<Mutex<String>>,
}

impl SoakServer {
    /// Starts a server.
    pub fn start(
        id: &str,
        service: &'static str,
        stage: &'static str,
        history: &Arc<Mutex<SoakHistory>>,
    ) -> Self {
        let shared_behaviour = Arc::new(Mutex::new(ServerBehaviour::Normal));
        let name = Arc::new(Mutex::new(id.to_owned()));
        let shared_notices: Arc<Mutex<ServerNotices>> = Arc::default();
        let crashed_at = Arc::new(Mutex::new(None));
        let links_slot: Arc<OnceLock<Arc<ServerLinks>>> = Arc::default();
        let server = {
            let (behaviour, name, history) =
                (Arc::clone(&shared_behaviour), Arc::clone(&name), Arc::clone(history));
            let (crashed_at, links) = (Arc::clone(&crashed_at), Arc::clone(&links_slot));
            let notices = Arc::clone(&shared_notices);
            ScriptedServer::start(move |request, stream| {
                let (behaviour, name) = (*behaviour.lock(), name.lock().clone());
                let (crashed_at, links) = (&*crashed_at, links.get());
                let (history, notices) = (&*history, *notices.lock());
                let handler = RequestHandler {
                    name,
                    service,
                    stage,
                    history,
                    behaviour,
                    notices,
                    crashed_at,
                    links,
                };
                handler.respond(request, stream)
            })
        };
        let server_links = Arc::new(ServerLinks::new(server.address.to_string()));
        // Set once, here.
        let _ = links_slot.set(Arc::clone(&server_links));
        Self {
            id: id.to_owned(),
            service,
            stage,
            links: server_links,
            behaviour: shared_behaviour,
            notices: shared_notices,
            crashed_at,
            name,
        }
    }

    /// Changes the server's id, as a new start does.
    pub fn set_id(&mut self, id: String) {
        self.notices.lock().is_leaving = false;
        *self.name.lock() = id.clone();
        self.id = id;
    }
}

struct RequestHandler<'a> {
    name: String,
    service: &'static str,
    stage: &'static str,
    history: &'a Mutex<SoakHistory>,
    behaviour: ServerBehaviour,
    notices: ServerNotices,
    crashed_at: &'a Mutex<Option<Instant>>,
    links: Option<&'a Arc<ServerLinks>>,
}

impl RequestHandler<'_> {
    /// Reports the load, or records an order and refuses it.
    fn respond_to_leader(
        &self,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
        notices: &str,
    ) -> bool {
        if request.path().ends_with("/report") {
            let report = json!({"stage": self.stage, "models": [], "busy": false, "sequence": 0,
                "born": start_number(&self.name), "queued": 0, "active": 0, "kv-used": 0, "kv-total": 100_000, "kv-handles": 0});
            let body = report.to_string();
            return gateway_mocks::write_response_with(request, stream, notices, &body);
        }
        if let Ok(order) = serde_json::from_str::<Value>(&request.body) {
            self.history.lock().orders.push(OrderRecord {
                server: self.name.clone(),
                holder: order["holder"].as_str().unwrap_or_default().to_owned(),
                fence: order["fence"].as_u64().unwrap_or_default(),
            });
        }
        let head = "HTTP/1.1 409 X\r\nContent-Length: 0";
        gateway_mocks::write_text(stream, &format!("{head}\r\n{notices}\r\n"))
    }

    /// Handles a request and returns whether the connection stays open.
    fn respond(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let notices = self.notices.headers();
        if request.id().is_empty() {
            return self.respond_to_leader(request, stream, &notices);
        }
        if request.expected_server().is_some_and(|id| id != self.name) {
            return gateway_mocks::write_misdirected(request, stream);
        }
        self.record_arrival(request);
        let poison = poison_kind(request);
        if let Some(kind) = poison {
            let (id, at) = (request.id().to_owned(), Instant::now());
            self.history.lock().poison_arrivals.push(PoisonArrival { kind, id, at });
        }
        if self.behaviour == ServerBehaviour::Rejecting {
            return gateway_mocks::write_rejection(request, stream, &notices);
        }
        if self.behaviour == ServerBehaviour::AskingForQuiet {
            let quiet = format!("Retry-After: {}\r\n", QUIET_DURATION.as_secs_f64());
            return gateway_mocks::write_rejection(request, stream, &(notices + &quiet));
        }
        if request.is_prefill() {
            thread::sleep(CALL_DURATION);
            let body = gateway_mocks::prefill_body(request);
            return gateway_mocks::write_response_with(request, stream, &notices, &body);
        }
        let is_stream = self.service == "model";
        let last_event = request.header("last-event-id").and_then(|id| id.parse().ok());
        let body = if is_stream {
            events(request.id(), &self.name, last_event.unwrap_or(0))
        } else {
            self.plain_body(request)
        };
        let record = ExecutionRecord {
            server: self.name.clone(),
            service: self.service,
            began_at: Instant::now(),
            body: body.clone(),
        };
        self.history.lock().executions.entry(request.id().to_owned()).or_default().push(record);
        thread::sleep(CALL_DURATION);
        if let Some(kind) = poison {
            self.crash(kind);
            return false;
        }
        if self.behaviour == ServerBehaviour::DroppingResponses {
            return false;
        }
        if is_stream && self.behaviour == ServerBehaviour::CuttingStreams {
            return write_cut_stream(request, stream, &notices, &body);
        }
        if is_stream {
            return self.write_stream(request, stream, &notices, &body);
        }
        gateway_mocks::write_response_with(request, stream, &notices, &body)
    }

    fn record_arrival(&self, request: &ReceivedRequest) {
        let (server, id, at) = (self.name.clone(), request.id().to_owned(), Instant::now());
        let mut history = self.history.lock();
        if let Some(per_second) = self.notices.limit {
            let named = NamedLimit { per_second, since: at };
            history.limits.entry(server.clone()).or_insert(named);
        }
        let responds =
            self.behaviour != ServerBehaviour::DroppingResponses && poison_kind(request).is_none();
        let is_leaving = self.notices.is_leaving && responds;
        let asks_for_quiet = self.behaviour == ServerBehaviour::AskingForQuiet;
        history.arrivals.push(ArrivalRecord { server, id, at, is_leaving, asks_for_quiet });
    }

    /// Closes all connections to the server; the system starts it again.
    fn crash(&self, kind: PoisonKind) {
        let mut crashed_at = self.crashed_at.lock();
        if crashed_at.is_some() {
            return;
        }
        let now = Instant::now();
        *crashed_at = Some(now);
        let mut history = self.history.lock();
        history.crashes.push((kind, now));
        let until = now + CRASH_DURATION;
        history.fault_intervals.push(FaultInterval {
            scope: FaultScope::Servers,
            from: now,
            until,
        });
        if let Some(links) = self.links {
            links.set_server(ProxyState::Closed);
        }
    }

    fn plain_body(&self, request: &ReceivedRequest) -> String {
        format!("{} {} of {}", request.path(), request.id(), self.name)
    }

    fn write_stream(
        &self,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
        headers: &str,
        body: &str,
    ) -> bool {
        let headers = format!("{headers}Transfer-Encoding: chunked");
        let head = gateway_mocks::response_head(request, &headers);
        let mut is_open = gateway_mocks::write_text(stream, &head);
        for event in body.split_inclusive("\n\n") {
            if !is_open {
                return false;
            }
            is_open =
                gateway_mocks::write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
            thread::sleep(EVENT_INTERVAL);
        }
        is_open && gateway_mocks::write_text(stream, "0\r\n\r\n")
    }
}

/// Returns what crashes the server of a request, if anything does.
fn poison_kind(request: &ReceivedRequest) -> Option<PoisonKind> {
    if request.path().ends_with(POISON_PATH) {
        return Some(PoisonKind::SameRequest);
    }
    request.prompt_parts().contains(POISON_PART).then_some(PoisonKind::SharedPart)
}

/// Writes an unframed stream up to the middle of an event; returns `false`, which closes the
/// connection. No write ends between two events, where a cut can't be detected.
fn write_cut_stream(
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    headers: &str,
    body: &str,
) -> bool {
    let headers = format!("{headers}Content-Type: text/event-stream");
    let head = gateway_mocks::response_head(request, &headers);
    let mut is_open = gateway_mocks::write_text(stream, &head);
    let mut pending = String::new();
    for event in body.split_inclusive("\n\n").take(EVENTS_BEFORE_CUT) {
        let (first, second) = event.split_at(event.len() / 2);
        is_open = is_open && gateway_mocks::write_text(stream, &(pending + first));
        pending = second.to_owned();
        thread::sleep(EVENT_INTERVAL);
    }
    false
}

/// Returns the version of the software that a server with this id runs. The two decode engines start
/// with different ones, and a server that is replaced may change its own.
pub fn software(id: &str) -> &'static str {
    let number: usize = id.bytes().filter(u8::is_ascii_digit).map(usize::from).sum();
    if (number / 2).is_multiple_of(2) {
        "v1"
    } else {
        "v2"
    }
}

/// Returns the number of the start that gave a server its id.
pub fn start_number(id: &str) -> u64 {
    id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// Returns the events of a request's stream from a server, after those that the caller has.
fn events(id: &str, server: &str, last_event: usize) -> String {
    (last_event + 1..=EVENTS_PER_STREAM)
        .map(|number| format!("id: {number}\ndata: {id} of {server}\n\n"))
        .collect()
}
