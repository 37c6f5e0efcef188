//! The edit that withdraws a backend server.

use expect_test::expect;
use gooseberry_ctl::drain::{self, DrainError};

const TEXT: &str = "\
failure_domains:
  - {name: a, region: north}
models: [{name: m}]
services:
  - {name: s, kind: completion, model: m}
  - {name: p, kind: plain, prefix: /p}
engines:
  # The oldest one.
  - name: e1
    address: 127.0.0.1:1
    failure_domain: a
    model: m
    checks_fencing: true
  - {name: e2, address: \"127.0.0.1:2\", failure_domain: a, model: m, checks_fencing: true}
plain_servers:
  - address: 127.0.0.1:3
    name: p1
    service: p
    failure_domain: a
    leaving: false
";

fn changed_lines(name: &str) -> String {
    let edited = drain::drain(TEXT, name).expect("a text that can be edited");
    let old: Vec<_> = TEXT.lines().collect();
    edited.lines().filter(|line| !old.contains(line)).collect::<Vec<_>>().join("\n")
}

#[test]
fn a_block_entry_gets_a_line_of_its_own() {
    expect![["    leaving: true"]].assert_eq(&changed_lines("e1"));
}

#[test]
fn a_flow_entry_gets_a_field_on_its_line() {
    expect![[
        r#"  - {leaving: true, name: e2, address: "127.0.0.1:2", failure_domain: a, model: m, checks_fencing: true}"#
    ]]
    .assert_eq(&changed_lines("e2"));
}

#[test]
fn a_field_that_stands_already_is_changed() {
    expect![["    leaving: true"]].assert_eq(&changed_lines("p1"));
}

#[test]
fn an_unknown_name_is_refused() {
    assert!(matches!(drain::drain(TEXT, "e9"), Err(DrainError::UnknownName(_))));
}

#[test]
fn a_server_that_is_leaving_is_refused() {
    let drained = drain::drain(TEXT, "e1").expect("a text that can be edited");
    assert!(matches!(drain::drain(&drained, "e1"), Err(DrainError::AlreadyLeaving(_))));
}
