//! State that the tasks of a gateway share.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use gooseberry_core::{
    serving::{
        accounts::KeySecret,
        caller_memory::MemoryLimits,
        shutdown::{RecentDurations, ShutdownProgress},
    },
    time::Timestamp,
};
use gooseberry_edges::clock::Clock;
use gooseberry_platform::store::StoreEndpoint;
use gooseberry_transport::{pool::ConnectionPool, server::HttpServer};
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    accounts::AccountGate,
    caller_memory::CallerMemory,
    metrics::GatewayMetrics,
    peers::PeerDirectory,
    settings::{GatewayLimits, GatewayOptions},
    state::GatewayState,
    usage::UsageLog,
};

/// Time at the end of the grace period that requests can't use, so that the process exits before
/// SIGKILL.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

/// State, connections and settings of one daemon.
#[derive(Debug)]
pub struct Gateway {
    pub options: GatewayOptions,
    /// The current limits, which a reload changes.
    pub limits: Mutex<GatewayLimits>,
    pub clock: Clock,
    /// The key-value service, with its newest era.
    pub store: StoreEndpoint,
    pub state: Mutex<GatewayState>,
    pub connections: ConnectionPool,
    pub metrics: GatewayMetrics,
    /// What is held for callers.
    pub memory: Arc<CallerMemory>,
    /// Requests that began to run, by account.
    pub usage: Arc<UsageLog>,
    /// Set after the configuration and the servers were read, and ignored once the shutdown has
    /// started.
    is_ready: AtomicBool,
    /// Time at which the shutdown started.
    stopping_since: Mutex<Option<Timestamp>>,
    /// Requests whose response head hasn't been returned yet.
    pub running: AtomicUsize,
    /// Hash of this daemon's name and incarnation.
    pub daemon: u64,
    /// The other daemons.
    pub peers: Arc<PeerDirectory>,
    /// Secret of the digests of API keys.
    key_secret: KeySecret,
    /// Token with which other daemons hand requests to this one.
    pub peer_token: SmolStr,
    /// Serves the other daemons.
    pub peer_server: HttpServer,
    /// Requests that were handed to each other daemon and haven't ended.
    pub forwards: Mutex<HashMap<SmolStr, u32>>,
    /// Time at which each other daemon last refused a request that was handed to it.
    pub refused_forwards: Mutex<HashMap<SmolStr, Timestamp>>,
    /// Requests of other daemons whose response head hasn't been returned yet.
    pub taken: AtomicUsize,
    /// Durations of recent requests, by route.
    durations: Mutex<HashMap<SmolStr, RecentDurations>>,
    /// Services that this daemon may be cut off from.
    suspicion_channel: (Sender<SmolStr>, Receiver<SmolStr>),
    /// Wakes the task that sends updates to the other daemons.
    wake_channel: (Sender<()>, Receiver<()>),
    /// Wakes the task that keeps this daemon registered.
    registration_channel: (Sender<()>, Receiver<()>),
}

