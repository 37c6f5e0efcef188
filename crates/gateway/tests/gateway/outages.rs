//! Servers that leave while the store isn't responding, and serve on.

use gooseberry_standins::gateway_mocks::StoreBehaviour;

use crate::support::{get_request, status_code, write_response, ScriptedServer, System};

/// Number of requests of a test, so that some would go to each usable server.
const REQUESTS: usize = 12;

/// Makes the store unavailable, changes it, and lets it respond again.
fn outage(system: &System, change: impl Fn()) {
    let is_unreachable = |is_expected: bool| {
        system.wait(|state| state.fleet.connectivity.is_unreachable() == is_expected);
    };
    system.store.set_behaviour(StoreBehaviour::Unavailable);
    is_unreachable(true);
    change();
    system.store.set_behaviour(StoreBehaviour::Normal);
    is_unreachable(false);
}

#[test]
fn a_server_that_left_in_an_outage_gets_no_requests_after_the_next_outage() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server =
        || ScriptedServer::start(|request, stream| write_response(request, stream, "done"));
    let (left, other) = (server(), server());
    system.register("left", "plain", &left, "");
    system.register("other", "plain", &other, "");
    outage(&system, || system.store.remove_server("left"));
    system.wait(|state| {
        let server = state.fleet.server(state.fleet.key("left").expect("known server"));
        !server.is_usable(system.gateway.now())
    });
    for _ in 0..2 {
        outage(&system, || ());
        let before = left.received().len();
        for _ in 0..REQUESTS {
            assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
        }
        assert_eq!(left.received().len(), before);
    }
}
