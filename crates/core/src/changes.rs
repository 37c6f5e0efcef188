//! Determines which configured changes an engine needs, and whether it can be taken offline.

use smol_str::SmolStr;

use crate::{
    arena::EngineKey,
    fleet::{EngineRole, EngineRow},
    roles::RoleView,
};

/// Holds the state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEngine {
    pub role: EngineRole,
    pub model: SmolStr,
    pub version: Option<SmolStr>,
    pub adapters: Vec<SmolStr>,
}

/// Describes what an order changes at an engine; what is `None` or empty stays unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineTarget {
    pub role: Option<EngineRole>,
    pub model: Option<SmolStr>,
    pub version: Option<SmolStr>,
    pub adapters: Vec<SmolStr>,
}

impl EngineTarget {
    /// Tells whether the order changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Tells whether the engine has to load weights for the order.
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

/// Returns the changes that bring an engine from its reported state to its configured one,
/// or `None` if there are none.
///
/// `ordered_for` is the configured role at the time of the last order. A role that has
/// been changed by demand since then stays until the configured role is edited. Without
/// any order the configured role is compared with the reported one.
pub fn configured_change(
    row: &EngineRow,
    model: &SmolStr,
    reported: &ReportedEngine,
    ordered_for: Option<EngineRole>,
) -> Option<EngineTarget> {
    let role_edited = ordered_for.is_none_or(|role| role != row.role);
    let role = (role_edited && row.role != reported.role).then_some(row.role);
    let version = row.version.clone().filter(|_| row.version != reported.version);
    let adapters_differ = !row.adapters.is_empty() && row.adapters != reported.adapters;
    let target = EngineTarget {
        role,
        model: (*model != reported.model).then(|| model.clone()),
        version,
        adapters: if adapters_differ { row.adapters.clone() } else { Vec::new() },
    };
    (!target.is_empty()).then_some(target)
}

/// Tells whether an engine may stop accepting requests while the others serve its model.
///
/// `changing` tells which engines are being taken offline already. An engine that
/// doesn't accept requests can always be taken offline, and one that isn't in `views` never.
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
    let prefill_served = !view.role.prefills() || others().any(|other| other.role.prefills());
    let decode_served = !view.role.decodes() || others().any(|other| other.role.decodes());
    prefill_served && decode_served
}
