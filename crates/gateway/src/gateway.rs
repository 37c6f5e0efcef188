//! What the tasks of a gateway share.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use gooseberry_core::time::Timestamp;
use gooseberry_edges::clock::Clock;
use gooseberry_transport::pool::ConnectionPool;
use parking_lot::Mutex;
use xxhash_rust::xxh3;

use crate::{
    metrics::GatewayMetrics,
    settings::{GatewayLimits, GatewayOptions},
    state::GatewayState,
};

/// Part of the grace time that is left unused.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

/// Holds the tables, connections and settings of one daemon.
#[derive(Debug)]
pub struct Gateway {
    pub options: GatewayOptions,
    /// The limits in force, which a reload changes.
    pub limits: Mutex<GatewayLimits>,
    pub clock: Clock,
    pub state: Mutex<GatewayState>,
    pub connections: ConnectionPool,
    pub metrics: GatewayMetrics,
    /// Set once the configuration and the servers were read, until the stop.
    is_ready: AtomicBool,
    /// When this daemon began to leave.
    stopping_since: Mutex<Option<Timestamp>>,
    /// Requests that haven't got their whole answer.
    pub running: AtomicUsize,
    /// Hash of this daemon's name and incarnation.
    pub daemon: u64,
    wake: (Sender<()>, Receiver<()>),
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(options: GatewayOptions, clock: Clock, metrics: GatewayMetrics) -> Self {
        let incarnation = clock.now().as_millis();
        let daemon = xxh3::xxh3_64_with_seed(options.name.as_bytes(), incarnation);
        Self {
            limits: Mutex::new(options.limits),
            options,
            clock,
            state: Mutex::new(GatewayState::new(daemon)),
            connections: ConnectionPool::default(),
            metrics,
            is_ready: AtomicBool::new(false),
            stopping_since: Mutex::new(None),
            running: AtomicUsize::new(0),
            daemon,
            wake: async_channel::bounded(1),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the present time for connections.
    pub fn instant(&self) -> Instant {
        Instant::now()
    }

    /// Tells whether this daemon takes new callers.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Says that the configuration and the servers are known.
    pub fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Relaxed);
    }

    /// Tells whether this daemon is leaving.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.lock().is_some()
    }

    /// Returns the time until this daemon exits, if it is leaving.
    pub fn time_until_exit(&self) -> Option<Duration> {
        let since = (*self.stopping_since.lock())?;
        let span = self.limits.lock().grace.saturating_sub(GRACE_RESERVE);
        Some(span.saturating_sub(self.now().since(since)))
    }

    /// Says that this daemon is leaving.
    pub fn set_stopping(&self) {
        *self.stopping_since.lock() = Some(self.now());
    }

    /// Wakes the task that tells the other daemons.
    pub fn wake_publisher(&self) {
        // A full channel means that the task is woken already.
        let _ = self.wake.0.try_send(());
    }

    /// Waits until there is something to tell.
    pub async fn updates_ready(&self) {
        let _ = self.wake.1.recv().await;
    }
}
