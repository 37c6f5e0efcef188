//! Servers, the store and other daemons that send bytes without end, before a head, in one or in a
//! body, until the reader closes the connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_platform::store::StoreEndpoint;
use gooseberry_standins::gateway_mocks::{self, ReceivedRequest};

use crate::support::{self, get_request, status_code, write_text, ScriptedServer, System};

/// Bytes that a reader may accept until it closes: the largest limit of any response, and what the
/// buffers of a connection hold.
const ACCEPTED_LIMIT_BYTES: usize = 48 * 1024 * 1024;
/// The same for bytes in which neither a head nor data of a body is complete: what the kernel buffers
/// for a connection on loopback, with some room.
const ACCEPTED_OVERHEAD_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a caller must have its response. Requests have a deadline of 3 s.
const RESPONSE_LIMIT: Duration = Duration::from_secs(4);

/// Counts the endless responses that were begun, those that their readers closed, and the most
/// bytes that one of them got rid of.
#[derive(Default)]
struct EndlessRecord {
    begun: AtomicUsize,
    closed: AtomicUsize,
    most_bytes: AtomicUsize,
    /// Bytes that a reader may accept, or 0 for [`ACCEPTED_LIMIT_BYTES`].
    limit_bytes: AtomicUsize,
}

impl EndlessRecord {
    /// Writes a text, and then another one until the reader closes the connection.
    fn write(&self, stream: &mut TcpStream, response: &EndlessResponse) {
        let EndlessResponse { head, endless, has_data } = response;
        self.begun.fetch_add(1, Ordering::SeqCst);
        if !has_data {
            self.limit_bytes.store(ACCEPTED_OVERHEAD_BYTES, Ordering::SeqCst);
        }
        let chunk = endless.repeat(64 * 1024 / endless.len());
        let mut written = head.len();
        if write_text(stream, head) {
            while stream.write_all(chunk.as_bytes()).is_ok() {
                written += chunk.len();
                self.most_bytes.fetch_max(written, Ordering::SeqCst);
            }
        }
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until all responses were closed, and checks that none went on for too long.
    fn check(&self) {
        support::wait_for(|| {
            let begun = self.begun.load(Ordering::SeqCst);
            begun > 0 && begun == self.closed.load(Ordering::SeqCst)
        });
        let most_bytes = self.most_bytes.load(Ordering::SeqCst);
        let limit_bytes = match self.limit_bytes.load(Ordering::SeqCst) {
            0 => ACCEPTED_LIMIT_BYTES,
            limit_bytes => limit_bytes,
        };
        assert!(most_bytes <= limit_bytes, "a reader accepted {most_bytes} bytes");
    }
}

/// A head, or the beginning of one, and the text that follows it without end.
struct EndlessResponse {
    head: String,
    endless: &'static str,
    /// Whether the text has data of a body.
    has_data: bool,
}

impl EndlessResponse {
    fn has_whole_head(&self) -> bool {
        self.head.contains("\r\n\r\n")
    }
}

fn endless_responses(id: &str) -> Vec<EndlessResponse> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n");
    let chunked = head.clone() + "Transfer-Encoding: chunked\r\n\r\n";
    let with_data = [
        (head.clone() + "\r\n", "neither a length nor chunks"),
        (head.clone() + "Content-Length: 99999999999\r\n\r\n", "a length without sense"),
        (chunked.clone(), "10\r\n0123456789abcdef\r\n"),
    ];
    let without_data = [
        (head.clone(), "X-More: and more of it\r\n"),
        (head + "X-More: ", "and more"),
        ("HTTP/1.1 200 O".to_owned(), "K"),
        (String::new(), "no HTTP at all, and no end of a line"),
        (String::new(), "HTTP/1.1 100 .\r\n\r\n"),
        (String::new(), "HTTP/1.1 103 Early Hints\r\nX-More: and more of it\r\n\r\n"),
        (String::new(), "\r\n"),
        (chunked.clone(), "0"),
        (chunked.clone() + "1;", "extension"),
        (chunked + "0\r\n", "X-More: and more of it\r\n"),
    ];
    let response = |has_data| move |(head, endless)| EndlessResponse { head, endless, has_data };
    with_data.map(response(true)).into_iter().chain(without_data.map(response(false))).collect()
}

/// Starts a gateway with a server that answers its first kind of requests without end, in the way
/// of this number, and all others well.
fn start(
    service: &str,
    stage: &str,
    number: usize,
    is_endless: fn(&ReceivedRequest) -> bool,
) -> (System, Arc<EndlessRecord>, ScriptedServer) {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let record: Arc<EndlessRecord> = Arc::default();
    let server = {
        let record = Arc::clone(&record);
        ScriptedServer::start(move |request, stream| {
            if !is_endless(request) {
                return request.is_prefill()
                    && gateway_mocks::write_prefill_response(request, stream);
            }
            record.write(stream, &endless_responses(request.id())[number]);
            false
        })
    };
    system.register("endless", service, &server, stage);
    (system, record, server)
}

