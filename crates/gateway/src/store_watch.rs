//! Follows the key-value service: the configuration, the servers and the other
//! daemons.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use gooseberry_core::{
    serving::{
        fleet::EntryEffect,
        watch_plan::{WatchPlan, WatchSource},
    },
    time::Timestamp,
};
use gooseberry_platform::{
    configuration, servers,
    store::{StoreChange, StoreClient, StoreError, StoreKey, StoreUpdate},
};
use smol_str::SmolStr;

use crate::{
    changes::{ChangeLog, RelayClient},
    gateway::Gateway,
    leader::{self, LeaderKey},
    peers::{self, PeerDirectory, PeerRecord},
};

/// Time for which a watch waits for news. With the slack it bounds the time in
/// which a silent connection is noticed, within the 2.5 s that a configuration
/// may take.
const WATCH_SPAN: Duration = Duration::from_millis(1500);
/// Time beyond the wait after which the answer of a watch is late.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Longest time for a read of all keys.
const READ_LIMIT: Duration = Duration::from_millis(1500);
/// Pause after an answer with changes: they come in series, and each answer is
/// a call.
const COLLECT_SPAN: Duration = Duration::from_millis(300);

/// What is told of this system's own keys.
#[derive(Clone, Debug, Default)]
pub struct GatewayKeys {
    pub peers: Arc<PeerDirectory>,
    pub leader: Arc<LeaderKey>,
    pub changes: Arc<ChangeLog>,
}

/// Follows the key-value service for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, keys: GatewayKeys) {
    let mut follower = Follower {
        client: StoreClient::new(gateway.options.store),
        relay_client: RelayClient::default(),
        revision: None,
        plan: WatchPlan::new(gateway.daemon, gateway.now()),
        gateway,
        keys,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    keys: GatewayKeys,
    client: StoreClient,
    relay_client: RelayClient,
    /// Revision up to which all changes are known.
    revision: Option<u64>,
    plan: WatchPlan,
}

impl Follower {
    /// Returns the relay of this domain, if it is another daemon.
    fn relay(&self, now: Timestamp) -> Option<SocketAddr> {
        self.keys.peers.plan(&self.gateway.options, now).relay
    }

    async fn step(&mut self) {
        let now = self.gateway.now();
        // A daemon that knows nothing yet reads all keys itself.
        let relay = self.relay(now).filter(|_| self.revision.is_some());
        let source = self.plan.source(relay.is_some(), now);
        let news = match (self.revision, relay, source) {
            (Some(revision), Some(relay), WatchSource::Relay) => {
                self.ask_relay(relay, revision).await;
                return;
            }
            (Some(revision), _, _) => self.client.watch(revision, WATCH_SPAN, WATCH_SLACK).await,
            (None, _, _) => self.client.read_all(READ_LIMIT).await,
        };
        match news {
            Ok(news) => {
                self.plan.service_answered();
                let has_changes = !news.changes.is_empty();
                self.take_in(news, WatchSource::Service);
                if has_changes {
                    self.gateway.clock.sleep(COLLECT_SPAN).await;
                }
            }
            Err(fault) => {
                note_fault(&self.gateway, &fault);
                if matches!(fault, StoreError::Compacted(_)) {
                    self.revision = None;
                    return;
                }
                let pause = self.plan.service_failed(relay.is_some(), self.gateway.now());
                self.gateway.clock.sleep(pause).await;
            }
        }
    }

    async fn ask_relay(&mut self, relay: SocketAddr, revision: u64) {
        let fault = match self.relay_client.watch(&self.gateway, relay, revision).await {
            Ok(news) => return self.take_in(news, WatchSource::Relay),
            Err(fault) => fault,
        };
        match self.plan.relay_failed(fault.failure(), self.gateway.now()) {
            Some(pause) => self.gateway.clock.sleep(pause).await,
            None => tracing::info!(%relay, %fault, "relay gives no news; asking the service"),
        }
    }

    fn take_in(&mut self, news: StoreUpdate, source: WatchSource) {
        note_contact(&self.gateway);
        let now = self.gateway.now();
        if self.revision.is_none() {
            remove_missing_servers(&self.gateway, &news);
            remove_missing_keys(&self.keys, &news);
            self.keys.changes.reset(news.revision, now);
        } else {
            let answered_at = (source == WatchSource::Service).then_some(now);
            self.keys.changes.extend(&news, answered_at);
        }
        // A read may come from a replica that lags; what is known stays.
        self.revision = Some(news.revision.max(self.revision.unwrap_or(0)));
        for change in news.changes {
            apply(&self.gateway, &self.keys, change);
        }
        note_ready(&self.gateway);
    }
}

fn note_contact(gateway: &Gateway) {
    gateway.metrics.store_calls.with_label_values(&["answered"]).inc();
    let now = gateway.now();
    let mut state = gateway.state.lock();
    if state.fleet.connectivity.is_unreachable() {
        state.fleet.record_store_recovery(now);
        tracing::info!("key-value service answers again");
    }
}

