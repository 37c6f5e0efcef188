//! Entries of other writers in the store: each is ignored alone, in a watch, at the start, after a
//! compaction and over a relay, whatever its key, and the daemon follows the store.

use std::time::Duration;

use gooseberry_core::serving::store_era::StoreRevision;
use gooseberry_gateway::changes::{ChangeLog, ListTimes, RelayMessage};
use gooseberry_platform::store::{StoreChange, StoreEndpoint, StoreKey, StoreUpdate};
use gooseberry_standins::gateway_mocks::{self, StandinStore, StoreBehaviour};
use serde_json::json;

use crate::support::{
    get_request, server_entry, status_code, write_response, write_text, ScriptedServer, System,
};

/// Nesting that overflows the stack of a parser without a limit.
const NESTING: usize = 100_000;

/// Ids that name no server: they are empty or can't be sent in a header.
const ODD_IDS: [&str; 4] = ["", "two\nlines", "\u{7f}", "nul\0"];

fn server() -> ScriptedServer {
    ScriptedServer::start(|request, stream| write_response(request, stream, "done"))
}

/// Returns values that no entry may have.
fn odd_values() -> Vec<Vec<u8>> {
    let address = "127.0.0.1:9";
    let entry = || gateway_mocks::server_entry("plain", address, "", "ready");
    let with = |name: &str, text: &str| {
        let mut entry = entry();
        entry[name] = "PLACE".into();
        entry.to_string().replace("\"PLACE\"", text).into_bytes()
    };
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    vec![
        nested.clone().into_bytes(),
        "[".repeat(NESTING).into_bytes(),
        with("service", &nested),
        with("extra", &"{\"a\":".repeat(NESTING)),
        with("slots", "1e999"),
        with("slots", "99999999999999999999999999"),
        with("born", "1e999"),
        with("born", "-1"),
        with("address", "\"127.0.0.1:99999\""),
        with("address", "\"127.0.0.1\""),
        b"\xff\xfe\x00".to_vec(),
        Vec::new(),
    ]
}

/// Writes odd values under all kinds of keys.
fn write_odd_entries(store: &StandinStore) {
    for (number, value) in odd_values().iter().enumerate() {
        for prefix in [
            "servers/odd-",
            "gateway/daemons/odd-",
            "gateway/crashing-parts/a",
            "gateway/suspect-requests/a",
            "gateway/other-",
            "odd-",
        ] {
            store.put_bytes(&format!("{prefix}{number}"), value);
        }
    }
    let overlong = json!({"version": 1, "crashes": [
        {"engine": u64::MAX, "after_ms": u64::MAX, "is_trial": true}]});
    store.put("gateway/suspect-requests/ffffffffffffffff", &overlong);
    store.put("gateway/crashing-parts/ffffffffffffffff", &json!({"engines": [u64::MAX]}));
    for id in ODD_IDS {
        let entry = gateway_mocks::server_entry("plain", "127.0.0.1:9", "", "ready");
        store.put_server(id, &entry);
    }
}

/// Checks that a daemon still follows the store: it uses the sound servers and each new one.
fn check_follows(system: &System, sound: &str) {
    let added = server();
    system.register("added", "plain", &added, "");
    for _ in 0..12 {
        assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
        assert_eq!(status_code(&system.send(&get_request("/order/x", ""))), "200");
    }
    let state = system.gateway.state.lock();
    let mut ids: Vec<_> = state.fleet.iter().map(|(_, server)| server.entry.id.as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["added", sound]);
}

fn start() -> (System, ScriptedServer) {
    let system = System::start();
    system.configure(1);
    system.wait_version(1);
    let server = server();
    system.register("sound", "plain", &server, "");
    (system, server)
}

#[test]
fn a_daemon_follows_the_store_past_odd_entries_in_a_watch() {
    let (system, _server) = start();
    write_odd_entries(&system.store);
    check_follows(&system, "sound");
}

