//! The recorded events of a soak: requests of callers, executions at servers, and faults.

use std::{collections::HashMap, ops::Range, time::Instant};

use gooseberry_standins::gateway_mocks;

use crate::plan::PoisonKind;

/// Kinds of requests, which differ in the service and in whether they are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    Plain,
    Order,
    Chat,
    Review,
}

impl CallKind {
    /// Returns whether a request may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Plain | Self::Review)
    }
}

/// The stream that a request resumes.
#[derive(Clone, Debug)]
pub struct ResumedStream {
    /// Id of the request that began it.
    pub origin: String,
    /// Number of events that the caller has received.
    pub events: usize,
}

/// A request and its response as the caller observed them.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub daemon: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub resumed: Option<ResumedStream>,
    /// All bytes of the response; empty if none arrived.
    pub answer: String,
    /// Whether the daemon accepted the connection.
    pub is_connected: bool,
    /// Whether the request crashes the engine that begins to write its stream.
    pub is_poison: bool,
}

impl CallRecord {
    /// Returns whether a complete, successful response arrived.
    pub fn is_served(&self) -> bool {
        gateway_mocks::status_code(&self.answer) == "200"
            && gateway_mocks::is_complete_response(&self.answer)
    }

    /// Returns the complete events of a streamed response.
    pub fn events(&self) -> Vec<String> {
        let Some((_, body)) = self.answer.split_once("\r\n\r\n") else {
            return Vec::new();
        };
        let text = decode_chunked(body);
        let complete = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
        complete.map(str::to_owned).collect()
    }

    /// Returns whether the response reports that the request was not executed.
    pub fn reports_not_executed(&self) -> bool {
        let is_refusal =
            ["408", "421", "429", "503"].contains(&gateway_mocks::status_code(&self.answer));
        is_refusal && !gateway_mocks::is_signed(&self.answer)
    }
}

/// One execution of a request at a server.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    pub server: String,
    pub service: &'static str,
    pub began_at: Instant,
    /// Body of the response, also if the server dropped the response.
    pub body: String,
}

/// A request that a server got.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    pub server: String,
    /// Id of the request.
    pub id: String,
    pub at: Instant,
    /// Whether the server responds and says that it leaves.
    pub is_leaving: bool,
    /// Whether the server rejects the request and asks for quiet.
    pub asks_for_quiet: bool,
}

/// A poison request that a server got.
#[derive(Clone, Debug)]
pub struct PoisonArrival {
    pub kind: PoisonKind,
    /// Id of the request.
    pub id: String,
    pub at: Instant,
}

/// A limit that a server named in all its responses from a time on.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    pub per_second: f64,
    pub since: Instant,
}

/// The interval in which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    pub scope: FaultScope,
    pub from: Instant,
    pub until: Instant,
}

/// The part of the system that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// The process of a daemon, which is killed or paused without a signal to shut down.
    Daemon(usize),
    /// The connection of one daemon to the store.
    StoreConnection(usize),
    Store,
    Servers,
    /// The connections of one server, which may not deliver its responses.
    ServerConnection(usize),
    /// The links of one daemon to all servers, which other daemons reach.
    DaemonLinks(usize),
    /// A daemon that is asked to shut down, or starts after it.
    DaemonRestart(usize),
}

/// An order that a server got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    pub server: String,
    pub holder: String,
    pub fence: u64,
}

/// Holds all recorded events.
#[derive(Debug, Default)]
pub struct SoakHistory {
    pub calls: Vec<CallRecord>,
    pub executions: HashMap<String, Vec<ExecutionRecord>>,
    /// Requests that servers got, whether they executed them or not.
    pub arrivals: Vec<ArrivalRecord>,
    /// Limits that servers named, by their ids.
    pub limits: HashMap<String, NamedLimit>,
    pub poison_arrivals: Vec<PoisonArrival>,
    /// Times at which poison requests crashed servers.
    pub crashes: Vec<(PoisonKind, Instant)>,
    /// Time at which each server's entry in the store was set to draining.
    pub draining_since: HashMap<String, Instant>,
    /// Time at which the entry of each server was removed that serves on.
    pub removed_at: HashMap<String, Instant>,
    /// Orders that servers got, in the order of time.
    pub orders: Vec<OrderRecord>,
    /// Times at which the route of plain calls changed, with the new service.
    pub route_changes: Vec<(Instant, &'static str)>,
    pub fault_intervals: Vec<FaultInterval>,
    /// Time at which the last fault was removed.
    pub faults_cleared_at: Option<Instant>,
}

impl SoakHistory {
    /// Extends recorded faults, other than momentary ones, to the time at which they really ended.
    pub fn extend_intervals(&mut self, recorded: Range<usize>, ended_at: Instant) {
        for interval in &mut self.fault_intervals[recorded] {
            if interval.until > interval.from {
                interval.until = interval.until.max(ended_at);
            }
        }
    }

    /// Returns whether a fault of a matching scope was active between two times.
    pub fn had_fault(
        &self,
        from: Instant,
        until: Instant,
        scope: impl Fn(FaultScope) -> bool,
    ) -> bool {
        let mut intervals = self.fault_intervals.iter();
        intervals.any(|interval| {
            scope(interval.scope) && interval.from <= until && interval.until >= from
        })
    }
}

/// Decodes a body with the transfer encoding `chunked`.
pub fn decode_chunked(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        if length == 0 || rest.len() < length + 2 {
            break;
        }
        text.push_str(&rest[..length]);
        body = &rest[length + 2..];
    }
    text
}
