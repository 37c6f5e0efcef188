//! The fleet as one configuration revision describes it.
//!
//! The configuration crate builds a [`FleetTable`] from a checked text. The
//! table is immutable: a later revision brings a new one, and a request in
//! flight keeps the table that it was accepted with.

use std::{collections::HashMap, str::FromStr, time::Duration};

use smol_str::SmolStr;

use crate::arena::{
    AccountKey, Arena, DomainKey, EngineKey, ModelKey, PlainKey, RegionKey, ServiceKey,
};

/// Holds all entities of one configuration revision.
#[derive(Clone, Debug, Default)]
pub struct FleetTable {
    /// Revision of the configuration; 0 before the first one.
    pub revision: u64,
    pub regions: Arena<RegionKey, SmolStr>,
    pub domains: Arena<DomainKey, DomainRow>,
    pub links: Vec<LinkRow>,
    pub models: Arena<ModelKey, ModelRow>,
    pub engines: Arena<EngineKey, EngineRow>,
    pub services: Arena<ServiceKey, ServiceRow>,
    pub plain_servers: Arena<PlainKey, PlainRow>,
    pub accounts: Arena<AccountKey, AccountRow>,
    pub account_index: AccountIndex,
    pub objectives: ObjectiveRow,
    pub limits: LimitRow,
}

impl FleetTable {
    /// Finds a failure domain by its name.
    pub fn domain(&self, name: &str) -> Option<DomainKey> {
        self.domains.find(|domain| domain.name == name).map(|(key, _)| key)
    }

    /// Finds the completion service that offers a model to callers.
    pub fn completion_service(&self, model: &str) -> Option<(ServiceKey, ModelKey)> {
        let by_name = self.services.iter().find(|(_, service)| service.name == model);
        let found = by_name
            .or_else(|| self.services.iter().find(|(_, service)| self.serves(service, model)));
        let (key, service) = found?;
        match service.kind {
            ServiceKind::Completion { model } => Some((key, model)),
            ServiceKind::Plain { .. } => None,
        }
    }

    fn serves(&self, service: &ServiceRow, model: &str) -> bool {
        match service.kind {
            ServiceKind::Completion { model: key } => self.models[key].name == model,
            ServiceKind::Plain { .. } => false,
        }
    }

    /// Finds the plain service whose prefix is the longest that fits a path.
    pub fn plain_service(&self, path: &str) -> Option<ServiceKey> {
        self.services
            .iter()
            .filter_map(|(key, service)| service.matched_prefix(path).map(|length| (length, key)))
            .max_by_key(|(length, _)| *length)
            .map(|(_, key)| key)
    }

    /// Returns the link between two regions, if they differ and one is described.
    pub fn link(&self, from: RegionKey, to: RegionKey) -> Option<&LinkRow> {
        self.links.iter().find(|link| {
            (link.from == from && link.to == to) || (link.from == to && link.to == from)
        })
    }
}

/// Describes a failure domain.
#[derive(Clone, Debug)]
pub struct DomainRow {
    pub name: SmolStr,
    pub region: RegionKey,
}

/// Describes the link between two regions, in both directions.
#[derive(Clone, Debug)]
pub struct LinkRow {
    pub from: RegionKey,
    pub to: RegionKey,
    /// One-way latency.
    pub latency: Duration,
    /// Price for each gigabyte carried.
    pub price_per_gb: f64,
    /// Volume that spilled requests may use, in bytes a second.
    pub bytes_per_second: Option<u64>,
}

/// Describes a model.
#[derive(Clone, Debug)]
pub struct ModelRow {
    pub name: SmolStr,
    pub versions: Vec<SmolStr>,
    pub adapters: Vec<SmolStr>,
}

/// Says which phase of a request an engine works on.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    Prefill,
    Decode,
    #[default]
    Mixed,
}

impl EngineRole {
    /// Tells whether an engine of this role computes prompts.
    pub fn prefills(self) -> bool {
        matches!(self, Self::Prefill | Self::Mixed)
    }

    /// Tells whether an engine of this role generates tokens.
    pub fn decodes(self) -> bool {
        matches!(self, Self::Decode | Self::Mixed)
    }
}

/// Describes a model engine.
#[derive(Clone, Debug)]
pub struct EngineRow {
    pub name: SmolStr,
    /// IP address and port.
    pub address: SmolStr,
    pub domain: DomainKey,
    pub model: ModelKey,
    pub version: Option<SmolStr>,
    pub adapters: Vec<SmolStr>,
    /// Role that the engine starts with.
    pub role: EngineRole,
    pub accelerators: u32,
    /// Whether the engine refuses an order with an old fencing token.
    pub checks_fencing: bool,
    /// Whether operators withdraw the engine.
    pub withdrawn: bool,
}

