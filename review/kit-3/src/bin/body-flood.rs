//! Many callers send bodies of legal size and stop just short of their end, as the pages describe
//! them. A process that exceeds the memory of its machine is killed, as the platform does.

use std::{
    fs,
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
    load, process,
    record::Record,
    setup::{CaseArguments, Deployment},
};

/// Bytes of a megabyte of the settings, read as the larger of the two usual ones.
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Longest time of the flood.
const FLOOD: Duration = Duration::from_secs(80);
/// Times that a process of each of two machines must end for the rule to be broken.
const ALLOWED_ENDS: usize = 3;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Memory of a machine of the deployment, in megabytes.
const MEMORY_MB: u64 = 260;
/// Number of callers that send.
const CALLERS: usize = 2200;
/// Bytes of a body that arrive. Its last chunk doesn't.
const BODY_BYTES: usize = 60_000;
/// Number of headers beside those that every request has, and the length of each.
const HEADERS: usize = 88;
const HEADER_BYTES: usize = 165;

fn main() {
    let arguments = CaseArguments::read();
    let record = Record::default();
    let outcome = run(&arguments, &record);
    record.write(&arguments.folder.join("record.txt"));
    exit(outcome);
}

/// Returns the memory of a process without pages of files, in bytes.
fn held_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

fn flood_head(number: usize) -> String {
    let mut head = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: lan.example\r\nX-Attempt-Id: f{number:07x}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,60\r\nX-Prompt-Prefix: ab:350,{number:x}:1110\r\n\
         X-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n"
    );
    for place in 0..HEADERS {
        let name = format!("X-Trace-{place:03}-");
        let padding = "n".repeat(HEADER_BYTES - name.len() - 11);
        head.push_str(&format!("{name}{padding}: 1234567\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Sends one body just short of its end and keeps the connection until the daemon closes it.
fn stalled_body(frontend: &str, number: usize, sent: &AtomicUsize) -> Option<()> {
    let mut stream =
        TcpStream::connect_timeout(&frontend.parse().ok()?, Duration::from_secs(1)).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(flood_head(number).as_bytes()).ok()?;
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    for _ in 0..BODY_BYTES / 1000 {
        stream.write_all(chunk.as_bytes()).ok()?;
    }
    sent.fetch_add(1, Ordering::Relaxed);
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut answer = [0; 512];
    let _ = stream.read(&mut answer);
    Some(())
}

/// A machine of the flood, and how often its process has ended.
struct Machine {
    ends: usize,
    most_bytes: u64,
    killed_at: Option<Instant>,
}

fn run(arguments: &CaseArguments, record: &Record) -> i32 {
    if !process::may_open(2 * CALLERS as u64 + 200) {
        record.say("too few descriptors for the callers and the daemons");
        return 2;
    }
    let gap = Duration::from_millis(50);
    let deployment = Deployment::start_with(arguments, record, 2, 64, 30, gap, MEMORY_MB);
    let Some(mut deployment) = deployment else {
        record.say("a daemon isn't ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let ordinary = load::start(
        0,
        7,
        load::steady(0.0, FLOOD.as_secs_f64(), 4.0),
        started,
        deployment.frontends(),
        record,
    );
    thread::sleep(Duration::from_secs(2));
    let has_ended = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    if arguments.has_trouble {
        record.say(format!("{CALLERS} callers of each machine begin to send"));
        for number in 0..CALLERS * deployment.daemons.len() {
            let frontend = deployment.daemons[number % deployment.daemons.len()].frontend.clone();
            let (has_ended, sent) = (Arc::clone(&has_ended), Arc::clone(&sent));
            let builder = thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || {
                while !has_ended.load(Ordering::Relaxed) {
                    if stalled_body(&frontend, number, &sent).is_none() {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
    }
    let limit = MEMORY_MB * BYTES_PER_MB;
    let flood_started = Instant::now();
    let new = || Machine { ends: 0, most_bytes: 0, killed_at: None };
    let mut machines = [new(), new()];
    while flood_started.elapsed() < FLOOD
        && machines.iter().any(|machine| machine.ends < ALLOWED_ENDS)
    {
        for (machine, daemon) in machines.iter_mut().zip(&mut deployment.daemons) {
            let name = daemon.plan.name.clone();
            if let Some(at) = machine.killed_at {
                if at.elapsed() >= RESTART_DELAY {
                    daemon.restart();
                    machine.killed_at = None;
                }
                continue;
            }
            let held = held_bytes(daemon.id());
            if held > machine.most_bytes {
                machine.most_bytes = held;
                record.add(format!("{name} holds {} kB", held / 1024));
            }
            if held > limit || !daemon.is_running() {
                let why = if held > limit { "more than its machine has: killed" } else { "ended" };
                let bodies = sent.load(Ordering::Relaxed);
                record.say(format!("{name} holds {} kB after {bodies} bodies, {why}", held / 1024));
                daemon.kill();
                machine.ends += 1;
                machine.killed_at = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    has_ended.store(true, Ordering::Relaxed);
    let Ok(counts) = ordinary.join() else { return 2 };
    let [first, second] = &machines;
    record.say(format!(
        "most held: {} kB and {} kB of {} kB; ends: {} and {}, {ALLOWED_ENDS} of each break the rule; \
         {} ordinary streams begun",
        first.most_bytes / 1024,
        second.most_bytes / 1024,
        limit / 1024,
        first.ends,
        second.ends,
        counts.begun
    ));
    i32::from(machines.iter().all(|machine| machine.ends >= ALLOWED_ENDS))
}
