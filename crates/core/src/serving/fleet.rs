//! The backend servers with all that is known of each.

use std::collections::HashMap;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    arena::{Arena, EngineKey},
    serving::{
        backlog::{PendingPrefill, PrefillBacklog, SendId},
        directory::{EngineStage, ServerEntry, ServerPresence, StoreConnectivity},
        health::EngineHealth,
        prefix_index::PrefixIndex,
    },
    time::Timestamp,
};

/// Prompt tokens a millisecond of a prefill engine before any is measured.
const PREFILL_SPEED: f64 = 40.0;
/// The same of an engine that also decodes.
const DECODE_SPEED: f64 = 20.0;
/// Bounds of a sample, as a part of the speed learned before.
const SAMPLE_BOUNDS: (f64, f64) = (0.5, 1.6);
/// Weight of the newest sample in the learned speed of its engine.
const SPEED_WEIGHT: f64 = 0.35;
/// Weight of the newest sample in the speed of all engines of its kind.
const KIND_WEIGHT: f64 = 0.1;
/// Prompt tokens below which a first event tells nothing of the speed.
const LEAST_SAMPLE_TOKENS: u32 = 800;

/// Holds what is known of one backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    pub entry: ServerEntry,
    pub presence: ServerPresence,
    pub backlog: PrefillBacklog,
    pub prefix_index: PrefixIndex,
    pub health: EngineHealth,
    /// Whether the KV caches that it exports can be had.
    pub export_health: EngineHealth,
    /// Requests of this daemon that haven't ended.
    pub running: u32,
    /// Requests of other daemons that haven't ended, as they last said.
    pub peer_running: HashMap<u64, u32>,
    speed: Option<f64>,
    /// Speed of the engines of its service and stage, as far as it is known.
    kind_speed: Option<f64>,
}

impl ServerState {
    fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            presence: ServerPresence::Present,
            backlog: PrefillBacklog::default(),
            prefix_index: PrefixIndex::default(),
            health: EngineHealth::default(),
            export_health: EngineHealth::default(),
            running: 0,
            peer_running: HashMap::new(),
            speed: None,
            kind_speed: None,
        }
    }

    /// Returns the prompt tokens that are read in a millisecond.
    pub fn prefill_speed(&self) -> f64 {
        self.speed.or(self.kind_speed).unwrap_or(match self.entry.stage {
            EngineStage::Prefill | EngineStage::Mixed => PREFILL_SPEED,
            EngineStage::Decode => DECODE_SPEED,
        })
    }

    /// Returns the requests that run here, by all daemons.
    pub fn requests(&self) -> u32 {
        self.running + self.peer_running.values().sum::<u32>()
    }

    /// Tells whether new requests may be sent here.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.presence.is_usable(now) && !self.entry.is_draining && self.health.is_available(now)
    }

    /// Returns the milliseconds until a new prompt is begun here.
    pub fn wait_ms(&self, now: Timestamp) -> f64 {
        self.backlog.tokens_ahead(self.prefill_speed(), now) / self.prefill_speed()
    }

    /// Learns from a prompt that was read in `prefill_ms`; returns the sample
    /// that it took, in tokens a millisecond.
    fn record_speed(&mut self, tokens: u32, prefill_ms: f64) -> Option<f64> {
        if tokens < LEAST_SAMPLE_TOKENS || prefill_ms <= 0.0 {
            return None;
        }
        let old = self.prefill_speed();
        let sample = f64::from(tokens) / prefill_ms;
        let sample = sample.clamp(old * SAMPLE_BOUNDS.0, old * SAMPLE_BOUNDS.1);
        self.speed = Some(old + (sample - old) * SPEED_WEIGHT);
        Some(sample)
    }

    fn restart(&mut self) {
        self.backlog = PrefillBacklog::default();
        self.prefix_index.clear();
        self.health = EngineHealth::default();
        self.export_health = EngineHealth::default();
        self.speed = None;
    }
}

/// Says what an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EntryEffect {
    Added,
    Restarted,
    Draining,
    StageChanged,
    Unchanged,
    Updated,
}

/// Returns the hash by which daemons name a server to each other.
pub fn server_hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// Holds all backend servers. Keys stay valid for as long as the process runs.
#[derive(Clone, Debug, Default)]
pub struct ServerFleet {
    servers: Arena<EngineKey, ServerState>,
    by_hash: HashMap<u64, EngineKey>,
    /// Learned speeds of the engines of a service in a stage, for those that
    /// haven't been measured themselves.
    kind_speeds: HashMap<(SmolStr, EngineStage), f64>,
    pub connectivity: StoreConnectivity,
}