/// Sends a request and checks that its response comes in time, without success.
fn send(system: &System, path: &str, headers: &str) {
    let sent_at = Instant::now();
    let text = system.send(&get_request(path, headers));
    assert!(sent_at.elapsed() < RESPONSE_LIMIT, "{:?}", sent_at.elapsed());
    let is_served = status_code(&text) == "200" && support::is_complete_response(&text);
    assert!(!is_served, "{} bytes", text.len());
}

fn long_prompt() -> &'static str {
    "X-Model: m\r\nX-Token-Usage: 5000,20\r\nX-Prompt-Prefix: aa:4000,bb:1000\r\n"
}

#[test]
fn an_endless_response_of_a_plain_service_is_closed() {
    for number in 0..endless_responses("").len() {
        let (system, record, _server) = start("plain", "", number, |_| true);
        send(&system, "/plain/x", "");
        record.check();
    }
}

#[test]
fn an_endless_stream_is_closed() {
    for (number, response) in endless_responses("").iter().enumerate() {
        let (system, record, _server) = start("model", "decode", number, |_| true);
        let headers = gateway_mocks::prompt_headers("aa", "bb");
        // The events of a stream are forwarded, so the caller sees that it is broken off.
        let mut caller = system.connect();
        write_text(&mut caller, &get_request("/chat/x", &headers));
        let sent_at = Instant::now();
        let mut chunk = vec![0; 64 * 1024];
        while caller.read(&mut chunk).is_ok_and(|length| length > 0) {
            assert!(sent_at.elapsed() < RESPONSE_LIMIT, "the stream goes on");
            if record.closed.load(Ordering::SeqCst) == 1 && !response.has_whole_head() {
                break;
            }
        }
        record.check();
    }
}

#[test]
fn an_endless_prefill_response_is_closed() {
    for number in 0..endless_responses("").len() {
        let (system, record, _server) =
            start("model", "prefill", number, ReceivedRequest::is_prefill);
        let decode = ScriptedServer::start(|request, stream| {
            gateway_mocks::write_rejection(request, stream, "")
        });
        system.register("decode", "model", &decode, "decode");
        send(&system, "/chat/x", long_prompt());
        record.check();
    }
}

#[test]
fn an_endless_response_to_a_release_is_closed() {
    for number in 0..endless_responses("").len() {
        let is_release = |request: &ReceivedRequest| request.request_line.starts_with("DELETE");
        let (system, record, _server) = start("model", "prefill", number, is_release);
        let decode = ScriptedServer::start(|request, stream| {
            gateway_mocks::write_rejection(request, stream, "")
        });
        system.register("decode", "model", &decode, "decode");
        send(&system, "/chat/x", long_prompt());
        record.check();
    }
}

#[test]
fn an_endless_report_is_closed() {
    let is_report = |request: &ReceivedRequest| request.id().is_empty();
    // Engines of one stage, one of which is to change it, are asked for a report.
    let (system, record, _server) = start("model", "prefill", 0, is_report);
    let other = ScriptedServer::start(|request, stream| {
        gateway_mocks::write_rejection(request, stream, "")
    });
    system.register("other", "model", &other, "prefill");
    support::wait_for(|| record.begun.load(Ordering::SeqCst) > 0);
    record.check();
}

#[test]
fn an_endless_response_of_the_store_is_closed() {
    for number in 0..endless_responses("").len() {
        let record: Arc<EndlessRecord> = Arc::default();
        let address = serve_endless(Arc::clone(&record), number);
        let mut client = StoreEndpoint::new(address).client();
        let read = async_std::task::block_on(client.read_all(Duration::from_secs(2)));
        assert!(read.is_err());
        drop(client);
        record.check();
    }
}

#[test]
fn pages_of_the_store_that_do_not_advance_are_an_error() {
    let page = r#"{"items":[{"key":"a","value":"","revision":1,"created":1,"lease":0}],"has-more":true,"as-of":1}"#;
    let server = ScriptedServer::start(move |request, stream| {
        gateway_mocks::write_response(request, stream, page)
    });
    let mut client = StoreEndpoint::new(server.address).client();
    let read = async_std::task::block_on(client.read_all(Duration::from_secs(2)));
    assert!(read.is_err() && server.received().len() <= 2, "{} calls", server.received().len());
}

/// Accepts connections and answers each without end.
fn serve_endless(record: Arc<EndlessRecord>, number: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                record.write(&mut stream, &endless_responses("x")[number]);
            });
        }
    });
    address
}
