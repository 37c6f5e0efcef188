//! The requests of a trace, with their names resolved and their outcomes.

use std::collections::BTreeMap;

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, ModelKey},
    fleet::{FleetTable, ServiceKind},
};
use gooseberry_wire::trace::TraceEntry;

/// Identifies a request by its index in the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(pub u32);

/// Describes how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplayOutcome {
    /// The complete response arrived before the deadline.
    Completed,
    /// The request was refused before it was executed.
    Refused(RefusalKind),
    /// The request was accepted but gave no complete response.
    Failed(FailureKind),
}

/// Names the reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    DeadlineUnmeetable,
    NoBackend,
    UnknownService,
}

/// Names the reason of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The deadline passed while the request was queued or running.
    DeadlinePassed,
    /// The engine has a bad version, which failed the request.
    BackendFailed,
}

/// Names what serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    Model(ModelKey),
    Plain,
    Unknown,
}

/// Holds one request with its names resolved.
#[derive(Clone, Debug)]
pub struct ReplayRequest {
    pub at_us: u64,
    pub deadline_us: u64,
    pub domain: DomainKey,
    pub target: RequestTarget,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Identifier and tokens of the prefix that prompts share.
    pub prefix: Option<(u32, u32)>,
    pub is_batch: bool,
    /// Whether the plain service has a backend server that isn't withdrawn.
    pub has_plain_server: bool,
    pub outcome: Option<ReplayOutcome>,
}

/// Resolves the names of all requests of a trace.
pub fn resolve(entries: &[TraceEntry], fleet: &FleetTable) -> Vec<ReplayRequest> {
    let mut prefixes = BTreeMap::new();
    entries
        .iter()
        .enumerate()
        .map(|(index, entry)| resolve_one(index, entry, fleet, &mut prefixes))
        .collect()
}

fn resolve_one(
    index: usize,
    entry: &TraceEntry,
    fleet: &FleetTable,
    prefixes: &mut BTreeMap<String, u32>,
) -> ReplayRequest {
    let service = fleet.services.find(|service| service.name == entry.service);
    let target = match service.map(|(_, row)| &row.kind) {
        Some(ServiceKind::Completion { model }) => RequestTarget::Model(*model),
        Some(ServiceKind::Plain { .. }) => RequestTarget::Plain,
        None => RequestTarget::Unknown,
    };
    let default_ms = service.map_or(0, |(_, row)| row.deadline.as_millis() as u64);
    let deadline_ms = entry.deadline_ms.unwrap_or(default_ms);
    let named = entry.failure_domain.as_deref().and_then(|name| fleet.domain(name));
    let domain = named.unwrap_or_else(|| DomainKey::from_index(index % fleet.domains.len()));
    let next = prefixes.len() as u32;
    let prefix = entry
        .prefix
        .as_ref()
        .map(|name| (*prefixes.entry(name.clone()).or_insert(next), entry.prefix_tokens));
    let has_plain_server = service.is_some_and(|(key, _)| {
        fleet.plain_servers.iter().any(|(_, row)| row.service == key && !row.withdrawn)
    });
    ReplayRequest {
        at_us: entry.at_ms * 1000,
        deadline_us: (entry.at_ms + deadline_ms) * 1000,
        domain,
        target,
        prompt_tokens: entry.prompt_tokens,
        output_tokens: entry.output_tokens.max(1),
        prefix,
        is_batch: service.is_some_and(|(_, row)| row.batch),
        has_plain_server,
        outcome: None,
    }
}

impl ReplayRequest {
    /// Returns the output tokens that count as useful if the response is complete.
    pub fn useful_tokens(&self) -> u32 {
        match self.target {
            RequestTarget::Model(_) => self.output_tokens,
            RequestTarget::Plain | RequestTarget::Unknown => 0,
        }
    }
}
