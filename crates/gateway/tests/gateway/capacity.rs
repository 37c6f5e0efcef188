//! Orders for engines when the leader or the platform's API fails between the store and the response.

use gooseberry_standins::gateway_mocks;
use serde_json::{json, Value};

use crate::support::{
    self, server_entry, write_response, write_text, ScriptedServer, StandinStore, System,
};

/// Key of the stored orders.
const KEY: &str = "gateway/capacity/model";

/// Starts a daemon that orders engines at an API.
fn start(store: StandinStore, api: &str) -> System {
    let system = System::start_with(
        store,
        "daemon-1",
        json!({"platform_api": api, "duties": ["autoscale"]}),
    );
    let mut configuration = gateway_mocks::configuration(1, "plain");
    configuration["services"][2]["scaling"] = json!({"min": 1, "max": 10, "spot-price": 0.2});
    system.store.put_configuration(&configuration);
    let engine = ScriptedServer::start(|request, stream| write_response(request, stream, ""));
    for id in ["one", "two", "three", "four", "five"] {
        system.store.put_server(id, &server_entry("model", &engine, "", "ready"));
    }
    system
}

fn accept(stream: &mut std::net::TcpStream) -> bool {
    write_text(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

/// Returns the orders that an API has received, with their fencing tokens.
fn orders(api: &ScriptedServer) -> Vec<(Value, u64)> {
    let received = api.received();
    let calls = received.iter().filter(|request| request.path() == "/replicas");
    let order = |request: &gateway_mocks::ReceivedRequest| {
        let token = request.header("x-fencing-token").expect("a fencing token");
        let body = serde_json::from_str(&request.body).expect("an order in JSON");
        (body, token.parse().expect("a number"))
    };
    calls.map(order).collect()
}

/// Returns the outcome of the only stored order, or none if there is no order yet.
fn stored_outcome(store: &StandinStore) -> Option<String> {
    let record: Value = serde_json::from_str(&store.value_text(KEY)?).expect("a record in JSON");
    assert_eq!(record["version"], 1);
    Some(record["orders"][0]["outcome"].as_str()?.to_owned())
}

fn first_order() -> Value {
    json!({"service": "model", "zone": "a", "desired": 1, "spot": true})
}

/// Guards against an order that is forgotten because its leader was killed after it had written the order
/// and before it could send it.
#[test]
fn an_order_that_was_stored_only_is_sent_by_the_next_leader() {
    // Nothing listens there, so the order is never received.
    let first = start(StandinStore::start(), "127.0.0.1:1");
    support::wait_for(|| stored_outcome(&first.store).is_some());
    assert_eq!(stored_outcome(&first.store).as_deref(), Some("pending"));
    let api = ScriptedServer::start(|_, stream| accept(stream));
    let copy = support::copy_after_kill(&first.store);
    let second = start(copy, &api.address.to_string());
    support::wait_for(|| stored_outcome(&second.store).as_deref() == Some("accepted"));
    assert_eq!(orders(&api)[0].0, first_order());
}

/// Guards against an order that counts as accepted, or is given up, because its leader was killed before
/// the response came.
#[test]
fn an_order_without_a_response_is_repeated_by_the_next_leader() {
    let silent = ScriptedServer::start(|_, _| {
        std::thread::sleep(std::time::Duration::from_secs(60));
        false
    });
    let first = start(StandinStore::start(), &silent.address.to_string());
    support::wait_for(|| !orders(&silent).is_empty());
    assert_eq!(stored_outcome(&first.store).as_deref(), Some("pending"));
    let api = ScriptedServer::start(|_, stream| accept(stream));
    let copy = support::copy_after_kill(&first.store);
    let second = start(copy, &api.address.to_string());
    support::wait_for(|| stored_outcome(&second.store).as_deref() == Some("accepted"));
    let (before, after) = (&orders(&silent)[0], &orders(&api)[0]);
    assert_eq!(before.0, after.0);
}

/// Guards against an order that is given up or changed because its response was lost, and against one
/// that is repeated although it was accepted.
#[test]
fn an_order_whose_response_was_lost_is_repeated_until_accepted() {
    let calls = std::sync::atomic::AtomicUsize::new(0);
    let api = ScriptedServer::start(move |_, stream| {
        let call = calls.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        call >= 2 && accept(stream)
    });
    let system = start(StandinStore::start(), &api.address.to_string());
    support::wait_for(|| stored_outcome(&system.store).as_deref() == Some("accepted"));
    let orders = orders(&api);
    assert_eq!(orders.len(), 3, "{orders:?}");
    assert!(orders.iter().all(|(order, _)| *order == first_order()));
    assert!(orders.windows(2).all(|pair| pair[0].1 == pair[1].1), "one leader, one token");
}
