//! The backend servers and their state as known to this daemon.
//!
//! The servers of plain services are kept in the same table as engines. Their prefill state stays
//! empty.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    arena::{Arena, EngineKey},
    serving::{
        backlog::{PendingPrefill, PrefillBacklog, SendId},
        directory::{EngineStage, ServerEntry, ServerPresence, StoreConnectivity},
        fleet::pacing::FleetPacing,
        health::EngineHealth,
        pace::ServerPace,
        part_evidence::EngineIncarnation,
        prefix_index::PrefixIndex,
        rate::EventRate,
        request_limit::RequestLimit,
    },
    time::Timestamp,
};

mod pacing;

/// Prefill speed of a prefill or mixed engine until one is measured, in tokens per millisecond.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Prefill speed of a decode engine until one is measured, in tokens per millisecond.
const DEFAULT_DECODE_TOKENS_PER_MS: f64 = 20.0;
/// Bounds of a speed sample, as factors of the current speed.
const SAMPLE_BOUNDS: (f64, f64) = (0.5, 1.6);
/// Weight of the newest sample in the moving average of an engine's speed.
const SPEED_WEIGHT: f64 = 0.35;
/// Weight of the newest sample in the moving average of all engines of the same service and stage.
const GROUP_SPEED_WEIGHT: f64 = 0.1;
/// Work of a prefill, in the unit of `PromptShape::prefill_work`, below which its duration is no
/// usable speed sample.
const MIN_SAMPLE_TOKENS: u32 = 800;
/// Shortest duration of a prefill in a speed sample: times are measured in milliseconds.
const MIN_SAMPLE_MS: f64 = 1.0;
/// Prefill speed of a prefill engine as a multiple of that of a decode engine.
const PREFILL_STAGE_FACTOR: f64 = 2.0;