impl Gateway {
    /// Creates a gateway without configuration and servers.
    pub fn new(options: GatewayOptions, clock: Clock, metrics: GatewayMetrics) -> Self {
        let incarnation = clock.now().as_millis();
        let daemon = xxh3::xxh3_64_with_seed(options.name.as_bytes(), incarnation);
        let memory_limits = MemoryLimits::new(options.memory_bytes, options.max_descriptors);
        let memory = CallerMemory::new(memory_limits, clock.clone(), metrics.memory.clone());
        let mut state = GatewayState::new(daemon);
        if options.adapts_pace {
            state.fleet.enable_pace(daemon);
        }
        Self {
            limits: Mutex::new(options.limits),
            store: StoreEndpoint::new(options.store),
            usage: Arc::new(UsageLog::new(options.duties.as_ref(), daemon, clock.clone())),
            options,
            clock,
            state: Mutex::new(state),
            connections: ConnectionPool::default(),
            metrics,
            memory: Arc::new(memory),
            is_ready: AtomicBool::new(false),
            stopping_since: Mutex::new(None),
            running: AtomicUsize::new(0),
            daemon,
            peers: Arc::default(),
            key_secret: KeySecret::new(rand::random()),
            peer_token: smol_str::format_smolstr!("{:032x}", rand::random::<u128>()),
            peer_server: HttpServer::default(),
            forwards: Mutex::default(),
            refused_forwards: Mutex::default(),
            taken: AtomicUsize::new(0),
            durations: Mutex::default(),
            suspicion_channel: async_channel::unbounded(),
            wake_channel: async_channel::bounded(1),
            registration_channel: async_channel::bounded(1),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the current time of the monotonic clock, for the connection pool.
    pub fn instant(&self) -> Instant {
        Instant::now()
    }

    /// Returns the secret of the digests of API keys.
    pub fn key_secret(&self) -> &KeySecret {
        &self.key_secret
    }

    /// Returns what requests are authorized by now.
    pub fn account_gate(&self) -> AccountGate<'_> {
        AccountGate {
            state: &self.state,
            secret: &self.key_secret,
            policy: self.options.revocation,
            newest_era: self.store.newest_era(),
            now: self.clock.time_since_boot(),
        }
    }

    /// Returns the age of the current configuration, in milliseconds, for the log.
    pub fn configuration_age_ms(&self, state: &GatewayState) -> Option<u64> {
        let now = self.clock.time_since_boot();
        let age = state.accounts.knowledge.age(self.store.newest_era(), now);
        age.map(|age| age.as_millis() as u64)
    }

    /// Returns whether this daemon accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Records that the configuration and the servers are known.
    pub fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Relaxed);
    }

    /// Returns whether this daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.lock().is_some()
    }

    /// Returns the progress of the shutdown, if this daemon is shutting down.
    pub fn shutdown_progress(&self) -> Option<ShutdownProgress> {
        let since_start = self.now().since((*self.stopping_since.lock())?);
        let grace = self.limits.lock().grace.saturating_sub(GRACE_RESERVE);
        Some(ShutdownProgress { since_start, until_exit: grace.saturating_sub(since_start) })
    }

    /// Records how long a request of a route took to the end of its response.
    pub fn record_duration(&self, route: &SmolStr, duration: Duration) {
        let mut durations = self.durations.lock();
        durations.entry(route.clone()).or_default().record(duration, self.now());
    }

    /// Returns the longest duration of the recent requests of a route.
    pub fn longest_duration(&self, route: &str) -> Option<Duration> {
        self.durations.lock().get(route)?.longest(self.now())
    }

    /// Records that this daemon is shutting down.
    pub fn set_stopping(&self) {
        *self.stopping_since.lock() = Some(self.now());
    }

    /// Wakes the task that sends updates to the other daemons.
    pub fn wake_publisher(&self) {
        // A full channel means that the task has been woken already.
        let _ = self.wake_channel.0.try_send(());
    }

    /// Lets a service be checked from which this daemon may be cut off.
    pub fn suspect_cut(&self, service: SmolStr) {
        // The channel is unbounded and stays open.
        let _ = self.suspicion_channel.0.try_send(service);
    }

    /// Waits for a service that has to be checked.
    pub async fn suspected_service(&self) -> Option<SmolStr> {
        self.suspicion_channel.1.recv().await.ok()
    }

    /// Records that this daemon's registration is missing in the key-value service.
    pub fn record_lost_registration(&self) {
        // A full channel means that the task has been woken already.
        let _ = self.registration_channel.0.try_send(());
    }

    /// Records that this daemon's registration has been written again.
    pub fn clear_lost_registration(&self) {
        // An empty channel means that nothing has been recorded.
        let _ = self.registration_channel.1.try_recv();
    }

    /// Waits until this daemon's registration is missing.
    pub async fn registration_lost(&self) {
        let _ = self.registration_channel.1.recv().await;
    }

    /// Waits until there are updates to send.
    pub async fn updates_ready(&self) {
        let _ = self.wake_channel.1.recv().await;
    }
}
