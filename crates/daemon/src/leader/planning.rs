//! Choice of the leader's next changes.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    arena::{DomainKey, EngineKey},
    changes::{self, EngineTarget, ReportedEngine},
    fleet::{EngineRow, ObjectiveWeight},
    roles::{RolePlanner, RolePolicy, RoleSettings, RoleView},
    time::Timestamp,
};
use gooseberry_wire::{engine::LoadReport, order::OrderPhase};
use smol_str::SmolStr;

use crate::{
    leader::{
        change::{ChangeReason, EngineChange},
        LeaderTask,
    },
    peers,
    snapshot::FleetSnapshot,
};

/// Time for which a change of role makes an engine unavailable.
const ROLE_CHANGE_DURATION: Duration = Duration::from_secs(2);

/// Age of a report after which no change is started for its engine.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Role planner for the objective weight in the configuration.
#[derive(Default)]
pub(super) struct ChangePlanner {
    roles: Option<(ObjectiveWeight, RolePlanner)>,
}

impl ChangePlanner {
    fn roles(&mut self, weight: ObjectiveWeight) -> &mut RolePlanner {
        if self.roles.as_ref().is_none_or(|(known, _)| *known != weight) {
            let policy = RolePolicy::Adaptive;
            let settings = RoleSettings::new(policy, weight, ROLE_CHANGE_DURATION);
            self.roles = Some((weight, RolePlanner::new(settings)));
        }
        let (_, planner) = self.roles.as_mut().expect("the planner was created above");
        planner
    }
}

impl LeaderTask {
    /// Starts the changes that the configuration or the demand requires.
    pub(super) async fn plan(&mut self, snapshot: &Arc<FleetSnapshot>) {
        let Some(domain) = snapshot.domain else { return };
        self.drop_obsolete(snapshot);
        for engine in domain_engines(snapshot, domain) {
            if let Some(target) = self.configured_target(snapshot, engine) {
                self.start_change(snapshot, domain, engine, target, ChangeReason::Configuration)
                    .await;
            }
        }
        let now = self.context.clock.now();
        for hello in self.table.live_peers(now) {
            if hello.failure_domain == self.context.settings.failure_domain {
                self.rates.observe(&hello, now);
            }
        }
        self.rates.observe(&peers::own_hello(&self.context, true), now);
        let demand = self.rates.demand(&snapshot.fleet, now);
        let views = self.views(snapshot, domain, now);
        let planner = self.planner.roles(snapshot.fleet.objectives.weight);
        if let Some(change) = planner.plan(now, &demand, &views) {
            let target = EngineTarget { role: Some(change.role), ..EngineTarget::default() };
            self.start_change(snapshot, domain, change.engine, target, ChangeReason::Demand).await;
        }
    }

    /// Drops changes that a newer configuration no longer requires.
    fn drop_obsolete(&mut self, snapshot: &FleetSnapshot) {
        let unclaimed: Vec<_> = self
            .changes
            .iter()
            .filter(|(_, change)| !change.is_claimed())
            .map(|(engine, change)| (engine.clone(), change.reason, change.target.clone()))
            .collect();
        for (engine, reason, target) in unclaimed {
            let found = snapshot.fleet.engines.find(|row| row.name == engine);
            let is_required = match (reason, found) {
                (_, None) => false,
                (_, Some((_, row))) if row.withdrawn => false,
                (ChangeReason::Demand, Some(_)) => true,
                (ChangeReason::Configuration, Some((key, _))) => {
                    self.configured_target(snapshot, key) == Some(target)
                }
            };
            if !is_required {
                self.end_change(&engine, "the configuration no longer requires it");
            }
        }
    }

    fn configured_target(
        &self,
        snapshot: &FleetSnapshot,
        engine: EngineKey,
    ) -> Option<EngineTarget> {
        let row = &snapshot.fleet.engines[engine];
        let report = snapshot.engines[engine].report.as_ref()?;
        let model = &snapshot.fleet.models[row.model].name;
        let record = self.engines.get(&row.name)?.record.as_ref();
        // A pending record describes another order's target, which may not take
        // effect.
        let record = record.filter(|record| record.phase == OrderPhase::Settled);
        let ordered_for = record.and_then(|record| record.configured_role.as_ref()?.parse().ok());
        changes::configured_change(row, model, &reported_engine(report, row), ordered_for)
    }

