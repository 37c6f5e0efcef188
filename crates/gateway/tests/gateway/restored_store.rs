//! A key-value service that comes back from a copy.

use gooseberry_standins::gateway_mocks::{self, StoreCopy};
use serde_json::json;

use crate::support::{get_request, server_entry, write_response, ScriptedServer, System};

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
