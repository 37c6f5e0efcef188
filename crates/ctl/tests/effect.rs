//! The effect of an edit, which `put` shows before it records the edit.

use expect_test::expect;
use gooseberry_config::fleet;
use gooseberry_ctl::effect;

#[test]
fn effects_list_added_removed_and_changed_entries() {
    let old = "\
failure_domains: [{name: a, region: north}]
models: [{name: m, versions: [v1, v2]}]
services: [{name: s, kind: completion, model: m}]
engines:
  - {name: e1, address: \"127.0.0.1:1\", failure_domain: a, model: m, checks_fencing: true, version: v1}
  - {name: e2, address: \"127.0.0.1:2\", failure_domain: a, model: m, checks_fencing: true}
";
    let new = "\
failure_domains: [{name: a, region: north}]
models: [{name: m, versions: [v1, v2]}]
services: [{name: s, kind: completion, model: m}, {name: t, kind: plain, prefix: /t}]
engines:
  - {name: e1, address: \"127.0.0.1:1\", failure_domain: a, model: m, checks_fencing: true, version: v2, role: prefill}
";
    let (old, new) = (fleet::build(1, old), fleet::build(2, new));
    let effects =
        effect::effects(&old.expect("the old text is valid"), &new.expect("the new text is valid"));
    let lines: Vec<_> = effects.iter().map(ToString::to_string).collect();
    expect![[r#"
        service t is added
        engine e2 is removed
        engine e1: version changes from v1 to v2
        engine e1: role changes from mixed to prefill"#]]
    .assert_eq(&lines.join("\n"));
}
