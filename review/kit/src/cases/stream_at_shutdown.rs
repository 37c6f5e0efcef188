//! Streams that arrive while daemons of a zone are stopped one after the other.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    daemon::{self, Daemon},
    engine::{Server, Work},
    record::Record,
    world::{self, Clients, Verdict, World},
};

const ZONE: &str = "hofudborg-a";
/// The site's six daemons; two of the three of [`ZONE`] are stopped in turn.
const DAEMONS: [(&str, &str); 6] = [
    ("edge-hofudborg-a-1", ZONE),
    ("edge-hofudborg-a-2", ZONE),
    ("edge-hofudborg-a-3", ZONE),
    ("edge-nordurland-a-1", "nordurland-a"),
    ("edge-nordurland-a-2", "nordurland-a"),
    ("edge-austurland-a-1", "austurland-a"),
];
const ZONE_DAEMONS: usize = 3;
/// Times that two daemons of the zone are stopped and started.
const ROLLS: usize = 4;
/// Pause between the SIGTERMs of two daemons, as in the site's list (`roll_term`, `gap_s` 1.3).
const GAP: Duration = Duration::from_millis(1300);
/// `grace-s` of the site.
const GRACE: Duration = Duration::from_secs(8);
/// A request that was sent up to this time after the SIGTERM doesn't count if its engine still worked
/// in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

/// The platform's address: forwards new connections to the daemons of the zone.
struct Balancer {
    targets: Vec<(String, SocketAddr, SocketAddr)>,
    misses: Mutex<Vec<u32>>,
}

impl Balancer {
    /// Checks readiness once per second. After two misses a daemon gets no new connections.
    fn check(&self, record: &Record) {
        for (index, (name, _, readiness)) in self.targets.iter().enumerate() {
            let is_ready = daemon::is_ready(*readiness);
            let mut misses = self.misses.lock().unwrap();
            let was_out = misses[index] >= 2;
            misses[index] = if is_ready { 0 } else { misses[index] + 1 };
            if was_out != (misses[index] >= 2) {
                let text = if was_out { "back in rotation" } else { "out of rotation" };
                record.line(format!("platform: {name} is {text}"));
            }
        }
    }

    /// Returns the daemons that get new connections. If fewer than half are in rotation, all get them.
    fn in_use(&self) -> Vec<(String, SocketAddr)> {
        let misses = self.misses.lock().unwrap();
        let all = self.targets.iter().map(|(name, address, _)| (name.clone(), *address));
        let in_rotation: Vec<_> = all
            .clone()
            .zip(misses.iter())
            .filter(|(_, misses)| **misses < 2)
            .map(|(it, _)| it)
            .collect();
        if 2 * in_rotation.len() < self.targets.len() {
            all.collect()
        } else {
            in_rotation
        }
    }
}

