//! Diagnostics of a text: all are reported at once, each with its line, field
//! and remedy.

use expect_test::{expect, Expect};
use gooseberry_config::{fleet, settings};

fn check(text: &str, expected: &Expect) {
    let printed = match fleet::build(1, text) {
        Ok(fleet) => format!("valid: {} engines", fleet.engines.len()),
        Err(diagnostics) => diagnostics.to_string(),
    };
    expected.assert_eq(&printed);
}

#[test]
fn yaml_syntax_errors_are_reported_with_their_line() {
    check(
        "failure_domains: [\nservices: {\n",
        &expect!["line 2: the text: invalid YAML: invalid indentation"],
    );
}

#[test]
fn unknown_fields_are_reported_with_their_line() {
    check(
        "failure_domains:\n  - name: a\n    region: north\n    colour: red\nservices: []\n",
        &expect![[
            "line 4: failure_domains[0]: unknown field colour; remove it or correct its name"
        ]],
    );
}

#[test]
fn missing_fields_and_invalid_values_are_reported_together() {
    check(
        "failure_domains:\n  - name: a\nservices:\n  - name: s\n    kind: soup\n",
        &expect![[r#"
            line 2: failure_domains[0]: the field region is missing; add it
            line 5: services[0].kind: "soup" isn't one of ["completion","plain"]"#]],
    );
}

#[test]
fn all_invalid_cross_references_are_reported_together() {
    check(
        "failure_domains:\n  - {name: a, region: north}\nmodels:\n  - name: m\nservices:\n  \
         - {name: s, kind: completion, model: x, depends_on: [t]}\n  \
         - {name: s, kind: plain}\nengines:\n  \
         - {name: e, address: nowhere, failure_domain: b, model: m, checks_fencing: true, version: v9}\n\
         accounts:\n  - {name: c, key_sha256: [abc]}\n",
        &expect![[r#"
            line 6: services[0].depends_on[0]: no service is named t; add it or correct the name
            line 6: services[0].model: no model is named x; add it or correct the name
            line 7: services[1]: a plain service requires the field prefix; add it
            line 7: services[1].name: services[0] is also named s; rename one of them
            line 9: engines[0].address: nowhere isn't an IP address and port, such as 10.0.0.1:8080
            line 9: engines[0].failure_domain: no failure domain is named b; add it or correct the name
            line 9: engines[0].version: the model has no version v9; add it to the model or correct it here
            line 11: accounts[0].key_sha256[0]: not a SHA-256 digest of 64 hexadecimal digits"#]],
    );
}

#[test]
fn dependency_cycles_are_rejected() {
    check(
        "failure_domains:\n  - {name: a, region: north}\nservices:\n  \
         - {name: s, kind: plain, prefix: /s, depends_on: [t]}\n  \
         - {name: t, kind: plain, prefix: /t, depends_on: [s]}\n",
        &expect![[r#"
            line 4: services[0].depends_on: s depends on itself; remove a dependency of the cycle
            line 5: services[1].depends_on: t depends on itself; remove a dependency of the cycle"#]],
    );
}

#[test]
fn invalid_addresses_in_settings_are_reported_with_their_line() {
    let text = "name: a\nfailure_domain: d\nlisten: here\npeer_listen: 127.0.0.1:1\n\
                platform: 127.0.0.1:2\npeer_secret: s\n";
    let diagnostics = settings::parse(text).expect_err("a wrong address");
    expect![["line 3: listen: here isn't an IP address and port, such as 10.0.0.1:8080"]]
        .assert_eq(&diagnostics.to_string());
}
