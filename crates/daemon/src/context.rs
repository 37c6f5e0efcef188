//! What the traffic threads share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use gooseberry_edges::{
    clock::Clock, engine::EngineEdge, plain::PlainEdge, platform::PlatformEdge, stop::StopSignal,
};
use gooseberry_wire::settings::DaemonSettings;
use smol_str::SmolStr;

use crate::{
    balance::BalanceBook, claims::ClaimStore, control::ControlEvent, logs::LogLevels,
    metrics::MetricClient, poison::PoisonBook, retries::RetryBook, snapshot::FleetSnapshot,
};

/// Holds the edges and shared state of one daemon.
pub struct DaemonContext {
    pub settings: DaemonSettings,
    /// Name of the VM with the incarnation of this process.
    pub holder: SmolStr,
    /// Time at which this process started, in milliseconds since the epoch.
    pub incarnation: u64,
    pub clock: Clock,
    pub stop: StopSignal,
    pub snapshot: ArcSwap<FleetSnapshot>,
    pub events: async_channel::Sender<ControlEvent>,
    pub platform: Arc<dyn PlatformEdge>,
    pub engines: Arc<dyn EngineEdge>,
    pub plain: Arc<dyn PlainEdge>,
    pub claims: ClaimStore,
    pub balance: BalanceBook,
    pub poison: Arc<PoisonBook>,
    pub retries: RetryBook,
    pub metrics: Arc<MetricClient>,
    pub levels: LogLevels,
}

impl DaemonContext {
    /// Tells whether this daemon takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_given() && self.snapshot.load().fleet.revision > 0
    }
}
