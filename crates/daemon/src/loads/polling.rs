//! Reads of the engines that this daemon is assigned to read.

use std::{sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::LoadReport;
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::ControlEvent, loads};

/// Interval at which due reads are started.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// State of this daemon's reads of one engine.
#[derive(Clone, Debug, Default)]
pub struct EnginePoll {
    address: SmolStr,
    is_home: bool,
    begun_at: Timestamp,
    is_running: bool,
    /// Newest report that this daemon read itself.
    pub report: Option<Arc<LoadReport>>,
}

impl EnginePoll {
    /// Sets the address of the engine, and whether it is in the home failure
    /// domain.
    pub fn configure(&mut self, address: SmolStr, is_home: bool) {
        self.address = address;
        self.is_home = is_home;
    }

    /// Returns the longest interval without an update to peers.
    pub fn keepalive_interval(&self) -> Duration {
        if self.is_home {
            loads::HOME_UPDATE_INTERVAL
        } else {
            loads::REMOTE_UPDATE_INTERVAL
        }
    }

    /// Begins a read and returns its address, if one is due and none is running.
    pub fn begin(&mut self, now: Timestamp) -> Option<SmolStr> {
        let interval = if self.is_home { loads::HOME_INTERVAL } else { loads::REMOTE_INTERVAL };
        // The tolerance keeps a read that starts slightly early or late from
        // skipping an interval.
        if self.is_running || now.since(self.begun_at) + SCAN_INTERVAL / 2 < interval {
            return None;
        }
        self.begun_at = now;
        self.is_running = true;
        Some(self.address.clone())
    }

    /// Records the result of a read, `None` if it failed.
    pub fn end(&mut self, report: Option<Arc<LoadReport>>) {
        self.is_running = false;
        if report.is_some() {
            self.report = report;
        }
    }
}

/// Reads the engines that this daemon is assigned to, in an endless loop.
pub async fn run(context: Arc<DaemonContext>) {
    loop {
        context.clock.sleep(SCAN_INTERVAL).await;
        for (engine, address) in context.loads.begin_due_reads(context.clock.now()) {
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
            tracing::debug!(%engine, %error, "can't read load report from engine");
            context.loads.end_read(&engine, None);
        }
    }
}
