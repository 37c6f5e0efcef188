//! Calls between daemons about engine load.

use std::sync::Arc;

use gooseberry_core::readers::ReaderUpdate;
use gooseberry_wire::{engine::LoadReport, loads::LoadDelta};
use jsonrpsee::{
    core::{async_trait, RpcResult},
    proc_macros::rpc,
};
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::ControlEvent, peers};

/// Calls about engine load.
#[rpc(server)]
pub trait LoadApi {
    /// Applies a reader's update, and returns the engines whose full report is
    /// missing here.
    #[method(name = "loads")]
    async fn loads(
        &self,
        secret: String,
        reader: SmolStr,
        reports: Vec<(SmolStr, LoadReport)>,
        pulses: Vec<LoadDelta>,
        silent: Vec<SmolStr>,
    ) -> RpcResult<Vec<String>>;
}

/// Server for the calls of peers.
pub struct LoadServer {
    context: Arc<DaemonContext>,
}

impl LoadServer {
    /// Creates a server that passes reports to the control thread.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }

    async fn apply(&self, reader: &SmolStr, engine: SmolStr, report: LoadReport) {
        let now = self.context.clock.now();
        self.context.loads.record_update(&engine, reader, ReaderUpdate::Report, now);
        let report = Arc::new(report);
        let _ = self.context.events.send(ControlEvent::Report { engine, report }).await;
    }
}

#[async_trait]
impl LoadApiServer for LoadServer {
    async fn loads(
        &self,
        secret: String,
        reader: SmolStr,
        reports: Vec<(SmolStr, LoadReport)>,
        pulses: Vec<LoadDelta>,
        silent: Vec<SmolStr>,
    ) -> RpcResult<Vec<String>> {
        peers::check_secret(&self.context, &secret)?;
        let exchange = &self.context.loads;
        for (engine, report) in reports {
            exchange.received.lock().insert(&engine, &reader, report.clone());
            self.apply(&reader, engine, report).await;
        }
        let mut missing = Vec::new();
        for delta in pulses {
            let report = exchange.received.lock().apply_delta(&reader, &delta);
            match report {
                Some(report) => self.apply(&reader, SmolStr::new(&delta.engine), report).await,
                None => missing.push(delta.engine),
            }
        }
        let now = self.context.clock.now();
        for engine in silent {
            exchange.record_update(&engine, &reader, ReaderUpdate::Unchanged, now);
        }
        Ok(missing)
    }
}
