//! Watches the key-value service for changes of the configuration, the servers and the other
//! daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gooseberry_core::{
    serving::{
        store_era::{EraError, StoreRevision},
        watch_plan::{self, WatchPlan, WatchSource},
    },
    time::Timestamp,
};
use gooseberry_platform::store::{StoreClient, StoreError, StoreUpdate};

use crate::{
    changes::{self, ChangeLog, ListTimes, RelayClient, RelayUpdate},
    gateway::Gateway,
    leader::LeaderKey,
    peers::PeerDirectory,
    usage,
};

mod keys;

/// Time for which a watch waits for changes. An unresponsive connection is detected after this time
/// plus the slack, which is within the 2.5 s that a new configuration may take to arrive.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond the wait after which a watch times out.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Timeout of the watch after a failed call, which waits for no changes: after a cut, entries that
/// are missing have to be known soon.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a read of all keys.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay after a response with changes. Changes come in bursts, and each response costs a call.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// State from the keys that the gateways themselves write, and the log of all changes.
#[derive(Clone, Debug, Default)]
pub struct GatewayKeys {
    pub peers: Arc<PeerDirectory>,
    pub leader: Arc<LeaderKey>,
    pub changes: Arc<ChangeLog>,
}

/// Watches the key-value service for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, keys: GatewayKeys) {
    let mut watcher = StoreWatcher {
        client: gateway.store.client(),
        relay_client: RelayClient::default(),
        revision: None,
        has_read: false,
        plan: WatchPlan::new(gateway.daemon, gateway.now()),
        gateway,
        keys,
    };
    loop {
        watcher.step().await;
    }
}

struct StoreWatcher {
    gateway: Arc<Gateway>,
    keys: GatewayKeys,
    client: StoreClient,
    relay_client: RelayClient,
    /// Revision up to which all changes are known.
    revision: Option<StoreRevision>,
    /// Whether this process has read all keys before.
    has_read: bool,
    plan: WatchPlan,
}

impl StoreWatcher {
    /// Returns the relay of this domain, if it is another daemon.
    fn relay(&self, now: Timestamp) -> Option<SocketAddr> {
        let relay = self.keys.peers.plan(&self.gateway.options, now).relay;
        relay.map(|relay| relay.address)
    }

    async fn step(&mut self) {
        let (now, called_since_boot) = (self.gateway.now(), self.gateway.clock.time_since_boot());
        give_up_missing(&self.gateway);
        confirm_held(&self.gateway);
        self.end_era(now);
        // A daemon that has just started reads all keys from the service itself.
        let relay = self.relay(now).filter(|_| self.revision.is_some());
        let source = self.plan.source(relay.is_some(), now);
        let update = match (self.revision, relay, source) {
            (Some(revision), Some(relay), WatchSource::Relay) => {
                self.watch_relay(relay, revision, now, called_since_boot).await;
                return;
            }
            (Some(revision), _, _) => {
                let (is_failing, has_accounts) = self.watch_state();
                let (wait, slack) = if is_failing {
                    (Duration::ZERO, PROBE_TIMEOUT)
                } else if has_accounts {
                    (watch_plan::ACCOUNT_WATCH_WAIT, WATCH_SLACK)
                } else {
                    (WATCH_TIMEOUT, WATCH_SLACK)
                };
                self.client.watch(revision, wait, slack).await
            }
            (None, _, _) => self.client.read_all(READ_TIMEOUT).await,
        };
        match update {
            Ok(update) => {
                self.plan.store_responded();
                let has_changes = !update.changes.is_empty();
                self.apply_update(update, WatchSource::Store, now, Some(called_since_boot));
                if has_changes {
                    self.gateway.clock.sleep(BATCH_DELAY).await;
                }
            }
            Err(fault) => {
                if matches!(fault, StoreError::Era(EraError::Ended { .. })) {
                    return self.end_era(now);
                }
                record_error(&self.gateway, &fault, now);
                if matches!(fault, StoreError::Compacted(_)) {
                    self.revision = None;
                    return;
                }
                let delay = self.plan.store_failed(relay.is_some(), self.gateway.now());
                self.gateway.clock.sleep(delay).await;
            }
        }
    }

    /// Drops what is known of an era of the key-value service that has ended, so that all keys are read
    /// again. Servers whose entries are missing then have time to write them again, as after an outage.
    fn end_era(&mut self, now: Timestamp) {
        let newest = self.gateway.store.newest_era();
        let Some(revision) = self.revision.filter(|revision| revision.era < newest) else {
            return;
        };
        self.revision = None;
        let peers = self.keys.peers.count();
        let mut state = self.gateway.state.lock();
        state.versions.record_gap();
        state.fleet.connectivity.record_failure(now);
        let servers = state.fleet.iter().count();
        drop(state);
        self.gateway.metrics.era_changes.inc();
        tracing::warn!(
            era = newest,
            %revision,
            servers,
            peers,
            "key-value service has come back from a copy; reading all keys again"
        );
    }

