//! An estimate of what a perfect forecast of the demand would reach.

use std::time::Duration;

use gooseberry_core::{
    fleet::{FleetTable, ObjectiveWeight},
    roles::RolePolicy,
};

use crate::{
    controller::DemandSource,
    report::ReplayReport,
    run::{self, ReplayOptions},
    trace::ReplayTrace,
};

/// Spans that the forecast looks ahead, in seconds.
const LOOK_AHEAD_S: [u64; 4] = [5, 15, 30, 60];

/// Replays a trace with the demand known in advance and changes that take no
/// time after the drain, and returns the run of the most useful output.
///
/// The static, greedy and adaptive runs are candidates too, because a perfect
/// forecast could choose what they choose. The result is an estimate: it is
/// the best of the runs tried, and admission and routing stay as they are.
pub fn best(options: ReplayOptions, fleet: &FleetTable, trace: &ReplayTrace) -> ReplayReport {
    let forecasts = LOOK_AHEAD_S.iter().map(|seconds| {
        let mut known = ReplayOptions {
            policy: RolePolicy::Adaptive,
            objective: ObjectiveWeight::Goodput,
            demand_source: DemandSource::Forecast(Duration::from_secs(*seconds)),
            ..options
        };
        known.engine.role_change_us = 0;
        known
    });
    let policies = [RolePolicy::Static, RolePolicy::Greedy, RolePolicy::Adaptive];
    let plain = policies.iter().map(|policy| ReplayOptions {
        policy: *policy,
        objective: ObjectiveWeight::Goodput,
        ..options
    });
    let runs = forecasts.chain(plain).map(|known| run::run(known, fleet, trace));
    let mut best = runs.max_by_key(|report| report.useful_tokens).expect("some run was made");
    best.policy = "oracle".to_owned();
    best
}
