//! Lease of a failure domain's leader.
//!
//! The lease only keeps daemons from planning conflicting changes. Whether an order
//! may be sent is decided by the engine's record.

use std::{sync::Arc, time::Duration};

use gooseberry_core::time::Timestamp;
use gooseberry_edges::platform::{PlatformError, PutOutcome};
use gooseberry_wire::platform::KvPut;

use crate::context::DaemonContext;

/// Time to live of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval at which the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a hello from a leader after which this daemon tries to acquire the
/// lease.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest delay between two attempts to acquire the lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(2);
/// Largest random addition to `ACQUIRE_INTERVAL`, in milliseconds.
const ACQUIRE_JITTER_MS: u64 = 1000;

/// Holds the lease, or tries to acquire it.
pub struct LeaderLease {
    context: Arc<DaemonContext>,
    held: Option<HeldLease>,
    next_attempt: Timestamp,
}

struct HeldLease {
    lease: u64,
    renewed_at: Timestamp,
    /// Time of the last attempt to renew the lease.
    renewal_tried_at: Timestamp,
}

impl LeaderLease {
    /// Creates a lease that isn't held.
    pub fn new(context: &Arc<DaemonContext>) -> Self {
        Self { context: Arc::clone(context), held: None, next_attempt: Timestamp::default() }
    }

    /// Renews the lease or tries to acquire it. Returns whether it is held.
    pub async fn renew_or_acquire(&mut self) -> bool {
        match &self.held {
            Some(_) => self.renew().await,
            None => self.acquire().await,
        }
        self.held.is_some()
    }

    async fn renew(&mut self) {
        let Some(held) = &mut self.held else { return };
        let now = self.context.clock.now();
        if now.since(held.renewal_tried_at) < RENEW_INTERVAL {
            return;
        }
        held.renewal_tried_at = now;
        match self.context.platform.renew_lease(held.lease).await {
            Ok(true) => held.renewed_at = now,
            Ok(false) => self.forget("lapsed"),
            Err(_) if now.since(held.renewed_at) > LEASE_TTL => self.forget("not renewed in time"),
            Err(_) => {}
        }
    }

    fn forget(&mut self, reason: &str) {
        tracing::info!(reason, "no longer leader of the failure domain");
        self.held = None;
    }

    async fn acquire(&mut self) {
        let now = self.context.clock.now();
        let domain = &self.context.settings.failure_domain;
        let since_leader = self.context.drains.time_since_leader(domain, now);
        if now < self.next_attempt
            || since_leader.is_some_and(|since_leader| since_leader < LEADER_TIMEOUT)
        {
            return;
        }
        let jitter = Duration::from_millis(rand::random_range(0..ACQUIRE_JITTER_MS));
        self.next_attempt = now + ACQUIRE_INTERVAL + jitter;
        match self.try_acquire().await {
            Ok(Some(lease)) => {
                tracing::info!(lease, domain, "elected leader of the failure domain");
                self.held = Some(HeldLease { lease, renewed_at: now, renewal_tried_at: now });
            }
            Ok(None) => {}
            Err(error) => tracing::debug!(%error, "can't acquire the leader's lease"),
        }
    }

    async fn try_acquire(&self) -> Result<Option<u64>, PlatformError> {
        let platform = &self.context.platform;
        let key = format!("stewards/{}", self.context.settings.failure_domain);
        if platform.get(&key).await?.is_some() {
            return Ok(None);
        }
        let lease = platform.grant_lease(LEASE_TTL).await?.lease;
        let value = self.context.process.to_string();
        let put = KvPut { value, expected: Some(0), lease: Some(lease) };
        match platform.put(&key, &put).await {
            Ok(PutOutcome::Written(_)) => Ok(Some(lease)),
            Ok(PutOutcome::Conflict(_)) => {
                platform.release_lease(lease).await?;
                Ok(None)
            }
            Err(error) => {
                let _ = platform.release_lease(lease).await;
                Err(error)
            }
        }
    }

    /// Releases the lease.
    pub async fn release(&mut self) {
        if let Some(held) = self.held.take() {
            if let Err(error) = self.context.platform.release_lease(held.lease).await {
                tracing::debug!(%error, "can't release the leader's lease; it will expire");
            }
        }
    }
}
