//! Which planned changes an engine needs, and whether it can be spared.

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    fleet::{EngineRole, EngineRow},
    roles::RoleView,
};

/// Holds what an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEngine {
    pub role: EngineRole,
    pub model: SmolStr,
    pub version: Option<SmolStr>,
    pub adapters: Vec<SmolStr>,
}

/// Names what an order changes; the rest stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineTarget {
    pub role: Option<EngineRole>,
    pub model: Option<SmolStr>,
    pub version: Option<SmolStr>,
    pub adapters: Vec<SmolStr>,
}

impl EngineTarget {
    /// Tells whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Tells whether the engine has to load weights.
    pub fn loads_weights(&self) -> bool {
        self.model.is_some() || self.version.is_some() || !self.adapters.is_empty()
    }
}

impl std::fmt::Display for EngineTarget {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let role = self.role.map(|role| format!("role {role}"));
        let model = self.model.as_ref().map(|model| format!("model {model}"));
        let version = self.version.as_ref().map(|version| format!("version {version}"));
        let adapters =
            (!self.adapters.is_empty()).then(|| format!("adapters {}", self.adapters.join(" ")));
        let parts: Vec<_> = [role, model, version, adapters].into_iter().flatten().collect();
        formatter.write_str(&parts.join(", "))
    }
}

/// Returns what an engine lacks of its configuration.
///
/// `ordered_for` is the role that the configuration had at the last order. A
/// role that has changed by demand since is left alone until the configured one
/// is edited; without any order the configured role is compared with the report.
pub fn configured_change(
    row: &EngineRow,
    model: &SmolStr,
    present: &ReportedEngine,
    ordered_for: Option<EngineRole>,
) -> Option<EngineTarget> {
    let role_edited = ordered_for.is_none_or(|role| role != row.role);
    let role = (role_edited && row.role != present.role).then_some(row.role);
    let version = row.version.clone().filter(|_| row.version != present.version);
    let adapters_differ = !row.adapters.is_empty() && row.adapters != present.adapters;
    let target = EngineTarget {
        role,
        model: (*model != present.model).then(|| model.clone()),
        version,
        adapters: if adapters_differ { row.adapters.clone() } else { Vec::new() },
    };
    (!target.is_empty()).then_some(target)
}

/// Tells whether an engine may stop taking work while the others go on.
///
/// `changing` tells which engines are being taken away already. An engine that
/// takes no work can always be spared.
pub fn can_take_offline(
    engine: EngineKey,
    views: &[RoleView],
    changing: impl Fn(EngineKey) -> bool,
) -> bool {
    let Some(view) = views.iter().find(|view| view.engine == engine) else { return false };
    if !view.accepting {
        return true;
    }
    let others = || {
        views.iter().filter(|other| {
            other.engine != engine
                && other.accepting
                && other.model == view.model
                && !changing(other.engine)
        })
    };
    let prefilled = !view.role.prefills() || others().any(|other| other.role.prefills());
    let decoded = !view.role.decodes() || others().any(|other| other.role.decodes());
    prefilled && decoded
}