#[test]
fn no_request_is_lost_at_a_server_whose_id_cannot_be_sent_in_a_header() {
    for id in ODD_IDS {
        let (system, sound) = start();
        let odd = server();
        system.store.put_server(id, &server_entry("plain", &odd, "", "ready"));
        system.store.remove_server("sound");
        system.configure(2);
        system.wait_version(2);
        for path in ["/plain/x", "/order/x"] {
            assert_eq!(status_code(&system.send(&get_request(path, ""))), "503", "{id:?}");
        }
        assert!(odd.received().is_empty() && sound.received().is_empty(), "{id:?}");
    }
}

#[test]
fn a_daemon_starts_with_odd_entries_in_the_store() {
    let (system, _server) = start();
    write_odd_entries(&system.store);
    check_follows(&system.join("daemon-2"), "sound");
}

#[test]
fn a_daemon_reads_all_keys_again_past_odd_entries() {
    let (system, _server) = start();
    system.store.set_behaviour(StoreBehaviour::Unavailable);
    system.wait(|state| state.fleet.connectivity.is_unreachable());
    write_odd_entries(&system.store);
    system.store.compact();
    system.store.set_behaviour(StoreBehaviour::Normal);
    check_follows(&system, "sound");
}

#[test]
fn an_odd_value_of_a_server_in_use_ends_its_use_at_once_also_after_an_outage() {
    for value in odd_values() {
        let (system, server) = start();
        system.store.set_behaviour(StoreBehaviour::Unavailable);
        system.wait(|state| state.fleet.connectivity.is_unreachable());
        system.store.put_bytes("servers/sound", &value);
        system.store.set_behaviour(StoreBehaviour::Normal);
        system.wait(|state| !state.fleet.connectivity.is_unreachable());
        system.configure(2);
        system.wait_version(2);
        assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "503");
        assert!(server.received().is_empty());
    }
}

#[test]
fn a_daemon_follows_the_store_past_items_that_are_no_base64() {
    for key in ["servers/odd", "gateway/daemons/odd", "op/config", "odd"] {
        let (system, _server) = start();
        system.store.put_unencoded(key, "\u{e4} no base64");
        check_follows(&system, "sound");
        if key != "op/config" {
            check_follows(&system.join("daemon-2"), "sound");
        }
    }
}

#[test]
fn an_item_that_cannot_be_decoded_hides_no_other_of_its_response() {
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let items = format!(
        r#"[{{"key":"servers/large","revision":1e999,"value":""}},
        {{"key":"servers/nested","revision":3,"value":{nested}}}, {{"revision":4}}, 5,
        {{"key":"servers/sound","revision":6,"value":"e30="}}]"#
    );
    let store = ScriptedServer::start(move |request, stream| {
        let name = if request.path().contains("watch") { "events" } else { "items" };
        let body = format!(r#"{{"as-of":7,"has-more":false,"{name}":{items}}}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        write_text(stream, &(head + &body))
    });
    let change = |id: &str, revision, value: &[u8]| StoreChange {
        subject: StoreKey::Server(id.into()),
        revision,
        value: Some(value.to_vec()),
    };
    let expected =
        vec![change("large", 7, b""), change("nested", 7, b""), change("sound", 6, b"{}")];
    let mut client = StoreEndpoint::new(store.address).client();
    let limit = Duration::from_secs(5);
    async_std::task::block_on(async {
        let read = client.read_all(limit).await.expect("the keys are read");
        assert_eq!(
            read,
            StoreUpdate { changes: expected.clone(), revision: StoreRevision::new(0, 7) }
        );
        let watched = client
            .watch(StoreRevision::new(0, 1), Duration::ZERO, limit)
            .await
            .expect("the watch goes on");
        assert_eq!(watched, StoreUpdate { changes: expected, revision: StoreRevision::new(0, 7) });
    });
}