pub fn run(world: &World) -> Verdict {
    let (record, store) = (&world.record, &world.store);
    // 86 pieces, the most of the site's sheet, at 52 ms: seven tokens at a step of 7.5 ms each.
    let work = Work::Stream { events: 86, gap_ms: 52 };
    let engines: Vec<_> = ["e-1", "e-2", "e-3"]
        .iter()
        .map(|id| Server::start(record, store, id, "lan-adstod", ZONE, "", work))
        .collect();
    store.put("op/config", &world::configuration(1, "boka"));
    let Some(daemons) = world.daemons(&DAEMONS) else {
        return Verdict::NotRun("a daemon isn't ready".to_owned());
    };
    let mut daemons = daemons;
    let _others = daemons.split_off(ZONE_DAEMONS);
    let targets = daemons.iter().map(|it| (it.name.clone(), it.frontend, it.readiness)).collect();
    let balancer = Arc::new(Balancer { targets, misses: Mutex::new(vec![0; daemons.len()]) });
    {
        let (balancer, record) = (Arc::clone(&balancer), record.clone());
        thread::spawn(move || loop {
            balancer.check(&record);
            thread::sleep(Duration::from_secs(1));
        });
    }
    world.sleep(3.0);
    let clients = Clients::new(record);
    let traffic_end = record.now() + Duration::from_secs(54);
    let traffic = {
        let (clients, balancer, record) = (clients.clone(), Arc::clone(&balancer), record.clone());
        thread::spawn(move || {
            let mut number = 0;
            let mut calls = Vec::new();
            while record.now() < traffic_end {
                let in_use = balancer.in_use();
                let (name, address) = in_use[number % in_use.len()].clone();
                number += 1;
                let clients = clients.clone();
                calls.push(thread::spawn(move || {
                    clients.stream(&name, address, "damage-summary", 8000, 1090);
                }));
                thread::sleep(Duration::from_millis(53));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    world.sleep(2.0);
    // The time of each SIGTERM.
    let mut stops: Vec<(String, Duration)> = Vec::new();
    if world.has_trouble {
        for _ in 0..ROLLS {
            let mut waiting = Vec::new();
            for daemon in daemons.drain(..2) {
                daemon.terminate();
                stops.push((daemon.name.clone(), record.now()));
                let record = record.clone();
                waiting.push(thread::spawn(move || restart_after_exit(daemon, &record)));
                thread::sleep(GAP);
            }
            daemons.extend(waiting.into_iter().filter_map(|it| it.join().ok()));
            // The platform puts the daemons back into rotation.
            world.sleep(2.5);
        }
    }
    let _ = traffic.join();
    drop(daemons);
    judge(&clients, &engines, &stops)
}

/// Waits until a daemon that got SIGTERM exits, kills it at the end of the grace period, and starts it
/// again.
fn restart_after_exit(mut daemon: Daemon, record: &Record) -> Daemon {
    let end = record.now() + GRACE;
    while record.now() < end && daemon.is_running() {
        thread::sleep(Duration::from_millis(5));
    }
    let how = if daemon.is_running() { "is killed" } else { "has exited" };
    record.line(format!("{} {how}", daemon.name));
    daemon.restart();
    daemon
}

/// Checks the rule LOST around planned work.
fn judge(clients: &Clients, engines: &[Server], stops: &[(String, Duration)]) -> Verdict {
    let ids: Vec<String> = engines.iter().flat_map(Server::runs).map(|run| run.id).collect();
    let attempts = clients.all();
    let complete =
        attempts.iter().filter(|it| it.answer.status == 200 && it.answer.is_complete).count();
    if complete < 50 {
        return Verdict::NotRun(format!(
            "only {complete} of {} streams are complete",
            attempts.len()
        ));
    }
    let mut lost = Vec::new();
    let mut excused = 0;
    for attempt in &attempts {
        let was_passed_on = ids.contains(&attempt.id);
        let stop = stops.iter().rev();
        let mut stop =
            stop.filter(|(name, at)| *name == attempt.daemon && *at <= attempt.answered_at);
        let has_answer = attempt.answer.has_bytes && attempt.answer.is_complete;
        if !was_passed_on || has_answer {
            continue;
        }
        let Some((_, stopped_at)) = stop.next() else { continue };
        let (sent, cut) = (attempt.sent_at, attempt.answered_at);
        let is_planned = cut > *stopped_at && cut < *stopped_at + GRACE + Duration::from_secs(1);
        let had_time = cut - sent < Duration::from_millis(7900);
        if !is_planned || !had_time {
            continue;
        }
        if sent <= *stopped_at + EXCUSED && cut >= *stopped_at + GRACE * 5 / 6 {
            excused += 1;
            continue;
        }
        let (sent, cut) = ((sent - *stopped_at).as_secs_f64(), (cut - *stopped_at).as_secs_f64());
        lost.push(format!(
            "{} (sent {sent:.2} s, cut {cut:.2} s after the SIGTERM of {})",
            attempt.id, attempt.daemon
        ));
    }
    if lost.is_empty() {
        return Verdict::Held(format!(
            "{complete} of {} streams are complete; none that counts was cut ({excused} excused)",
            attempts.len()
        ));
    }
    Verdict::Broken(format!(
        "{} streams that engines ran were cut: {}",
        lost.len(),
        lost.join("; ")
    ))
}