/// Describes a service that callers use.
#[derive(Clone, Debug)]
pub struct ServiceRow {
    pub name: SmolStr,
    pub kind: ServiceKind,
    pub depends_on: Vec<ServiceKey>,
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Time for which callers may retry an idempotency key.
    pub retry_horizon: Duration,
    /// Whether the service yields to those that people wait for.
    pub batch: bool,
}

impl ServiceRow {
    /// Returns the length of the prefix that a path matches.
    fn matched_prefix(&self, path: &str) -> Option<usize> {
        let ServiceKind::Plain { prefix, .. } = &self.kind else {
            return None;
        };
        let rest = path.strip_prefix(prefix.as_str())?;
        let whole_segment = rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/');
        whole_segment.then_some(prefix.len())
    }

    /// Tells whether a call of this service may run at most once.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        let ServiceKind::Plain { prefix, non_idempotent: unrepeatable } = &self.kind else {
            return false;
        };
        let rest = path.strip_prefix(prefix.as_str()).unwrap_or(path);
        unrepeatable.iter().any(|call| call.fits(method, rest))
    }
}

/// Says what kind of backend server answers a service.
#[derive(Clone, Debug)]
pub enum ServiceKind {
    Completion { model: ModelKey },
    Plain { prefix: SmolStr, non_idempotent: Vec<NonIdempotentCall> },
}

/// Names calls that run at most once.
#[derive(Clone, Debug)]
pub struct NonIdempotentCall {
    /// Method in upper case.
    pub method: SmolStr,
    /// Path below the prefix; a trailing `*` matches any rest.
    pub path: SmolStr,
}

impl NonIdempotentCall {
    fn fits(&self, method: &str, path: &str) -> bool {
        let path_fits = match self.path.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == self.path,
        };
        path_fits && self.method.eq_ignore_ascii_case(method)
    }
}

/// Describes a backend server of a plain service.
#[derive(Clone, Debug)]
pub struct PlainRow {
    pub name: SmolStr,
    pub service: ServiceKey,
    pub address: SmolStr,
    pub domain: DomainKey,
    pub withdrawn: bool,
}

/// Orders accounts under overload, lowest first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AccountPriority {
    Batch,
    #[default]
    Normal,
    Urgent,
}

/// Describes a client account.
#[derive(Clone, Debug)]
pub struct AccountRow {
    pub name: SmolStr,
    /// SHA-256 digests of the keys that are valid now.
    pub key_digests: Vec<[u8; 32]>,
    pub requests_per_second: f64,
    pub tokens_per_second: f64,
    pub priority: AccountPriority,
}

/// Finds accounts by the digest of a key, in a time that doesn't grow with
/// their number.
///
/// The index is keyed by the first bytes of a digest, which tell nothing of a
/// key; whether the whole digest fits is for the caller to compare.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    by_start: HashMap<[u8; DIGEST_START], Vec<AccountKey>>,
}

/// Bytes of a digest that the index is keyed by.
const DIGEST_START: usize = 8;

impl AccountIndex {
    /// Indexes all valid keys of all accounts.
    pub fn new(accounts: &Arena<AccountKey, AccountRow>) -> Self {
        let mut index = Self::default();
        for (account, row) in accounts.iter() {
            for digest in &row.key_digests {
                index.by_start.entry(start(digest)).or_default().push(account);
            }
        }
        index
    }

    /// Returns the accounts that may have a key with this digest.
    pub fn candidates(&self, digest: &[u8; 32]) -> &[AccountKey] {
        self.by_start.get(&start(digest)).map_or(&[], Vec::as_slice)
    }
}

fn start(digest: &[u8; 32]) -> [u8; DIGEST_START] {
    let mut start = [0; DIGEST_START];
    start.copy_from_slice(&digest[..DIGEST_START]);
    start
}

/// Says what the deployment values most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ObjectiveWeight {
    #[default]
    Goodput,
    RoleChanges,
}

/// States what the deployment aims for.
#[derive(Clone, Debug, Default)]
pub struct ObjectiveRow {
    pub first_token: Duration,
    pub between_tokens: Duration,
    pub weight: ObjectiveWeight,
}

/// States the limits of requests and retries.
#[derive(Clone, Debug, Default)]
pub struct LimitRow {
    pub max_body_bytes: u64,
    /// Retries allowed as a share of first attempts.
    pub retry_share: f64,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
}

/// Reads an enum that has names, falling back to its default.
pub fn parse_or_default<T: FromStr + Default>(name: &str) -> T {
    name.parse().unwrap_or_default()
}
