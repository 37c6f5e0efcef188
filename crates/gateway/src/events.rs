//! Follows the key-value service: the configuration, the servers and the other
//! daemons.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use gooseberry_core::serving::fleet::EntryEffect;
use gooseberry_platform::{
    configuration, servers,
    store::{StoreChange, StoreClient, StoreFault, StoreNews, StoreSubject},
};
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    peers::{self, PeerDirectory},
    steward::{self, StewardSeat},
};

/// Time for which a watch waits for news. With the slack it bounds the time in
/// which a silent connection is noticed, within the 2.5 s that a configuration
/// may take.
const WATCH_SPAN: Duration = Duration::from_millis(1500);
/// Time beyond the wait after which the answer of a watch is late.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Longest time for a read of all keys.
const READ_LIMIT: Duration = Duration::from_millis(1500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What is told of this system's own keys.
#[derive(Clone, Debug, Default)]
pub struct OwnKeys {
    pub peers: Arc<PeerDirectory>,
    pub seat: Arc<StewardSeat>,
}

/// Follows the key-value service for as long as the process runs.
pub async fn follow(gateway: Arc<Gateway>, keys: OwnKeys) {
    let mut client = StoreClient::new(gateway.options.store);
    let mut revision = None;
    loop {
        let news = match revision {
            None => client.read_all(READ_LIMIT).await,
            Some(revision) => client.watch(revision, WATCH_SPAN, WATCH_SLACK).await,
        };
        match news {
            Ok(news) => {
                note_contact(&gateway);
                if revision.is_none() {
                    remove_missing(&gateway, &news);
                }
                // A read may come from a replica that lags; what is known stays.
                revision = Some(news.revision.max(revision.unwrap_or(0)));
                for change in news.changes {
                    apply(&gateway, &keys, change);
                }
                note_ready(&gateway);
            }
            Err(fault) => {
                note_fault(&gateway, &fault);
                if matches!(fault, StoreFault::Compacted(_)) {
                    revision = None;
                } else {
                    gateway.clock.sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

fn note_contact(gateway: &Gateway) {
    gateway.metrics.store_calls.with_label_values(&["answered"]).inc();
    let now = gateway.now();
    let mut state = gateway.state.lock();
    if state.fleet.contact.is_lost() {
        state.fleet.store_regained(now);
        tracing::info!("key-value service answers again");
    }
}

fn note_fault(gateway: &Gateway, fault: &StoreFault) {
    gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
    if matches!(fault, StoreFault::Compacted(_)) {
        tracing::info!(%fault, "history lost; all keys are read again");
        return;
    }
    let now = gateway.now();
    if gateway.state.lock().fleet.contact.lost(now) {
        tracing::warn!(%fault, "key-value service doesn't answer");
    }
}

fn note_ready(gateway: &Gateway) {
    if !gateway.is_ready() && gateway.state.lock().configuration.is_some() {
        gateway.set_ready();
    }
}

/// Takes the servers that a read of all keys doesn't name as missing.
fn remove_missing(gateway: &Gateway, news: &StoreNews) {
    let named: HashSet<&SmolStr> = news
        .changes
        .iter()
        .filter_map(|change| match &change.subject {
            StoreSubject::Server(id) => Some(id),
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

fn apply(gateway: &Gateway, keys: &OwnKeys, change: StoreChange) {
    let revision = change.revision;
    match (change.subject, change.value) {
        (StoreSubject::Configuration, Some(text)) => put_configuration(gateway, &text, revision),
        (StoreSubject::Configuration, None) => {
            tracing::warn!(revision, "configuration is missing; the one in force stays");
        }
        (StoreSubject::Server(id), Some(text)) => put_server(gateway, &id, &text, revision),
        (StoreSubject::Server(id), None) => remove_server(gateway, &id, revision),
        (StoreSubject::Own(key), value) => put_own(gateway, keys, &key, value),
        (StoreSubject::Other, _) => {}
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

fn put_own(gateway: &Gateway, keys: &OwnKeys, key: &SmolStr, value: Option<Vec<u8>>) {
    if key == steward::KEY {
        keys.seat.set(value.map(|name| String::from_utf8_lossy(&name).into_owned()));
    } else if let Some(name) = key.strip_prefix(peers::KEY_PREFIX) {
        if name != gateway.options.name {
            put_peer(&keys.peers, name, value);
        }
    }
}

fn put_peer(peers: &PeerDirectory, name: &str, value: Option<Vec<u8>>) {
    match value {
        None => peers.remove(name),
        Some(value) => {
            let address = std::str::from_utf8(&value).ok().and_then(|text| text.parse().ok());
            match address {
                Some(address) => put_address(peers, name, address),
                None => tracing::warn!(peer = name, "address of a peer can't be read"),
            }
        }
    }
}

fn put_address(peers: &PeerDirectory, name: &str, address: SocketAddr) {
    if peers.put(name, address) {
        tracing::info!(peer = name, %address, "peer");
    }
}
