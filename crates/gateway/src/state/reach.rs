//! Which servers this daemon and the others reach.

use std::{collections::HashMap, time::Duration};

use gooseberry_core::{
    arena::EngineKey,
    serving::{fleet, health::EngineHealth, part_evidence::EngineIncarnation, reach::ServiceReach},
    time::Timestamp,
};
use smol_str::SmolStr;

use crate::{
    state::GatewayState,
    updates::{ReachRecord, SendUpdate},
};

/// Age up to which a contact with a server is reported: a summary interval with its delays.
const REPORT_AGE: Duration = Duration::from_millis(600);
/// Shortest time between two answers about a service.
const ANSWER_INTERVAL: Duration = Duration::from_millis(150);
/// Largest number of servers in a report.
const REPORT_LIMIT: usize = 16;
/// Time for which a response voids reports of an earlier crash. Crashes are repeated for 5 s.
const RESPONSE_TTL: Duration = Duration::from_secs(30);
/// Number of servers from which the table of responses is full.
const RESPONSE_LIMIT: usize = 2048;
/// Time by which a response has to be later than a crash to void it: one that the server sent before
/// its end may arrive that late.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

impl GatewayState {
    /// Records an attempt to connect to a server. Returns its service if this daemon may be cut off from
    /// it, so that it has to be checked.
    pub fn record_connect(
        &mut self,
        key: EngineKey,
        has_succeeded: bool,
        now: Timestamp,
    ) -> Option<SmolStr> {
        let service = self.fleet.server(key).entry.service.clone();
        if has_succeeded {
            self.fleet.server_mut(key).reached_at = Some(now);
            self.reach.entry(service).or_default().record_success();
            return None;
        }
        let servers = self.reachable_servers(&service, now).count();
        let reach = self.reach.entry(service.clone()).or_default();
        reach.record_failure(key, now);
        let is_new = reach.is_suspect(servers) && self.checked_services.insert(service.clone());
        is_new.then_some(service)
    }

    /// Records a check in which so many servers of a service could be connected. Returns whether that
    /// ends a cut.
    pub fn record_check(&mut self, service: &str, connected: usize, checked: usize) -> bool {
        let reach = self.reach.get_mut(service);
        let is_restored = reach.is_some_and(|reach| reach.record_check(connected, checked));
        if is_restored {
            self.reset_health(service);
        }
        is_restored
    }

    /// Records that a server responded to this daemon. A new connection alone doesn't show that the
    /// server lives, since another one may have its address.
    pub fn record_response(&mut self, key: EngineKey, now: Timestamp) {
        let server = self.fleet.server_mut(key);
        server.reached_at = Some(now);
        server.responded_at = Some(now);
        let incarnation = fleet::incarnation(&server.entry);
        self.record_life(incarnation, now);
    }

    /// Returns the servers that this daemon has reached lately, for the other daemons. Says nothing of
    /// services from which it may be cut off.
    pub fn reach_report(&mut self, now: Timestamp) -> Option<SendUpdate> {
        for reach in self.reach.values_mut() {
            reach.remove_expired(now);
        }
        let mut by_service: HashMap<&SmolStr, Vec<ReachRecord>> = HashMap::new();
        for (_, server) in self.fleet.iter() {
            let age = server.reached_at.map(|reached_at| now.since(reached_at));
            let Some(age) = age.filter(|age| *age < REPORT_AGE) else {
                continue;
            };
            by_service.entry(&server.entry.service).or_default().push(ReachRecord {
                server: fleet::server_hash(&server.entry.id),
                incarnation: fleet::incarnation(&server.entry).0,
                age_ms: age.as_millis() as u32,
                response_age_ms: server
                    .responded_at
                    .map(|responded_at| now.since(responded_at).as_millis() as u32),
            });
        }
        by_service.retain(|service, _| {
            let servers = self.reachable_servers(service, now).count();
            self.reach.get(*service).is_none_or(|reach| !reach.is_suspect(servers))
        });
        // The newest contact of each service shows that it is reached, so these come first.
        let mut servers: Vec<(usize, ReachRecord)> = Vec::new();
        for records in by_service.values_mut() {
            records.sort_unstable_by_key(|record| record.age_ms);
            servers.extend(records.iter().copied().enumerate());
        }
        servers.sort_unstable_by_key(|(rank, record)| (*rank, record.age_ms));
        let servers: Vec<_> =
            servers.into_iter().take(REPORT_LIMIT).map(|(_, record)| record).collect();
        (!servers.is_empty()).then_some(SendUpdate::Reached { servers })
    }

    /// Returns whether the others have to be asked whether they reach a service. They report by
    /// themselves only while they have requests for it.
    pub fn needs_reach_reports(&self, service: &str, now: Timestamp) -> bool {
        let reach = self.reach.get(service);
        reach.is_none_or(|reach| !reach.is_cut() || reach.needs_reports(now))
    }

