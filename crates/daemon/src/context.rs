//! What the traffic threads share.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc,
};

use arc_swap::ArcSwap;
use gooseberry_edges::{
    clock::Clock, engine::EngineApi, plain::PlainApi, platform::PlatformApi, stop::StopSignal,
};
use gooseberry_wire::settings::DaemonSettings;
use smol_str::SmolStr;

use crate::{
    claims::store::ClaimStore, control::ControlEvent, demand::DemandMeter, leader::DrainTable,
    limits::LimitState, loads::LoadExchange, logs::LogFilter, metrics::MetricClient,
    outcomes::OutcomeStore, poison::PoisonRegistry, retries::RetryTable, routing::RoutingState,
    snapshot::FleetSnapshot,
};

/// Holds the edges and shared state of one daemon.
pub struct DaemonContext {
    pub settings: DaemonSettings,
    /// Name of the VM with the incarnation of this process.
    pub process: SmolStr,
    /// Time at which this process started, in milliseconds since the epoch.
    pub incarnation: u64,
    pub clock: Clock,
    pub stop: StopSignal,
    /// Given shortly before the drain of a stopping daemon reaches its limit:
    /// requests that still run end with a refusal.
    pub drain_deadline: StopSignal,
    pub snapshot: ArcSwap<FleetSnapshot>,
    pub events: async_channel::Sender<ControlEvent>,
    pub platform: Arc<dyn PlatformApi>,
    /// Whether the platform answered the last time it was asked.
    pub platform_reachable: AtomicBool,
    pub engines: Arc<dyn EngineApi>,
    pub plain: Arc<dyn PlainApi>,
    pub claims: ClaimStore,
    pub drains: DrainTable,
    pub demand: DemandMeter,
    pub balance: OutcomeStore,
    pub routing: Arc<RoutingState>,
    pub limits: LimitState,
    pub loads: LoadExchange,
    pub poison: Arc<PoisonRegistry>,
    pub retries: RetryTable,
    pub metrics: Arc<MetricClient>,
    pub levels: LogFilter,
}

impl DaemonContext {
    /// Tells whether the platform answered the last time it was asked.
    pub fn is_platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Tells whether this daemon takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_triggered() && self.snapshot.load().fleet.revision > 0
    }
}
