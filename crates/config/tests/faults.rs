//! Faults of a text: all at once, each with its line, its field and what to do.

use expect_test::{expect, Expect};
use gooseberry_config::{fleet, settings};

fn check(text: &str, expected: &Expect) {
    let printed = match fleet::build(1, text) {
        Ok(fleet) => format!("valid: {} engines", fleet.engines.len()),
        Err(faults) => faults.to_string(),
    };
    expected.assert_eq(&printed);
}

#[test]
fn a_text_that_is_not_yaml_names_the_line() {
    check(
        "failure_domains: [\nservices: {\n",
        &expect!["line 2: the text: isn't valid YAML: invalid indentation"],
    );
}

#[test]
fn unknown_fields_are_refused_where_they_stand() {
    check(
        "failure_domains:\n  - name: a\n    region: north\n    colour: red\nservices: []\n",
        &expect![[
            "line 4: failure_domains[0]: unknown field colour; remove it or correct its name"
        ]],
    );
}

#[test]
fn missing_fields_and_wrong_values_are_named_together() {
    check(
        "failure_domains:\n  - name: a\nservices:\n  - name: s\n    kind: soup\n",
        &expect![[r#"
            line 2: failure_domains[0]: the field region is missing; add it
            line 5: services[0].kind: "soup" isn't one of ["completion","plain"]"#]],
    );
}

#[test]
fn cross_references_are_checked_all_at_once() {
    check(
        "failure_domains:\n  - {name: a, region: north}\nmodels:\n  - name: m\nservices:\n  \
         - {name: s, kind: completion, model: x, depends_on: [t]}\n  \
         - {name: s, kind: plain}\nengines:\n  \
         - {name: e, address: nowhere, failure_domain: b, model: m, checks_fencing: true, version: v9}\n\
         accounts:\n  - {name: c, key_sha256: [abc]}\n",
        &expect![[r#"
            line 6: services[0].depends_on[0]: no service is called t; add it or correct the name
            line 6: services[0].model: no model is called x; add it or correct the name
            line 7: services[1]: a plain service needs the field prefix; add it
            line 7: services[1].name: s is the name of services[0] too; rename one
            line 9: engines[0].address: nowhere isn't an IP address and port
            line 9: engines[0].failure_domain: no failure domain is called b; add it or correct the name
            line 9: engines[0].version: the model has no version v9; add it there
            line 11: accounts[0].key_sha256[0]: isn't a SHA-256 digest of 64 hexadecimal digits"#]],
    );
}

#[test]
fn a_circle_of_dependencies_is_refused() {
    check(
        "failure_domains:\n  - {name: a, region: north}\nservices:\n  \
         - {name: s, kind: plain, prefix: /s, depends_on: [t]}\n  \
         - {name: t, kind: plain, prefix: /t, depends_on: [s]}\n",
        &expect![[r#"
            line 4: services[0].depends_on: s depends on itself in a circle; break it
            line 5: services[1].depends_on: t depends on itself in a circle; break it"#]],
    );
}

#[test]
fn settings_name_the_line_of_a_wrong_address() {
    let text = "name: a\nfailure_domain: d\nlisten: here\npeer_listen: 127.0.0.1:1\n\
                platform: 127.0.0.1:2\npeer_secret: s\n";
    let faults = settings::parse(text).expect_err("a wrong address");
    expect![["line 3: listen: here isn't an IP address and port"]].assert_eq(&faults.to_string());
}
