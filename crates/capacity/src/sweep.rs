//! Runs the measurement at each size of the quantity that is varied.

use std::{
    thread,
    time::{Duration, Instant},
};

use comfy_table::{presets, Table};
use gooseberry_config::fleet as checked;
use gooseberry_harness::system::{self, SystemOptions, TestSystem};
use gooseberry_wire::platform::PlatformCounts;
use serde::Serialize;

use crate::{configurations, metric_sink::MetricSink, process_cost};

/// Time for which a system runs before it is measured.
const WARM_UP_DURATION: Duration = Duration::from_secs(4);
const ENGINE_COUNTS: [usize; 5] = [10, 78, 200, 390, 780];
const DAEMON_COUNTS: [usize; 4] = [2, 4, 8, 16];
const ACCOUNT_COUNTS: [usize; 4] = [100, 1000, 5000, 23_000];

/// Holds the results of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct SweepRow {
    pub engines: usize,
    pub daemons: usize,
    pub accounts: usize,
    /// Bytes of the configuration text.
    pub text_bytes: usize,
    /// Time to check the text and build the fleet from it, in milliseconds.
    pub build_ms: f64,
    /// Share of one core that each daemon uses, in percent.
    pub core_percent: f64,
    /// Resident memory of each daemon, in MiB.
    pub resident_mib: f64,
    /// Bytes of load reports that each daemon sends to its peers per second.
    pub load_bytes: f64,
    /// Calls to the platform per daemon and second.
    pub platform_reads: f64,
    pub platform_watches: f64,
    pub platform_writes: f64,
}

/// Measures one daemon with increasing numbers of engines.
pub fn engines(seconds: u64) -> Vec<SweepRow> {
    let measure = |count| {
        let sink = MetricSink::start("load_bytes");
        let system = start_with_sink(1, &sink);
        let text = configurations::with_engines(&system, count);
        measure(&system, &text, Counts { engines: count, accounts: 1 }, seconds, &sink)
    };
    ENGINE_COUNTS.into_iter().map(measure).collect()
}

/// Measures increasing numbers of daemons in one failure domain.
pub fn daemons(seconds: u64) -> Vec<SweepRow> {
    let measure = |count| {
        let sink = MetricSink::start("load_bytes");
        let system = start_with_sink(count, &sink);
        let text = configurations::with_engines(&system, 78);
        measure(&system, &text, Counts { engines: 78, accounts: 1 }, seconds, &sink)
    };
    DAEMON_COUNTS.into_iter().map(measure).collect()
}

/// Measures one daemon with increasing numbers of accounts.
pub fn accounts(seconds: u64) -> Vec<SweepRow> {
    let measure = |count| {
        let sink = MetricSink::start("load_bytes");
        let system = start_with_sink(1, &sink);
        let text = configurations::with_accounts(&system, count);
        measure(&system, &text, Counts { engines: 1, accounts: count }, seconds, &sink)
    };
    ACCOUNT_COUNTS.into_iter().map(measure).collect()
}

#[derive(Clone, Copy)]
struct Counts {
    engines: usize,
    accounts: usize,
}

/// Starts a system whose daemons send their metrics to a sink.
fn start_with_sink(daemons: usize, sink: &MetricSink) -> TestSystem {
    TestSystem::start(SystemOptions {
        daemons,
        engines: 1,
        plain_servers: 0,
        daemon_settings: format!("metrics: {}\n", sink.address()),
        ..SystemOptions::default()
    })
}

fn measure(
    system: &TestSystem,
    text: &str,
    counts: Counts,
    seconds: u64,
    sink: &MetricSink,
) -> SweepRow {
    let started = Instant::now();
    checked::build(1, text).expect("a valid text");
    let build_ms = started.elapsed().as_secs_f64() * 1000.0;
    // If the platform refuses the text, `build_ms` and `text_bytes` are still
    // measured, but the text isn't in force.
    let _ = system.try_put_configuration(system.recorded_revision(), text);
    thread::sleep(WARM_UP_DURATION);
    let pids: Vec<_> = system.daemons.iter().map(|daemon| daemon.process.id()).collect();
    let bytes_before = sink.sum();
    let before = system::platform_counts(system);
    let cost = process_cost::measure_mean(&pids, Duration::from_secs(seconds));
    let after = system::platform_counts(system);
    let sent_bytes = sink.sum() - bytes_before;
    let rate = |count: fn(&PlatformCounts) -> u64| {
        (count(&after) - count(&before)) as f64 / seconds as f64 / pids.len() as f64
    };
    SweepRow {
        engines: counts.engines,
        daemons: pids.len(),
        accounts: counts.accounts,
        text_bytes: text.len(),
        build_ms,
        core_percent: cost.core_percent,
        resident_mib: cost.resident_mib,
        load_bytes: sent_bytes as f64 / seconds as f64 / pids.len() as f64,
        platform_reads: rate(|counts| counts.reads + counts.lists),
        platform_watches: rate(|counts| counts.watches),
        platform_writes: rate(|counts| counts.writes + counts.leases),
    }
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[SweepRow]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header([
        "engines",
        "daemons",
        "accounts",
        "text KB",
        "build ms",
        "core %",
        "MiB",
        "load B/s",
        "reads/s",
        "watches/s",
        "writes/s",
    ]);
    for row in rows {
        table.add_row([
            row.engines.to_string(),
            row.daemons.to_string(),
            row.accounts.to_string(),
            format!("{:.0}", row.text_bytes as f64 / 1000.0),
            format!("{:.1}", row.build_ms),
            format!("{:.2}", row.core_percent),
            format!("{:.1}", row.resident_mib),
            format!("{:.0}", row.load_bytes),
            format!("{:.2}", row.platform_reads),
            format!("{:.2}", row.platform_watches),
            format!("{:.2}", row.platform_writes),
        ]);
    }
    table.to_string()
}