fn note_fault(gateway: &Gateway, fault: &StoreError) {
    gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
    if matches!(fault, StoreError::Compacted(_)) {
        tracing::info!(%fault, "history lost; all keys are read again");
        return;
    }
    let now = gateway.now();
    if gateway.state.lock().fleet.connectivity.record_failure(now) {
        tracing::warn!(%fault, "key-value service doesn't answer");
    }
}

fn note_ready(gateway: &Gateway) {
    if !gateway.is_ready() && gateway.state.lock().configuration.is_some() {
        gateway.set_ready();
    }
}

/// Takes the servers that a read of all keys doesn't name as missing.
fn remove_missing_servers(gateway: &Gateway, news: &StoreUpdate) {
    let named: HashSet<&SmolStr> = news
        .changes
        .iter()
        .filter_map(|change| match &change.subject {
            StoreKey::Server(id) => Some(id),
            _ => None,
        })
        .collect();
    let known: Vec<SmolStr> = {
        let state = gateway.state.lock();
        state.fleet.iter().map(|(_, server)| server.entry.id.clone()).collect()
    };
    for id in known.iter().filter(|id| !named.contains(id)) {
        remove_server(gateway, id, news.revision);
    }
}

/// Takes the daemons and the steward that a read of all keys doesn't name as
/// gone.
fn remove_missing_keys(keys: &GatewayKeys, news: &StoreUpdate) {
    let own = news.changes.iter().filter_map(|change| match &change.subject {
        StoreKey::Own(key) => Some(key.as_str()),
        _ => None,
    });
    let named: HashSet<&str> = own.collect();
    if !named.contains(leader::KEY) {
        keys.leader.set_holder(None);
    }
    let named_peers = named.iter().filter_map(|key| key.strip_prefix(peers::KEY_PREFIX));
    keys.peers.retain(&named_peers.collect());
}

fn apply(gateway: &Gateway, keys: &GatewayKeys, change: StoreChange) {
    let revision = change.revision;
    match (change.subject, change.value) {
        (StoreKey::Configuration, Some(text)) => put_configuration(gateway, &text, revision),
        (StoreKey::Configuration, None) => {
            tracing::warn!(revision, "configuration is missing; the one in force stays");
        }
        (StoreKey::Server(id), Some(text)) => put_server(gateway, &id, &text, revision),
        (StoreKey::Server(id), None) => remove_server(gateway, &id, revision),
        (StoreKey::Own(key), value) => put_own(gateway, keys, &key, value),
        (StoreKey::Other, _) => {}
    }
}

fn put_configuration(gateway: &Gateway, text: &[u8], revision: u64) {
    let configuration = match configuration::decode(text) {
        Ok(configuration) => configuration,
        Err(fault) => {
            tracing::warn!(%fault, revision, "configuration can't be read");
            return;
        }
    };
    let version = configuration.version;
    let is_news = gateway.state.lock().put_configuration(configuration);
    if is_news {
        gateway.metrics.version.set(version as i64);
        tracing::info!(version, revision, "configuration in force");
    }
}

fn put_server(gateway: &Gateway, id: &SmolStr, text: &[u8], revision: u64) {
    match servers::decode(id, text) {
        Ok(entry) => {
            let (stage, is_draining) = (entry.stage, entry.is_draining);
            let effect = gateway.state.lock().put_server(entry);
            if effect != EntryEffect::Unchanged {
                tracing::info!(server = %id, revision, %effect, %stage, is_draining, "server entry");
            }
        }
        Err(fault) => {
            tracing::warn!(server = %id, revision, %fault, "server entry can't be read");
            // What another writer left here names no server to use.
            remove_server(gateway, id, revision);
        }
    }
}

fn remove_server(gateway: &Gateway, id: &SmolStr, revision: u64) {
    let now = gateway.now();
    let presence = gateway.state.lock().remove_server(id, now);
    if let Some(presence) = presence {
        tracing::info!(server = %id, revision, ?presence, "server entry is missing");
    }
}

fn put_own(gateway: &Gateway, keys: &GatewayKeys, key: &SmolStr, value: Option<Vec<u8>>) {
    if key == leader::KEY {
        keys.leader.set_holder(value.map(|name| String::from_utf8_lossy(&name).into_owned()));
    } else if let Some(name) = key.strip_prefix(peers::KEY_PREFIX) {
        if name != gateway.options.name {
            put_peer(gateway, &keys.peers, name, value);
        }
    }
}

fn put_peer(gateway: &Gateway, peers: &PeerDirectory, name: &str, value: Option<Vec<u8>>) {
    let Some(value) = value else {
        peers.remove(name);
        return;
    };
    match serde_json::from_slice::<PeerRecord>(&value) {
        Ok(record) => {
            let address = record.address;
            if peers.put(name, record, gateway.now()) {
                tracing::info!(peer = name, %address, "peer");
            }
        }
        Err(error) => tracing::warn!(peer = name, %error, "record of a peer can't be read"),
    }
}
