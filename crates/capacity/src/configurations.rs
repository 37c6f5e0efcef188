//! Configuration texts with a given number of engines or accounts.

use std::fmt::Write;

use gooseberry_harness::system::TestSystem;

/// Returns a configuration text whose additional engines share the address of
/// the system's first engine.
pub fn with_engines(system: &TestSystem, count: usize) -> String {
    let address = &system.engines[0].address;
    let mut entries = String::from("engines:\n");
    for index in 0..count {
        let _ = writeln!(
            entries,
            "  - {{name: many-{index}, address: \"{address}\", failure_domain: domain-0, \
             model: sample, checks_fencing: true}}"
        );
    }
    system.configuration_text("").replacen("engines:\n", &entries, 1)
}

/// Returns a configuration text with additional accounts, each with one key.
pub fn with_accounts(system: &TestSystem, count: usize) -> String {
    let mut entries = String::new();
    for index in 0..count {
        let _ = write!(entries, "\n  - {{name: account-{index}, key_sha256: [\"{index:064x}\"]}}");
    }
    system.configuration_text(&entries)
}
