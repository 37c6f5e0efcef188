//! The replay gives the same result each time and accounts for every request.

use std::{fs, path::PathBuf};

use gooseberry_config::fleet;
use gooseberry_core::{
    fleet::{FleetTable, ObjectiveWeight},
    roles::RolePolicy,
};
use gooseberry_replay::{
    generate::{self, TraceOptions, TraceScenario, TraceUser},
    health::HealthSignal,
    run::{self, ReplayOptions},
    trace::ReplayTrace,
};
use strum::IntoEnumIterator;

/// Size that a committed trace keeps under, in bytes.
const TRACE_BYTES: usize = 1_000_000;

fn sample(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn fleet_of(user: TraceUser) -> FleetTable {
    fleet::build(1, &sample(&format!("{user}/configuration.yaml"))).expect("the sample is valid")
}

fn short(shape: TraceScenario, user: TraceUser) -> ReplayTrace {
    generate::generate(TraceOptions {
        shape,
        user,
        seed: 7,
        load_factor: 1.15,
        duration_s: Some(40.0),
    })
}

#[test]
fn sent_is_whole_and_refused_and_failed() {
    for user in TraceUser::iter() {
        let fleet = fleet_of(user);
        for shape in TraceScenario::iter() {
            let trace = short(shape, user);
            for policy in [RolePolicy::Static, RolePolicy::Greedy, RolePolicy::Adaptive] {
                let options = ReplayOptions {
                    health_signal: HealthSignal::ErrorRate,
                    ..ReplayOptions::new(policy, ObjectiveWeight::Goodput, 7)
                };
                let report = run::run(options, &fleet, &trace);
                assert_eq!(report.unaccounted, 0, "{user} {shape} {policy}");
                assert_eq!(report.sent, trace.requests.len() as u64);
                assert_eq!(report.sent, report.whole + report.refused + report.failed);
                assert!(report.whole > 0);
            }
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let fleet = fleet_of(TraceUser::Library);
    for shape in [TraceScenario::Shift, TraceScenario::BadVersion] {
        let trace = short(shape, TraceUser::Library);
        let options = ReplayOptions::new(RolePolicy::Adaptive, ObjectiveWeight::Goodput, 3);
        assert_eq!(run::run(options, &fleet, &trace), run::run(options, &fleet, &trace));
    }
}

#[test]
fn a_static_replay_changes_no_role() {
    let fleet = fleet_of(TraceUser::Cooperative);
    let trace = short(TraceScenario::Shift, TraceUser::Cooperative);
    let options = ReplayOptions::new(RolePolicy::Static, ObjectiveWeight::Goodput, 1);
    assert_eq!(run::run(options, &fleet, &trace).role_changes, 0);
}

#[test]
fn a_trace_survives_its_text() {
    let trace = short(TraceScenario::Withdrawn, TraceUser::Cooperative);
    assert_eq!(trace.events.len(), 2);
    let read = ReplayTrace::parse(&trace.to_text()).expect("its own text is valid");
    assert_eq!(read.events, trace.events);
    assert_eq!(read.requests, trace.requests);
}

#[test]
fn a_bad_line_is_named() {
    let fault = ReplayTrace::parse("{\"at_ms\":1,\"caller\":\"a\",\"service\":\"s\"}\n{}\n");
    assert_eq!(fault.expect_err("the second line lacks fields").line, 2);
}

#[test]
fn committed_traces_fit_their_configuration() {
    for user in TraceUser::iter() {
        let fleet = fleet_of(user);
        for shape in TraceScenario::iter() {
            let text = sample(&format!("{user}/{shape}.jsonl"));
            assert!(text.len() < TRACE_BYTES, "{user} {shape}");
            let trace = ReplayTrace::parse(&text).expect("the sample is valid");
            for entry in &trace.requests {
                let service = fleet.services.find(|row| row.name == entry.service);
                assert!(service.is_some(), "{}", entry.service);
                let account = fleet.accounts.find(|row| row.name == entry.caller);
                assert!(account.is_some(), "{}", entry.caller);
                let domain = entry.failure_domain.as_deref().and_then(|name| fleet.domain(name));
                assert!(domain.is_some());
            }
            for event in &trace.events {
                let engine = fleet.engines.find(|row| row.name == event.engine);
                assert!(engine.is_some(), "{}", event.engine);
            }
        }
    }
}
