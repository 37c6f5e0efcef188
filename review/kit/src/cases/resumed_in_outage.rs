//! Streams that are taken up while the store is down and engines start again with another version.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    engine::{Server, Work},
    http::Answer,
    store::Mode,
    world::{self, Clients, Verdict, World},
};

const ZONE: &str = "hofudborg-a";
const DAEMONS: [(&str, &str); 3] =
    [("edge-hofudborg-a-1", ZONE), ("edge-hofudborg-a-2", ZONE), ("edge-hofudborg-a-3", ZONE)];
const ENGINES: [&str; 4] = ["e-1", "e-2", "e-3", "e-4"];
/// Clients, each with one stream at a time.
const CLIENTS: usize = 72;
const DEADLINE: Duration = Duration::from_millis(4000);
/// Number of streams from which the rule is broken: more than two.
const BROKEN_STREAMS: usize = 3;

/// Returns the id of the last whole event and the versions that wrote events.
fn events(answer: &Answer) -> (u32, Vec<String>) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut last = 0;
    let mut versions = Vec::new();
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        let id = event.lines().find_map(|line| line.strip_prefix("id: "));
        last = id.and_then(|id| id.parse().ok()).unwrap_or(last);
        let version = event.trim_end().rsplit(' ').next().unwrap_or_default().to_owned();
        if !versions.contains(&version) {
            versions.push(version);
        }
    }
    (last, versions)
}

pub fn run(world: &World) -> Verdict {
    let (record, store) = (&world.record, &world.store);
    let work = Work::Stream { events: 30, gap_ms: 60 };
    let engines: Vec<_> = ENGINES
        .iter()
        .map(|id| Server::start(record, store, id, "lan-adstod", ZONE, "", work))
        .collect();
    store.put("op/config", &world::configuration(1, "boka"));
    let Some(daemons) = world.daemons(&DAEMONS) else {
        return Verdict::NotRun("a daemon isn't ready".to_owned());
    };
    world.sleep(3.0);
    let clients = Clients::new(record);
    // Versions of the events of each stream that was taken up.
    let taken_up: Arc<Mutex<Vec<(String, Vec<String>)>>> = Arc::default();
    let addresses: Vec<_> = daemons.iter().map(|it| (it.name.clone(), it.frontend)).collect();
    let end = record.now() + Duration::from_secs(11);
    let mut calls = Vec::new();
    for number in 0..CLIENTS {
        let (clients, record, addresses) = (clients.clone(), record.clone(), addresses.clone());
        let taken_up = Arc::clone(&taken_up);
        calls.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(25 * number as u64));
            let mut next = number;
            while record.now() < end {
                let (name, address) = &addresses[next % addresses.len()];
                next += 1;
                let began = record.now();
                let first =
                    clients.stream(name, *address, "loan-history-chat", 4000, 200 + number as u32);
                let (mut last, mut versions) = events(&first.answer);
                if first.answer.is_complete || last == 0 {
                    if first.answer.status != 200 {
                        thread::sleep(Duration::from_millis(300));
                    }
                    continue;
                }
                // The connection broke; the client takes the stream up at another daemon, and again.
                for _ in 0..2 {
                    let left = (began + DEADLINE).saturating_sub(record.now());
                    let (name, address) = &addresses[next % addresses.len()];
                    next += 1;
                    let left_ms = left.as_millis() as u64;
                    let more = clients.resume(
                        name,
                        *address,
                        "loan-history-chat",
                        left_ms,
                        200 + number as u32,
                        &first.id,
                        last,
                    );
                    let (reached, new_versions) = events(&more.answer);
                    last = last.max(reached);
                    for version in new_versions {
                        if !versions.contains(&version) {
                            versions.push(version);
                        }
                    }
                    if more.answer.status == 200 && more.answer.is_complete {
                        break;
                    }
                    thread::sleep(Duration::from_millis(250));
                }
                taken_up.lock().unwrap().push((first.id.clone(), versions));
            }
        }));
    }
    world.sleep(3.5);
    // Two engines crash and start again with the next version of their software, one after the other.
    // The disruption is that the store is down meanwhile.
    if world.has_trouble {
        store.set_mode(Mode::Busy);
    }
    world.sleep(0.3);
    for engine in &engines[..2] {
        engine.crash();
        world.sleep(1.0);
        engine.start_again("v2");
        world.sleep(1.0);
    }
    if world.has_trouble {
        store.set_mode(Mode::Up);
    }
    calls.into_iter().for_each(|call| drop(call.join()));
    let taken_up = taken_up.lock().unwrap().clone();
    let joined: Vec<_> = taken_up.iter().filter(|(_, versions)| versions.len() > 1).collect();
    for (id, versions) in &joined {
        record.line(format!("stream {id} holds events of {}", versions.join(" and ")));
    }
    let text = format!(
        "{} of {} streams that were taken up hold events of two versions",
        joined.len(),
        taken_up.len()
    );
    let complete =
        clients.all().iter().filter(|it| it.answer.status == 200 && it.answer.is_complete).count();
    if complete < 50 {
        Verdict::NotRun(format!("only {complete} streams are complete"))
    } else if joined.len() >= BROKEN_STREAMS {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
