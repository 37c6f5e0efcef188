//! Requests with the API keys of client accounts.

use gooseberry_standins::gateway_mocks;
use serde_json::{json, Value};

use crate::support::{
    get_request, read_response, status_code, write_response, write_text, ScriptedServer, System,
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
