//! Requests that reach a daemon which is shutting down.

use std::{thread, time::Duration};

use gooseberry_standins::gateway_mocks;

use crate::support::{get_request, status_code, write_response, ScriptedServer, System};

/// Time after which the load balancer no longer sends connections to a daemon that is stopping, unless
/// too few others are ready: it has missed two health checks, which it makes every second.
const NOTICE: Duration = Duration::from_millis(2700);

fn stop(system: &System, grace: Duration) {
    system.gateway.limits.lock().grace = grace;
    system.gateway.set_stopping();
    thread::sleep(NOTICE);
}

/// Guards against streams that are passed on and then cut at the exit, because a bound taken from the
/// streams of one deployment is shorter than they may take.
#[test]
fn a_late_stream_whose_deadline_is_after_the_exit_is_refused() {
    let system = System::start();
    let mut configuration = gateway_mocks::configuration(1, "plain");
    for route in configuration["routes"].as_array_mut().expect("a list of routes") {
        route["timeout-ms"] = 8000.into();
    }
    system.store.put_configuration(&configuration);
    let engine = ScriptedServer::start(|request, stream| write_response(request, stream, ""));
    system.register("one", "model", &engine, "decode");
    let prompt = gateway_mocks::prompt_headers("aa", "b1");
    // 4.9 s are left until the exit.
    stop(&system, Duration::from_secs(8));
    let request = get_request("/chat/x", &prompt).replace("-Ms: 3000", "-Ms: 8000");
    let response = system.send(&request);
    assert_eq!(status_code(&response), "503", "{response}");
    assert!(engine.received().iter().all(|request| request.path() != "/chat/x"));
}

/// Guards against the same for plain calls, among them those that may run only once.
#[test]
fn a_late_call_whose_deadline_is_after_the_exit_is_refused() {
    let system = System::start();
    system.configure(1);
    let server = ScriptedServer::start(|request, stream| write_response(request, stream, "done"));
    system.register("one", "plain", &server, "");
    // 1.8 s are left until the exit, and 3 s until the deadline.
    stop(&system, Duration::from_millis(4900));
    for path in ["/order/x", "/plain/x"] {
        let response = system.send(&get_request(path, ""));
        assert_eq!(status_code(&response), "503", "{path}: {response}");
    }
    assert!(server.received().iter().all(|request| request.path() == "/healthz"));
    let soon = get_request("/order/x", "").replace("-Ms: 3000", "-Ms: 800");
    assert!(system.send(&soon).ends_with("done"));
}
