//! Pace of the servers of a fleet: what their peers hold, and which responses they give.

use std::{cmp, collections::HashMap};

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    serving::{
        backlog::PendingPrefill,
        directory::{EngineStage, ServerPresence},
        fleet::{self, EntryEffect, ServerFleet, ServerState},
        pace::{HeldWork, PaceChange, PaceReason, PaceRoster, PaceStatement},
    },
    time::Timestamp,
};

/// Weight of the newest observation, one each 500 ms, in what the peers of a server hold.
const TYPICAL_WEIGHT: f64 = 0.5;
/// Weight of the newest sample in the averages of requests and responses.
const SAMPLE_WEIGHT: f64 = 0.05;

type ServerGroup = (SmolStr, EngineStage);

/// What is known of groups of servers for the pace of single ones.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetPacing {
    roster: PaceRoster,
    /// Work that servers which aren't paced hold on average.
    typical: HashMap<ServerGroup, HeldWork>,
    /// Average work of a prefill, by service.
    request_tokens: HashMap<SmolStr, f64>,
    /// Average time to the response to a plain request or a decode, in milliseconds.
    response_ms: HashMap<ServerGroup, f64>,
}

impl FleetPacing {
    pub(super) fn record_request(&mut self, service: &SmolStr, tokens: u32) {
        let tokens = f64::from(tokens);
        let average = self.request_tokens.entry(service.clone()).or_insert(tokens);
        *average += (tokens - *average) * SAMPLE_WEIGHT;
    }

    fn request_tokens(&self, service: &SmolStr) -> f64 {
        self.request_tokens.get(service).copied().unwrap_or_default()
    }
}

impl ServerState {
    fn group(&self) -> ServerGroup {
        (self.entry.service.clone(), self.entry.stage)
    }

    fn held_work(&self) -> HeldWork {
        // Updates on prefills arrive before the summaries that count the requests.
        let requests = self.requests().max(self.backlog.len() as u32);
        HeldWork { requests: f64::from(requests), tokens: self.backlog.pending_tokens() }
    }

    pub(super) fn record_paced_prefill(
        &mut self,
        prefill: &PendingPrefill,
        speed: f64,
        now: Timestamp,
    ) {
        let expected_ms = f64::from(prefill.tokens) / speed;
        let elapsed_ms = now.since(prefill.sent_at).as_millis() as f64;
        let held = self.held_work();
        let queue_ms = self.pace.typical().tokens / speed;
        self.pace.record_response(expected_ms, queue_ms, elapsed_ms, held, now);
    }
}

impl ServerFleet {
    /// Paces servers that start or recover from now on. `daemon` is the hash of this daemon's name and
    /// incarnation.
    pub fn enable_pace(&mut self, daemon: u64) {
        let roster = PaceRoster { own: daemon, peers: Vec::new(), heard_share: 1.0 };
        self.pacing = Some(FleetPacing { roster, ..FleetPacing::default() });
    }

    /// Returns whether servers that start or recover are paced.
    pub fn adapts_pace(&self) -> bool {
        self.pacing.is_some()
    }

    /// Records the effect of a server's entry. A server that starts is paced if others of its service
    /// and stage have served for a while.
    pub fn record_start(&mut self, key: EngineKey, effect: EntryEffect, now: Timestamp) {
        let has_started = matches!(effect, EntryEffect::Added | EntryEffect::Restarted);
        if !self.adapts_pace() || !has_started {
            return;
        }
        self.servers[key].pace.restart(now);
        let server = &self.servers[key];
        let has_settled_peers = self.iter().any(|(other, state)| {
            other != key
                && state.entry.service == server.entry.service
                && state.entry.stage == server.entry.stage
                && state.pace.is_settled(now)
                && state.is_usable(now)
        });
        if has_settled_peers {
            self.servers[key].pace.begin(PaceReason::Started, now);
        }
        self.set_typical(key);
    }

    /// Updates what the servers of each group hold on average, and the daemons among which windows
    /// are divided. It is called with each summary.
    pub fn update_pace(&mut self, peers: Vec<u64>, now: Timestamp) {
        let daemon_share = self.daemon_share;
        let Some(pacing) = &mut self.pacing else {
            return;
        };
        pacing.roster.peers = peers;
        pacing.roster.heard_share = daemon_share;
        let mut sums: HashMap<ServerGroup, (HeldWork, f64)> = HashMap::new();
        for (_, state) in self.servers.iter() {
            if state.pace.is_paced() || !state.is_usable(now) {
                continue;
            }
            let held = state.held_work();
            let (sum, count) = sums.entry(state.group()).or_default();
            sum.requests += held.requests;
            sum.tokens += held.tokens;
            *count += 1.0;
        }
        for (group, (sum, count)) in sums {
            let mean = HeldWork { requests: sum.requests / count, tokens: sum.tokens / count };
            let typical = pacing.typical.entry(group).or_insert(mean);
            typical.requests += (mean.requests - typical.requests) * TYPICAL_WEIGHT;
            typical.tokens += (mean.tokens - typical.tokens) * TYPICAL_WEIGHT;
        }
        for key in self.keys() {
            self.servers[key].pace.expire(now);
            self.set_typical(key);
        }
    }

