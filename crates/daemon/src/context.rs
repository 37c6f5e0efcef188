//! State shared by the traffic threads.

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

/// Clients and shared state of one daemon.
pub struct DaemonContext {
    pub settings: DaemonSettings,
    /// Name of the VM and incarnation of this process, as VM/INCARNATION.
    pub process: SmolStr,
    /// Start time of this process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    pub clock: Clock,
    pub stop: StopSignal,
    /// Signal given shortly before the drain of a stopping daemon times out.
    /// Requests that still run then end with a refusal.
    pub drain_deadline: StopSignal,
    pub snapshot: ArcSwap<FleetSnapshot>,
    pub events: async_channel::Sender<ControlEvent>,
    pub platform: Arc<dyn PlatformApi>,
    /// Whether the platform responded to the last call.
    pub platform_reachable: AtomicBool,
    pub engines: Arc<dyn EngineApi>,
    pub plain: Arc<dyn PlainApi>,
    pub claims: ClaimStore,
    pub drains: DrainTable,
    pub demand: DemandMeter,
    pub outcomes: OutcomeStore,
    pub routing: Arc<RoutingState>,
    pub limits: LimitState,
    pub loads: LoadExchange,
    pub poison: Arc<PoisonRegistry>,
    pub retries: RetryTable,
    pub metrics: Arc<MetricClient>,
    pub log_filter: LogFilter,
}

impl DaemonContext {
    /// Returns whether the platform responded to the last call.
    pub fn is_platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Returns whether this daemon accepts new requests.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_triggered() && self.snapshot.load().fleet.revision > 0
    }
}