/// State of one backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    pub entry: ServerEntry,
    pub presence: ServerPresence,
    pub backlog: PrefillBacklog,
    pub prefix_index: PrefixIndex,
    pub health: EngineHealth,
    /// Availability of the KV caches that the engine exports.
    pub export_health: EngineHealth,
    /// Whether the server has said in a response that it leaves.
    pub is_leaving: bool,
    /// Time until which the server has asked this daemon for quiet.
    pub quiet_until: Timestamp,
    /// Rate of requests that the server takes.
    pub request_limit: RequestLimit,
    /// Time of this daemon's last new connection to the server, or response from it.
    pub reached_at: Option<Timestamp>,
    /// Time of this daemon's last response from the server.
    pub responded_at: Option<Timestamp>,
    /// Unfinished requests that this daemon has sent to the server.
    pub running: u32,
    /// Unfinished requests of each other daemon, as of its last summary. The key is the hash of the
    /// daemon's name and incarnation.
    pub peer_running: HashMap<u64, u32>,
    /// Work that the server may have in flight after it has started or recovered.
    pub pace: ServerPace,
    /// Measured prefill speed, in tokens per millisecond.
    speed: Option<f64>,
    /// Number of samples in the speed.
    speed_samples: u32,
    /// Average prefill speed of the engines of the same service and stage, in tokens per
    /// millisecond. If none is measured, it follows from that of the other stage.
    group_speed: Option<f64>,
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
            is_leaving: false,
            quiet_until: Timestamp::default(),
            request_limit: RequestLimit::default(),
            reached_at: None,
            responded_at: None,
            running: 0,
            peer_running: HashMap::new(),
            pace: ServerPace::default(),
            speed: None,
            speed_samples: 0,
            group_speed: None,
        }
    }

    /// Returns the prefill speed, in tokens per millisecond.
    pub fn prefill_speed(&self) -> f64 {
        self.speed.or(self.group_speed).unwrap_or(match self.entry.stage {
            EngineStage::Prefill | EngineStage::Mixed => DEFAULT_PREFILL_TOKENS_PER_MS,
            EngineStage::Decode => DEFAULT_DECODE_TOKENS_PER_MS,
        })
    }

    /// Returns the number of unfinished requests at this server, of all daemons.
    pub fn requests(&self) -> u32 {
        self.running + self.peer_running.values().sum::<u32>()
    }

    /// Returns whether the server leaves, by its entry or by what it says itself.
    pub fn is_departing(&self) -> bool {
        self.entry.is_draining || self.is_leaving
    }

    /// Returns whether new requests may be sent to this server.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.is_open(now) && !self.is_quiet(now)
    }

    /// Returns whether the server has asked this daemon for quiet.
    pub fn is_quiet(&self, now: Timestamp) -> bool {
        now < self.quiet_until
    }

    /// Returns whether new requests may be sent to this server once the quiet that it asked for has
    /// ended.
    fn is_open(&self, now: Timestamp) -> bool {
        self.presence.is_usable(now) && !self.is_departing() && self.health.is_available(now)
    }

    /// Returns the time until this server may get a request, by the quiet that it asked for and by
    /// its request limit.
    fn time_to_request(&self, now: Timestamp) -> Duration {
        self.quiet_until.since(now).max(self.request_limit.time_to_token(now))
    }

    /// Returns whether a new request may be sent to this server now, also by its request limit.
    pub fn accepts_request(&self, now: Timestamp) -> bool {
        self.is_usable(now) && self.request_limit.has_token(now)
    }

    /// Returns the estimated time until the prefill of a new prompt starts, in milliseconds.
    pub fn wait_ms(&self, now: Timestamp) -> f64 {
        self.backlog.tokens_ahead(self.prefill_speed(), now) / self.prefill_speed()
    }

    /// Updates the speed with a prefill that took `prefill_ms`. Returns the sample after clamping,
    /// in tokens per millisecond, or none if the prefill is no usable sample. A first sample may
    /// exceed the assumed speed by any factor. It may not fall far below it: one delayed prefill would
    /// make all engines seem too slow to be sent any further one.
    ///
    /// `is_quick` lets the first samples count more than later ones, so that an engine that differs
    /// from its group is known after a few.
    fn record_speed(&mut self, tokens: u32, prefill_ms: f64, is_quick: bool) -> Option<f64> {
        if tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let sample = f64::from(tokens) / prefill_ms.max(MIN_SAMPLE_MS);
        let old = self.prefill_speed();
        if self.speed.or(self.group_speed).is_none() {
            let sample = sample.max(old * SAMPLE_BOUNDS.0);
            self.speed = Some(sample);
            self.speed_samples = 1;
            return Some(sample);
        }
        let sample = sample.clamp(old * SAMPLE_BOUNDS.0, old * SAMPLE_BOUNDS.1);
        let mean_weight = 1.0 / f64::from(self.speed_samples.saturating_add(1));
        let weight = if is_quick { mean_weight.max(SPEED_WEIGHT) } else { SPEED_WEIGHT };
        self.speed = Some(old + (sample - old) * weight);
        self.speed_samples = self.speed_samples.saturating_add(1);
        Some(sample)
    }

    /// Resets the state that a restart of the server makes invalid.
    fn restart(&mut self) {
        self.backlog = PrefillBacklog::default();
        self.prefix_index.clear();
        self.health = EngineHealth::default();
        self.export_health = EngineHealth::default();
        self.is_leaving = false;
        self.quiet_until = Timestamp::default();
        self.request_limit = RequestLimit::default();
        self.reached_at = None;
        self.responded_at = None;
        self.forget_speed();
    }

    fn forget_speed(&mut self) {
        self.speed = None;
        self.speed_samples = 0;
    }
}

/// What a new entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EntryEffect {
    Added,
    /// The server has a new start time or address, or was gone before and doesn't state when it
    /// started.
    Restarted,
    /// The server started draining.
    Draining,
    StageChanged,
    Unchanged,
    /// Another field changed.
    Updated,
    /// The entry is older than what is known of the server, which stays as it is.
    Outdated,
}

/// Why an entry is older than what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutdatedEntry {
    /// The server has started again since.
    EarlierStart,
    /// The server has written its entry again since, in the same start.
    EarlierWrite,
    /// The entry of this start was removed.
    Removed,
}

/// Returns the key of a server's present incarnation.
pub fn incarnation(entry: &ServerEntry) -> EngineIncarnation {
    let started_at = entry.started_at_ms.unwrap_or_default().to_be_bytes();
    EngineIncarnation(xxh3::xxh3_64_with_seed(&started_at, server_hash(&entry.id)))
}

