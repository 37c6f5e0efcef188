//! The tables that requests are placed by.

use std::{
    collections::{HashMap, VecDeque},
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
        crash_counts::CrashTable,
        directory::{ServerEntry, ServerPresence},
        fleet::{self, EntryEffect, ServerFleet},
        rate::EventRate,
        relays,
    },
    time::Timestamp,
};
use smol_str::SmolStr;

use crate::updates::{PrefillEnd, SendRecord, SendUpdate};

/// Time after which a daemon that isn't heard of no longer counts.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2500);

/// What is known of another daemon.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    pub heard_at: Timestamp,
}

/// Holds all tables of one daemon.
#[derive(Debug, Default)]
pub struct GatewayState {
    pub configuration: Option<Arc<ServingConfiguration>>,
    pub fleet: ServerFleet,
    pub crashes: CrashTable,
    retries: HashMap<SmolStr, RetryCounter>,
    /// Other daemons by the hash of their name and incarnation.
    peers: HashMap<u64, PeerState>,
    /// Own sends whose prompt isn't read yet.
    own_reads: HashMap<u64, SendRecord>,
    /// What the other daemons haven't been told yet.
    outgoing: VecDeque<SendUpdate>,
    next_ticket: u64,
    /// Prompts that other daemons send.
    sends_of_others: EventRate,
    /// Hash of this daemon's name and incarnation.
    daemon: u64,
}

impl GatewayState {
    /// Makes the tables of a daemon.
    pub fn new(daemon: u64) -> Self {
        Self { daemon, ..Self::default() }
    }

