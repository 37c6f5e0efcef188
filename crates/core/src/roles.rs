//! Which engine changes its role, and when a change pays.

use std::time::Duration;

use crate::{
    arena::{DomainKey, EngineKey, ModelKey},
    fleet::{EngineRole, ObjectiveWeight},
    time::Timestamp,
};

/// Holds what a role decision reads of one engine.
#[derive(Clone, Copy, Debug)]
pub struct RoleView {
    pub engine: EngineKey,
    pub domain: DomainKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine takes new work.
    pub open: bool,
    /// Whether an order for the engine is not settled yet.
    pub ordered: bool,
    pub running: u32,
    pub queued: u32,
    pub backlog_tokens: u64,
}

/// Sums the demand for one model over the daemons of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ModelDemand {
    pub model: ModelKey,
    /// Prompt tokens that arrive each second and aren't cached.
    pub prompt_tokens_per_second: f64,
    /// Output tokens that are asked for each second.
    pub output_tokens_per_second: f64,
}

/// Says how roles are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RolePolicy {
    /// Roles stay as the configuration has them.
    Static,
    /// Every engine that would help now changes its role.
    Greedy,
    /// A role changes only if the gain pays for the change.
    Adaptive,
}

/// Holds the settings of role decisions.
#[derive(Clone, Copy, Debug)]
pub struct RoleSettings {
    pub policy: RolePolicy,
    pub weight: ObjectiveWeight,
    /// Time for which a change takes an engine away.
    pub change_time: Duration,
}

/// Names a role change that pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleChange {
    pub engine: EngineKey,
    pub role: EngineRole,
}

/// Decides on role changes, one at a time.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
}

impl RolePlanner {
    /// Makes a planner that has seen no demand yet.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings }
    }

    /// Returns the change to make now, if one pays.
    pub fn plan(
        &mut self,
        _now: Timestamp,
        _demand: &[ModelDemand],
        _engines: &[RoleView],
    ) -> Option<RoleChange> {
        match self.settings.policy {
            RolePolicy::Static | RolePolicy::Greedy | RolePolicy::Adaptive => None,
        }
    }
}
