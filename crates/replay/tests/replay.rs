//! A replay is deterministic and accounts for every request.

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

/// Size that a committed trace must stay below.
const MAX_TRACE_BYTES: usize = 1_000_000;

fn sample(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name);
    fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("can't read {}: {error}", path.display()))
}

fn fleet_of(user: TraceUser) -> FleetTable {
    fleet::build(1, &sample(&format!("{user}/configuration.yaml")))
        .expect("the sample configuration is valid")
}

fn short_trace(shape: TraceScenario, user: TraceUser) -> ReplayTrace {
    generate::generate(TraceOptions {
        shape,
        user,
        seed: 7,
        load_factor: 1.15,
        duration_s: Some(40.0),
    })
}

/// Guards against requests that get lost between the router and an engine: each
/// request must be counted once, as complete, refused or failed.
#[test]
fn every_request_has_one_outcome() {
    for user in TraceUser::iter() {
        let fleet = fleet_of(user);
        for shape in TraceScenario::iter() {
            let trace = short_trace(shape, user);
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
fn same_seed_gives_same_report() {
    let fleet = fleet_of(TraceUser::Library);
    for shape in [TraceScenario::Shift, TraceScenario::BadVersion] {
        let trace = short_trace(shape, TraceUser::Library);
        let options = ReplayOptions::new(RolePolicy::Adaptive, ObjectiveWeight::Goodput, 3);
        assert_eq!(run::run(options, &fleet, &trace), run::run(options, &fleet, &trace));
    }
}

#[test]
fn static_policy_changes_no_role() {
    let fleet = fleet_of(TraceUser::Cooperative);
    let trace = short_trace(TraceScenario::Shift, TraceUser::Cooperative);
    let options = ReplayOptions::new(RolePolicy::Static, ObjectiveWeight::Goodput, 1);
    assert_eq!(run::run(options, &fleet, &trace).role_changes, 0);
}

#[test]
fn trace_round_trips_through_text() {
    let trace = short_trace(TraceScenario::Withdrawn, TraceUser::Cooperative);
    assert_eq!(trace.events.len(), 2);
    let parsed = ReplayTrace::parse(&trace.to_text()).expect("the text of a trace can be parsed");
    assert_eq!(parsed.events, trace.events);
    assert_eq!(parsed.requests, trace.requests);
}

#[test]
fn parse_error_has_the_line_number() {
    let result = ReplayTrace::parse("{\"at_ms\":1,\"caller\":\"a\",\"service\":\"s\"}\n{}\n");
    assert_eq!(result.expect_err("the second line lacks fields").line, 2);
}

#[test]
fn committed_traces_match_their_configuration() {
    for user in TraceUser::iter() {
        let fleet = fleet_of(user);
        for shape in TraceScenario::iter() {
            let text = sample(&format!("{user}/{shape}.jsonl"));
            assert!(text.len() < MAX_TRACE_BYTES, "{user} {shape}");
            let trace = ReplayTrace::parse(&text).expect("the sample trace is valid");
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
