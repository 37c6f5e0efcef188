//! The state by which requests are placed.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        backlog::{PendingRead, SendTicket},
        budget::{RetryAllowance, RetryLedger},
        candidates,
        configuration::ServingConfiguration,
        directory::{ServerEntry, ServerPresence},
        fleet::{self, EntryEffect, ServerFleet},
        rate::EventRate,
        relays,
        suspects::SuspectTable,
    },
    time::Timestamp,
};
use smol_str::SmolStr;

use crate::news::{ReadEnd, SendNews, SendRecord};

/// Time without updates after which a daemon no longer counts as live.
pub const PEER_SILENCE: Duration = Duration::from_millis(2500);

/// State of another daemon.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    pub heard_at: Timestamp,
}

/// All state of one daemon.
#[derive(Debug, Default)]
pub struct GatewayState {
    pub configuration: Option<Arc<ServingConfiguration>>,
    pub fleet: ServerFleet,
    pub suspects: SuspectTable,
    retries: HashMap<SmolStr, RetryLedger>,
    /// Other daemons by the hash of their name and incarnation.
    peers: HashMap<u64, PeerState>,
    /// Pending prefills of this daemon.
    own_reads: HashMap<u64, SendRecord>,
    /// Updates that haven't been sent to the other daemons.
    outgoing: VecDeque<SendNews>,
    next_ticket: u64,
    /// Rate of the prefills that other daemons send.
    sends_of_others: EventRate,
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
        let in_force = self.configuration.as_ref().map(|configuration| configuration.version);
        if in_force.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Adds or updates a server from its entry.
    pub fn put_server(&mut self, entry: ServerEntry) -> EntryEffect {
        self.fleet.put(entry)
    }

    /// Records that a server's entry is missing.
    pub fn remove_server(&mut self, id: &str, now: Timestamp) -> Option<ServerPresence> {
        self.fleet.remove(id, now)
    }

    /// Counts a caller's request to a service.
    pub fn note_request(&mut self, service: &SmolStr, window: Duration, now: Timestamp) {
        self.retries.entry(service.clone()).or_default().note_request(window, now);
    }

    /// Grants a retry to a service if the retry budget allows it.
    pub fn try_retry(
        &mut self,
        service: &SmolStr,
        allowance: RetryAllowance,
        now: Timestamp,
    ) -> bool {
        let daemons = 1 + self.living_peers(now);
        self.retries.entry(service.clone()).or_default().try_retry(allowance, daemons, now)
    }

    /// Returns the number of other live daemons.
    pub fn living_peers(&self, now: Timestamp) -> u32 {
        self.peers.values().filter(|peer| now.since(peer.heard_at) < PEER_SILENCE).count() as u32
    }

    /// Records a prefill of this daemon and queues the update for the other daemons.
    pub fn begin_read(&mut self, key: EngineKey, read: PendingRead, now: Timestamp) -> SendTicket {
        let kv_tokens = self.kv_tokens(key);
        let ticket = SendTicket { daemon: self.daemon, number: self.next_ticket };
        self.next_ticket += 1;
        let hash = |key| fleet::server_hash(&self.fleet.server(key).entry.id);
        let record = SendRecord {
            number: ticket.number,
            server: hash(key),
            writer: read.writer.map(hash),
            tokens: read.tokens,
            prompt_tokens: read.prompt.prompt_tokens,
            parts: read.prompt.parts.iter().map(|part| (part.key.0, part.tokens)).collect(),
        };
        self.fleet.note_read(key, ticket, read, kv_tokens, now);
        self.own_reads.insert(ticket.number, record.clone());
        self.outgoing.push_back(SendNews::Began(record));
        ticket
    }

    /// Records the end of a prefill of this daemon and queues the update for the other daemons.
    pub fn end_read(&mut self, key: EngineKey, ticket: SendTicket, end: ReadEnd, now: Timestamp) {
        if self.take_end(key, ticket, end, now) {
            self.own_reads.remove(&ticket.number);
            let server = fleet::server_hash(&self.fleet.server(key).entry.id);
            self.outgoing.push_back(SendNews::Ended { number: ticket.number, server, end });
        }
    }

    fn take_end(
        &mut self,
        key: EngineKey,
        ticket: SendTicket,
        end: ReadEnd,
        now: Timestamp,
    ) -> bool {
        let sample = match end {
            ReadEnd::Abandoned => return self.fleet.abandon_read(key, ticket, now),
            ReadEnd::Read(sample) => sample,
        };
        let kv_tokens = self.kv_tokens(key);
        let is_news = self.fleet.end_read(key, ticket, kv_tokens, now);
        if let (true, Some(sample)) = (is_news, sample) {
            self.fleet.learn_speed(key, sample.tokens, f64::from(sample.reading_ms));
        }
        is_news
    }

