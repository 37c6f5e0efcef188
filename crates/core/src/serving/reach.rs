//! Services that this daemon is cut off from, although other daemons reach them.
//!
//! Servers that crashed can't be connected by any daemon. So a service counts as cut off if several of
//! its servers can't be connected here and another daemon has reached one of them since the failures
//! began. Only new connections decide, since open ones may outlive the loss of a link.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{arena::EngineKey, time::Timestamp};

/// Number of servers that fail in a row from which a service may be cut off. A service that has fewer
/// needs all of them.
const FAILED_SERVERS: usize = 2;
/// Time by which another daemon has to have reached a server later than the first failure here. It
/// covers what was in flight when a server crashed.
const REPORT_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a report of another daemon shows that it reaches a service: three summaries.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// What is known about the links to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    /// Servers that could not be connected since the last success with any server.
    failed: HashSet<EngineKey>,
    /// Time of the first of these failures.
    failing_since: Option<Timestamp>,
    is_cut: bool,
    /// Time at which each other daemon last reached a server, by the hash of the daemon.
    reports: HashMap<u64, Timestamp>,
}

impl ServiceReach {
    /// Records that a server could not be connected.
    pub fn record_failure(&mut self, key: EngineKey, now: Timestamp) {
        self.failed.insert(key);
        self.failing_since.get_or_insert(now);
    }

    /// Records a new connection to a server. During a cut it doesn't count, since some of the links may
    /// be left.
    pub fn record_success(&mut self) {
        if !self.is_cut {
            self.failed.clear();
            self.failing_since = None;
        }
    }

    /// Records a check in which so many servers could be connected. Returns whether that ends a cut,
    /// which takes at least half of them.
    pub fn record_check(&mut self, connected: usize, checked: usize) -> bool {
        let is_restored = self.is_cut && 2 * connected >= checked;
        if is_restored {
            self.is_cut = false;
            self.record_success();
        }
        is_restored
    }

    /// Records that another daemon reached a server at a time.
    pub fn record_report(&mut self, daemon: u64, at: Timestamp) {
        let reached_at = self.reports.entry(daemon).or_insert(at);
        *reached_at = at.max(*reached_at);
    }

    /// Returns whether the service may be cut off. `servers` is the number of its servers.
    pub fn is_suspect(&self, servers: usize) -> bool {
        !self.failed.is_empty() && self.failed.len() >= FAILED_SERVERS.min(servers)
    }

    /// Decides whether the service is cut off, after a check of several servers has failed. Returns
    /// whether that is new.
    pub fn decide(&mut self, servers: usize) -> bool {
        let is_reached_since = |since: Timestamp| {
            self.reports.values().any(|reached_at| *reached_at > since + REPORT_MARGIN)
        };
        let is_new = !self.is_cut
            && self.is_suspect(servers)
            && self.failing_since.is_some_and(is_reached_since);
        self.is_cut |= is_new;
        is_new
    }

    /// Returns whether the service is cut off.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether the reports of other daemons will soon no longer count.
    pub fn needs_reports(&self, now: Timestamp) -> bool {
        self.reports.values().all(|reached_at| now.since(*reached_at) >= REPORT_TTL / 2)
    }

    /// Returns the daemons that have reached the service lately.
    pub fn reaching_daemons(&self, now: Timestamp) -> impl Iterator<Item = u64> + '_ {
        let is_recent =
            move |(_, reached_at): &(&u64, &Timestamp)| now.since(**reached_at) < REPORT_TTL;
        self.reports.iter().filter(is_recent).map(|(daemon, _)| *daemon)
    }

    /// Removes the reports of daemons that no longer report.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.reports.retain(|_, reached_at| now.since(*reached_at) < 4 * REPORT_TTL);
    }
}
