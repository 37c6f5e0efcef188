//! The state of a daemon by which it places requests: the configuration, the servers, the other
//! daemons and the pending prefills.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        backlog::{PendingPrefill, SendId},
        budget::{RetryAllowance, RetryCounter},
        candidates,
        configuration::ServingConfiguration,
        connections,
        directory::{ServerEntry, ServerPresence},
        fleet::{self, EntryEffect, OutdatedEntry, ServerFleet},
        held_entries::HeldEntries,
        part_evidence::{EngineIncarnation, PartConviction, PartEvidence, VerdictChanges},
        prompt::PartFingerprint,
        rate::EventRate,
        reach::ServiceReach,
        relays,
        request_limit::ReturnQueue,
        shares::ShareTable,
        software::{
            OriginKnowledge, SoftwareKey, StreamKey, StreamOrigins, StreamTarget,
            UnconfirmedOrigin, VersionHistory,
        },
        store_era::StoreRevision,
    },
    time::Timestamp,
};
use smol_str::SmolStr;

pub use crate::state::evidence::DoubtfulEnd;
use crate::{
    accounts::AccountState,
    shares,
    state::evidence::{ConfirmedCrash, CrashDoubt},
    updates::{PrefillEnd, SendRecord, SendUpdate},
};

mod evidence;
mod notices;
mod pace;
mod reach;

/// Time without updates after which a daemon no longer counts as live.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2500);

/// State of another daemon.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    pub last_update_at: Timestamp,
}

/// All state of one daemon.
#[derive(Debug, Default)]
pub struct GatewayState {
    pub configuration: Option<Arc<ServingConfiguration>>,
    pub accounts: AccountState,
    pub fleet: ServerFleet,
    pub parts: PartEvidence,
    pub versions: VersionHistory,
    /// Work of the client accounts, here and at other daemons.
    pub shares: ShareTable,
    held_entries: HeldEntries,
    /// Requests of this daemon whose servers may have ended with them, oldest first.
    doubts: VecDeque<CrashDoubt>,
    /// Crashes that this daemon has confirmed lately, oldest first.
    recent_crashes: VecDeque<ConfirmedCrash>,
    /// Links to the servers, by service.
    reach: HashMap<SmolStr, ServiceReach>,
    /// Services that are being checked because this daemon may be cut off from them.
    checked_services: HashSet<SmolStr>,
    /// Time at which this daemon last answered whether it reaches a service.
    answers: HashMap<SmolStr, Timestamp>,
    /// Time at which each server last responded to any daemon.
    responses: HashMap<EngineIncarnation, Timestamp>,
    /// Servers that are to be probed.
    pending_probes: HashSet<EngineIncarnation>,
    /// Verdicts from evidence of this daemon that aren't in the key-value service yet.
    verdict_changes: VerdictChanges,
    /// Requests whose histories in the key-value service may be out of date.
    unstored_suspects: HashSet<PartFingerprint>,
    /// Requests that may have a history in the key-value service, which has to be withdrawn once their
    /// crashes no longer count.
    stored_suspects: HashSet<PartFingerprint>,
    origins: StreamOrigins,
    /// Revision of the key-value service up to which all changes of the entries have been applied.
    pub listed_revision: StoreRevision,
    retries: HashMap<SmolStr, RetryCounter>,
    /// Returns of callers that were refused by the limits of a service's servers.
    returns: HashMap<SmolStr, ReturnQueue>,
    /// Number of other daemons that are registered in the key-value service.
    registered_peers: u32,
    /// Other daemons by the hash of their name and incarnation.
    peers: HashMap<u64, PeerState>,
    /// Names of other daemons, by the same hash.
    peer_names: HashMap<u64, SmolStr>,
    /// Pending prefills of this daemon, by their sequence numbers.
    own_prefills: HashMap<u64, SendRecord>,
    /// Updates that haven't been sent to the other daemons.
    outgoing: VecDeque<SendUpdate>,
    /// Sequence number of this daemon's next prefill.
    next_number: u64,
    /// Rate at which other daemons send prompts.
    peer_sends: EventRate,
    /// Hash of this daemon's name and incarnation.
    daemon: u64,
}

