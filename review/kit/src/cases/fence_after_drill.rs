//! Orders to an engine before and after the store comes back from a copy.

use std::{thread, time::Duration};

use crate::{
    engine::{Order, Server, Work},
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
/// `lease-ms` of the site.
const LEASE: Duration = Duration::from_millis(3000);

pub fn run(world: &World) -> Verdict {
    let (record, store) = (&world.record, &world.store);
    let work = Work::Stream { events: 40, gap_ms: 70 };
    let engine =
        |id: &str| Server::start(record, store, id, "lan-adstod", "hofudborg-a", "decode", work);
    let engines = [engine("e-1"), engine("e-2")];
    store.put("op/config", &world::configuration(1, "boka"));
    world.sleep(1.0);
    // The copy from which the drill comes back.
    let copy = store.copy();
    record.say(format!("store: copy at revision {}", copy.revision()));
    let Some(daemons) = world.daemons(&DAEMONS) else {
        return Verdict::NotRun("a daemon isn't ready".to_owned());
    };
    let count = || engines.iter().map(|engine| engine.orders().len()).sum::<usize>();
    if !world.wait(15.0, || count() > 0) {
        return Verdict::NotRun("no first order".to_owned());
    }
    let ordered = engines.iter().find(|engine| !engine.orders().is_empty()).cloned();
    let Some(ordered) = ordered else {
        return Verdict::NotRun("no first order".to_owned());
    };
    world.sleep(0.1);
    if world.has_trouble {
        store.set_mode(crate::store::Mode::Busy);
        world.sleep(0.4);
        store.restore(&copy);
        // The engines write their entries again; the configuration is in the copy.
        for engine in &engines {
            engine.write_entry();
        }
    }
    // From now on the load is long outputs after short prompts, which need decode engines.
    let clients = Clients::new(record);
    for number in 0..14 {
        let (clients, daemon) = (clients.clone(), &daemons[number % daemons.len()]);
        let (name, address, record) = (daemon.name.clone(), daemon.frontend, record.clone());
        thread::spawn(move || {
            while record.now() < Duration::from_secs(45) {
                let attempt = clients.stream(&name, address, "damage-summary", 8000, 20);
                if attempt.answer.status != 200 {
                    thread::sleep(Duration::from_millis(400));
                }
            }
        });
    }
    if !world.wait(35.0, || ordered.orders().len() > 1) {
        return Verdict::NotRun("no second order to the same engine".to_owned());
    }
    world.sleep(0.5);
    judge(&ordered.id, &ordered.orders())
}

/// Checks the rule ONE for the orders that one engine received.
fn judge(engine: &str, orders: &[Order]) -> Verdict {
    for (index, order) in orders.iter().enumerate() {
        for earlier in &orders[..index] {
            let (old, new) = (earlier.fence, order.fence);
            if new < old {
                return Verdict::Broken(format!(
                    "{engine} got an order of {} with the fencing token {new} after one of {} with {old}",
                    order.holder, earlier.holder
                ));
            }
            if new == old && order.holder != earlier.holder {
                return Verdict::Broken(format!(
                    "{engine} got orders of {} and {} with one fencing token, {new}",
                    earlier.holder, order.holder
                ));
            }
            if order.holder != earlier.holder && order.at - earlier.at < LEASE {
                return Verdict::Broken(format!("two holders ordered {engine} within lease-ms"));
            }
        }
    }
    let fences: Vec<u64> = orders.iter().map(|order| order.fence).collect();
    Verdict::Held(format!(
        "{engine} got {} orders with the fencing tokens {fences:?}",
        orders.len()
    ))
}