    /// Returns whether this daemon may send a request to a server by the server's pace.
    pub fn is_within_pace(&self, key: EngineKey, now: Timestamp) -> bool {
        let state = &self.servers[key];
        let Some(pacing) = self.pacing.as_ref().filter(|_| state.pace.is_paced()) else {
            return true;
        };
        let mut held = state.held_work();
        if state.entry.stage == EngineStage::Decode {
            let prefills = self.iter().flat_map(|(_, other)| other.backlog.pending());
            let planned = prefills.filter(|prefill| prefill.decode_engine == Some(key)).count();
            held.requests += planned as f64;
        }
        let server = fleet::server_hash(&state.entry.id);
        state.pace.allows(server, state.entry.stage, held, &pacing.roster, now)
    }

    /// Records the time to the response to a plain request, or to the first event of a decode.
    pub fn record_response(&mut self, key: EngineKey, elapsed_ms: f64, now: Timestamp) {
        let Some(pacing) = &mut self.pacing else {
            return;
        };
        let state = &mut self.servers[key];
        let average = pacing.response_ms.entry(state.group()).or_insert(elapsed_ms);
        if !state.pace.is_paced() {
            *average += (elapsed_ms - *average) * SAMPLE_WEIGHT;
        }
        let held = state.held_work();
        state.pace.record_response(*average, 0.0, elapsed_ms, held, now);
    }

    /// Records that a server refused a request for lack of capacity, or cut off its response.
    pub fn record_refusal(&mut self, key: EngineKey, now: Timestamp) {
        if self.adapts_pace() {
            self.servers[key].pace.record_refusal(now);
        }
    }

    /// Records that a server has failed. It has to recover if that lasts.
    pub fn record_unavailable(&mut self, key: EngineKey, now: Timestamp) {
        let state = &mut self.servers[key];
        if self.pacing.is_some() && !state.health.is_available(now) {
            state.pace.record_unavailable(now);
        }
    }

    /// Counts a request that this daemon sends to a server.
    pub fn record_paced_send(&mut self, key: EngineKey, now: Timestamp) {
        let state = &mut self.servers[key];
        state.pace.record_send(state.entry.stage, now);
    }

    /// Counts the end of a request of this daemon at a server.
    pub fn record_paced_end(&mut self, key: EngineKey, now: Timestamp) {
        let state = &mut self.servers[key];
        state.pace.record_end(state.entry.stage, now);
    }

    /// Applies the window that another daemon states for an incarnation of a server.
    pub fn apply_pace(
        &mut self,
        server: u64,
        incarnation: u64,
        statement: PaceStatement,
        now: Timestamp,
    ) {
        let key = self.key_by_hash(server).filter(|_| self.adapts_pace());
        let Some(key) = key else {
            return;
        };
        let state = &mut self.servers[key];
        if fleet::incarnation(&state.entry).0 == incarnation {
            state.pace.apply(statement, now);
        }
    }

    /// Returns the windows that other daemons are to be told, the last changed first.
    pub fn pace_statements(&self, now: Timestamp) -> Vec<(EngineKey, PaceStatement)> {
        let is_present = |state: &ServerState| state.presence != ServerPresence::Gone;
        let mut statements: Vec<_> = self
            .iter()
            .filter(|(_, state)| self.adapts_pace() && is_present(state))
            .filter_map(|(key, state)| Some((key, state.pace.statement(now)?)))
            .collect();
        statements.sort_by_key(|(_, statement)| cmp::Reverse(statement.changed_at));
        statements
    }

    /// Takes the changes of windows since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<(EngineKey, PaceChange)> {
        let mut changes = Vec::new();
        for key in self.keys() {
            changes.extend(self.servers[key].pace.take_change().map(|change| (key, change)));
        }
        changes
    }

    fn set_typical(&mut self, key: EngineKey) {
        let Some(pacing) = &self.pacing else {
            return;
        };
        let state = &mut self.servers[key];
        let typical = pacing.typical.get(&state.group()).copied().unwrap_or_default();
        let request_tokens = pacing.request_tokens(&state.entry.service);
        state.pace.set_typical(typical, request_tokens);
    }
}
