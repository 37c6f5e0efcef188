//! Reads of the engines that are this daemon's to read.

use std::{sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::LoadReport;
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::ControlEvent, loads};

/// Interval of looks for engines to be read.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Holds the reads of one engine by this daemon.
#[derive(Clone, Debug, Default)]
pub struct EnginePoll {
    address: SmolStr,
    is_home: bool,
    begun: Timestamp,
    runs: bool,
    /// Newest report that this daemon read itself.
    pub report: Option<Arc<LoadReport>>,
}

impl EnginePoll {
    /// Sets where the engine is.
    pub fn configure(&mut self, address: SmolStr, is_home: bool) {
        self.address = address;
        self.is_home = is_home;
    }

    /// Returns the interval in which peers are told at least something.
    pub fn keepalive_interval(&self) -> Duration {
        if self.is_home {
            loads::HOME_PULSE
        } else {
            loads::AWAY_PULSE
        }
    }

    /// Begins a read and returns its address, if one is due and none runs.
    pub fn begin(&mut self, now: Timestamp) -> Option<SmolStr> {
        let interval = if self.is_home { loads::HOME_INTERVAL } else { loads::AWAY_INTERVAL };
        // A look may come a little early or late, and should not skip a turn.
        if self.runs || now.since(self.begun) + LOOK_INTERVAL / 2 < interval {
            return None;
        }
        self.begun = now;
        self.runs = true;
        Some(self.address.clone())
    }

    /// Notes the answer to a read, or that there was none.
    pub fn end(&mut self, report: Option<Arc<LoadReport>>) {
        self.runs = false;
        if report.is_some() {
            self.report = report;
        }
    }
}

/// Reads the engines that are this daemon's, for ever.
pub async fn run(context: Arc<DaemonContext>) {
    loop {
        context.clock.sleep(LOOK_INTERVAL).await;
        for (engine, address) in context.loads.due(context.clock.now()) {
            task::spawn(read(Arc::clone(&context), engine, address));
        }
    }
}

async fn read(context: Arc<DaemonContext>, engine: SmolStr, address: SmolStr) {
    match context.engines.load(&address).await {
        Ok(report) => {
            let report = Arc::new(report);
            context.loads.end_read(&engine, Some(Arc::clone(&report)));
            let _ = context.events.send(ControlEvent::Report { engine, report }).await;
        }
        Err(error) => {
            tracing::debug!(%engine, %error, "no load report");
            context.loads.end_read(&engine, None);
        }
    }
}
