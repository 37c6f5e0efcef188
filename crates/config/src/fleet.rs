//! Builds the fleet of a configuration text and checks its cross-references.

use std::{collections::HashMap, fmt::Display, net::SocketAddr, time::Duration};

use gooseberry_core::{
    arena::{ArenaKey, DomainKey, ModelKey, RegionKey, ServiceKey},
    fleet::{
        self, AccountIndex, AccountRow, DomainRow, EngineRow, FleetTable, LimitRow, LinkRow,
        ModelRow, ObjectiveRow, PlainRow, ServiceRow,
    },
};
use gooseberry_wire::{
    configuration::{self, ConfigurationText, ServiceEntry, ServiceKind},
    CONFIGURATION_SCHEMA,
};
use smol_str::SmolStr;

use crate::{
    diagnostic::{TextDiagnostic, TextDiagnostics},
    document::LocatedDocument,
};

/// Reads, checks and builds the fleet of a configuration text.
///
/// # Errors
///
/// Returns all faults of the text.
///
/// # Panics
///
/// Panics if the schema admits what the generated type refuses.
pub fn build(revision: u64, text: &str) -> Result<FleetTable, TextDiagnostics> {
    let document = LocatedDocument::parse(text)?;
    document.check(CONFIGURATION_SCHEMA, "ConfigurationText")?;
    let text: ConfigurationText =
        serde_json::from_value(document.value.clone()).expect("the schema admits only such texts");
    let mut builder = FleetBuilder::new(&document);
    let fleet = builder.build(revision, &text);
    if builder.faults.is_empty() {
        return Ok(fleet);
    }
    Err(TextDiagnostics::new(builder.faults))
}

/// Builds a fleet and collects the faults that it meets.
struct FleetBuilder<'a> {
    document: &'a LocatedDocument,
    faults: Vec<TextDiagnostic>,
}

impl<'a> FleetBuilder<'a> {
    fn new(document: &'a LocatedDocument) -> Self {
        Self { document, faults: Vec::new() }
    }

    fn build(&mut self, revision: u64, text: &ConfigurationText) -> FleetTable {
        self.check_names(text);
        let mut fleet = FleetTable { revision, ..FleetTable::default() };
        self.add_domains(text, &mut fleet);
        self.add_links(text, &mut fleet);
        self.add_models(text, &mut fleet);
        self.add_services(text, &mut fleet);
        self.add_engines(text, &mut fleet);
        self.add_plain_servers(text, &mut fleet);
        self.add_accounts(text, &mut fleet);
        fleet.account_index = AccountIndex::new(&fleet.accounts);
        let objectives = text.objectives.clone().unwrap_or_default();
        fleet.objectives = ObjectiveRow {
            first_token: Duration::from_millis(objectives.first_token_ms),
            between_tokens: Duration::from_millis(objectives.between_tokens_ms),
            weight: fleet::parse_or_default(&objectives.weight.to_string()),
        };
        let limits = text.limits.clone().unwrap_or_default();
        fleet.limits = LimitRow {
            max_body_bytes: limits.body_bytes,
            retry_share: limits.retry_share,
            max_attempts: limits.attempts,
        };
        fleet
    }

    fn fault(&mut self, pointer: &str, message: String) {
        self.faults.push(self.document.diagnostic(pointer, message));
    }

    fn check_names(&mut self, text: &ConfigurationText) {
        self.check_unique("failure_domains", text.failure_domains.iter().map(|row| &row.name));
        self.check_unique("models", text.models.iter().map(|row| &row.name));
        self.check_unique("engines", text.engines.iter().map(|row| &row.name));
        self.check_unique("services", text.services.iter().map(|row| &row.name));
        self.check_unique("plain_servers", text.plain_servers.iter().map(|row| &row.name));
        self.check_unique("accounts", text.accounts.iter().map(|row| &row.name));
    }

