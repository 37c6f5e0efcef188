//! The configuration in force: routes, services and limits.

use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Says what may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that may go on at another engine behind its last event.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    pub service: SmolStr,
    pub weight: u32,
}

/// A route: which requests go to which service, and within what.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    pub name: SmolStr,
    pub host: SmolStr,
    /// Begins and ends with a slash.
    pub path_prefix: SmolStr,
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// Rank among the requests of a service; 0 is the most urgent.
    pub priority: u8,
    /// Engines to which one request may be sent.
    pub attempts: u32,
    /// Whether requests carry a prompt.
    pub carries_prompt: bool,
    /// Services with their weights; never empty.
    pub targets: Vec<RouteTarget>,
}

impl RouteRow {
    /// Chooses the service of a request; equal ids always give the same one.
    pub fn target(&self, request_id: &str) -> Option<&SmolStr> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = xxh3::xxh3_64(request_id.as_bytes()) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}

/// What is said of the engines of a model service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens that the KV cache of one engine holds.
    pub kv_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes: f64,
    /// Bandwidth of the links between engines, in megabits a second.
    pub link_mbps: f64,
    /// Time for which an exported KV cache is kept.
    pub export_lifetime: Duration,
    /// Time for which an engine that changes its stage is away.
    pub stage_change_duration: Duration,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    pub name: SmolStr,
    pub health_path: SmolStr,
    /// Connections that one engine accepts from all callers together.
    pub max_connections: u32,
    /// Present if the service's servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub head_bytes: u64,
    pub body_bytes: u64,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfiguration {
    pub version: u64,
    pub routes: Vec<RouteRow>,
    pub services: Vec<ServiceRow>,
    pub limits: CallerLimits,
}

impl ServingConfiguration {
    /// Finds the route of a request: the longest prefix of its host that begins
    /// the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(name))
            .filter(|route| path.starts_with(route.path_prefix.as_str()))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceRow> {
        self.services.iter().find(|service| service.name == name)
    }
}