#[test]
fn a_relay_passes_odd_entries_on_with_the_others() {
    let log = ChangeLog::default();
    let now = gooseberry_core::time::Timestamp::from_millis(1_000_000);
    let times = ListTimes { responded_at: now, listed_at: now };
    log.reset(StoreRevision::new(0, 1), times);
    let changes: Vec<_> = odd_values()
        .into_iter()
        .enumerate()
        .map(|(number, value)| StoreChange {
            subject: StoreKey::Server(format!("odd-{number}").into()),
            revision: 2 + number as u64,
            value: Some(value),
        })
        .collect();
    let update = StoreUpdate { revision: StoreRevision::new(0, 1 + changes.len() as u64), changes };
    log.extend(&update, Some(times));
    let passed_on =
        log.changes_after(StoreRevision::new(0, 1), 0, now).expect("the relay has the changes");
    assert_eq!(passed_on, update);
    let bytes =
        postcard::to_stdvec(&RelayMessage::from(passed_on)).expect("changes can be encoded");
    assert_eq!(
        postcard::from_bytes::<RelayMessage>(&bytes).expect("changes can be decoded"),
        RelayMessage::from(update)
    );
}

#[test]
fn an_engine_with_an_odd_handle_fails_its_prefill_alone() {
    let (system, _server) = start();
    let engine = |handle: &'static str| {
        ScriptedServer::start(move |request, stream| {
            let body = json!({"kv-handle": handle, "token-count": 1, "version": 1}).to_string();
            let body = if request.is_prefill() { &body } else { "id: 1\ndata: a\n\n" };
            write_response(request, stream, body)
        })
    };
    for handle in ODD_IDS {
        let (prefill, decode) = (engine(handle), engine("sound"));
        system.store.put_server("prefill", &server_entry("model", &prefill, "prefill", "ready"));
        system.store.put_server("decode", &server_entry("model", &decode, "decode", "ready"));
        system.wait(|state| {
            let address = |id| state.fleet.key(id).map(|key| state.fleet.server(key).entry.address);
            address("prefill") == Some(prefill.address) && address("decode") == Some(decode.address)
        });
        let prompt = "X-Model: m\r\nX-Token-Usage: 9000,5\r\nX-Prompt-Prefix: aa:300,bb:8700\r\n";
        let text = system.send(&get_request("/chat/x", prompt));
        assert!(["200", "503"].contains(&status_code(&text)), "{handle:?}: {text}");
        assert!(!prefill.received().is_empty(), "the prompt is prefilled by the first engine");
        system.store.remove_server("prefill");
        system.store.remove_server("decode");
        system.wait(|state| state.fleet.usable(&"model".into(), system.gateway.now()).count() == 0);
    }
}

/// Guards against an entry of another writer that is taken for a new start of a server which leaves.
#[test]
fn a_server_that_leaves_gets_no_requests_by_an_entry_with_missing_fields() {
    for missing in ["born", "sequence", "cold-left-ms"] {
        let system = System::start();
        system.configure(1);
        let (leaves, stays) = (server(), server());
        let mut entry = server_entry("plain", &leaves, "", "ready");
        entry["born"] = 1000.into();
        system.store.put_server("leaves", &entry);
        system.register("stays", "plain", &stays, "");
        let presence = |is_usable: bool| {
            system.wait(|state| {
                let key = state.fleet.key("leaves");
                key.is_some_and(|key| {
                    state.fleet.server(key).is_usable(system.gateway.now()) == is_usable
                })
            });
        };
        presence(true);
        entry["state"] = "draining".into();
        system.store.put_server("leaves", &entry);
        presence(false);
        entry["state"] = "ready".into();
        entry.as_object_mut().expect("an object").remove(missing);
        system.store.put_server("leaves", &entry);
        system.store.put("gateway/unrelated", &json!(1));
        system.wait(|state| state.listed_revision.number == system.store.revision());
        let before = leaves.received().len();
        for _ in 0..12 {
            assert_eq!(status_code(&system.send(&get_request("/plain/x", ""))), "200");
        }
        assert_eq!(leaves.received().len(), before, "without {missing}");
        presence(false);
    }
}
