//! What servers ran and callers got, with the times of faults.

use std::{collections::HashMap, time::Instant};

use gooseberry_standins::gateway_mocks;

/// Kinds of request, by what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    Plain,
    Order,
    Chat,
    Review,
}

impl CallKind {
    /// Tells whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Plain | Self::Review)
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub daemon: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// All bytes of the answer; empty if none came.
    pub answer: String,
    /// Whether the connection was taken.
    pub is_connected: bool,
}

impl CallRecord {
    /// Tells whether the whole answer of a server came.
    pub fn is_served(&self) -> bool {
        gateway_mocks::status_code(&self.answer) == "200"
            && gateway_mocks::is_complete_response(&self.answer)
    }

    /// Tells whether the answer promises that the request hasn't run.
    pub fn reports_not_executed(&self) -> bool {
        let is_promise =
            ["408", "421", "429", "503"].contains(&gateway_mocks::status_code(&self.answer));
        is_promise && !gateway_mocks::is_signed(&self.answer)
    }
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    pub server: String,
    pub service: &'static str,
    pub began_at: Instant,
    /// What the server answered or would have.
    pub body: String,
}

/// A time in which something was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    pub scope: FaultScope,
    pub from: Instant,
    pub until: Instant,
}

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// The process of a daemon, without notice.
    Daemon(usize),
    /// A daemon's link to the store.
    StoreConnection(usize),
    Store,
    Servers,
}

/// Keeps all that was seen.
#[derive(Debug, Default)]
pub struct SoakHistory {
    pub calls: Vec<CallRecord>,
    pub executions: HashMap<String, Vec<ExecutionRecord>>,
    /// Requests that reached a server, whether they ran or not.
    pub arrivals: Vec<(String, Instant)>,
    /// Since when a server's leaving stands in the store.
    pub draining_since: HashMap<String, Instant>,
    /// Since when a service takes the plain calls.
    pub route_changes: Vec<(Instant, &'static str)>,
    pub fault_intervals: Vec<FaultInterval>,
    /// Since when no fault is left.
    pub faults_cleared_at: Option<Instant>,
}

impl SoakHistory {
    /// Tells whether something of a scope was disturbed in a time.
    pub fn had_fault(
        &self,
        from: Instant,
        until: Instant,
        scope: impl Fn(FaultScope) -> bool,
    ) -> bool {
        let mut spans = self.fault_intervals.iter();
        spans.any(|span| scope(span.scope) && span.from <= until && span.until >= from)
    }
}
