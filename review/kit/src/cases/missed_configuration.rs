//! A configuration that is written right after the store has come back from a copy.

use std::{thread, time::Duration};

use crate::{
    engine::{Server, Work},
    store::Mode,
    world::{self, Clients, Verdict, World},
};

const DAEMONS: [(&str, &str); 6] = [
    ("edge-hofudborg-a-1", "hofudborg-a"),
    ("edge-hofudborg-a-2", "hofudborg-a"),
    ("edge-hofudborg-a-3", "hofudborg-a"),
    ("edge-nordurland-a-1", "nordurland-a"),
    ("edge-nordurland-a-2", "nordurland-a"),
    ("edge-austurland-a-1", "austurland-a"),
];
const ZONES: [&str; 3] = ["hofudborg-a", "nordurland-a", "austurland-a"];
/// Time from the acknowledgement after which requests are judged. It covers `config-apply-ms` (2.5 s),
/// `stretch-ms` (5 s) and `stable-ms` (3 s) together.
const JUDGED_AFTER: Duration = Duration::from_millis(10_500);

pub fn run(world: &World) -> Verdict {
    let (record, store) = (&world.record, &world.store);
    let start = |service: &str, zone: &str| {
        let id = format!("i-{service}-{zone}");
        Server::start(record, store, &id, service, zone, "", Work::Plain { ms: 15 })
    };
    let old: Vec<_> = ZONES.iter().map(|zone| start("boka", zone)).collect();
    let new: Vec<_> = ZONES.iter().map(|zone| start("boka-ny", zone)).collect();
    store.put("op/config", &world::configuration(1, "boka"));
    let Some(daemons) = world.daemons(&DAEMONS) else {
        return Verdict::NotRun("a daemon isn't ready".to_owned());
    };
    // The daemons have registered and a leader is elected.
    world.sleep(8.0);
    let copy = store.copy();
    world.sleep(2.0);
    let moved = world::configuration(2, "boka-ny");
    if world.has_trouble {
        store.set_mode(Mode::Silent);
        world.sleep(0.5);
        store.restore(&copy);
    }
    let Some(revision) = store.put("op/config", &moved) else {
        return Verdict::NotRun("the operator's write was refused".to_owned());
    };
    let acknowledged_at = record.now();
    record
        .say(format!("operator: version 2 moves the routes; acknowledged at revision {revision}"));
    if world.has_trouble {
        // The engines write their entries again.
        for server in old.iter().chain(&new) {
            server.write_entry();
        }
    }
    thread::sleep(JUDGED_AFTER);
    let judged_from = record.now();
    let clients = Clients::new(record);
    for _ in 0..10 {
        for daemon in &daemons {
            clients.plain(&daemon.name, daemon.frontend, "POST", "reserve-tool");
        }
        world.sleep(0.1);
    }
    let runs = |servers: &[Server]| {
        servers
            .iter()
            .flat_map(Server::runs)
            .filter(|run| run.at >= judged_from)
            .collect::<Vec<_>>()
    };
    let (by_old, by_new) = (runs(&old), runs(&new));
    let attempts = clients.all();
    let mut stale: Vec<String> = attempts
        .iter()
        .filter(|attempt| by_old.iter().any(|run| run.id == attempt.id))
        .map(|attempt| attempt.daemon.clone())
        .collect();
    stale.sort_unstable();
    stale.dedup();
    if by_old.len() + by_new.len() < attempts.len() / 2 {
        return Verdict::NotRun("too few requests ran".to_owned());
    }
    let after = (judged_from - acknowledged_at).as_secs_f64();
    if by_old.is_empty() {
        return Verdict::Held(format!("all {} requests ran at the new service", by_new.len()));
    }
    Verdict::Broken(format!(
        "{} of {} requests, sent {after:.1} s and more after the acknowledgement of version 2, were run by \
         the service of version 1; sent to {}",
        by_old.len(),
        attempts.len(),
        stale.join(", ")
    ))
}
