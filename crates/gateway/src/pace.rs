//! Logs and metrics of the pace of servers.

use parking_lot::Mutex;

use crate::{metrics::GatewayMetrics, state::GatewayState};

/// Unit of the metric: windows are shown in thousandths.
const METRIC_UNIT: f64 = 1000.0;

/// Logs the changes of windows since the last call, and sets the metric of the servers that are paced.
pub fn report(state: &Mutex<GatewayState>, metrics: &GatewayMetrics) {
    let (changes, paced) = {
        let mut state = state.lock();
        (state.take_pace_changes(), state.paced_servers())
    };
    for (server, change) in changes {
        tracing::info!(
            %server,
            from = change.from,
            to = change.to,
            reason = %change.reason,
            age_ms = change.age.as_millis() as u64,
            "pace of server changed"
        );
    }
    metrics.paces.reset();
    for server in paced {
        let pace = metrics.paces.with_label_values(&[server.id.as_str()]);
        pace.set((server.window * METRIC_UNIT) as i64);
    }
}
