//! Applies the keys that a watch or a read of the key-value service returned.

use std::{collections::HashSet, sync::Arc};

use async_std::task;
use gooseberry_core::serving::{
    accounts::AccountTable, directory::ServerEntry, fleet::EntryEffect,
};
use gooseberry_platform::{
    configuration, servers,
    store::{StoreChange, StoreKey, StoreUpdate},
};
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    leader::{self, FirstEraRecord, LeaderKey},
    peers::{self, PeerDirectory, PeerRecord},
    store_watch::GatewayKeys,
    stored_evidence,
};

/// Records the servers as missing whose entries a read of all keys didn't return.
pub(super) fn remove_missing_servers(gateway: &Gateway, update: &StoreUpdate) {
    let listed: HashSet<&SmolStr> = update
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
    for id in known.iter().filter(|id| !listed.contains(id)) {
        remove_server(gateway, id, update.revision.number);
    }
}

/// Records that the keys of other daemons and the leader are missing that a read of all keys didn't return.
pub(super) fn remove_missing_keys(gateway: &Gateway, keys: &GatewayKeys, update: &StoreUpdate) {
    let own_keys = update.changes.iter().filter_map(|change| match &change.subject {
        StoreKey::Own(key) => Some(key.as_str()),
        _ => None,
    });
    let listed: HashSet<&str> = own_keys.collect();
    if !listed.contains(leader::KEY) {
        keys.leader.set_holder(None);
    }
    if !listed.contains(leader::FIRST_ERA_KEY) {
        keys.leader.set_first_era(None);
    }
    let listed_peers = listed.iter().filter_map(|key| key.strip_prefix(peers::KEY_PREFIX));
    let listed_peers: HashSet<&str> = listed_peers.collect();
    keys.peers.record_missing_except(&listed_peers, gateway.now());
    if !listed_peers.contains(gateway.options.name.as_str()) {
        gateway.record_lost_registration();
    }
}

/// Applies a change. `is_restored` states whether the key-value service may have it from the copy from
/// which it came back.
pub(super) fn apply(
    gateway: &Arc<Gateway>,
    keys: &GatewayKeys,
    change: StoreChange,
    is_restored: bool,
) {
    let revision = change.revision;
    match (change.subject, change.value) {
        (StoreKey::Configuration, Some(text)) => put_configuration(gateway, &text, revision),
        (StoreKey::Configuration, None) => {
            tracing::warn!(revision, "configuration is missing; keeping the current one");
        }
        (StoreKey::Server(id), Some(text)) if is_restored => {
            put_restored_server(gateway, &id, &text, revision);
        }
        (StoreKey::Server(id), Some(text)) => put_server(gateway, &id, &text, revision),
        (StoreKey::Server(id), None) => remove_server(gateway, &id, revision),
        (StoreKey::Own(key), value) => apply_own_key(gateway, keys, &key, value, is_restored),
        (StoreKey::Other, _) => {}
    }
}

fn put_configuration(gateway: &Gateway, text: &[u8], revision: u64) {
    let mut configuration = match configuration::decode(text) {
        Ok(configuration) => configuration,
        Err(fault) => {
            tracing::warn!(%fault, revision, "configuration can't be decoded; keeping the current one");
            return;
        }
    };
    let version = configuration.version;
    // The table is built before the state is locked, since it may have tens of thousands of digests.
    let table = AccountTable::new(&configuration.accounts, gateway.key_secret());
    for account in &mut configuration.accounts {
        account.keys = Vec::new();
    }
    let accounts = table.accounts().len();
    let has_changed = {
        let mut state = gateway.state.lock();
        let has_changed = state.put_configuration(configuration);
        if has_changed {
            state.accounts.table = Arc::new(table);
        }
        has_changed
    };
    if has_changed {
        gateway.metrics.version.set(version as i64);
        tracing::info!(version, revision, accounts, "configuration in force");
    }
}

fn put_restored_server(gateway: &Gateway, id: &SmolStr, text: &[u8], revision: u64) {
    let is_outdated = servers::decode(id, text).is_ok_and(|entry| {
        let mut state = gateway.state.lock();
        state.hold_outdated_server(entry, gateway.now())
    });
    if is_outdated {
        tracing::info!(server = %id, revision, "restored server entry is older than what is known; waiting for the server to write it again");
    } else {
        put_server(gateway, id, text, revision);
    }
}