    /// Takes a configuration into force unless a newer one is; returns whether
    /// it did.
    pub fn put_configuration(&mut self, configuration: ServingConfiguration) -> bool {
        let in_force = self.configuration.as_ref().map(|configuration| configuration.version);
        if in_force.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Takes in the entry of a server.
    pub fn put_server(&mut self, entry: ServerEntry) -> EntryEffect {
        self.fleet.put(entry)
    }

    /// Notes that a server's entry is missing.
    pub fn remove_server(&mut self, id: &str, now: Timestamp) -> Option<ServerPresence> {
        self.fleet.remove(id, now)
    }

    /// Counts a caller's request to a service.
    pub fn record_request(&mut self, service: &SmolStr, window: Duration, now: Timestamp) {
        self.retries.entry(service.clone()).or_default().record_request(window, now);
    }

    /// Grants a further send to a service, if the budget has one.
    pub fn try_retry(
        &mut self,
        service: &SmolStr,
        allowance: RetryAllowance,
        now: Timestamp,
    ) -> bool {
        let daemons = 1 + self.live_peers(now);
        self.retries.entry(service.clone()).or_default().try_retry(allowance, daemons, now)
    }

    /// Returns the number of other daemons that were heard lately.
    pub fn live_peers(&self, now: Timestamp) -> u32 {
        self.peers.values().filter(|peer| now.since(peer.heard_at) < PEER_TIMEOUT).count() as u32
    }

    /// Notes an own send whose prompt is to be read, and what to tell of it.
    pub fn begin_prefill(
        &mut self,
        key: EngineKey,
        read: PendingPrefill,
        now: Timestamp,
    ) -> SendId {
        let kv_tokens = self.kv_tokens(key);
        let send_id = SendId { daemon: self.daemon, number: self.next_ticket };
        self.next_ticket += 1;
        let hash = |key| fleet::server_hash(&self.fleet.server(key).entry.id);
        let record = SendRecord {
            number: send_id.number,
            server: hash(key),
            decode_server: read.decode_engine.map(hash),
            tokens: read.tokens,
            prompt_tokens: read.prompt.prompt_tokens,
            parts: read.prompt.parts.iter().map(|part| (part.key.0, part.tokens)).collect(),
        };
        self.fleet.begin_prefill(key, send_id, read, kv_tokens, now);
        self.own_reads.insert(send_id.number, record.clone());
        self.outgoing.push_back(SendUpdate::Started(record));
        send_id
    }

    /// Notes how an own send to be read ended.
    pub fn end_prefill(
        &mut self,
        key: EngineKey,
        send_id: SendId,
        end: PrefillEnd,
        now: Timestamp,
    ) {
        if self.take_end(key, send_id, end, now) {
            self.own_reads.remove(&send_id.number);
            let server = fleet::server_hash(&self.fleet.server(key).entry.id);
            self.outgoing.push_back(SendUpdate::Ended { number: send_id.number, server, end });
        }
    }

    fn take_end(
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
        let is_news = self.fleet.complete_prefill(key, send_id, kv_tokens, now);
        if let (true, Some(sample)) = (is_news, sample) {
            self.fleet.record_speed(key, sample.tokens, f64::from(sample.prefill_ms));
        }
        is_news
    }

    /// Takes what the other daemons haven't been told yet.
    pub fn take_updates(&mut self) -> Vec<SendUpdate> {
        self.outgoing.drain(..).collect()
    }

    /// Returns the numbers of the own sends whose prompt isn't read yet, and
    /// the requests that run at each server.
    pub fn own_summary(&self) -> (Vec<u64>, Vec<(u64, u32)>) {
        let running = self.fleet.iter().filter(|(_, state)| state.running > 0);
        let running =
            running.map(|(_, state)| (fleet::server_hash(&state.entry.id), state.running));
        (self.own_reads.keys().copied().collect(), running.collect())
    }

    /// Takes in what another daemon tells of its sends.
    pub fn apply_updates(&mut self, daemon: u64, news: &[SendUpdate], now: Timestamp) {
        if daemon == self.daemon {
            return;
        }
        self.peers.insert(daemon, PeerState { heard_at: now });
        for item in news {
            match item {
                SendUpdate::Started(record) => {
                    if let Some(key) = self.fleet.key_by_hash(record.server) {
                        let send_id = SendId { daemon, number: record.number };
                        let writer =
                            record.decode_server.and_then(|hash| self.fleet.key_by_hash(hash));
                        let (prompt, tokens) = (record.prompt(), record.tokens);
                        let read =
                            PendingPrefill { prompt, tokens, sent_at: now, decode_engine: writer };
                        let kv_tokens = self.kv_tokens(key);
                        self.fleet.begin_prefill(key, send_id, read, kv_tokens, now);
                        self.sends_of_others.record(now);
                    }
                }
                SendUpdate::Ended { number, server, end } => {
                    if let Some(key) = self.fleet.key_by_hash(*server) {
                        self.take_end(key, SendId { daemon, number: *number }, *end, now);
                    }
                }
                SendUpdate::Summary { pending, running } => {
                    self.hear_summary(daemon, pending, running);
                }
                SendUpdate::Crash { fingerprint } => {
                    let fingerprint = gooseberry_core::poison::RequestFingerprint(*fingerprint);
                    self.crashes.record_crash(fingerprint, now);
                }
            }
        }
    }

    /// Tells the other daemons that a request was running at a crash.
    pub fn record_crash(&mut self, fingerprint: u64, now: Timestamp) -> u32 {
        self.outgoing.push_back(SendUpdate::Crash { fingerprint });
        self.crashes.record_crash(gooseberry_core::poison::RequestFingerprint(fingerprint), now)
    }

    /// Drops what was said by daemons that have fallen silent.
    pub fn remove_expired_peers(&mut self, now: Timestamp) {
        let silent: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_at) >= PEER_TIMEOUT)
            .map(|(daemon, _)| *daemon)
            .collect();
        if silent.is_empty() {
            return;
        }
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.drop_sends(|send_id, _| silent.contains(&send_id.daemon));
            server.peer_running.retain(|daemon, _| !silent.contains(daemon));
        }
        self.peers.retain(|daemon, _| !silent.contains(daemon));
    }

    /// Returns how many of the engines a prompt is placed among first.
    pub fn placement_group_size(&self, engines: usize, now: Timestamp) -> usize {
        let delay = relays::update_delay(1 + self.live_peers(now) as usize);
        candidates::group_size(engines, self.sends_of_others.per_second(now), delay)
    }

    /// Returns the tokens that a server's KV cache holds.
    fn kv_tokens(&self, key: EngineKey) -> u64 {
        let service = &self.fleet.server(key).entry.service;
        let configuration = self.configuration.as_ref();
        let row = configuration.and_then(|configuration| configuration.service(service));
        row.and_then(|row| row.engine).map_or(0, |spec| spec.kv_tokens)
    }

    fn hear_summary(&mut self, daemon: u64, pending: &[u64], running: &[(u64, u32)]) {
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.drop_sends(|send_id, _| {
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
