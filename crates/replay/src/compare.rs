//! Compares all policies on one trace.

use gooseberry_core::{
    fleet::{FleetTable, ObjectiveWeight},
    roles::RolePolicy,
};

use crate::{
    oracle,
    report::ReplayReport,
    run::{self, ReplayOptions},
    trace::ReplayTrace,
};

/// Policies and objectives in the order of the table's rows.
const RUNS: [(RolePolicy, ObjectiveWeight); 4] = [
    (RolePolicy::Static, ObjectiveWeight::Goodput),
    (RolePolicy::Greedy, ObjectiveWeight::Goodput),
    (RolePolicy::Adaptive, ObjectiveWeight::Goodput),
    (RolePolicy::Adaptive, ObjectiveWeight::RoleChanges),
];

/// Replays a trace with each policy and with the perfect forecast.
pub fn compare(seed: u64, fleet: &FleetTable, trace: &ReplayTrace) -> Vec<ReplayReport> {
    let options = |policy, weight| ReplayOptions::new(policy, weight, seed);
    let mut rows: Vec<_> = RUNS
        .iter()
        .map(|(policy, weight)| run::run(options(*policy, *weight), fleet, trace))
        .collect();
    let adaptive = options(RolePolicy::Adaptive, ObjectiveWeight::Goodput);
    rows.push(oracle::best(adaptive, fleet, trace));
    rows
}

/// Returns the rows as a Markdown table.
pub fn to_table(rows: &[ReplayReport]) -> String {
    let mut text = String::from(
        "| policy | objective | tokens/s | of offered | in time | sent | refused | failed | role changes | \
         first token p95 ms | between tokens p95 ms | hit rate | cross-region MB |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        text += &format!(
            "| {} | {} | {:.0} | {:.0} % | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.2} | {:.1} |\n",
            row.policy,
            row.objective,
            row.goodput_tokens_per_second,
            100.0 * row.goodput_tokens_per_second / row.offered_tokens_per_second,
            row.whole,
            row.sent,
            row.refused,
            row.failed,
            row.role_changes,
            row.first_token.p95_ms,
            row.between_tokens.p95_ms,
            row.prefix_hit_rate,
            row.cross_region_bytes as f64 / 1e6,
        );
    }
    text
}