    fn check_unique<'t>(&mut self, list: &str, names: impl Iterator<Item = &'t String>) {
        let mut seen = HashMap::new();
        for (index, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, index) {
                let message = format!("{name} is the name of {list}[{first}] too; rename one");
                self.fault(&format!("/{list}/{index}/name"), message);
            }
        }
    }

    fn add_domains(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for entry in &text.failure_domains {
            let known = fleet.regions.find(|region| *region == entry.region).map(|(key, _)| key);
            let region = match known {
                Some(key) => key,
                None => fleet.regions.push(SmolStr::new(&entry.region)),
            };
            fleet.domains.push(DomainRow { name: SmolStr::new(&entry.name), region });
        }
    }

    fn add_links(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for (index, entry) in text.links.iter().enumerate() {
            let at = format!("/links/{index}");
            let from = self.region(&format!("{at}/from"), &entry.from, fleet);
            let to = self.region(&format!("{at}/to"), &entry.to, fleet);
            fleet.links.push(LinkRow {
                from,
                to,
                latency: Duration::from_secs_f64(entry.latency_ms / 1000.0),
                price_per_gb: entry.price_per_gb,
                bytes_per_second: entry.bytes_per_second,
            });
        }
    }

    fn region(&mut self, pointer: &str, name: &str, fleet: &FleetTable) -> RegionKey {
        let found = fleet.regions.find(|region| region == name).map(|(key, _)| key);
        self.resolve(pointer, "region of a failure domain", name, found)
    }

    fn domain(&mut self, pointer: &str, name: &str, fleet: &FleetTable) -> DomainKey {
        self.resolve(pointer, "failure domain", name, fleet.domain(name))
    }

    fn model(&mut self, pointer: &str, name: &str, fleet: &FleetTable) -> ModelKey {
        let found = fleet.models.find(|model| model.name == name).map(|(key, _)| key);
        self.resolve(pointer, "model", name, found)
    }

    /// Returns a found key, or notes the fault and returns the first key.
    ///
    /// The fleet is dropped once a fault is noted, so the key is never used.
    fn resolve<K: ArenaKey>(
        &mut self,
        pointer: &str,
        what: &str,
        name: &str,
        found: Option<K>,
    ) -> K {
        found.unwrap_or_else(|| {
            let message = format!("no {what} is called {name}; add it or correct the name");
            self.fault(pointer, message);
            K::from_index(0)
        })
    }

    fn add_models(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for entry in &text.models {
            fleet.models.push(ModelRow {
                name: SmolStr::new(&entry.name),
                versions: short(&entry.versions),
                adapters: short(&entry.adapters),
            });
        }
    }

    fn add_services(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        let names: Vec<_> = text.services.iter().map(|entry| entry.name.as_str()).collect();
        for (index, entry) in text.services.iter().enumerate() {
            let at = format!("/services/{index}");
            let kind = self.service_kind(&at, entry, fleet);
            let depends_on = self.dependencies(&at, entry, &names);
            fleet.services.push(ServiceRow {
                name: SmolStr::new(&entry.name),
                kind,
                depends_on,
                deadline: Duration::from_millis(entry.deadline_ms.get()),
                retry_horizon: Duration::from_secs(entry.retry_horizon_s.get()),
                batch: entry.batch,
            });
        }
        self.check_cycles(fleet);
    }

    fn service_kind(
        &mut self,
        at: &str,
        entry: &ServiceEntry,
        fleet: &FleetTable,
    ) -> fleet::ServiceKind {
        match entry.kind {
            ServiceKind::Completion => {
                let Some(model) = &entry.model else {
                    self.fault(at, "a completion service needs the field model; add it".to_owned());
                    return fleet::ServiceKind::Completion { model: ModelKey::from_index(0) };
                };
                let model = self.model(&format!("{at}/model"), model, fleet);
                fleet::ServiceKind::Completion { model }
            }
            ServiceKind::Plain => {
                let prefix = self.prefix(at, entry);
                let unrepeatable = entry.unrepeatable.iter().map(unrepeatable_call).collect();
                fleet::ServiceKind::Plain { prefix, non_idempotent: unrepeatable }
            }
        }
    }

    fn prefix(&mut self, at: &str, entry: &ServiceEntry) -> SmolStr {
        match &entry.prefix {
            Some(prefix) if prefix.starts_with('/') => SmolStr::new(prefix),
            Some(prefix) => {
                let message = format!("the prefix {prefix} must begin with /");
                self.fault(&format!("{at}/prefix"), message);
                SmolStr::default()
            }
            None => {
                self.fault(at, "a plain service needs the field prefix; add it".to_owned());
                SmolStr::default()
            }
        }
    }

    fn dependencies(&mut self, at: &str, entry: &ServiceEntry, names: &[&str]) -> Vec<ServiceKey> {
        let mut keys = Vec::new();
        for (index, name) in entry.depends_on.iter().enumerate() {
            match names.iter().position(|known| known == name) {
                Some(position) => keys.push(ServiceKey::from_index(position)),
                None => {
                    let message =
                        format!("no service is called {name}; add it or correct the name");
                    self.fault(&format!("{at}/depends_on/{index}"), message);
                }
            }
        }
        keys
    }

    fn check_cycles(&mut self, fleet: &FleetTable) {
        for (key, service) in fleet.services.iter() {
            if reaches(fleet, key, key, &mut vec![false; fleet.services.len()]) {
                let message = format!("{} depends on itself in a circle; break it", service.name);
                self.fault(&format!("/services/{}/depends_on", key.index()), message);
            }
        }
    }

    fn add_engines(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for (index, entry) in text.engines.iter().enumerate() {
            let at = format!("/engines/{index}");
            self.check_address(&at, &entry.address);
            let domain = self.domain(&format!("{at}/failure_domain"), &entry.failure_domain, fleet);
            let model = self.model(&format!("{at}/model"), &entry.model, fleet);
            if let Some(row) = fleet.models.get(model) {
                let version = entry.version.iter();
                self.check_known(&format!("{at}/version"), "version", version, &row.versions);
                let adapters = entry.adapters.iter();
                self.check_known(&format!("{at}/adapters"), "adapter", adapters, &row.adapters);
            }
            fleet.engines.push(EngineRow {
                name: SmolStr::new(&entry.name),
                address: SmolStr::new(&entry.address),
                domain,
                model,
                version: entry.version.as_deref().map(SmolStr::new),
                adapters: short(&entry.adapters),
                role: fleet::parse_or_default(&entry.role.to_string()),
                accelerators: entry.accelerators.get(),
                checks_fencing: entry.checks_fencing,
                withdrawn: entry.leaving,
            });
        }
    }

    fn check_known<'t>(
        &mut self,
        pointer: &str,
        what: &str,
        names: impl Iterator<Item = &'t String>,
        known: &[SmolStr],
    ) {
        for name in names {
            if !known.iter().any(|row| row == name) {
                self.fault(pointer, format!("the model has no {what} {name}; add it there"));
            }
        }
    }

    fn check_address(&mut self, at: &str, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            let message = format!("{address} isn't an IP address and port");
            self.fault(&format!("{at}/address"), message);
        }
    }

    fn add_plain_servers(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for (index, entry) in text.plain_servers.iter().enumerate() {
            let at = format!("/plain_servers/{index}");
            self.check_address(&at, &entry.address);
            let domain = self.domain(&format!("{at}/failure_domain"), &entry.failure_domain, fleet);
            let found = fleet.services.find(|row| row.name == entry.service).map(|(key, _)| key);
            let pointer = format!("{at}/service");
            let service = self.resolve(&pointer, "service", &entry.service, found);
            fleet.plain_servers.push(PlainRow {
                name: SmolStr::new(&entry.name),
                service,
                address: SmolStr::new(&entry.address),
                domain,
                withdrawn: entry.leaving,
            });
        }
    }

    fn add_accounts(&mut self, text: &ConfigurationText, fleet: &mut FleetTable) {
        for (index, entry) in text.accounts.iter().enumerate() {
            let mut key_digests = Vec::new();
            for (position, digest) in entry.key_sha256.iter().enumerate() {
                match parse_digest(digest) {
                    Some(digest) => key_digests.push(digest),
                    None => self.fault(
                        &format!("/accounts/{index}/key_sha256/{position}"),
                        "isn't a SHA-256 digest of 64 hexadecimal digits".to_owned(),
                    ),
                }
            }
            fleet.accounts.push(AccountRow {
                name: SmolStr::new(&entry.name),
                key_digests,
                requests_per_second: entry.requests_per_second,
                tokens_per_second: entry.tokens_per_second,
                priority: fleet::parse_or_default(&entry.priority.to_string()),
            });
        }
    }
}

fn short(names: &[impl Display]) -> Vec<SmolStr> {
    names.iter().map(|name| SmolStr::new(name.to_string())).collect()
}

fn unrepeatable_call(call: &configuration::UnrepeatableCall) -> fleet::NonIdempotentCall {
    fleet::NonIdempotentCall {
        method: SmolStr::new(call.method.to_ascii_uppercase()),
        path: SmolStr::new(&call.path),
    }
}

fn reaches(fleet: &FleetTable, from: ServiceKey, to: ServiceKey, seen: &mut [bool]) -> bool {
    fleet.services[from].depends_on.iter().any(|next| {
        if *next == to {
            return true;
        }
        !std::mem::replace(&mut seen[next.index()], true) && reaches(fleet, *next, to, seen)
    })
}

/// Reads a digest of 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if text.len() != 2 * digest.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
