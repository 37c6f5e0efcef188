//! The effect of an edit: the differences between the fleet before and after it.

use std::fmt::{self, Display};

use gooseberry_core::fleet::{EngineRow, FleetTable};
use serde::Serialize;

/// Describes one effect of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "effect")]
pub enum EditEffect {
    /// The entry is new in the text.
    Added { kind: &'static str, name: String },
    /// The entry is no longer in the text, so it gets no new work.
    Removed { kind: &'static str, name: String },
    /// A property of the entry changes. For a new role, model or version, the
    /// engine is sent an order.
    Changed { kind: &'static str, name: String, property: &'static str, from: String, to: String },
}

impl Display for EditEffect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { kind, name } => write!(formatter, "{kind} {name} is added"),
            Self::Removed { kind, name } => write!(formatter, "{kind} {name} is removed"),
            Self::Changed { kind, name, property, from, to } => {
                write!(formatter, "{kind} {name}: {property} changes from {from} to {to}")
            }
        }
    }
}

/// Returns the effects of replacing the old fleet by the new one.
pub fn effects(old: &FleetTable, new: &FleetTable) -> Vec<EditEffect> {
    let mut effects = Vec::new();
    compare_names(
        &mut effects,
        "failure domain",
        &names(old, EntryKind::Domains),
        &names(new, EntryKind::Domains),
    );
    compare_names(
        &mut effects,
        "service",
        &names(old, EntryKind::Services),
        &names(new, EntryKind::Services),
    );
    compare_names(
        &mut effects,
        "engine",
        &names(old, EntryKind::Engines),
        &names(new, EntryKind::Engines),
    );
    compare_names(
        &mut effects,
        "plain server",
        &names(old, EntryKind::PlainServers),
        &names(new, EntryKind::PlainServers),
    );
    compare_names(
        &mut effects,
        "account",
        &names(old, EntryKind::Accounts),
        &names(new, EntryKind::Accounts),
    );
    for (_, after) in new.engines.iter() {
        let before = old.engines.find(|row| row.name == after.name);
        if let Some((_, before)) = before {
            compare_engines(&mut effects, (old, before), (new, after));
        }
    }
    compare_plain_and_objective(&mut effects, old, new);
    effects
}

#[derive(Clone, Copy)]
enum EntryKind {
    Domains,
    Services,
    Engines,
    PlainServers,
    Accounts,
}

fn names(fleet: &FleetTable, kind: EntryKind) -> Vec<&str> {
    match kind {
        EntryKind::Domains => fleet.domains.iter().map(|(_, row)| row.name.as_str()).collect(),
        EntryKind::Services => fleet.services.iter().map(|(_, row)| row.name.as_str()).collect(),
        EntryKind::Engines => fleet.engines.iter().map(|(_, row)| row.name.as_str()).collect(),
        EntryKind::PlainServers => {
            fleet.plain_servers.iter().map(|(_, row)| row.name.as_str()).collect()
        }
        EntryKind::Accounts => fleet.accounts.iter().map(|(_, row)| row.name.as_str()).collect(),
    }
}

fn compare_names(effects: &mut Vec<EditEffect>, kind: &'static str, old: &[&str], new: &[&str]) {
    for name in old.iter().filter(|name| !new.contains(name)) {
        effects.push(EditEffect::Removed { kind, name: (*name).to_owned() });
    }
    for name in new.iter().filter(|name| !old.contains(name)) {
        effects.push(EditEffect::Added { kind, name: (*name).to_owned() });
    }
}

fn compare_engines(
    effects: &mut Vec<EditEffect>,
    (old, before): (&FleetTable, &EngineRow),
    (new, after): (&FleetTable, &EngineRow),
) {
    let mut property = |property, from: String, to: String| {
        if from != to {
            let name = after.name.to_string();
            effects.push(EditEffect::Changed { kind: "engine", name, property, from, to });
        }
    };
    let version = |row: &EngineRow| row.version.clone().unwrap_or_else(|| "any".into()).to_string();
    let domain = |fleet: &FleetTable, row: &EngineRow| fleet.domains[row.domain].name.to_string();
    let model = |fleet: &FleetTable, row: &EngineRow| fleet.models[row.model].name.to_string();
    property("address", before.address.to_string(), after.address.to_string());
    property("failure domain", domain(old, before), domain(new, after));
    property("model", model(old, before), model(new, after));
    property("version", version(before), version(after));
    property("role", before.role.to_string(), after.role.to_string());
    property("adapters", before.adapters.join(" "), after.adapters.join(" "));
    property("leaving", before.withdrawn.to_string(), after.withdrawn.to_string());
    let checks = (before.checks_fencing.to_string(), after.checks_fencing.to_string());
    property("check of fencing tokens", checks.0, checks.1);
}

fn compare_plain_and_objective(effects: &mut Vec<EditEffect>, old: &FleetTable, new: &FleetTable) {
    for (_, after) in new.plain_servers.iter() {
        let before = old.plain_servers.find(|row| row.name == after.name);
        if let Some((_, before)) = before.filter(|(_, before)| before.withdrawn != after.withdrawn)
        {
            effects.push(EditEffect::Changed {
                kind: "plain server",
                name: after.name.to_string(),
                property: "leaving",
                from: before.withdrawn.to_string(),
                to: after.withdrawn.to_string(),
            });
        }
    }
    if old.revision > 0 && old.objectives.weight != new.objectives.weight {
        effects.push(EditEffect::Changed {
            kind: "objective",
            name: "of the deployment".to_owned(),
            property: "weight",
            from: old.objectives.weight.to_string(),
            to: new.objectives.weight.to_string(),
        });
    }
}