    /// Queues the question to the other daemons whether they reach a service.
    pub fn ask_reach(&mut self, service: &str) {
        self.outgoing.push_back(SendUpdate::ReachAsked { service: service.to_owned() });
    }

    /// Records that a question about a service is to be answered. Returns false if one was lately.
    pub fn begin_answer(&mut self, service: &str, now: Timestamp) -> bool {
        let answered_at = self.answers.get(service);
        let is_due = answered_at.is_none_or(|at| now.since(*at) >= ANSWER_INTERVAL);
        if is_due && self.fleet.iter().any(|(_, server)| server.entry.service == *service) {
            self.answers.insert(service.into(), now);
        }
        is_due
    }

    /// Queues a report for the other daemons. Returns whether there is one.
    pub fn queue_reach_report(&mut self, now: Timestamp) -> bool {
        let report = self.reach_report(now);
        let has_report = report.is_some();
        self.outgoing.extend(report);
        has_report
    }

    /// Returns whether this daemon has lately reached a server of a service.
    pub fn has_reached(&self, service: &str, now: Timestamp) -> bool {
        self.fleet.iter().any(|(_, server)| {
            server.entry.service == *service
                && server.reached_at.is_some_and(|at| now.since(at) < REPORT_AGE)
        })
    }

    /// Applies the report of another daemon.
    pub(super) fn apply_report(&mut self, daemon: u64, servers: &[ReachRecord], now: Timestamp) {
        for record in servers {
            let before = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
            let at = before(record.age_ms);
            if let Some(age_ms) = record.response_age_ms {
                self.record_life(EngineIncarnation(record.incarnation), before(age_ms));
            }
            let Some(key) = self.fleet.key_by_hash(record.server) else {
                continue;
            };
            let service = self.fleet.server(key).entry.service.clone();
            self.reach.entry(service).or_default().record_report(daemon, at);
        }
    }

    /// Returns whether this daemon is cut off from the servers of a service that others reach.
    pub fn is_cut(&self, service: &str) -> bool {
        self.reach.get(service).is_some_and(ServiceReach::is_cut)
    }

    /// Returns whether this daemon is cut off from any model engines.
    pub fn is_cut_from_engines(&self) -> bool {
        let services = self.configuration.iter().flat_map(|row| row.services.iter());
        services.filter(|row| row.engine.is_some()).any(|row| self.is_cut(&row.name))
    }

    /// Decides whether a service is cut off after a check failed. Returns whether that is new.
    pub fn decide_reach(&mut self, service: &str, now: Timestamp) -> bool {
        let servers = self.reachable_servers(service, now).count();
        self.reach.get_mut(service).is_some_and(|reach| reach.decide(servers))
    }

    /// Ends the checks of a service.
    pub fn end_checks(&mut self, service: &str) {
        self.checked_services.remove(service);
    }

    /// Returns the servers of a service that should accept connections.
    pub fn reachable_servers<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = EngineKey> + 'a {
        let servers = self.fleet.iter();
        let servers = servers.filter(move |(_, server)| {
            server.entry.service == *service
                && server.presence.is_usable(now)
                && !server.is_departing()
        });
        servers.map(|(key, _)| key)
    }

    /// Returns the names of the daemons that have lately reached servers of a service.
    pub fn reaching_daemons(&self, service: &str, now: Timestamp) -> Vec<SmolStr> {
        let reach = self.reach.get(service).into_iter();
        let daemons = reach.flat_map(|reach| reach.reaching_daemons(now));
        daemons.filter_map(|daemon| self.peer_names.get(&daemon).cloned()).collect()
    }

    /// Returns whether a server responded later than an alleged crash.
    pub(super) fn outlived(&self, server: EngineIncarnation, crashed_at: Timestamp) -> bool {
        let responded_at = self.responses.get(&server);
        responded_at.is_some_and(|responded_at| *responded_at > crashed_at + RESPONSE_MARGIN)
    }

    fn record_life(&mut self, server: EngineIncarnation, at: Timestamp) {
        if self.responses.len() >= RESPONSE_LIMIT {
            self.responses.retain(|_, responded_at| at.since(*responded_at) < RESPONSE_TTL);
        }
        let responded_at = self.responses.entry(server).or_insert(at);
        *responded_at = at.max(*responded_at);
        let changes = self.parts.void_crashes(server, at - RESPONSE_MARGIN);
        self.record_verdicts(changes);
    }

    /// Makes servers available again that only the cut made fail.
    fn reset_health(&mut self, service: &str) {
        for key in self.fleet.keys() {
            let server = self.fleet.server_mut(key);
            if server.entry.service == *service {
                server.health = EngineHealth::default();
            }
        }
    }
}