/// Returns the hash that identifies a server in the updates between daemons.
pub fn server_hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// All backend servers. Keys stay valid for as long as the process runs.
#[derive(Clone, Debug)]
pub struct ServerFleet {
    servers: Arena<EngineKey, ServerState>,
    by_hash: HashMap<u64, EngineKey>,
    /// Average prefill speed per service and stage, in tokens per millisecond. Used for engines
    /// that haven't been measured.
    group_speeds: HashMap<(SmolStr, EngineStage), f64>,
    /// Prefill work of each service that all daemons send, in milliseconds of a prefill engine.
    prefill_loads: HashMap<SmolStr, EventRate>,
    pub connectivity: StoreConnectivity,
    /// Share of the daemons that this one hears, from 0 to 1, for servers that are added.
    daemon_share: f64,
    /// Present if servers that have started or recovered are paced.
    pacing: Option<FleetPacing>,
}

impl Default for ServerFleet {
    fn default() -> Self {
        Self {
            servers: Arena::default(),
            by_hash: HashMap::new(),
            group_speeds: HashMap::new(),
            prefill_loads: HashMap::new(),
            connectivity: StoreConnectivity::default(),
            daemon_share: 1.0,
            pacing: None,
        }
    }
}

impl ServerFleet {
    /// Adds or updates a server from its entry in the key-value service, which isn't
    /// [outdated](Self::outdated). A server that was draining stays so until it starts again.
    pub fn put(&mut self, mut entry: ServerEntry) -> EntryEffect {
        let hash = server_hash(&entry.id);
        let group_speed = self.group_speed(&entry.service, entry.stage);
        let Some(key) = self.by_hash.get(&hash).copied() else {
            let mut state = ServerState::new(entry);
            state.group_speed = group_speed;
            state.request_limit.set_share(self.daemon_share, Timestamp::default());
            let key = self.servers.push(state);
            self.by_hash.insert(hash, key);
            return EntryEffect::Added;
        };
        let state = &mut self.servers[key];
        // A write from before it was draining may be carried out later.
        let is_same_start = state.entry.is_same_start(&entry);
        entry.is_draining |= state.entry.is_draining && is_same_start;
        let was_gone = state.presence == ServerPresence::Gone;
        let old = std::mem::replace(&mut state.entry, entry);
        state.group_speed = group_speed;
        state.presence = ServerPresence::Present;
        let entry = &state.entry;
        // What a server has said stays true until it starts again, although its entry was missing.
        let has_restarted =
            old.started_at_ms != entry.started_at_ms || old.address != entry.address;
        if has_restarted || (was_gone && !is_same_start) {
            state.restart();
            state.request_limit.set_share(self.daemon_share, Timestamp::default());
            return EntryEffect::Restarted;
        }
        if old.stage != entry.stage {
            state.forget_speed();
            return EntryEffect::StageChanged;
        }
        if !old.is_draining && entry.is_draining {
            return EntryEffect::Draining;
        }
        if (ServerEntry { sequence: entry.sequence, ..old }) == *entry {
            EntryEffect::Unchanged
        } else {
            EntryEffect::Updated
        }
    }

    /// Returns whether an entry doesn't state when its server started, although the server states it. Then
    /// another writer has left the entry.
    pub fn lacks_start(&self, entry: &ServerEntry) -> bool {
        let known = self.key(&entry.id).and_then(|key| self.servers[key].entry.started_at_ms);
        known.is_some() && entry.started_at_ms.is_none()
    }

    /// Returns why an entry is older than what is known of its server, or none if it isn't.
    pub fn outdated(&self, entry: &ServerEntry) -> Option<OutdatedEntry> {
        let server = &self.servers[self.key(&entry.id)?];
        let starts = server.entry.started_at_ms.zip(entry.started_at_ms);
        if starts.is_some_and(|(known, other)| other < known) {
            return Some(OutdatedEntry::EarlierStart);
        }
        if !server.entry.is_same_start(entry) {
            return None;
        }
        if entry.sequence < server.entry.sequence {
            return Some(OutdatedEntry::EarlierWrite);
        }
        (server.presence == ServerPresence::Gone).then_some(OutdatedEntry::Removed)
    }

