//! Requests with the API keys of client accounts.

use std::{
    net::TcpStream,
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant},
};

use gooseberry_core::serving::accounts::AccountDecision;
use gooseberry_gateway::{
    accounts::{CallAccount, CallAuthority},
    gateway::Gateway,
};
use gooseberry_harness::proxy::{ProxyState, TestProxy};
use gooseberry_platform::front;
use gooseberry_standins::gateway_mocks::{self, StandinStore, StoreBehaviour};
use serde_json::{json, Value};

use crate::support::{
    self, get_request, read_response, status_code, write_response, write_text, ScriptedServer,
    System,
};

/// Returns a configuration in which the route `order` needs no key.
fn configuration(version: u64, tenants: Value) -> Value {
    let mut configuration = gateway_mocks::configuration(version, "plain");
    configuration["tenants"] = tenants;
    for route in configuration["routes"].as_array_mut().expect("routes") {
        if route["name"] == "order" {
            route["anonymous"] = true.into();
        }
    }
    configuration
}

fn tenants() -> Value {
    json!([
        {"name": "red", "api-keys": ["red-one", "red-two"], "priority": 0},
        {"name": "blue", "api-keys": ["blue-one"]},
    ])
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\nX-Tenant: forged\r\n")
}

fn normal_server() -> ScriptedServer {
    ScriptedServer::start(|request, stream| write_response(request, stream, "done"))
}

fn configure(system: &System, version: u64, tenants: Value) {
    system.store.put_configuration(&configuration(version, tenants));
    system.wait_version(version);
}