    fn views(&self, snapshot: &FleetSnapshot, domain: DomainKey, now: Timestamp) -> Vec<RoleView> {
        let engines = domain_engines(snapshot, domain);
        engines
            .map(|engine| {
                let row = &snapshot.fleet.engines[engine];
                let view = &snapshot.engines[engine].view;
                let ordered = self.changes.contains_key(&row.name)
                    || self.engines[&row.name].tracker.has_pending_order(now);
                RoleView {
                    engine,
                    domain,
                    model: view.model,
                    role: view.role,
                    accepting: view.accepting,
                    has_pending_order: ordered,
                    running: view.running,
                    queued: view.queued,
                    backlog_tokens: view.backlog_tokens,
                }
            })
            .collect()
    }

    /// Starts a change unless a condition currently forbids it.
    async fn start_change(
        &mut self,
        snapshot: &FleetSnapshot,
        domain: DomainKey,
        engine: EngineKey,
        target: EngineTarget,
        reason: ChangeReason,
    ) {
        let now = self.context.clock.now();
        let row = &snapshot.fleet.engines[engine];
        let model = snapshot.fleet.models[snapshot.engines[engine].view.model].name.clone();
        let mut change = EngineChange::new(target, reason, model, now);
        if !self.can_finish(snapshot, domain, engine, &change, now) {
            return;
        }
        if change.target.loads_weights() {
            let loaded = change.models.last().cloned().unwrap_or_default();
            match self.context.platform.reserve_weights(&loaded).await {
                Ok(grant) => change.not_before = now + Duration::from_millis(grant.wait_ms),
                Err(error) => {
                    tracing::info!(
                        engine = %row.name,
                        %error,
                        "can't reserve a load of model weights"
                    );
                    self.postponed.insert(row.name.clone(), now + super::CHANGE_RETRY_DELAY);
                    return;
                }
            }
        }
        let wait_ms = change.not_before.since(now).as_millis() as u64;
        let revision = snapshot.fleet.revision;
        let target = &change.target;
        tracing::info!(
            engine = %row.name,
            change = %target,
            %reason,
            wait_ms,
            revision,
            "change started"
        );
        self.changes.insert(row.name.clone(), change);
    }

    fn can_finish(
        &mut self,
        snapshot: &FleetSnapshot,
        domain: DomainKey,
        engine: EngineKey,
        change: &EngineChange,
        now: Timestamp,
    ) -> bool {
        let row = &snapshot.fleet.engines[engine];
        let postponed = self.postponed.get(&row.name).is_some_and(|until| now < *until);
        let ordered = self.engines[&row.name].tracker.has_pending_order(now);
        let report = snapshot.engines[engine].report.as_ref();
        let is_stale = report
            .is_none_or(|report| now.since(Timestamp::from_millis(report.made_at_ms)) > REPORT_TTL);
        if is_stale || postponed || ordered || row.withdrawn || self.changes.contains_key(&row.name)
        {
            return false;
        }
        // At most one change at a time for each model of a failure domain.
        let busy = |model: &SmolStr| self.changes.values().any(|it| it.models.contains(model));
        if change.models.iter().any(busy) {
            return false;
        }
        let changing =
            |key: EngineKey| self.changes.contains_key(&snapshot.fleet.engines[key].name);
        if changes::can_take_offline(engine, &self.views(snapshot, domain, now), changing) {
            return true;
        }
        tracing::info!(
            engine = %row.name,
            change = %change.target,
            "change postponed: no other engine could serve the model"
        );
        self.postponed.insert(row.name.clone(), now + super::CHANGE_RETRY_DELAY);
        false
    }
}

fn domain_engines(
    snapshot: &FleetSnapshot,
    domain: DomainKey,
) -> impl Iterator<Item = EngineKey> + '_ {
    let engines = snapshot.fleet.engines.iter();
    engines.filter(move |(_, row)| row.domain == domain).map(|(key, _)| key)
}

fn reported_engine(report: &LoadReport, row: &EngineRow) -> ReportedEngine {
    ReportedEngine {
        role: report.role.to_string().parse().unwrap_or(row.role),
        model: SmolStr::new(&report.model),
        version: report.version.as_ref().map(SmolStr::new),
        adapters: report.adapters.iter().map(SmolStr::new).collect(),
    }
}