    /// Records that an entry is missing. Returns the new presence of the server if it changed.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> Option<ServerPresence> {
        let key = self.key(id)?;
        let presence = self.connectivity.missing_entry_presence(now);
        let state = &mut self.servers[key];
        match state.presence {
            ServerPresence::Present => {
                state.presence = presence;
                Some(presence)
            }
            ServerPresence::Lapsed { .. } | ServerPresence::Gone => None,
        }
    }

    /// Records that an entry names no server to use. Returns whether the server wasn't gone before.
    pub fn reject(&mut self, id: &str) -> bool {
        let Some(key) = self.key(id) else {
            return false;
        };
        let old = std::mem::replace(&mut self.servers[key].presence, ServerPresence::Gone);
        old != ServerPresence::Gone
    }

    /// Records a response of the key-value service, or of a relay, that has all changes up to
    /// `listed_at`. Returns whether it ends an outage. The time for which a missing entry is used runs
    /// from when it was first found missing, whatever outages follow.
    pub fn record_store_response(&mut self, listed_at: Timestamp, now: Timestamp) -> bool {
        self.connectivity.record_success(listed_at, now)
    }

    /// Records the servers as gone whose entries didn't come back in time. Returns their keys.
    pub fn give_up_missing(&mut self, now: Timestamp) -> Vec<EngineKey> {
        let is_late = |state: &ServerState| match state.presence {
            ServerPresence::Lapsed { until } => now >= until,
            ServerPresence::Present | ServerPresence::Gone => false,
        };
        let late: Vec<EngineKey> =
            self.iter().filter(|(_, state)| is_late(state)).map(|(key, _)| key).collect();
        for key in &late {
            self.servers[*key].presence = ServerPresence::Gone;
        }
        late
    }

    /// Finds a server by its id.
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.by_hash.get(&server_hash(id)).copied()
    }

    /// Finds a server by the hash of its id.
    pub fn key_by_hash(&self, hash: u64) -> Option<EngineKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the state of a server.
    pub fn server(&self, key: EngineKey) -> &ServerState {
        &self.servers[key]
    }

    /// Returns the mutable state of a server.
    pub fn server_mut(&mut self, key: EngineKey) -> &mut ServerState {
        &mut self.servers[key]
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &ServerState)> {
        self.servers.iter()
    }

    /// Returns the keys of all servers.
    pub fn keys(&self) -> Vec<EngineKey> {
        self.servers.iter().map(|(key, _)| key).collect()
    }

    /// Iterates over the servers of a service that may get new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a SmolStr,
        now: Timestamp,
    ) -> impl Iterator<Item = (EngineKey, &'a ServerState)> {
        self.iter()
            .filter(move |(_, state)| state.entry.service == *service && state.is_usable(now))
    }

    /// Iterates over the servers of a service that may get a new request now, also by their request
    /// limits.
    pub fn accepting<'a>(
        &'a self,
        service: &'a SmolStr,
        now: Timestamp,
    ) -> impl Iterator<Item = (EngineKey, &'a ServerState)> {
        self.usable(service, now).filter(move |(_, state)| state.request_limit.has_token(now))
    }

    /// Returns the shortest time until one of a service's servers may get a request that its limit
    /// or its quiet holds back now, and the rate at which all daemons together may send to these, per
    /// second. Returns none if there is no such server.
    pub fn request_wait(&self, service: &SmolStr, now: Timestamp) -> Option<(Duration, f64)> {
        let held_back = self.iter().filter(|(_, state)| {
            state.entry.service == *service && state.is_open(now) && !state.accepts_request(now)
        });
        held_back.fold(None, |shortest, (_, state)| {
            let (wait, sum) = shortest.unwrap_or((Duration::MAX, 0.0));
            let per_second = state.request_limit.sent_per_second();
            Some((wait.min(state.time_to_request(now)), sum + per_second))
        })
    }

    /// Sets the share of the daemons that this one hears, from 0 to 1.
    pub fn set_daemon_share(&mut self, share: f64, now: Timestamp) {
        for key in self.keys() {
            self.servers[key].request_limit.set_share(share, now);
        }
        self.daemon_share = share;
    }

    /// Records that a prompt was sent to a server for prefill.
    pub fn begin_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        prefill: PendingPrefill,
        kv_tokens: u64,
        now: Timestamp,
    ) {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        let mut work_ms = f64::from(prefill.tokens) / speed;
        if state.entry.stage == EngineStage::Decode {
            state.backlog.record_interleaved(prefill.tokens, speed, now);
            work_ms /= PREFILL_STAGE_FACTOR;
        }
        let load = self.prefill_loads.entry(state.entry.service.clone()).or_default();
        load.record_amount(work_ms, now);
        if let Some(pacing) = &mut self.pacing {
            pacing.record_request(&state.entry.service, prefill.tokens);
        }
        state.prefix_index.insert(&prefill.prompt, kv_tokens);
        state.backlog.add(send_id, prefill, speed, now);
    }

    /// Returns the number of prefill engines that the prompts which all daemons send to a service
    /// would keep busy.
    pub fn busy_prefill_engines(&self, service: &str, now: Timestamp) -> f64 {
        self.prefill_loads.get(service).map_or(0.0, |load| load.per_second(now) / 1000.0)
    }

    /// Records a finished prefill. Returns whether it was still pending. Also records the prompt's
    /// parts as cached at the decode engine, which imports the KV cache.
    pub fn complete_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        kv_tokens: u64,
        now: Timestamp,
    ) -> bool {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        let Some(prefill) = state.backlog.remove(send_id, speed, now) else {
            return false;
        };
        state.prefix_index.mark_computed(&prefill.prompt);
        if self.pacing.is_some() {
            state.record_paced_prefill(&prefill, speed, now);
        }
        if let Some(decode_engine) = prefill.decode_engine {
            let prefix_index = &mut self.servers[decode_engine].prefix_index;
            prefix_index.insert(&prefill.prompt, kv_tokens);
            prefix_index.mark_computed(&prefill.prompt);
        }
        true
    }

    /// Records an abandoned prefill. Returns whether it was still pending.
    pub fn abandon_prefill(&mut self, key: EngineKey, send_id: SendId, now: Timestamp) -> bool {
        let state = &mut self.servers[key];
        let speed = state.prefill_speed();
        let Some(prefill) = state.backlog.remove(send_id, speed, now) else {
            return false;
        };
        let backlog = &state.backlog;
        state.prefix_index.remove_uncomputed(&prefill.prompt, |key| backlog.has_pending_part(key));
        true
    }

    /// Updates the measured speed of an engine with a prefill that took `prefill_ms`.
    ///
    /// `tokens` is the work of the prefill, in the unit of `PromptShape::prefill_work`. No other
    /// prefill may have been ahead of it, and its cached tokens must be known exactly.
    pub fn record_speed(&mut self, key: EngineKey, tokens: u32, prefill_ms: f64) {
        let is_quick = self.pacing.is_some();
        let state = &mut self.servers[key];
        let Some(sample) = state.record_speed(tokens, prefill_ms, is_quick) else {
            return;
        };
        let group = (state.entry.service.clone(), state.entry.stage);
        let speed = self.group_speeds.entry(group.clone()).or_insert(sample);
        *speed += (sample - *speed) * GROUP_SPEED_WEIGHT;
        for key in self.keys() {
            let stage = self.servers[key].entry.stage;
            if self.servers[key].entry.service == group.0 {
                self.servers[key].group_speed = self.group_speed(&group.0, stage);
            }
        }
    }

    /// Returns the average prefill speed of a service's engines of a stage. If none of them is
    /// measured, it follows from that of the other stage.
    fn group_speed(&self, service: &SmolStr, stage: EngineStage) -> Option<f64> {
        let speed = |stage| self.group_speeds.get(&(service.clone(), stage)).copied();
        speed(stage).or_else(|| match stage {
            EngineStage::Prefill => Some(speed(EngineStage::Decode)? * PREFILL_STAGE_FACTOR),
            EngineStage::Decode => Some(speed(EngineStage::Prefill)? / PREFILL_STAGE_FACTOR),
            EngineStage::Mixed => None,
        })
    }
}