fn put_server(gateway: &Gateway, id: &SmolStr, text: &[u8], revision: u64) {
    let fault = match servers::decode(id, text) {
        Ok(entry) if !gateway.state.lock().fleet.lacks_start(&entry) => {
            return put_entry(gateway, entry, revision);
        }
        Ok(_) => {
            "it doesn't state when the server started, which the server itself does".to_owned()
        }
        Err(fault) => fault.to_string(),
    };
    let was_used = gateway.state.lock().reject_server(id, gateway.now());
    tracing::warn!(server = %id, revision, fault, was_used, "server entry can't be decoded; it names no server to use");
}

fn put_entry(gateway: &Gateway, entry: ServerEntry, revision: u64) {
    let (id, stage, is_draining) = (entry.id.clone(), entry.stage, entry.is_draining);
    let software = entry.software.clone();
    let now = gateway.now();
    let mut state = gateway.state.lock();
    let was_missing = state.is_entry_missing(&id);
    let effect = state.put_server(entry, now);
    drop(state);
    if effect == EntryEffect::Outdated {
        tracing::info!(server = %id, revision, %software, "server entry is older than what is known of the server; ignoring it");
        return;
    }
    if was_missing {
        tracing::info!(server = %id, revision, %effect, "server entry came back");
    }
    if effect != EntryEffect::Unchanged {
        tracing::info!(server = %id, revision, %effect, %stage, %software, is_draining, "server entry updated");
    }
}

fn remove_server(gateway: &Gateway, id: &SmolStr, revision: u64) {
    let now = gateway.now();
    let presence = gateway.state.lock().remove_server(id, now);
    if let Some(presence) = presence {
        tracing::info!(server = %id, revision, ?presence, "server entry is missing");
    }
}

fn apply_own_key(
    gateway: &Arc<Gateway>,
    keys: &GatewayKeys,
    key: &SmolStr,
    value: Option<Vec<u8>>,
    is_restored: bool,
) {
    if key == leader::KEY {
        keys.leader.set_holder(value.map(|name| String::from_utf8_lossy(&name).into_owned()));
    } else if key == leader::FIRST_ERA_KEY {
        put_first_era(gateway, &keys.leader, value);
    } else if let Some(part) = key.strip_prefix(stored_evidence::VERDICT_PREFIX) {
        // A verdict whose lease has expired stays in force until its sentence ends.
        if let Some(value) = value {
            stored_evidence::apply_verdict(gateway, &part.into(), &value, is_restored);
        }
    } else if let Some(name) = key.strip_prefix(peers::KEY_PREFIX) {
        if name != gateway.options.name {
            put_peer(gateway, &keys.peers, name, value);
        } else if value.is_some_and(|value| is_own_registration(gateway, &value)) {
            gateway.clear_lost_registration();
        } else {
            gateway.record_lost_registration();
        }
    }
}

/// Returns whether a registration is that of this process. A write of an earlier one may be carried out
/// late, with the token of then.
fn is_own_registration(gateway: &Gateway, value: &[u8]) -> bool {
    let record = serde_json::from_slice::<PeerRecord>(value);
    record.is_ok_and(|record| record.daemon == gateway.daemon && record.token == gateway.peer_token)
}

fn put_first_era(gateway: &Arc<Gateway>, leader_key: &LeaderKey, value: Option<Vec<u8>>) {
    let record = value.map(|value| serde_json::from_slice::<FirstEraRecord>(&value)).transpose();
    let stored = match record {
        Ok(record) => record.map(|record| record.first_era),
        Err(error) => {
            tracing::warn!(%error, "first era of the fencing tokens can't be decoded");
            None
        }
    };
    if let Some(earlier) = leader_key.set_first_era(stored) {
        let gateway = Arc::clone(gateway);
        task::spawn(async move { leader::correct_first_era(&gateway, earlier).await });
    }
}

/// Applies the crashes of requests under suspicion that daemons before this one have stored.
pub(super) fn restore_suspects(gateway: &Gateway, changes: &[StoreChange]) {
    for change in changes {
        if let (StoreKey::Own(key), Some(value)) = (&change.subject, &change.value) {
            stored_evidence::restore_suspect(gateway, key, value);
        }
    }
}

fn put_peer(gateway: &Gateway, peers: &PeerDirectory, name: &str, value: Option<Vec<u8>>) {
    let Some(value) = value else {
        peers.record_missing(name, gateway.now());
        return;
    };
    match serde_json::from_slice::<PeerRecord>(&value) {
        Ok(record) => {
            let address = record.address;
            if peers.put(name, record, gateway.now()) {
                tracing::info!(peer = name, %address, "peer address updated");
            }
        }
        Err(error) => tracing::warn!(peer = name, %error, "peer record can't be decoded"),
    }
}
