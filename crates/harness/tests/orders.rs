//! Orders by the stewards, with real processes.

use async_std::task::{self, JoinHandle};
use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestServer, TestSystem, PEER_SECRET},
};
use gooseberry_standins::{engine::orders::OrderCounts, token};
use gooseberry_wire::{
    engine::CompletionResponse,
    order::{OrderOutcome, OrderPhase, OrderRecord},
    peer::OrderRow,
};
use jsonrpsee::{core::client::ClientT, rpc_params, ws_client::WsClientBuilder};

/// Tokens of a long answer; an engine alone gives a few hundred a second.
const LONG_ANSWER: u32 = 1200;

fn size(daemons: usize, engine_arguments: &[&str]) -> SystemOptions {
    let engine_arguments = engine_arguments.iter().map(|it| (*it).to_owned()).collect();
    SystemOptions { daemons, engine_arguments, ..SystemOptions::default() }
}

/// Adds settings to the row of an engine.
fn with_engine(text: &str, engine: &str, settings: &str) -> String {
    text.replace(&format!("{{name: {engine},"), &format!("{{name: {engine}, {settings},"))
}

fn edit(system: &TestSystem, text: &str) -> u64 {
    let platform = system.platform_client();
    let found = task::block_on(platform.get("configuration")).expect("an answer");
    match system.put_configuration(found.expect("a configuration").revision, text) {
        PutOutcome::Written(revision) => revision,
        PutOutcome::Conflict(found) => panic!("the edit lost against {found:?}"),
    }
}

fn record(system: &TestSystem, engine: &str) -> Option<OrderRecord> {
    let platform = system.platform_client();
    let found = task::block_on(platform.get(&format!("orders/{engine}"))).ok()??;
    Some(serde_json::from_str(&found.value).expect("a valid record"))
}

fn is_applied(system: &TestSystem, engine: &str, role: &str) -> bool {
    record(system, engine).is_some_and(|record| {
        record.phase == OrderPhase::Settled
            && record.outcome == Some(OrderOutcome::Applied)
            && record.role.as_deref() == Some(role)
    })
}

fn steward(system: &TestSystem) -> Option<usize> {
    let platform = system.platform_client();
    let found = task::block_on(platform.get("stewards/domain-0")).ok()??;
    let (name, _) = found.value.split_once('/')?;
    system.daemons.iter().position(|daemon| daemon.name == name)
}

fn wait_steward(system: &TestSystem) -> usize {
    process::wait_until("there is a steward", || steward(system).is_some());
    steward(system).expect("a steward")
}

/// Starts completions that run long, one after the other, until told to stop.
struct LongStreams {
    stop: async_std::channel::Sender<()>,
    tasks: Vec<JoinHandle<u32>>,
}

impl LongStreams {
    fn start(daemon: &TestServer, count: usize) -> Self {
        let (stop, stopped) = async_std::channel::bounded(1);
        let tasks = (0..count).map(|index| {
            let (address, stopped) = (daemon.address.clone(), stopped.clone());
            task::spawn(async move {
                let mut whole = 0;
                loop {
                    let prompt = format!("stream {index} of {address}, answer {whole}");
                    let call = system::completion_call(&address, &prompt, LONG_ANSWER);
                    let answer = call.send_async().await.expect("an answer");
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    assert_eq!(answer.status, 200, "{text}");
                    let answer: CompletionResponse = answer.json();
                    assert_eq!(answer.choices[0].text, token::expected_text(&prompt, LONG_ANSWER));
                    whole += 1;
                    if stopped.is_closed() {
                        return whole;
                    }
                }
            })
        });
        Self { stop, tasks: tasks.collect() }
    }

    /// Lets the running completions end and returns how many there were.
    fn finish(self) -> u32 {
        self.stop.close();
        self.tasks.into_iter().map(task::block_on).sum()
    }
}

fn counts(system: &TestSystem) -> Vec<OrderCounts> {
    system.engines.iter().map(TestServer::counts).collect()
}

fn assert_no_conflict(system: &TestSystem) {
    for (engine, counts) in system.engines.iter().zip(counts(system)) {
        let broken = (counts.conflicting, counts.stale, counts.cut);
        assert_eq!(broken, (0, 0, 0), "conflicting, stale and cut of {}", engine.name);
    }
}

#[test]
fn planned_changes_during_long_streams_cut_nothing() {
    let size = SystemOptions { engines: 3, ..size(2, &["--change-ms", "500"]) };
    let mut system = TestSystem::start(size);
    let steward = wait_steward(&system);
    let streams = LongStreams::start(&system.daemons[steward], 6);
    let text = with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill");
    edit(&system, &text);
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    // The other engine is withdrawn, and the other daemon replaced.
    edit(&system, &with_engine(&text, "engine-0-1", "leaving: true"));
    let other = 1 - steward;
    system.daemons[other].process.terminate();
    assert!(system.daemons[other].process.wait().success());
    TestSystem::restart(&system.folder, &mut system.daemons[other]);
    process::wait_until("the new daemon serves", || {
        let call = system::completion_call(&system.daemons[other].address, "new", 1);
        call.send().is_ok_and(|answer| answer.status == 200)
    });
    // The engine comes back and gets another role.
    edit(&system, &with_engine(&text, "engine-0-1", "role: prefill"));
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-1", "prefill"));
    assert!(streams.finish() > 0);
    assert_no_conflict(&system);
    assert_eq!(counts(&system).iter().map(|counts| counts.accepted).sum::<u32>(), 2);
}

