//! Case 6: one of three servers answers with interim responses that never end. Checks that requests are
//! answered half a second after their route's timeout, and that the daemon still says it is ready.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks::{self, ReceivedRequest, StandinStore};
use parking_lot::Mutex;
use review_kit_2::{has_trouble, Daemon, Engine, EngineRun, Folder, Handler, Record};

/// `timeout-ms` of the routes, and the time that clients wait.
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after that until which the rule wants an answer.
const SLACK: Duration = Duration::from_millis(500);
/// Time before the disruption; longer than `stable-ms` (3 s).
const CALM: Duration = Duration::from_secs(5);
/// Time of the disruption.
const TROUBLE: Duration = Duration::from_secs(20);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(42);
/// An interim response. It answers nothing.
const INTERIM: &str = "HTTP/1.1 100 .\r\n\r\n";

/// What became of a request.
struct Outcome {
    sent_in_trouble: bool,
    answered_after: Option<Duration>,
}

fn main() -> ExitCode {
    let record = Record::create();
    let folder = Folder::create();
    let store = StandinStore::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = (TIMEOUT.as_millis() as u64).into();
    }
    store.put_configuration(&configuration);
    let in_trouble = Arc::new(AtomicBool::new(false));
    let endless = Arc::new(AtomicU64::new(0));
    let engines: Vec<Engine> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(|id| {
            let (record, in_trouble) = (record.clone(), Arc::clone(&in_trouble));
            let endless = Arc::clone(&endless);
            let handler: Handler = Arc::new(move |request, stream, run| {
                if run.id == "s-1" && in_trouble.load(Ordering::SeqCst) {
                    endless.fetch_add(1, Ordering::SeqCst);
                    return send_without_end(&record, request, stream, run);
                }
                thread::sleep(Duration::from_millis(15));
                gateway_mocks::write_response(
                    request,
                    stream,
                    &format!("{} of {}", request.id(), run.id),
                )
            });
            Engine::start(id, "plain", "", "v1", handler)
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(&store, "ready"));
    let daemon = Daemon::start(&folder.0, "edge-1", &store.address.to_string(), "memory_mb: 260\n");
    if !daemon.wait_ready() {
        record.say("the daemon isn't ready");
        return ExitCode::from(2);
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let began_at = Instant::now();
    let mut clients = Vec::new();
    let (mut missed, mut most_missed, mut next_check) = (0, 0, began_at);
    for number in 0.. {
        if began_at.elapsed() >= CALM + TROUBLE {
            break;
        }
        if began_at.elapsed() >= CALM && has_trouble() && !in_trouble.swap(true, Ordering::SeqCst) {
            record.say("s-1 is in trouble from now on");
        }
        let (client_record, outcomes) = (record.clone(), Arc::clone(&outcomes));
        let sent_in_trouble = began_at.elapsed() >= CALM;
        let address = daemon.requests;
        clients.push(thread::spawn(move || {
            let answered_after = call(&client_record, address, number);
            outcomes.lock().push(Outcome { sent_in_trouble, answered_after });
        }));
        if Instant::now() >= next_check {
            next_check += Duration::from_secs(1);
            let is_ready = daemon.is_ready();
            missed = if is_ready { 0 } else { missed + 1 };
            most_missed = most_missed.max(missed);
            record.line(&format!("readiness check: {is_ready}"));
        }
        thread::sleep(INTERVAL);
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let outcomes = outcomes.lock();
    let later_than = |limit: Duration| {
        outcomes
            .iter()
            .filter(|outcome| outcome.answered_after.is_none_or(|after| after > limit))
            .count()
    };
    let (unanswered, missing) = (later_than(TIMEOUT), later_than(TIMEOUT + SLACK));
    let calm = outcomes.iter().filter(|outcome| !outcome.sent_in_trouble).count();
    record.say(&format!(
        "{} requests, {calm} of them before the disruption; {unanswered} unanswered at their route's \
         timeout-ms, {missing} of them half a second later; {} answers without end; {most_missed} \
         readiness checks missed in a row",
        outcomes.len(),
        endless.load(Ordering::SeqCst)
    ));
    drop(daemon);
    let is_broken = missing >= 20 && missing * 2 > unanswered;
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    drop(folder);
    std::process::exit(i32::from(is_broken))
}

/// Writes interim heads until the caller closes.
fn send_without_end(
    record: &Record,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
    run: &EngineRun,
) -> bool {
    record.line(&format!("{} sends heads without end in answer to {}", run.id, request.id()));
    let heads = INTERIM.repeat(64 * 1024);
    let began_at = Instant::now();
    while stream.write_all(heads.as_bytes()).is_ok() {}
    let seconds = began_at.elapsed().as_secs_f64();
    record.line(&format!("the caller of {} closed after {seconds:.1} s", request.id()));
    false
}

/// Sends a request and returns the time until its whole answer, or none if there is none in time.
fn call(record: &Record, address: SocketAddr, number: u64) -> Option<Duration> {
    let (id, sent_at) = (format!("r{number}"), Instant::now());
    let limit = TIMEOUT + SLACK + Duration::from_millis(100);
    let path = if number % 2 == 0 { "/plain/x" } else { "/order/x" };
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
        TIMEOUT.as_millis()
    );
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut chunk = [0; 4096];
        if gateway_mocks::write_text(&mut stream, &text) {
            while sent_at.elapsed() < limit && !gateway_mocks::is_complete_response(&answer) {
                match stream.read(&mut chunk) {
                    Ok(0) => break,
                    Ok(length) => answer.push_str(&String::from_utf8_lossy(&chunk[..length])),
                    Err(_) => {}
                }
            }
        }
    }
    let after = sent_at.elapsed();
    let status = gateway_mocks::status_code(&answer);
    let is_answered = gateway_mocks::is_complete_response(&answer);
    record.line(&format!(
        "{id} {path}: {} after {} ms",
        if is_answered { status } else { "no answer" },
        after.as_millis()
    ));
    is_answered.then_some(after)
}
