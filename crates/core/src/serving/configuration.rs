//! The current configuration: routes, services, limits and client accounts.

use std::{collections::BTreeMap, fmt, time::Duration};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that may be resumed at another engine after the last event that was received.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run again although it may have run before.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    pub service: SmolStr,
    pub weight: u32,
}

/// A route: the requests that it matches, the services that they go to, and their time limits.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    pub name: SmolStr,
    pub host: SmolStr,
    /// Starts and ends with a slash.
    pub path_prefix: SmolStr,
    pub kind: RouteKind,
    /// Longest time that a request may take, counted from its arrival.
    pub timeout: Duration,
    /// Time within which the response, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between events of a stream that is on time.
    pub event_pause: Duration,
    /// Scheduling priority within a service; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of attempts that may run one request, if it is idempotent. Attempts that
    /// provably didn't run it don't count.
    pub attempts: u32,
    /// Whether requests have a prompt.
    pub carries_prompt: bool,
    /// Whether requests need no key although the configuration has accounts.
    pub is_anonymous: bool,
    /// Services with their weights; never empty.
    pub targets: Vec<RouteTarget>,
}

impl RouteRow {
    /// Chooses the service of a request. Services get requests in proportion to their weights, and
    /// equal request ids always get the same service.
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

/// Configured properties of the engines of a model service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// KV cache size per token, in bytes.
    pub kv_bytes: f64,
    /// Bandwidth between engines, in megabits per second.
    pub link_mbps: f64,
    /// Time for which an exported KV cache is kept.
    pub export_lifetime: Duration,
    /// Time for which an engine is unavailable while it changes its stage.
    pub stage_change_duration: Duration,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    pub name: SmolStr,
    pub health_path: SmolStr,
    /// Connections that one server accepts in total.
    pub max_connections: u32,
    /// Shortest of the pauses between events with which the streams of the service's routes are on
    /// time.
    pub event_pause: Duration,
    /// Present if the servers of the service are model engines.
    pub engine: Option<EngineSpec>,
    /// Present if engines of the service can be ordered.
    pub scaling: Option<ScalingSpec>,
}

/// Limits and prices of the engines of a service that can be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Bounds on the engines of one failure domain, reclaimable or not.
    pub min: u32,
    pub max: u32,
    /// Time from an order to the first request that a new engine serves.
    pub boot: Duration,
    /// Price of a reclaimable engine as a share of that of another one, or none if there are no
    /// reclaimable engines.
    pub reclaimable_price: Option<f64>,
    /// Price of a second of an engine by failure domain. Other domains have the price 1.
    pub domain_prices: BTreeMap<SmolStr, f64>,
}

/// Limits on callers' requests.
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
    /// Client accounts with their keys. Without accounts, requests need no key.
    pub accounts: Vec<AccountSpec>,
}

/// A client account of the configuration.
#[derive(Clone, PartialEq, Eq)]
pub struct AccountSpec {
    pub name: SmolStr,
    /// Keys with which callers authenticate. They must never be logged.
    pub keys: Vec<SmolStr>,
    /// Priority of the account's requests, which goes before that of their routes.
    pub priority: Option<u8>,
}

impl fmt::Debug for AccountSpec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AccountSpec")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

impl ServingConfiguration {
    /// Finds the route of a request: the one of its host, regardless of case and port, with the
    /// longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(name))
            .filter(|route| path.starts_with(route.path_prefix.as_str()))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRow> {
        self.services.iter().find(|service| service.name == name)
    }
}