#[test]
fn a_claim_whose_answer_is_lost_is_followed_by_one_order() {
    let system = TestSystem::start(size(1, &["--change-ms", "300"]));
    wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    let mut faults = system::no_platform_faults();
    faults.lose_write_answers = 1;
    system.platform.set_faults(&faults);
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert_eq!(counts(&system)[0].accepted, 1);
    assert_no_conflict(&system);
}

#[test]
fn a_stopped_steward_and_its_successor_give_one_order() {
    let system = TestSystem::start(size(2, &["--change-ms", "4000"]));
    let issuer = wait_steward(&system);
    let text = with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill");
    edit(&system, &text);
    process::wait_until("an order is claimed", || record(&system, "engine-0-0").is_some());
    system.daemons[issuer].process.pause();
    let successor = 1 - issuer;
    let streams = LongStreams::start(&system.daemons[successor], 2);
    process::wait_until("the other daemon is steward", || steward(&system) == Some(successor));
    let taken = counts(&system)[0].accepted;
    if taken > 0 {
        process::wait_until("the successor has settled the record", || {
            is_applied(&system, "engine-0-0", "prefill")
        });
    }
    system.daemons[issuer].process.resume();
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert!(streams.finish() > 0);
    assert_eq!(counts(&system)[0].accepted, 1);
    assert_no_conflict(&system);
}

#[test]
fn no_order_is_given_while_the_platform_is_down_and_traffic_goes_on() {
    let system = TestSystem::start(size(2, &["--change-ms", "300"]));
    let steward = wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    process::wait_until("a change is planned", || {
        system.daemons[steward].process.log().contains("\"change\":\"role prefill\"")
    });
    let mut faults = system::no_platform_faults();
    faults.down = true;
    system.platform.set_faults(&faults);
    let before = counts(&system)[0].accepted;
    let streams = LongStreams::start(&system.daemons[steward], 2);
    process::wait_until("the change is put off", || {
        before > 0 || system.daemons[steward].process.log().contains("\"change ended\"")
    });
    assert!(streams.finish() > 0);
    assert_eq!(counts(&system)[0].accepted, before);
    system.platform.set_faults(&system::no_platform_faults());
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert_eq!(counts(&system)[0].accepted, 1);
    assert_no_conflict(&system);
}

#[test]
fn a_killed_steward_is_succeeded_after_the_proof_of_its_death() {
    let mut system = TestSystem::start(size(2, &["--change-ms", "2000"]));
    let issuer = wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    process::wait_until("an order is claimed", || record(&system, "engine-0-0").is_some());
    system.daemons[issuer].process.kill();
    TestSystem::restart(&system.folder, &mut system.daemons[issuer]);
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert_no_conflict(&system);
}

#[test]
fn the_last_engine_of_a_service_is_not_taken_away() {
    let system = TestSystem::start(SystemOptions { engines: 1, ..size(1, &[]) });
    wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    process::wait_until("the change is refused", || {
        system.daemons[0].process.log().contains("no other engine could serve")
    });
    assert_eq!(counts(&system)[0].accepted, 0);
    let call = system::completion_call(&system.daemons[0].address, "still served", 3);
    assert_eq!(call.send().expect("an answer").status, 200);
}

fn orders(daemon: &TestServer) -> Vec<OrderRow> {
    task::block_on(async {
        let client =
            WsClientBuilder::default().build(format!("ws://{}", daemon.control_address)).await;
        let client = client.expect("a connection");
        client.request("orders", rpc_params![PEER_SECRET]).await.expect("the orders")
    })
}

#[test]
fn a_steward_that_is_terminated_ends_its_order_and_gives_up_its_lease() {
    let mut system = TestSystem::start(size(2, &["--change-ms", "1500"]));
    let issuer = wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    process::wait_until("an order is claimed", || record(&system, "engine-0-0").is_some());
    system.daemons[issuer].process.terminate();
    assert!(system.daemons[issuer].process.wait().success());
    assert_ne!(steward(&system), Some(issuer));
    let record = record(&system, "engine-0-0").expect("a record");
    assert_eq!(record.phase, OrderPhase::Settled);
    assert!(record.issuer.starts_with(&system.daemons[issuer].name));
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert_no_conflict(&system);
    let rows = orders(&system.daemons[1 - issuer]);
    assert_eq!(rows.len(), 1);
    assert_eq!((rows[0].engine.as_str(), rows[0].change.as_str()), ("engine-0-0", "role prefill"));
    assert_eq!((rows[0].phase.as_str(), rows[0].outcome.as_deref()), ("settled", Some("applied")));
}

