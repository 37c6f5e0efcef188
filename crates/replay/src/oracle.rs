//! An estimate of the goodput that a perfect forecast of the demand would reach.

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

/// Windows of the forecasts that are tried, in seconds.
const FORECAST_WINDOWS_S: [u64; 4] = [5, 15, 30, 60];

/// Replays a trace with the demand known in advance and with role changes that
/// take no time after draining, and returns the run with the most useful tokens.
///
/// Runs with the static, greedy and adaptive policies are candidates, too,
/// because a perfect forecast could make the same decisions. The result is an
/// estimate: it is the best of the runs that were tried, and admission and
/// routing don't use the forecast.
pub fn best(options: ReplayOptions, fleet: &FleetTable, trace: &ReplayTrace) -> ReplayReport {
    let forecasts = FORECAST_WINDOWS_S.iter().map(|seconds| {
        let mut candidate = ReplayOptions {
            policy: RolePolicy::Adaptive,
            objective: ObjectiveWeight::Goodput,
            demand_source: DemandSource::Forecast(Duration::from_secs(*seconds)),
            ..options
        };
        candidate.engine.role_change_us = 0;
        candidate
    });
    let policies = [RolePolicy::Static, RolePolicy::Greedy, RolePolicy::Adaptive];
    let observed = policies.iter().map(|policy| ReplayOptions {
        policy: *policy,
        objective: ObjectiveWeight::Goodput,
        ..options
    });
    let runs = forecasts.chain(observed).map(|candidate| run::run(candidate, fleet, trace));
    let mut best =
        runs.max_by_key(|report| report.useful_tokens).expect("at least one run was made");
    best.policy = "oracle".to_owned();
    best
}