    /// Takes the updates that haven't been sent to the other daemons.
    pub fn take_outgoing(&mut self) -> Vec<SendNews> {
        self.outgoing.drain(..).collect()
    }

    /// Returns the numbers of this daemon's pending prefills, and the number of its running
    /// requests at each server.
    pub fn own_summary(&self) -> (Vec<u64>, Vec<(u64, u32)>) {
        let running = self.fleet.iter().filter(|(_, state)| state.running > 0);
        let running =
            running.map(|(_, state)| (fleet::server_hash(&state.entry.id), state.running));
        (self.own_reads.keys().copied().collect(), running.collect())
    }

    /// Applies updates of another daemon.
    pub fn hear(&mut self, daemon: u64, news: &[SendNews], now: Timestamp) {
        if daemon == self.daemon {
            return;
        }
        self.peers.insert(daemon, PeerState { heard_at: now });
        for item in news {
            match item {
                SendNews::Began(record) => {
                    if let Some(key) = self.fleet.key_of_hash(record.server) {
                        let ticket = SendTicket { daemon, number: record.number };
                        let writer = record.writer.and_then(|hash| self.fleet.key_of_hash(hash));
                        let (prompt, tokens) = (record.prompt(), record.tokens);
                        let read = PendingRead { prompt, tokens, sent_at: now, writer };
                        let kv_tokens = self.kv_tokens(key);
                        self.fleet.note_read(key, ticket, read, kv_tokens, now);
                        self.sends_of_others.note(now);
                    }
                }
                SendNews::Ended { number, server, end } => {
                    if let Some(key) = self.fleet.key_of_hash(*server) {
                        self.take_end(key, SendTicket { daemon, number: *number }, *end, now);
                    }
                }
                SendNews::Summary { pending, running } => {
                    self.hear_summary(daemon, pending, running);
                }
                SendNews::Crash { fingerprint } => {
                    let fingerprint = gooseberry_core::poison::RequestFingerprint(*fingerprint);
                    self.suspects.note_crash(fingerprint, now);
                }
            }
        }
    }

    /// Records that a request was running at a crash, and queues the update for the other daemons.
    pub fn note_crash(&mut self, fingerprint: u64, now: Timestamp) -> u32 {
        self.outgoing.push_back(SendNews::Crash { fingerprint });
        self.suspects.note_crash(gooseberry_core::poison::RequestFingerprint(fingerprint), now)
    }

    /// Removes the state of daemons that have sent no updates for [`PEER_TIMEOUT`].
    pub fn forget_silent(&mut self, now: Timestamp) {
        let silent: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_at) >= PEER_SILENCE)
            .map(|(daemon, _)| *daemon)
            .collect();
        if silent.is_empty() {
            return;
        }
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.drop_sends(|ticket, _| silent.contains(&ticket.daemon));
            server.running_of_peers.retain(|daemon, _| !silent.contains(daemon));
        }
        self.peers.retain(|daemon, _| !silent.contains(daemon));
    }

    /// Returns how many engines are evaluated first for a prompt.
    pub fn placement_group(&self, engines: usize, now: Timestamp) -> usize {
        let delay = relays::news_delay(1 + self.living_peers(now) as usize);
        candidates::group_size(engines, self.sends_of_others.per_second(now), delay)
    }

    /// Returns the capacity of a server's KV cache, in tokens.
    fn kv_tokens(&self, key: EngineKey) -> u64 {
        let service = &self.fleet.server(key).entry.service;
        let configuration = self.configuration.as_ref();
        let row = configuration.and_then(|configuration| configuration.service(service));
        row.and_then(|row| row.engine).map_or(0, |traits| traits.kv_tokens)
    }

    fn hear_summary(&mut self, daemon: u64, pending: &[u64], running: &[(u64, u32)]) {
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            server.backlog.drop_sends(|ticket, _| {
                ticket.daemon == daemon && !pending.contains(&ticket.number)
            });
            server.running_of_peers.remove(&daemon);
        }
        for (hash, count) in running {
            if let Some(key) = self.fleet.key_of_hash(*hash) {
                self.fleet.server_mut(key).running_of_peers.insert(daemon, *count);
            }
        }
    }
}
