//! Backend servers of the soak: sound, full, or losing their answers.

use std::{net::TcpStream, sync::Arc, thread, time::Duration, time::Instant};

use gooseberry_harness::proxy::TestProxy;
use gooseberry_standins::gateway_mocks::{self, ReceivedRequest, ScriptedServer};
use parking_lot::Mutex;

use crate::history::{ExecutionRecord, SoakHistory};

/// Time of a plain call at a server.
const CALL_SPAN: Duration = Duration::from_millis(15);
/// Time between events of a stream.
const EVENT_SPAN: Duration = Duration::from_millis(20);
/// Events of a stream.
pub const EVENTS_PER_STREAM: usize = 5;

/// What a server does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    #[default]
    Normal,
    /// Rejects all.
    Rejecting,
    /// Runs what comes and closes the connection.
    DroppingResponses,
}

/// A backend server with the link that leads to it.
pub struct SoakServer {
    /// Changes when the server starts anew.
    pub id: String,
    pub service: &'static str,
    pub stage: &'static str,
    pub proxy: TestProxy,
    pub behaviour: Arc<Mutex<ServerBehaviour>>,
    name: Arc<Mutex<String>>,
}

impl SoakServer {
    /// Starts a server.
    pub fn start(
        id: &str,
        service: &'static str,
        stage: &'static str,
        ledger: &Arc<Mutex<SoakHistory>>,
    ) -> Self {
        let mood = Arc::new(Mutex::new(ServerBehaviour::Normal));
        let name = Arc::new(Mutex::new(id.to_owned()));
        let server = {
            let (mood, name, ledger) = (Arc::clone(&mood), Arc::clone(&name), Arc::clone(ledger));
            ScriptedServer::start(move |request, stream| {
                let (mood, name) = (*mood.lock(), name.lock().clone());
                let work = ServerWork { name, service, ledger: &ledger, mood };
                work.answer(request, stream)
            })
        };
        let link = TestProxy::start(&server.address.to_string());
        Self { id: id.to_owned(), service, stage, proxy: link, behaviour: mood, name }
    }

    /// Gives the server a new id.
    pub fn set_id(&mut self, id: String) {
        *self.name.lock() = id.clone();
        self.id = id;
    }
}

struct ServerWork<'a> {
    name: String,
    service: &'static str,
    ledger: &'a Mutex<SoakHistory>,
    mood: ServerBehaviour,
}

impl ServerWork<'_> {
    fn answer(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        if request.id().is_empty() {
            // A report or an order: this server takes none.
            return gateway_mocks::write_text(
                stream,
                "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n",
            );
        }
        self.ledger.lock().arrivals.push((self.name.clone(), Instant::now()));
        if self.mood == ServerBehaviour::Rejecting {
            return gateway_mocks::write_rejection(stream);
        }
        if request.is_prefill() {
            thread::sleep(CALL_SPAN);
            return gateway_mocks::write_prefill_response(request, stream);
        }
        let is_stream = self.service == "model";
        let body = if is_stream { events(request.id(), &self.name) } else { self.plain(request) };
        let run = ExecutionRecord {
            server: self.name.clone(),
            service: self.service,
            began_at: Instant::now(),
            body: body.clone(),
        };
        self.ledger.lock().executions.entry(request.id().to_owned()).or_default().push(run);
        thread::sleep(CALL_SPAN);
        if self.mood == ServerBehaviour::DroppingResponses {
            return false;
        }
        if is_stream {
            return self.stream(request, stream, &body);
        }
        gateway_mocks::write_response(request, stream, &body)
    }

    fn plain(&self, request: &ReceivedRequest) -> String {
        format!("{} {} of {}", request.path(), request.id(), self.name)
    }

    fn stream(&self, request: &ReceivedRequest, stream: &mut TcpStream, body: &str) -> bool {
        let head = gateway_mocks::response_head(request, "Transfer-Encoding: chunked");
        let mut alive = gateway_mocks::write_text(stream, &head);
        for event in body.split_inclusive("\n\n") {
            if !alive {
                return false;
            }
            alive = gateway_mocks::write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
            thread::sleep(EVENT_SPAN);
        }
        alive && gateway_mocks::write_text(stream, "0\r\n\r\n")
    }
}

/// The events of a request's stream at a server.
fn events(id: &str, server: &str) -> String {
    (1..=EVENTS_PER_STREAM)
        .map(|number| format!("id: {number}\ndata: {id} of {server}\n\n"))
        .collect()
}
