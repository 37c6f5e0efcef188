//! An entry of another writer for a server that leaves.

use std::{thread, time::Duration};

use serde_json::json;

use crate::{
    engine::{Server, Work},
    world::{self, Clients, Verdict, World},
};

const ZONE: &str = "hofudborg-a";
const DAEMONS: [(&str, &str); 3] =
    [("edge-hofudborg-a-1", ZONE), ("edge-hofudborg-a-2", ZONE), ("edge-hofudborg-a-3", ZONE)];
/// `drain-ms` of the site.
const DRAIN: Duration = Duration::from_millis(2500);

pub fn run(world: &World) -> Verdict {
    let (record, store) = (&world.record, &world.store);
    let work = Work::Plain { ms: 500 };
    let engines: Vec<_> = ["s-1", "s-2", "s-3"]
        .iter()
        .map(|id| Server::start(record, store, id, "boka", ZONE, "", work))
        .collect();
    store.put("op/config", &world::configuration(1, "boka"));
    let Some(daemons) = world.daemons(&DAEMONS) else {
        return Verdict::NotRun("a daemon isn't ready".to_owned());
    };
    world.sleep(3.0);
    let clients = Clients::new(record);
    let end = record.now() + Duration::from_secs(14);
    let mut calls = Vec::new();
    for (number, daemon) in daemons.iter().cycle().take(24).enumerate() {
        let (clients, record) = (clients.clone(), record.clone());
        let (name, address) = (daemon.name.clone(), daemon.frontend);
        calls.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(100 * number as u64));
            while record.now() < end {
                clients.plain(&name, address, "POST", "reserve-tool");
                thread::sleep(Duration::from_millis(900));
            }
        }));
    }
    world.sleep(4.0);
    let leaving = &engines[0];
    let Some(revision) = leaving.drain() else {
        return Verdict::NotRun("the store refused the entry".to_owned());
    };
    let left_at = record.now();
    record.say(format!("{}: drains; acknowledged at revision {revision}", leaving.id));
    world.sleep(4.5);
    if world.has_trouble {
        // Another writer's entry: `born`, `sequence`, `cold-left-ms` and more are missing.
        let entry = json!({"service": "boka", "address": leaving.address.to_string(),
            "zone": ZONE, "version": "v1", "slots": 6, "state": "ready"});
        let revision = store.put(&format!("servers/{}", leaving.id), &entry);
        record.say(format!(
            "another writer: entry without some fields for {}, revision {revision:?}",
            leaving.id
        ));
    }
    // It serves on after its drain time, and exits.
    world.sleep(0.3);
    leaving.end();
    calls.into_iter().for_each(|call| drop(call.join()));
    let attempts = clients.all();
    let late: Vec<_> = leaving.runs().into_iter().filter(|run| run.at > left_at + DRAIN).collect();
    let sent_late = |id: &str| {
        attempts.iter().any(|attempt| attempt.id == id && attempt.sent_at > left_at + DRAIN)
    };
    let late: Vec<_> = late.into_iter().filter(|run| sent_late(&run.id)).collect();
    let lost = late.iter().filter(|run| {
        attempts.iter().any(|attempt| attempt.id == run.id && attempt.answer.status != 200)
    });
    let lost = lost.count();
    let complete =
        attempts.iter().filter(|it| it.answer.status == 200 && it.answer.is_complete).count();
    if complete < 30 {
        return Verdict::NotRun(format!(
            "only {complete} of {} requests are answered",
            attempts.len()
        ));
    }
    if late.is_empty() {
        return Verdict::Held(format!(
            "{} ran no request later than drain-ms after the acknowledgement",
            leaving.id
        ));
    }
    let first = (late[0].at - left_at).as_secs_f64();
    Verdict::Broken(format!(
        "{} requests were sent and reached {} later than drain-ms after it reported that it drains, the first \
         after {first:.1} s; {lost} of them were lost when it exited",
        late.len(),
        leaving.id
    ))
}