impl ServerFleet {
    /// Takes in an entry that stands in the key-value service.
    pub fn put(&mut self, entry: ServerEntry) -> EntryEffect {
        let hash = server_hash(&entry.id);
        let kind_speed = self.kind_speeds.get(&(entry.service.clone(), entry.stage)).copied();
        let Some(key) = self.by_hash.get(&hash).copied() else {
            let mut state = ServerState::new(entry);
            state.kind_speed = kind_speed;
            let key = self.servers.push(state);
            self.by_hash.insert(hash, key);
            return EntryEffect::Added;
        };
        let state = &mut self.servers[key];
        let was_gone = state.presence == ServerPresence::Gone;
        let old = std::mem::replace(&mut state.entry, entry);
        state.kind_speed = kind_speed;
        state.presence = ServerPresence::Present;
        let entry = &state.entry;
        if was_gone || old.started_at_ms != entry.started_at_ms || old.address != entry.address {
            state.restart();
            return EntryEffect::Restarted;
        }
        if old.stage != entry.stage {
            state.speed = None;
            return EntryEffect::StageChanged;
        }
        if !old.is_draining && entry.is_draining {
            return EntryEffect::Draining;
        }
        if old == *entry {
            EntryEffect::Unchanged
        } else {
            EntryEffect::Updated
        }
    }

    /// Notes that an entry is missing; returns what that means, if it is news.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> Option<ServerPresence> {
        let key = self.key(id)?;
        let meaning = self.connectivity.missing_entry_presence(now);
        let state = &mut self.servers[key];
        match state.presence {
            ServerPresence::Present => {
                state.presence = meaning;
                Some(meaning)
            }
            ServerPresence::Lapsed { .. } | ServerPresence::Gone => None,
        }
    }

    /// Moves the end of lapsed entries to the time that their servers have
    /// after an outage.
    pub fn record_store_recovery(&mut self, now: Timestamp) {
        if self.connectivity.record_success(now).is_none() {
            return;
        }
        let meaning = self.connectivity.missing_entry_presence(now);
        for key in self.keys() {
            let state = &mut self.servers[key];
            if matches!(state.presence, ServerPresence::Lapsed { .. }) {
                state.presence = meaning;
            }
        }
    }

    /// Finds a server by its id.
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.by_hash.get(&server_hash(id)).copied()
    }

    /// Finds a server by the hash of its id.
    pub fn key_by_hash(&self, hash: u64) -> Option<EngineKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns a server.
    pub fn server(&self, key: EngineKey) -> &ServerState {
        &self.servers[key]
    }

    /// Returns a server to be changed.
    pub fn server_mut(&mut self, key: EngineKey) -> &mut ServerState {
        &mut self.servers[key]
    }

    /// Visits all servers.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &ServerState)> {
        self.servers.iter()
    }

    /// Returns the keys of all servers.
    pub fn keys(&self) -> Vec<EngineKey> {
        self.servers.iter().map(|(key, _)| key).collect()
    }

    /// Visits the servers of a service that may get new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a SmolStr,
        now: Timestamp,
    ) -> impl Iterator<Item = (EngineKey, &'a ServerState)> {
        self.iter()
            .filter(move |(_, state)| state.entry.service == *service && state.is_usable(now))
    }

    /// Notes that a prompt is sent to a server to be read.
    pub fn begin_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        read: PendingPrefill,
        kv_tokens: u64,
        now: Timestamp,
    ) {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        if state.entry.stage == EngineStage::Decode {
            state.backlog.record_interleaved(read.tokens, speed, now);
        }
        state.prefix_index.insert(&read.prompt, kv_tokens);
        state.backlog.add(send_id, read, speed, now);
    }

    /// Notes that a prompt was read; returns whether that is news. The engine
    /// that takes over its KV cache keeps the parts too.
    pub fn complete_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        kv_tokens: u64,
        now: Timestamp,
    ) -> bool {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        let Some(read) = state.backlog.remove(send_id, speed, now) else {
            return false;
        };
        state.prefix_index.mark_computed(&read.prompt);
        if let Some(writer) = read.decode_engine {
            let parts = &mut self.servers[writer].prefix_index;
            parts.insert(&read.prompt, kv_tokens);
            parts.mark_computed(&read.prompt);
        }
        true
    }

    /// Notes that a prompt won't be read; returns whether that is news.
    pub fn abandon_prefill(&mut self, key: EngineKey, send_id: SendId, now: Timestamp) -> bool {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        let Some(read) = state.backlog.remove(send_id, speed, now) else {
            return false;
        };
        let backlog = &state.backlog;
        state.prefix_index.remove_uncomputed(&read.prompt, |key| backlog.has_pending_part(key));
        true
    }

    /// Learns the speed of an engine from a prompt that it read in `prefill_ms`
    /// without another one ahead and without guesses on cached shared parts.
    pub fn record_speed(&mut self, key: EngineKey, tokens: u32, prefill_ms: f64) {
        let state = &mut self.servers[key];
        let old = state.prefill_speed();
        let Some(sample) = state.record_speed(tokens, prefill_ms) else {
            return;
        };
        let kind = (state.entry.service.clone(), state.entry.stage);
        let learned = self.kind_speeds.entry(kind.clone()).or_insert(old);
        *learned += (sample - *learned) * KIND_WEIGHT;
        let learned = *learned;
        for key in self.keys() {
            let state = &mut self.servers[key];
            if state.entry.service == kind.0 && state.entry.stage == kind.1 {
                state.kind_speed = Some(learned);
            }
        }
    }
}