    /// Returns whether the last call to the key-value service failed, and whether the configuration
    /// has accounts.
    fn watch_state(&self) -> (bool, bool) {
        let state = self.gateway.state.lock();
        (state.fleet.connectivity.is_unreachable(), !state.accounts.table.is_empty())
    }

    async fn watch_relay(
        &mut self,
        relay: SocketAddr,
        revision: StoreRevision,
        called_at: Timestamp,
        called_since_boot: Timestamp,
    ) {
        let (is_failing, has_accounts) = self.watch_state();
        let call = if has_accounts {
            self.plan.account_relay_call(is_failing, called_at)
        } else {
            self.plan.relay_call(is_failing, called_at)
        };
        let fault = match self.relay_client.watch(&self.gateway, relay, revision, call).await {
            Ok(RelayUpdate { update, list_age }) => {
                let listed_at = called_at - list_age.unwrap_or(changes::MAX_RESPONSE_AGE);
                // A relay that doesn't state the age of its list confirms nothing.
                let listed_since_boot = list_age.map(|age| called_since_boot - age);
                return self.apply_update(update, WatchSource::Relay, listed_at, listed_since_boot);
            }
            Err(fault) => fault,
        };
        self.gateway.state.lock().versions.record_gap();
        match self.plan.relay_failed(fault.failure(), self.gateway.now()) {
            Some(delay) => self.gateway.clock.sleep(delay).await,
            None => {
                tracing::info!(%relay, %fault, "relay failed; watching the key-value service directly")
            }
        }
    }

    /// Applies an update that has all changes up to `listed_at`, which is `listed_since_boot` in a
    /// clock that counts suspension.
    fn apply_update(
        &mut self,
        mut update: StoreUpdate,
        source: WatchSource,
        listed_at: Timestamp,
        listed_since_boot: Option<Timestamp>,
    ) {
        usage::remove_reports(&mut update.changes);
        record_response(&self.gateway, source, listed_at);
        let now = self.gateway.now();
        let listed_era = self.gateway.state.lock().listed_revision.era;
        let is_restored = self.has_read && update.revision.era > listed_era;
        let times =
            ListTimes { responded_at: now, listed_at: listed_since_boot.unwrap_or_default() };
        if self.revision.is_none() {
            self.gateway.state.lock().versions.record_gap();
            keys::remove_missing_servers(&self.gateway, &update);
            keys::remove_missing_keys(&self.gateway, &self.keys, &update);
            self.keys.changes.reset(update.revision, times);
        } else {
            let times = (source == WatchSource::Store).then_some(times);
            self.keys.changes.extend(&update, times);
        }
        // The keys may have been read from a replica that lags behind, so the revision never goes
        // back.
        let revision = update.revision;
        self.revision = self.revision.max(Some(revision));
        if !std::mem::replace(&mut self.has_read, true) {
            keys::restore_suspects(&self.gateway, &update.changes);
        }
        for change in update.changes {
            keys::apply(&self.gateway, &self.keys, change, is_restored);
        }
        let mut state = self.gateway.state.lock();
        state.versions.record_complete(now);
        state.listed_revision = self.revision.unwrap_or_default();
        state.fleet.connectivity.record_list(listed_at);
        // A response of a replica that lags behind confirms nothing.
        let confirmed_at = listed_since_boot.filter(|_| self.revision == Some(revision));
        if let Some(confirmed_at) = confirmed_at {
            let era = state.listed_revision.era;
            state.accounts.knowledge.confirm(era, confirmed_at);
        }
        drop(state);
        update_readiness(&self.gateway);
    }
}

/// Records that the key-value service, or a relay in its place, responded.
fn record_response(gateway: &Gateway, source: WatchSource, listed_at: Timestamp) {
    gateway.metrics.store_calls.with_label_values(&["answered"]).inc();
    let now = gateway.now();
    let ends_outage = gateway.state.lock().fleet.record_store_response(listed_at, now);
    if ends_outage {
        let list_age_ms = now.since(listed_at).as_millis() as u64;
        tracing::info!(%source, list_age_ms, "key-value service responds again");
    }
}

fn confirm_held(gateway: &Gateway) {
    let confirmed = gateway.state.lock().put_confirmed_servers(gateway.now());
    for id in confirmed {
        tracing::info!(server = %id, "server entry that was held back hasn't expired; using the server");
    }
}

fn give_up_missing(gateway: &Gateway) {
    let given_up = gateway.state.lock().give_up_missing(gateway.now());
    for id in given_up {
        tracing::info!(server = %id, "server entry didn't come back; giving up the server");
    }
}

fn record_error(gateway: &Gateway, fault: &StoreError, called_at: Timestamp) {
    gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
    if matches!(fault, StoreError::Compacted(_)) {
        tracing::info!(%fault, "revision was compacted; reading all keys again");
        return;
    }
    let mut state = gateway.state.lock();
    state.versions.record_gap();
    if state.fleet.connectivity.record_failure(called_at) {
        tracing::warn!(%fault, "key-value service is not responding");
    }
}

fn update_readiness(gateway: &Gateway) {
    if !gateway.is_ready() && gateway.state.lock().configuration.is_some() {
        gateway.set_ready();
    }
}
