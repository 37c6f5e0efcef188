//! Many callers send large bodies of legal size piece by piece. Ten ordinary callers, each with a new
//! connection for each request, use the same machine, which says that it is ready.

use std::{
    io::{Read, Write},
    net::TcpStream,
    process::exit,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use gooseberry_review_kit_3::{
    process,
    record::Record,
    setup::{CaseArguments, Deployment},
};
use parking_lot::Mutex;

/// Memory of a machine of the deployment, in megabytes.
const MEMORY_MB: u64 = 260;
/// Callers that send large bodies.
const LARGE_CALLERS: usize = 1700;
/// Size that their bodies announce: the largest that the configuration allows.
const LARGE_BODY_BYTES: usize = 4_194_304;
/// Bytes of a piece, and the time between two.
const PIECE_BYTES: usize = 300;
const PIECE_GAP: Duration = Duration::from_millis(200);
/// Ordinary callers, and the time between two requests of one.
const ORDINARY_CALLERS: usize = 10;
const ORDINARY_GAP: Duration = Duration::from_millis(400);
/// Length of the flood.
const FLOOD: Duration = Duration::from_secs(20);
/// `stable-ms` of the deployment.
const STABLE: Duration = Duration::from_millis(3000);

fn main() {
    let arguments = CaseArguments::read();
    let record = Record::default();
    let outcome = run(&arguments, &record);
    record.write(&arguments.folder.join("record.txt"));
    exit(outcome);
}

/// Sends a body piece by piece until the daemon closes the connection.
fn send_slowly(
    frontend: &str,
    number: usize,
    has_ended: &AtomicBool,
    open: &AtomicUsize,
) -> Option<()> {
    let address = frontend.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let head = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: f{number:07x}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,60\r\nX-Prompt-Prefix: ab:350,{number:x}:1110\r\n\
         X-Deadline-Ms: 4000\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let piece = vec![b'x'; PIECE_BYTES];
    open.fetch_add(1, Ordering::Relaxed);
    while !has_ended.load(Ordering::Relaxed) && stream.write_all(&piece).is_ok() {
        thread::sleep(PIECE_GAP);
    }
    open.fetch_sub(1, Ordering::Relaxed);
    Some(())
}

/// Sends one small request on a new connection and returns the status of its answer, or why there is
/// none.
fn ask(frontend: &str, id: &str) -> String {
    let Ok(address) = frontend.parse() else { return "no address".to_owned() };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return "not connected".to_owned();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let request = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,60\r\nX-Prompt-Prefix: ab:350,{id}:1110\r\nX-Deadline-Ms: 4000\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    let mut answer = [0; 64];
    match stream.read(&mut answer) {
        Ok(0) => "closed without an answer".to_owned(),
        Ok(read) => {
            String::from_utf8_lossy(&answer[..read]).split(' ').nth(1).unwrap_or("none").to_owned()
        }
        Err(error) => format!("no answer: {}", error.kind()),
    }
}

fn run(arguments: &CaseArguments, record: &Record) -> i32 {
    if !process::may_open(LARGE_CALLERS as u64 + 400) {
        record.say("too few descriptors for the callers and the daemons");
        return 2;
    }
    let gap = Duration::from_millis(20);
    let deployment = Deployment::start_with(arguments, record, 1, 64, 5, gap, MEMORY_MB);
    let Some(deployment) = deployment else {
        record.say("a daemon isn't ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let frontend = deployment.daemons[0].frontend.clone();
    let has_ended = Arc::new(AtomicBool::new(false));
    let answered_at = Arc::new(Mutex::new(Vec::new()));
    let tries = Arc::new(AtomicUsize::new(0));
    let mut ordinary = Vec::new();
    for caller in 0..ORDINARY_CALLERS {
        let (frontend, record) = (frontend.clone(), record.clone());
        let (has_ended, answered_at) = (Arc::clone(&has_ended), Arc::clone(&answered_at));
        let tries = Arc::clone(&tries);
        ordinary.push(thread::spawn(move || {
            for number in 0.. {
                if has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{caller:x}{number:06x}");
                tries.fetch_add(1, Ordering::Relaxed);
                let outcome = ask(&frontend, &id);
                if outcome.len() == 3 {
                    answered_at.lock().push(Instant::now());
                }
                record.add(format!("ordinary request {id}: {outcome}"));
                thread::sleep(ORDINARY_GAP);
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let open = Arc::new(AtomicUsize::new(0));
    if arguments.has_trouble {
        record.say(format!("{LARGE_CALLERS} callers begin to send large bodies"));
        for number in 0..LARGE_CALLERS {
            let (frontend, open) = (frontend.clone(), Arc::clone(&open));
            let has_ended = Arc::clone(&has_ended);
            let builder = thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || {
                while !has_ended.load(Ordering::Relaxed) {
                    let _ = send_slowly(&frontend, number, &has_ended, &open);
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
    }
    let began = Instant::now();
    let (mut ready, mut checks) = (0, 0);
    while began.elapsed() < FLOOD {
        thread::sleep(Duration::from_secs(1));
        checks += 1;
        ready += usize::from(deployment.daemons[0].is_ready());
        record.add(format!("{} large bodies open", open.load(Ordering::Relaxed)));
    }
    let ended = Instant::now();
    has_ended.store(true, Ordering::Relaxed);
    for caller in ordinary {
        let _ = caller.join();
    }
    let mut times: Vec<Instant> =
        answered_at.lock().iter().copied().filter(|at| *at > began && *at < ended).collect();
    let answered = times.len();
    times.insert(0, began);
    times.push(ended);
    times.sort();
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default();
    record.say(format!(
        "ready in {ready} of {checks} checks; {answered} ordinary requests answered in the {} s, of {} in all; \
         longest time without one: {:.1} s",
        FLOOD.as_secs(),
        tries.load(Ordering::Relaxed),
        longest.as_secs_f64()
    ));
    if ready < checks {
        return 2;
    }
    i32::from(longest > STABLE)
}
