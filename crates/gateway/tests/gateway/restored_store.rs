//! A key-value service that comes back from a copy.

use std::{sync::Arc, time::Duration};

use gooseberry_core::serving::{
    part_evidence::{EngineIncarnation, RepeatedCrash, SuspectHistory},
    prompt::PartFingerprint,
};
use gooseberry_standins::gateway_mocks::{self, StoreCopy};
use parking_lot::Mutex;
use serde_json::{json, Value};

use crate::support::{
    self, get_request, server_entry, write_response, write_text, ScriptedServer, System,
};

/// Brings the store back from a copy, and has the operator and the servers write until the store has
/// given out again all revisions that the gateway knows.
fn restore(system: &System, copy: &StoreCopy, rewrite: impl Fn()) {
    let known = system.store.revision();
    system.store.restore(copy);
    while system.store.revision() <= known {
        rewrite();
    }
}

fn server(body: &'static str) -> ScriptedServer {
    ScriptedServer::start(move |request, stream| write_response(request, stream, body))
}

/// Guards against a watch that goes on from a revision which the store has given out again: the changes
/// up to that revision never arrive.
#[test]
fn changes_after_the_store_came_back_from_a_copy_are_seen() {
    let system = System::start();
    system.store.state_era(1);
    system.configure(1);
    let (old, new) = (server("old"), server("new"));
    system.register("one", "plain", &old, "");
    system.register("two", "other", &new, "");
    system.wait_version(1);
    let copy = system.store.copy();
    for sequence in 0..20 {
        system.store.put("gateway/unrelated", &json!(sequence));
    }
    system.wait(|state| state.listed_revision.number == system.store.revision());
    restore(&system, &copy, || {
        system.store.put_configuration(&gateway_mocks::configuration(2, "other"));
        system.store.put_server("one", &server_entry("plain", &old, "", "ready"));
        system.store.put_server("two", &server_entry("other", &new, "", "ready"));
    });
    system.wait_version(2);
    assert!(system.send(&get_request("/plain/x", "")).ends_with("new"));
}

/// An engine that records the fencing tokens of its orders, and never carries one out.
fn recording_engine(fences: &Arc<Mutex<Vec<u64>>>) -> ScriptedServer {
    let fences = Arc::clone(fences);
    ScriptedServer::start(move |request, stream| {
        let report = json!({
            "stage": "decode", "models": [], "busy": false, "sequence": 0, "queued": 0, "active": 0,
            "kv-used": 0, "kv-total": 100_000, "kv-handles": 0,
        });
        if request.path().ends_with("/order") {
            let order: Value = serde_json::from_str(&request.body).expect("an order in JSON");
            fences.lock().push(order["fence"].as_u64().expect("a fencing token"));
            return write_text(stream, "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n");
        }
        write_response(request, stream, &report.to_string())
    })
}

/// Guards against a leader whose fencing token is a revision that the store has given out again: engines
/// can't tell its orders from those of the leader before the drill.
#[test]
fn fencing_tokens_rise_after_the_store_came_back_from_a_copy() {
    let system = System::start();
    system.store.state_era(1);
    let copy = system.store.copy();
    system.configure(1);
    let fences = Arc::default();
    let engines = [recording_engine(&fences), recording_engine(&fences)];
    let register = || {
        for (id, engine) in ["one", "two"].iter().zip(&engines) {
            system.store.put_server(id, &server_entry("model", engine, "decode", "ready"));
        }
    };
    for _ in 0..5 {
        register();
    }
    support::wait_for(|| !fences.lock().is_empty());
    let first = fences.lock().clone();
    // The leader key is gone, with the lease that has its id in the new era.
    system.store.restore(&copy);
    system.configure(1);
    register();
    support::wait_for(|| fences.lock().len() > first.len());
    let fences = fences.lock();
    assert!(fences.is_sorted(), "fencing tokens in the order of the orders: {fences:?}");
    assert!(fences.last() > fences.first(), "one token in two eras: {fences:?}");
}

/// Guards against an entry that is older than what is known of its server: in the copy, the server hasn't
/// left yet.
#[test]
fn a_server_that_left_gets_no_requests_when_its_entry_is_restored() {
    let system = System::start();
    system.store.state_era(1);
    system.configure(1);
    let (stays, leaves) = (server("stays"), server("leaves"));
    let register = |id: &str, server: &ScriptedServer| {
        let mut entry = server_entry("plain", server, "", "ready");
        entry["born"] = 1000.into();
        system.store.put_server(id, &entry);
        system.wait(|state| state.fleet.key(id).is_some());
    };
    register("two", &leaves);
    register("one", &stays);
    let copy = system.store.copy();
    // The server serves on.
    system.store.remove_server("two");
    system.wait(|state| state.is_entry_missing("two"));
    system.store.restore(&copy);
    system.store.put("gateway/unrelated", &json!(1));
    system.wait(|state| {
        let listed = state.listed_revision;
        listed.era == 2 && listed.number == system.store.revision()
    });
    assert!(!is_usable(&system, "two"));
    for _ in 0..20 {
        assert!(system.send(&get_request("/plain/x", "")).ends_with("stays"));
    }
    register("two", &leaves);
    support::wait_for(|| is_usable(&system, "two"));
}

fn is_usable(system: &System, id: &str) -> bool {
    let state = system.gateway.state.lock();
    let key = state.fleet.key(id).expect("known server");
    state.fleet.server(key).is_usable(system.gateway.now())
}

/// Guards against evidence that daemons which start later don't get, since the store has lost it.
#[test]
fn evidence_that_the_store_lost_is_stored_again() {
    const KEY: &str = "gateway/crashing-parts/00000000000000aa";
    let system = System::start();
    system.store.state_era(1);
    system.configure(1);
    let (part, request) = (PartFingerprint(0xaa), PartFingerprint::of_request(7));
    let copy = system.store.copy();
    system.store.put(KEY, &json!({"engines": [1, 2, 3]}));
    system.wait(|state| state.parts.is_convicted(part));
    let history = SuspectHistory {
        part: request,
        crashes: (11..=12)
            .map(|engine| RepeatedCrash {
                engine: EngineIncarnation(engine),
                after: Duration::from_secs(engine),
                is_trial: false,
            })
            .collect(),
    };
    let now = system.gateway.now();
    system.gateway.state.lock().restore_suspect(&history, now);
    system.store.restore(&copy);
    support::wait_for(|| system.store.keys().iter().any(|key| key == KEY));
    let suspect = format!("gateway/suspect-requests/{request}");
    support::wait_for(|| system.store.keys().contains(&suspect));
}

/// Guards against an acquittal of the copy that lets a part run which has been convicted since.
#[test]
fn an_acquittal_that_is_restored_is_not_applied_again() {
    const KEY: &str = "gateway/crashing-parts/00000000000000aa";
    let system = System::start();
    system.store.state_era(1);
    system.configure(1);
    let part = PartFingerprint(0xaa);
    system.store.put(KEY, &json!({"engines": []}));
    system.store.put("gateway/unrelated", &json!(1));
    system.wait(|state| state.listed_revision.number == system.store.revision());
    let copy = system.store.copy();
    system.store.put(KEY, &json!({"engines": (1..=12).collect::<Vec<u64>>()}));
    system.wait(|state| state.parts.is_convicted(part));
    system.store.restore(&copy);
    system.wait(|state| state.listed_revision.era == 2);
    assert!(system.gateway.state.lock().parts.is_convicted(part));
}
