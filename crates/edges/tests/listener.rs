//! Time limits of connections, under a clock that the test drives.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use async_std::{net::TcpListener, task};
use gooseberry_core::time::Timestamp;
use gooseberry_edges::{
    clock::{Clock, ManualClock},
    listener::{HttpListener, HEAD_TIMEOUT, WRITE_STALL_TIMEOUT},
    stop::StopSignal,
};
use tide::{Body, Request, Response, StatusCode};

/// Step by which a test moves the clock on.
const STEP: Duration = Duration::from_millis(500);
/// Time for which the machine may work between two steps.
const PAUSE: Duration = Duration::from_millis(2);
/// Steps after which a test that hangs ends.
const STEP_LIMIT: u32 = 20_000;

struct ServedApp {
    clock: Arc<ManualClock>,
    listener: HttpListener,
    address: String,
}

impl ServedApp {
    fn start() -> Self {
        let clock = ManualClock::at(Timestamp::from_millis(1_000_000));
        let listener = HttpListener::new(Clock::Manual(Arc::clone(&clock)));
        let socket = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = socket.local_addr().expect("an address").to_string();
        let mut app = tide::new();
        app.at("/endless").get(|_: Request<()>| async {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_reader(
                futures_lite::io::BufReader::new(futures_lite::io::repeat(b'x')),
                None,
            ));
            Ok(response)
        });
        let serving = listener.clone();
        task::spawn(async move { serving.serve(socket, app, StopSignal::new()).await });
        Self { clock, listener, address }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).expect("a connection")
    }

    /// Moves the clock on until a condition holds; returns the time it took.
    fn advance_until(&self, mut holds: impl FnMut() -> bool) -> Duration {
        let mut passed = Duration::ZERO;
        for _ in 0..STEP_LIMIT {
            if holds() {
                return passed;
            }
            self.clock.advance(STEP);
            passed += STEP;
            thread::sleep(PAUSE);
        }
        panic!("the condition never held");
    }

    fn wait_until(&self, mut holds: impl FnMut() -> bool) {
        for _ in 0..STEP_LIMIT {
            if holds() {
                return;
            }
            thread::sleep(PAUSE);
        }
        panic!("the condition never held");
    }
}

#[test]
fn a_slow_head_is_refused_when_its_time_has_passed() {
    let app = ServedApp::start();
    let mut stream = app.connect();
    stream.write_all(b"GET /endl").expect("room for half a head");
    let mut reader = stream.try_clone().expect("a second handle");
    let answered = thread::spawn(move || {
        let mut answer = String::new();
        reader.read_to_string(&mut answer).map(|_| answer)
    });
    let passed = app.advance_until(|| answered.is_finished());
    assert!(passed >= HEAD_TIMEOUT, "refused after {passed:?}");
    let answer = answered.join().expect("a thread without panic").expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}

#[test]
fn a_caller_that_does_not_read_is_cut_off() {
    let app = ServedApp::start();
    let mut stream = app.connect();
    stream.write_all(b"GET /endless HTTP/1.1\r\nhost: x\r\n\r\n").expect("room for a request");
    app.wait_until(|| app.listener.running_requests() == 1);
    let passed = app.advance_until(|| app.listener.running_requests() == 0);
    assert!(passed >= WRITE_STALL_TIMEOUT, "cut off after {passed:?}");
}

#[test]
fn a_caller_that_reads_slowly_is_not_cut_off() {
    let app = ServedApp::start();
    let mut stream = app.connect();
    stream.write_all(b"GET /endless HTTP/1.1\r\nhost: x\r\n\r\n").expect("room for a request");
    let mut buffer = vec![0; 8 * 1024 * 1024];
    for _ in 0..8 {
        stream.read_exact(&mut buffer).expect("more of the answer");
        app.clock.advance(WRITE_STALL_TIMEOUT / 2);
    }
    assert_eq!(app.listener.running_requests(), 1);
}