/// Guards against servers that get keys or forged account names, and against requests without a valid
/// key that reach them.
#[test]
fn servers_get_the_name_of_the_account_and_never_its_key() {
    let system = System::start();
    configure(&system, 1, tenants());
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let status = |path: &str, headers: &str| {
        status_code(&system.send(&get_request(path, headers))).to_owned()
    };
    assert_eq!(status("/plain/x", &bearer("red-two")), "200");
    assert_eq!(status("/plain/x", "authorization: bearer blue-one\r\n"), "200");
    assert_eq!(status("/order/x", &bearer("red-one")), "200");
    assert_eq!(status("/order/x", &bearer("unknown")), "200");
    for headers in [
        "",
        "X-Tenant: red\r\n",
        "Authorization: Basic red-one\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Bearer red-one\r\nAuthorization: Bearer red-one\r\n",
        &bearer("red"),
        &bearer("red-one2"),
    ] {
        assert_eq!(status("/plain/x", headers), "401", "{headers}");
    }
    let received = server.received();
    let tenants: Vec<_> = received.iter().map(|request| request.header("x-tenant")).collect();
    assert_eq!(tenants, [Some("red"), Some("blue"), None, None]);
    assert!(received.iter().all(|request| request.header("authorization").is_none()));
    let metrics = system.gateway.metrics.render().expect("metrics are rendered");
    let metrics = String::from_utf8(metrics).expect("metrics are text");
    for line in [r#"account_requests{account="red"} 1"#, r#"account_requests{account="blue"} 1"#] {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    assert!(!metrics.contains("red-two") && !metrics.contains("blue-one"), "{metrics}");
}

/// Guards against a change for deployments without accounts.
#[test]
fn without_accounts_the_headers_of_callers_are_passed_on() {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let text = system.send(&get_request("/plain/x", &bearer("some-key")));
    assert_eq!(status_code(&text), "200");
    let received = server.received();
    assert_eq!(received[0].header("authorization"), Some("Bearer some-key"));
    assert_eq!(received[0].header("x-tenant"), Some("forged"));
}

/// Guards against a reset of the connection in place of the response, and against a refusal that waits
/// for a body that never comes.
#[test]
fn a_request_with_a_body_is_refused_before_the_body_has_arrived() {
    let system = System::start();
    configure(&system, 1, tenants());
    let head = |length: usize| {
        format!(
            "POST /plain/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: a\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    let mut stream = system.connect();
    assert!(write_text(&mut stream, &(head(60_000) + &"x".repeat(60_000))));
    let text = read_response(&mut stream);
    assert_eq!(status_code(&text), "401");
    assert!(text.contains("www-authenticate: Bearer"), "{text}");
    assert!(write_text(&mut stream, &get_request("/plain/x", "")), "the connection was closed");
    assert_eq!(status_code(&read_response(&mut stream)), "401");
    for length in [5_000, 4_000_000] {
        let mut stream = system.connect();
        assert!(write_text(&mut stream, &(head(length) + "begin")));
        assert_eq!(status_code(&read_response(&mut stream)), "401");
    }
}

/// Guards against keys that stay valid after a new configuration, and new ones that don't become valid.
#[test]
fn a_new_configuration_adds_and_removes_keys() {
    let system = System::start();
    configure(&system, 1, tenants());
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let status =
        |key: &str| status_code(&system.send(&get_request("/plain/x", &bearer(key)))).to_owned();
    assert_eq!([status("red-one"), status("green")], ["200", "401"]);
    configure(
        &system,
        2,
        json!([{"name": "red", "api-keys": []}, {"name": "green", "api-keys": ["green"]}]),
    );
    assert_eq!([status("red-one"), status("blue-one"), status("green")], ["401", "401", "200"]);
}

/// Removes the key of the account `red`, and waits until a daemon has applied it.
fn revoke(store: &StandinStore, gateway: &OnceLock<Arc<Gateway>>) {
    store.put_configuration(&configuration(9, json!([{"name": "red", "api-keys": []}])));
    let gateway = gateway.get().expect("the gateway has started");
    support::wait_for(|| {
        let state = gateway.state.lock();
        state.configuration.as_ref().is_some_and(|row| row.version == 9)
    });
}

/// Guards against a retry that is sent although the key was removed during the first try.
#[test]
fn a_request_is_not_sent_again_after_its_key_was_removed() {
    let system = System::start();
    configure(&system, 1, tenants());
    let gateway = Arc::new(OnceLock::new());
    let reject = |store: StandinStore, gateway: Arc<OnceLock<Arc<Gateway>>>| {
        ScriptedServer::start(move |request, stream| {
            revoke(&store, &gateway);
            gateway_mocks::write_rejection(request, stream, "")
        })
    };
    let servers = [1, 2].map(|_| reject(system.store.clone(), Arc::clone(&gateway)));
    for (server, id) in servers.iter().zip(["one", "two"]) {
        system.register(id, "plain", server, "");
    }
    gateway.set(Arc::clone(&system.gateway)).expect("set once");
    let text = system.send(&get_request("/plain/x", &bearer("red-one")));
    assert_eq!(status_code(&text), "401");
    assert_eq!(servers.iter().map(|server| server.received().len()).sum::<usize>(), 1);
}

/// Guards against a decode after the key was removed during the prefill, and against an account's
/// priority that isn't told to engines.
#[test]
fn a_request_is_not_decoded_after_its_key_was_removed() {
    let system = System::start();
    configure(&system, 1, tenants());
    let gateway = Arc::new(OnceLock::new());
    let reader = {
        let (store, gateway) = (system.store.clone(), Arc::clone(&gateway));
        ScriptedServer::start(move |request, stream| {
            revoke(&store, &gateway);
            gateway_mocks::write_prefill_response(request, stream)
        })
    };
    let writer = normal_server();
    system.register("reader", "model", &reader, "prefill");
    system.register("writer", "model", &writer, "decode");
    gateway.set(Arc::clone(&system.gateway)).expect("set once");
    // A prompt of this length is prefilled and decoded by different engines.
    let prompt = "X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: aa:300,bb:8700\r\n";
    let headers = prompt.to_owned() + &bearer("red-one");
    let text = system.send(&get_request("/chat/x", &headers));
    assert_eq!(status_code(&text), "401", "{text}");
    let prefills = reader.received();
    let prefill = prefills.iter().find(|request| request.is_prefill()).expect("a prefill");
    assert_eq!(prefill.header("x-request-priority"), Some("0"));
    assert_eq!(prefill.header("x-tenant"), Some("red"));
    let decodes = writer.received().into_iter().filter(|request| request.path() == "/chat/x");
    assert_eq!(decodes.count(), 0);
}

/// Guards against keys that a daemon without contact to the store accepts for longer than the limit,
/// and against 401 for a key that may be new.
#[test]
fn a_daemon_without_contact_to_the_store_stops_to_accept_keys() {
    let strict = json!({"strict_revoke": true, "revoke_ms": 2600});
    let system = System::start_with(StandinStore::start(), "daemon-1", strict);
    let lax = System::start_with(system.store.clone(), "daemon-2", json!({}));
    configure(&system, 1, tenants());
    lax.wait_version(1);
    let server = normal_server();
    system.register("one", "plain", &server, "");
    lax.wait(|state| state.fleet.key("one").is_some());
    let status = |system: &System, path: &str, key: &str| {
        status_code(&system.send(&get_request(path, &bearer(key)))).to_owned()
    };
    assert_eq!(status(&system, "/plain/x", "red-one"), "200");
    let cut_at = Instant::now();
    system.store.set_behaviour(StoreBehaviour::Unavailable);
    while cut_at.elapsed() < Duration::from_millis(4000) {
        let sent_at = cut_at.elapsed();
        let (known, unknown) =
            (status(&system, "/plain/x", "red-one"), status(&system, "/plain/x", "new"));
        if sent_at > Duration::from_millis(2600) {
            assert_eq!([known.as_str(), &unknown], ["503", "503"], "{sent_at:?} after the cut");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let text = system.send(&get_request("/plain/x", &bearer("red-one")));
    assert!(text.contains("retry-after: 0."), "{text}");
    assert_eq!(status(&system, "/order/x", "red-one"), "200", "the route needs no key");
    assert_eq!(status(&lax, "/plain/x", "red-one"), "200", "no limit without strict_revoke");
    assert_eq!(status(&lax, "/plain/x", "new"), "503");
    system.store.set_behaviour(StoreBehaviour::Normal);
    support::wait_for(|| status(&system, "/plain/x", "red-one") == "200");
    support::wait_for(|| status(&system, "/plain/x", "new") == "401");
}

/// Guards against a daemon that takes the word of anyone but another daemon for an account, and for
/// longer than that one's decision holds.
#[test]
fn accounts_of_requests_that_are_handed_over_need_a_valid_token() {
    let system = System::start();
    configure(&system, 1, tenants());
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let forged = "Gooseberry-Forward-Account: red\r\nGooseberry-Forward-Priority: 3\r\n";
    let hand_over = |token: &str, headers: &str| {
        let mut stream = TcpStream::connect(system.gateway.options.peer_listen).expect("connects");
        let token = format!("Gooseberry-Forward-Token: {token}\r\n");
        write_text(&mut stream, &get_request("/plain/x", &(token + headers)));
        let text = read_response(&mut stream);
        let is_taken = !text.contains("gooseberry-forward-not-taken");
        (status_code(&text).to_owned(), is_taken)
    };
    let token = system.gateway.peer_token.clone();
    let not_taken = ("503".to_owned(), false);
    assert_eq!(hand_over("wrong", forged), not_taken);
    assert_eq!(hand_over(&token, ""), not_taken);
    let expired = format!("{forged}Gooseberry-Forward-Valid-Ms: 0\r\n");
    assert_eq!(hand_over(&token, &expired), not_taken);
    let unreadable = format!("{forged}Gooseberry-Forward-Valid-Ms: long\r\n");
    assert_eq!(hand_over(&token, &unreadable), not_taken);
    assert_eq!(hand_over(&token, "Gooseberry-Forward-Account: gone\r\n"), not_taken);
    let text = system.send(&get_request("/plain/x", forged));
    assert_eq!(status_code(&text), "401");
    assert!(server.received().is_empty());
    assert_eq!(hand_over(&token, forged), ("200".to_owned(), true));
    let text = system.send(&get_request("/order/x", forged));
    assert_eq!(status_code(&text), "200");
    let received = server.received();
    assert_eq!(received[0].header("x-tenant"), Some("red"));
    assert_eq!(received[1].header("x-tenant"), None);
    for request in received {
        let names = request.headers.keys();
        assert_eq!(names.filter(|name| name.starts_with("gooseberry-")).count(), 0);
    }
}

/// Guards against a daemon that is cut off from the servers and hands requests over without their
/// account, or with their key.
#[test]
fn a_request_that_is_handed_over_keeps_its_account() {
    let system = System::start();
    configure(&system, 1, tenants());
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let address = server.address.to_string();
    let link = TestProxy::start(&address);
    let view = system.store.start_view();
    view.redirect(&address, &link.address);
    let cut = system.join_view(&view, "daemon-2");
    cut.wait(|state| state.fleet.key("one").is_some());
    link.set_state(ProxyState::Closed);
    let status =
        |key: &str| status_code(&cut.send(&get_request("/plain/x", &bearer(key)))).to_owned();
    support::wait_for(|| status("red-one") == "200");
    assert_eq!(status("unknown"), "401");
    for request in server.received() {
        assert_eq!(request.header("x-tenant"), Some("red"));
        assert_eq!(request.header("authorization"), None);
    }
}

/// Guards against knowledge of an era of the store that has ended, and against 401 for a key that is in
/// force while the keys are read again.
#[test]
fn keys_are_accepted_again_after_an_era_change() {
    let strict = json!({"strict_revoke": true, "revoke_ms": 5000});
    let system = System::start_with(StandinStore::start(), "daemon-1", strict);
    system.store.state_era(1);
    configure(&system, 1, tenants());
    let server = normal_server();
    system.register("one", "plain", &server, "");
    let status =
        || status_code(&system.send(&get_request("/plain/x", &bearer("red-one")))).to_owned();
    support::wait_for(|| status() == "200");
    let copy = system.store.copy();
    system.store.restore(&copy);
    let gateway = &system.gateway;
    support::wait_for(|| {
        let is_era_known = gateway.store.newest_era() == 2;
        let status = status();
        assert!(["200", "503"].contains(&status.as_str()), "{status}");
        is_era_known && status == "200"
    });
    let knowledge = gateway.state.lock().accounts.knowledge;
    let now = gateway.clock.time_since_boot();
    assert!(knowledge.age(2, now).is_some());
    assert_eq!(knowledge.age(3, now), None);
}

/// Guards against sends on authority that has ended: a configuration that has accounts now, a decision
/// of another daemon that has expired, and a key that has another account now.
#[test]
fn each_authority_is_checked_by_the_newest_configuration() {
    let system = System::start();
    configure(&system, 1, tenants());
    let request = http::Request::get("/plain/x")
        .header("Host", "host.example")
        .header("X-Attempt-Id", "a")
        .header("Authorization", "Bearer blue-one");
    let mut parts = request.body(()).expect("a request").into_parts().0;
    let head = front::decode(&parts).expect("a head");
    let gateway = &system.gateway;
    let access = gateway.account_gate().authorize(&mut parts, &head).expect("a valid key");
    assert!(!parts.headers.contains_key("authorization"));
    let check = |name: &str, authority: CallAuthority| {
        let account = CallAccount { name: name.into(), priority: None };
        let checked = gateway.account_gate().check(&head, Some(&account), authority);
        checked.map_err(|refusal| refusal.decision)
    };
    let unavailable = Err(AccountDecision::Unavailable);
    assert_eq!(check("blue", access.authority), Ok(()));
    assert_eq!(check("red", access.authority), unavailable);
    assert_eq!(check("blue", CallAuthority::Unmanaged), unavailable);
    assert_eq!(check("blue", CallAuthority::Anonymous), unavailable);
    let now = gateway.clock.time_since_boot();
    let until = |valid_until| CallAuthority::Daemon { valid_until };
    assert_eq!(check("blue", until(Some(now + Duration::from_secs(60)))), Ok(()));
    assert_eq!(check("blue", until(Some(now))), unavailable);
    assert_eq!(check("gone", until(None)), unavailable);
    configure(&system, 2, json!([{"name": "blue", "api-keys": []}]));
    assert_eq!(check("blue", access.authority), Err(AccountDecision::Unauthorized));
    assert_eq!(check("blue", until(None)), unavailable);
}