/// Stops the steward while the platform still holds the write of its claim, so
/// that it is stopped between its claim and its send, and lets another follow.
fn stop_between_claim_and_send(system: &TestSystem) -> usize {
    let issuer = wait_steward(system);
    edit(system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    let logged = |text: &str| system.daemons[issuer].process.log().contains(text);
    process::wait_until("a change is planned", || logged("\"change\":\"role prefill\""));
    let mut faults = system::no_platform_faults();
    faults.delay_ms = 1000;
    system.platform.set_faults(&faults);
    process::wait_until("the claim is written", || logged("\"name\":\"claim-record\""));
    system.daemons[issuer].process.pause();
    system.platform.set_faults(&system::no_platform_faults());
    let successor = 1 - issuer;
    process::wait_until("the other daemon is steward", || steward(system) == Some(successor));
    issuer
}

#[test]
fn an_issuer_stopped_before_its_send_keeps_an_engine_that_ignores_fencing() {
    let system = TestSystem::start(size(2, &["--change-ms", "300"]));
    let issuer = stop_between_claim_and_send(&system);
    let successor = &system.daemons[1 - issuer];
    let claimed = record(&system, "engine-0-0");
    if claimed.is_some_and(|record| record.issuer.starts_with(&system.daemons[issuer].name)) {
        process::wait_until("the successor waits", || {
            successor.process.log().contains("\"reason\":\"issuer-pending\"")
        });
        assert_eq!(counts(&system)[0].accepted, 0);
    }
    let streams = LongStreams::start(successor, 2);
    assert!(streams.finish() > 0);
    system.daemons[issuer].process.resume();
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    assert_eq!(counts(&system)[0].accepted, 1);
    assert_no_conflict(&system);
}

#[test]
fn an_issuer_stopped_before_its_send_is_superseded_where_fencing_is_checked() {
    let system = TestSystem::start(size(2, &["--change-ms", "300", "--checks-fencing"]));
    let issuer = stop_between_claim_and_send(&system);
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    let settled = record(&system, "engine-0-0").expect("a record");
    assert!(settled.issuer.starts_with(&system.daemons[1 - issuer].name));
    system.daemons[issuer].process.resume();
    process::wait_until("the issuer knows that it isn't steward", || {
        system.daemons[issuer].process.log().contains("no longer leader")
    });
    let call = system::completion_call(&system.daemons[issuer].address, "still serves", 3);
    assert_eq!(call.send().expect("an answer").status, 200);
    assert_eq!(counts(&system)[0].accepted, 1);
    assert_no_conflict(&system);
}

#[test]
fn a_new_version_is_loaded_within_the_weight_store_s_rate_one_engine_at_a_time() {
    let size = SystemOptions { engines: 3, ..size(1, &["--change-ms", "300"]) };
    let system = TestSystem::start(size);
    wait_steward(&system);
    let mut text = system
        .configuration_text("")
        .replace("{name: sample}", "{name: sample, versions: [\"2\"]}");
    for engine in &system.engines {
        text = with_engine(&text, &engine.name, "version: \"2\"");
    }
    edit(&system, &text);
    let streams = LongStreams::start(&system.daemons[0], 3);
    process::wait_until("every engine has the version", || {
        system.engines.iter().all(|engine| {
            record(&system, &engine.name).is_some_and(|record| {
                record.outcome == Some(OrderOutcome::Applied)
                    && record.version.as_deref() == Some("2")
            })
        })
    });
    assert!(streams.finish() > 0);
    assert!(system::platform_counts(&system).weights >= 3);
    let records = system.engines.iter().filter_map(|engine| record(&system, &engine.name));
    let mut spans: Vec<_> = records.map(|it| (it.claimed_at_ms, it.ended_at_ms)).collect();
    spans.sort_unstable();
    for pair in spans.windows(2) {
        assert!(pair[0].1.is_some_and(|ended| ended <= pair[1].0), "overlapping: {spans:?}");
    }
    assert!(counts(&system).iter().all(|counts| counts.accepted == 1));
    assert_no_conflict(&system);
}

#[test]
fn an_engine_that_crashes_in_the_middle_of_a_change_is_ordered_again() {
    let mut system = TestSystem::start(size(2, &["--change-ms", "3000"]));
    wait_steward(&system);
    edit(&system, &with_engine(&system.configuration_text(""), "engine-0-0", "role: prefill"));
    process::wait_until("the engine changes", || counts(&system)[0].accepted == 1);
    let first = record(&system, "engine-0-0").expect("a record").order_id;
    system.engines[0].process.kill();
    TestSystem::restart(&system.folder, &mut system.engines[0]);
    process::wait_until("the role has changed", || is_applied(&system, "engine-0-0", "prefill"));
    let second = record(&system, "engine-0-0").expect("a record").order_id;
    assert_ne!(first, second);
    assert_no_conflict(&system);
}
