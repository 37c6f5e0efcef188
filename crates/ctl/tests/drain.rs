//! The edit of the text that withdraws a backend server.

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
  # The oldest engine.
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
    let edited = drain::drain(TEXT, name).expect("the text can be edited");
    let old: Vec<_> = TEXT.lines().collect();
    edited.lines().filter(|line| !old.contains(line)).collect::<Vec<_>>().join("\n")
}

#[test]
fn block_entry_gets_a_new_line() {
    expect![["    leaving: true"]].assert_eq(&changed_lines("e1"));
}

#[test]
fn flow_entry_gets_a_field_on_its_line() {
    expect![[
        r#"  - {leaving: true, name: e2, address: "127.0.0.1:2", failure_domain: a, model: m, checks_fencing: true}"#
    ]]
    .assert_eq(&changed_lines("e2"));
}

#[test]
fn existing_field_is_changed() {
    expect![["    leaving: true"]].assert_eq(&changed_lines("p1"));
}

#[test]
fn unknown_name_is_refused() {
    assert!(matches!(drain::drain(TEXT, "e9"), Err(DrainError::UnknownName(_))));
}

#[test]
fn withdrawn_server_is_refused() {
    let edited = drain::drain(TEXT, "e1").expect("the text can be edited");
    assert!(matches!(drain::drain(&edited, "e1"), Err(DrainError::AlreadyLeaving(_))));
}