impl GatewayState {
    /// Creates the state of a daemon.
    pub fn new(daemon: u64) -> Self {
        Self { daemon, ..Self::default() }
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it did.
    pub fn put_configuration(&mut self, configuration: ServingConfiguration) -> bool {
        let current_version =
            self.configuration.as_ref().map(|configuration| configuration.version);
        if current_version.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.origins.apply_timeouts(&configuration);
        self.versions.apply_timeouts(&configuration);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Holds back an entry of the copy from which the key-value service came back, if it is older than
    /// what is known of its server. It counts as missing until the server writes it again. Returns
    /// whether it is held back.
    pub fn hold_outdated_server(&mut self, entry: ServerEntry, now: Timestamp) -> bool {
        match self.fleet.outdated(&entry) {
            None => return false,
            // Its server has written it since, and writes it again.
            Some(OutdatedEntry::EarlierWrite) => {}
            Some(OutdatedEntry::EarlierStart) => {
                self.remove_server(&entry.id, now);
            }
            Some(OutdatedEntry::Removed) => {
                self.remove_server(&entry.id, now);
                self.held_entries.hold(entry, now);
            }
        }
        true
    }

    /// Uses the servers whose entries were held back and that live although they didn't seem to.
    /// Returns their ids.
    pub fn put_confirmed_servers(&mut self, now: Timestamp) -> Vec<SmolStr> {
        let entries = self.held_entries.take_confirmed(now);
        let put = |entry: ServerEntry| {
            let id = entry.id.clone();
            self.apply_entry(entry, now);
            id
        };
        entries.into_iter().map(put).collect()
    }

    /// Adds or updates a server from its entry, unless the entry is older than what is known of the
    /// server: a write may be carried out seconds late.
    pub fn put_server(&mut self, entry: ServerEntry, now: Timestamp) -> EntryEffect {
        match self.fleet.outdated(&entry) {
            Some(OutdatedEntry::EarlierStart) => {
                self.held_entries.hold_earlier_start(entry, now);
                EntryEffect::Outdated
            }
            Some(OutdatedEntry::EarlierWrite) => EntryEffect::Outdated,
            Some(OutdatedEntry::Removed) | None => self.apply_entry(entry, now),
        }
    }

    fn apply_entry(&mut self, entry: ServerEntry, now: Timestamp) -> EntryEffect {
        self.held_entries.discard(&entry.id);
        if let Some(key) = self.fleet.key(&entry.id) {
            let old = &self.fleet.server(key).entry;
            if SoftwareKey::of(old) != SoftwareKey::of(&entry) {
                self.versions.record_departure(old, now);
            }
            let (before, after) = (fleet::incarnation(old), fleet::incarnation(&entry));
            if before != after {
                self.origins
                    .record_restart(StreamTarget::of(old), self.fleet.connectivity.listed_at());
                self.confirm_crash(before, now);
            }
        }
        let id = entry.id.clone();
        let effect = self.fleet.put(entry);
        if let Some(key) = self.fleet.key(&id) {
            self.fleet.record_start(key, effect, now);
        }
        effect
    }

    /// Returns whether the entry of a known server is missing.
    pub fn is_entry_missing(&self, id: &str) -> bool {
        let key = self.fleet.key(id);
        key.is_some_and(|key| self.fleet.server(key).presence != ServerPresence::Present)
    }

    /// Records that a server's entry is missing. Returns the server's new presence if it changed.
    pub fn remove_server(&mut self, id: &str, now: Timestamp) -> Option<ServerPresence> {
        self.held_entries.discard(id);
        let presence = self.fleet.remove(id, now)?;
        self.record_departure(id, now);
        Some(presence)
    }

    /// Records that a server's entry names no server to use. Returns whether that is news.
    pub fn reject_server(&mut self, id: &str, now: Timestamp) -> bool {
        self.held_entries.discard(id);
        let is_news = self.fleet.reject(id);
        if is_news {
            self.record_departure(id, now);
        }
        is_news
    }

    fn record_departure(&mut self, id: &str, now: Timestamp) {
        let Some(key) = self.fleet.key(id) else {
            return;
        };
        let server = self.fleet.server(key);
        self.versions.record_departure(&server.entry, now);
        if server.presence == ServerPresence::Gone {
            self.confirm_crash(fleet::incarnation(&server.entry), now);
        }
    }

    /// Records the servers as gone whose entries didn't come back in time. Returns their ids.
    pub fn give_up_missing(&mut self, now: Timestamp) -> Vec<SmolStr> {
        let keys = self.fleet.give_up_missing(now);
        let entries: Vec<ServerEntry> =
            keys.into_iter().map(|key| self.fleet.server(key).entry.clone()).collect();
        for entry in &entries {
            self.confirm_crash(fleet::incarnation(entry), now);
        }
        entries.into_iter().map(|entry| entry.id).collect()
    }

    /// Returns the age of the list of servers, in milliseconds, or none if there was no list yet.
    pub fn list_age_ms(&self, now: Timestamp) -> Option<u64> {
        self.fleet.connectivity.list_age(now).map(|age| age.as_millis() as u64)
    }

    /// Records that this daemon sends a stream that may be resumed to an engine, and queues the
    /// update for the other daemons.
    pub fn record_stream(&mut self, stream: StreamKey, software: SoftwareKey, now: Timestamp) {
        self.origins.record(stream, software, now);
        let update = SendUpdate::StreamSent { stream: stream.0, software: software.0 };
        self.outgoing.push_back(update);
    }

    /// Records to which start of an engine this daemon sends the stream that is recorded next, and queues
    /// the update for the other daemons.
    pub fn record_stream_target(&mut self, stream: StreamKey, target: StreamTarget) {
        self.origins.record_target(stream, target);
        self.outgoing.push_back(SendUpdate::StreamTargeted { stream: stream.0, start: target.0 });
    }

    /// Returns what this daemon knows of the version that began a stream.
    pub fn stream_origin(&self, stream: StreamKey) -> OriginKnowledge {
        self.origins.knowledge(stream, &self.fleet)
    }

    /// Returns the version that began a stream, if this daemon knows it for sure.
    pub fn stream_software(&self, stream: StreamKey) -> Option<SoftwareKey> {
        self.stream_origin(stream).known()
    }

    /// Returns the version that began all streams of a service up to the last list, if it was a single
    /// one.
    pub fn sole_software(&self, service: &str, now: Timestamp) -> Option<SoftwareKey> {
        self.versions.sole_version(service, &self.fleet, now)
    }

    /// Queues the question to the other daemons which version began a stream.
    pub fn ask_origin(&mut self, stream: StreamKey, service: &str) {
        let service = service.to_owned();
        self.outgoing.push_back(SendUpdate::OriginAsked { stream: stream.0, service });
    }

    /// Returns the responses from records to the questions among another daemon's updates.
    pub fn origin_responses(&self, updates: &[SendUpdate]) -> Vec<SendUpdate> {
        let respond = |update: &SendUpdate| {
            let SendUpdate::OriginAsked { stream, .. } = update else {
                return None;
            };
            let software = self.stream_software(StreamKey(*stream))?.0;
            Some(SendUpdate::StreamSent { stream: *stream, software })
        };
        updates.iter().filter_map(respond).collect()
    }

    /// Returns the records of streams that another daemon's updates ask for which have to be confirmed
    /// first.
    pub fn unconfirmed_origins(&self, updates: &[SendUpdate]) -> Vec<UnconfirmedOrigin> {
        let unconfirmed = |update: &SendUpdate| {
            let SendUpdate::OriginAsked { stream, .. } = update else {
                return None;
            };
            match self.stream_origin(StreamKey(*stream)) {
                OriginKnowledge::Unconfirmed(origin) => Some(origin),
                OriginKnowledge::Unknown
                | OriginKnowledge::Known(_)
                | OriginKnowledge::Doubtful => None,
            }
        };
        updates.iter().filter_map(unconfirmed).collect()
    }

    /// Returns the streams, with their services, that another daemon's updates ask for, of which this
    /// one has no record, although it may know the only version of the service.
    pub fn unrecorded_origins(
        &self,
        updates: &[SendUpdate],
        now: Timestamp,
    ) -> Vec<(StreamKey, SmolStr)> {
        let unrecorded = |update: &SendUpdate| {
            let SendUpdate::OriginAsked { stream, service } = update else {
                return None;
            };
            let stream = StreamKey(*stream);
            let is_unrecorded = self.stream_origin(stream) == OriginKnowledge::Unknown;
            let may_know = is_unrecorded && self.sole_software(service, now).is_some();
            may_know.then(|| (stream, service.into()))
        };
        updates.iter().filter_map(unrecorded).collect()
    }

    /// Counts a caller's request to a service.
    pub fn record_request(&mut self, service: &SmolStr, window: Duration, now: Timestamp) {
        self.retries.entry(service.clone()).or_default().record_request(window, now);
    }

    /// Grants a retry to a service if the retry budget allows it.
    pub fn try_retry(
        &mut self,
        service: &SmolStr,
        allowance: RetryAllowance,
        now: Timestamp,
    ) -> bool {
        let daemons = self.known_daemons(now);
        self.retries.entry(service.clone()).or_default().try_retry(allowance, daemons, now)
    }

    /// Returns the number of daemons among which bounds on the whole system are divided: this one
    /// and all others that are registered or heard. Those that aren't heard may only be cut off.
    fn known_daemons(&self, now: Timestamp) -> u32 {
        1 + self.live_peers(now).max(self.registered_peers)
    }

    /// Returns whether a daemon has sent no updates yet, or none for [`PEER_TIMEOUT`].
    pub fn is_new_peer(&self, daemon: u64) -> bool {
        daemon != self.daemon && !self.peers.contains_key(&daemon)
    }

    /// Returns the number of other live daemons.
    pub fn live_peers(&self, now: Timestamp) -> u32 {
        self.peers.values().filter(|peer| now.since(peer.last_update_at) < PEER_TIMEOUT).count()
            as u32
    }

    /// Records a prefill that this daemon sends, and queues the update for the other daemons.
    pub fn begin_prefill(
        &mut self,
        key: EngineKey,
        prefill: PendingPrefill,
        now: Timestamp,
    ) -> SendId {
        let kv_tokens = self.kv_tokens(key);
        let send_id = SendId { daemon: self.daemon, number: self.next_number };
        self.next_number += 1;
        let hash = |key| fleet::server_hash(&self.fleet.server(key).entry.id);
        let record = SendRecord {
            number: send_id.number,
            server: hash(key),
            decode_server: prefill.decode_engine.map(hash),
            tokens: prefill.tokens,
            prompt_tokens: prefill.prompt.prompt_tokens,
            parts: prefill.prompt.parts.iter().map(|part| (part.key.0, part.tokens)).collect(),
        };
        self.fleet.begin_prefill(key, send_id, prefill, kv_tokens, now);
        self.own_prefills.insert(send_id.number, record.clone());
        self.outgoing.push_back(SendUpdate::Started(record));
        send_id
    }

    /// Records the end of a prefill of this daemon and queues the update for the other daemons.
    pub fn end_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        end: PrefillEnd,
        now: Timestamp,
    ) {
        if self.apply_end(key, send_id, end, now) {
            self.own_prefills.remove(&send_id.number);
            let server = fleet::server_hash(&self.fleet.server(key).entry.id);
            self.outgoing.push_back(SendUpdate::Ended { number: send_id.number, server, end });
        }
    }

    fn apply_end(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        end: PrefillEnd,
        now: Timestamp,
    ) -> bool {
        let sample = match end {
            PrefillEnd::Abandoned => return self.fleet.abandon_prefill(key, send_id, now),
            PrefillEnd::Completed(sample) => sample,
        };
        let kv_tokens = self.kv_tokens(key);
        let was_pending = self.fleet.complete_prefill(key, send_id, kv_tokens, now);
        if let (true, Some(sample)) = (was_pending, sample) {
            self.fleet.record_speed(key, sample.tokens, f64::from(sample.prefill_ms));
        }
        was_pending
    }

    /// Takes the updates that haven't been sent to the other daemons.
    pub fn take_updates(&mut self) -> Vec<SendUpdate> {
        self.outgoing.drain(..).collect()
    }

    /// Returns the numbers of this daemon's pending prefills, and the number of its running
    /// requests at each server.
    pub fn own_summary(&self) -> (Vec<u64>, Vec<(u64, u32)>) {
        let running = self.fleet.iter().filter(|(_, state)| state.running > 0);
        let running =
            running.map(|(_, state)| (fleet::server_hash(&state.entry.id), state.running));
        (self.own_prefills.keys().copied().collect(), running.collect())
    }

    /// Records the name of another daemon.
    pub fn record_peer_name(&mut self, daemon: u64, name: &str) {
        if daemon != self.daemon {
            self.peer_names.entry(daemon).or_insert_with(|| name.into());
        }
    }

    /// Applies updates of another daemon.
    pub fn apply_updates(&mut self, daemon: u64, updates: &[SendUpdate], now: Timestamp) {
        if daemon == self.daemon {
            return;
        }
        self.peers.insert(daemon, PeerState { last_update_at: now });
        for update in updates {
            match update {
                SendUpdate::Started(record) => {
                    if let Some(key) = self.fleet.key_by_hash(record.server) {
                        let send_id = SendId { daemon, number: record.number };
                        let decode_engine =
                            record.decode_server.and_then(|hash| self.fleet.key_by_hash(hash));
                        let (prompt, tokens) = (record.prompt(), record.tokens);
                        let prefill =
                            PendingPrefill { prompt, tokens, sent_at: now, decode_engine };
                        let kv_tokens = self.kv_tokens(key);
                        self.fleet.begin_prefill(key, send_id, prefill, kv_tokens, now);
                        self.peer_sends.record(now);
                    }
                }
                SendUpdate::Ended { number, server, end } => {
                    if let Some(key) = self.fleet.key_by_hash(*server) {
                        self.apply_end(key, SendId { daemon, number: *number }, *end, now);
                    }
                }
                SendUpdate::Summary { pending, running } => {
                    self.apply_summary(daemon, pending, running);
                }
                SendUpdate::PartCrash { engine, parts, age_ms, is_trial } => {
                    let parts = evidence::part_fingerprints(parts);
                    let at = now - Duration::from_millis(u64::from(*age_ms));
                    self.prove_parts(&parts, now);
                    self.record_part_crash(EngineIncarnation(*engine), &parts, at, *is_trial);
                }
                SendUpdate::PartsCompleted { parts } => {
                    self.parts.record_completion(&evidence::part_fingerprints(parts), now);
                }
                SendUpdate::PartsProven { parts } => {
                    self.parts.record_proven(&evidence::part_fingerprints(parts), now);
                }
                SendUpdate::TrialBegan { parts, holder } => {
                    self.parts.begin_trial(&evidence::part_fingerprints(parts), *holder, now);
                }
                SendUpdate::TrialEnded { holder } => self.parts.end_trial(*holder),
                SendUpdate::PartConvicted { part, engines } => {
                    let engines = engines.iter().copied().map(EngineIncarnation).collect();
                    let part = PartFingerprint(*part);
                    self.apply_conviction(&PartConviction { part, engines }, now);
                }
                SendUpdate::ServerLeaving { server, incarnation } => {
                    if let Some(key) = self.fleet.key_by_hash(*server) {
                        let server = self.fleet.server_mut(key);
                        if fleet::incarnation(&server.entry).0 == *incarnation {
                            server.is_leaving = true;
                        }
                    }
                }
                SendUpdate::LimitStated { server, per_1000_s, age_ms } => {
                    if let Some(key) = self.fleet.key_by_hash(*server) {
                        let sent_at = now - Duration::from_millis(u64::from(*age_ms));
                        let per_second = per_1000_s.map(|limit| limit as f64 / 1000.0);
                        let limit = &mut self.fleet.server_mut(key).request_limit;
                        limit.record_statement(per_second, sent_at, now);
                    }
                }
                SendUpdate::LimitedSend { server } => {
                    if let Some(key) = self.fleet.key_by_hash(*server) {
                        self.fleet.server_mut(key).request_limit.take_token(now);
                    }
                }
                SendUpdate::StreamSent { stream, software } => {
                    self.origins.record(StreamKey(*stream), SoftwareKey(*software), now);
                }
                SendUpdate::StreamTargeted { stream, start } => {
                    self.origins.record_target(StreamKey(*stream), StreamTarget(*start));
                }
                SendUpdate::Reached { servers } => self.apply_report(daemon, servers, now),
                SendUpdate::Paced { servers } => self.apply_pace(servers, now),
                SendUpdate::AccountWork(record) => {
                    shares::apply_record(&mut self.shares, daemon, record, now);
                }
                // `origin_responses` and `reach::answer` handle the questions.
                SendUpdate::OriginAsked { .. }
                | SendUpdate::ReachAsked { .. }
                | SendUpdate::ClockStated { .. } => {}
            }
        }
    }

    /// Removes the state of daemons that have sent no updates for [`PEER_TIMEOUT`].
    pub fn remove_expired_peers(&mut self, now: Timestamp) {
        let expired: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_update_at) >= PEER_TIMEOUT)
            .map(|(daemon, _)| *daemon)
            .collect();
        if expired.is_empty() {
            return;
        }
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.remove_if(|send_id, _| expired.contains(&send_id.daemon));
            server.peer_running.retain(|daemon, _| !expired.contains(daemon));
        }
        self.peers.retain(|daemon, _| !expired.contains(daemon));
        self.peer_names.retain(|daemon, _| !expired.contains(daemon));
    }

    /// Returns how many engines are evaluated together for a prompt.
    pub fn placement_group_size(&self, engines: usize, now: Timestamp) -> usize {
        let delay = relays::update_delay(1 + self.live_peers(now) as usize);
        candidates::group_size(engines, self.peer_sends.per_second(now), delay)
    }

    /// Returns the number of idle connections that this daemon may keep to a server.
    pub fn idle_connections(&self, key: EngineKey, now: Timestamp) -> usize {
        let service = &self.fleet.server(key).entry.service;
        let configuration = self.configuration.as_ref();
        let row = configuration.and_then(|configuration| configuration.service(service));
        let max_connections = row.map_or(u32::MAX, |row| row.max_connections);
        connections::idle_limit(max_connections, self.known_daemons(now))
    }

    /// Returns the capacity of a server's KV cache, in tokens.
    fn kv_tokens(&self, key: EngineKey) -> u64 {
        let service = &self.fleet.server(key).entry.service;
        let configuration = self.configuration.as_ref();
        let row = configuration.and_then(|configuration| configuration.service(service));
        row.and_then(|row| row.engine).map_or(0, |spec| spec.kv_tokens)
    }

    fn apply_summary(&mut self, daemon: u64, pending: &[u64], running: &[(u64, u32)]) {
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.remove_if(|send_id, _| {
                send_id.daemon == daemon && !pending.contains(&send_id.number)
            });
            server.peer_running.remove(&daemon);
        }
        for (hash, count) in running {
            if let Some(key) = self.fleet.key_by_hash(*hash) {
                self.fleet.server_mut(key).peer_running.insert(daemon, *count);
            }
        }
    }
}
