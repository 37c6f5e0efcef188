//! What servers say of themselves in their responses: that they leave, that they ask for quiet, and
//! which rate of requests they take.

use std::time::Duration;

use gooseberry_core::{arena::EngineKey, serving::fleet, time::Timestamp};
use smol_str::SmolStr;

use crate::{state::GatewayState, updates::SendUpdate};

/// Largest number of limits that are repeated to the other daemons at once.
const LIMIT_UPDATE_LIMIT: usize = 64;

/// Shortest time between the returns of two callers of this daemon that were refused because
/// servers hold requests back.
const RETURN_INTERVAL: Duration = Duration::from_millis(10);

impl GatewayState {
    /// Records that a server has said in a response that it leaves. Returns whether that is news,
    /// which the other daemons are told.
    pub fn record_leaving(&mut self, key: EngineKey) -> bool {
        let server = self.fleet.server_mut(key);
        let is_news = !std::mem::replace(&mut server.is_leaving, true);
        if is_news {
            self.outgoing.push_back(SendUpdate::ServerLeaving {
                server: fleet::server_hash(&server.entry.id),
                incarnation: fleet::incarnation(&server.entry).0,
            });
        }
        is_news
    }

    /// Records what a response of a server to a request of this daemon says about the rate of
    /// requests that it takes. Returns whether the limit changed, which the other daemons are told.
    pub fn record_limit(
        &mut self,
        key: EngineKey,
        per_second: Option<f64>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let server = self.fleet.server_mut(key);
        let has_changed = server.request_limit.record_statement(per_second, sent_at, now);
        if per_second.is_some() {
            server.request_limit.record_heard(now);
        }
        if has_changed {
            let server = fleet::server_hash(&server.entry.id);
            self.outgoing.push_back(limit_update(server, per_second, sent_at, now));
        }
        has_changed
    }

    /// Returns the limits that responses to this daemon have stated recently, for daemons that have
    /// just started or missed an update.
    pub fn limits_to_repeat(&self, now: Timestamp) -> Vec<SendUpdate> {
        let limited = self.fleet.iter().filter_map(|(_, server)| {
            let (limit, stated_at) = server.request_limit.statement_to_repeat(now)?;
            let hash = fleet::server_hash(&server.entry.id);
            Some(limit_update(hash, Some(limit), stated_at, now))
        });
        limited.take(LIMIT_UPDATE_LIMIT).collect()
    }

    /// Records a request that this daemon sends to a server. Returns whether there is an update for
    /// the other daemons, which there is if the server has stated a limit.
    pub fn record_send(&mut self, key: EngineKey, now: Timestamp) -> bool {
        self.fleet.record_paced_send(key, now);
        let server = self.fleet.server_mut(key);
        let is_limited = server.request_limit.per_second().is_some();
        if is_limited {
            server.request_limit.take_token(now);
            let server = fleet::server_hash(&server.entry.id);
            self.outgoing.push_back(SendUpdate::LimitedSend { server });
        }
        is_limited
    }

    /// Updates the share of the daemons that this one hears, given the number of other daemons that
    /// are registered.
    pub fn update_daemon_share(&mut self, registered_peers: usize, now: Timestamp) {
        self.registered_peers = registered_peers as u32;
        let share = f64::from(self.live_peers(now) + 1) / f64::from(self.known_daemons(now));
        self.fleet.set_daemon_share(share, now);
    }

    /// Records that a server has asked this daemon for quiet.
    pub fn record_quiet(&mut self, key: EngineKey, quiet: Duration, now: Timestamp) {
        let server = self.fleet.server_mut(key);
        server.quiet_until = server.quiet_until.max(now + quiet);
    }

    /// Returns when a caller is to return whose request finds no server of a service that may get
    /// requests, or none if neither a limit nor a quiet is the reason.
    pub fn request_retry_after(&mut self, service: &SmolStr, now: Timestamp) -> Option<Duration> {
        let (wait, per_second) = self.fleet.request_wait(service, now)?;
        let daemons = f64::from(self.live_peers(now) + 1);
        let interval = Duration::try_from_secs_f64(daemons / per_second).unwrap_or(Duration::MAX);
        let queue = self.returns.entry(service.clone()).or_default();
        Some(queue.next(wait, interval.max(RETURN_INTERVAL), now))
    }
}

fn limit_update(
    server: u64,
    per_second: Option<f64>,
    sent_at: Timestamp,
    now: Timestamp,
) -> SendUpdate {
    SendUpdate::LimitStated {
        server,
        per_1000_s: per_second.map(|limit| (limit * 1000.0) as u64),
        age_ms: now.since(sent_at).as_millis() as u32,
    }
}
