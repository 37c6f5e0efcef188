//! One planned change of an engine, from the decision to its effect.

use std::time::Duration;

use gooseberry_core::{
    changes::EngineTarget,
    orders::{MAX_CLAIM_AGE, MAX_CLOCK_SKEW},
    time::Timestamp,
};
use gooseberry_wire::engine::{EngineState, LoadReport};
use smol_str::SmolStr;

/// Longest time for an engine's requests to end; then the change is put off.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);

/// Says why an engine is to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeReason {
    Configuration,
    Demand,
}

/// Holds a planned change.
#[derive(Clone, Debug)]
pub struct EngineChange {
    pub target: EngineTarget,
    pub reason: ChangeReason,
    /// Models that the change takes an engine from or gives one to.
    pub models: Vec<SmolStr>,
    /// Time before which the weight store has no room for the load.
    pub not_before: Timestamp,
    /// Time at which the drain began.
    draining_since: Option<Timestamp>,
    /// Since when every daemon has said that it sends the engine nothing.
    closed_since: Option<Timestamp>,
    /// Order that was claimed for this change, and when its claim began.
    pub order: Option<(SmolStr, Timestamp)>,
}

/// Says how far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// The weight store has no room yet.
    AwaitingWeights,
    /// Requests still run on the engine, or may reach it.
    Draining,
    /// The engine may be ordered.
    Drained,
    /// The requests didn't end in time.
    TimedOut,
}

impl EngineChange {
    /// Makes a change that hasn't begun.
    pub fn new(
        target: EngineTarget,
        reason: ChangeReason,
        model: SmolStr,
        not_before: Timestamp,
    ) -> Self {
        let mut models = vec![model];
        models.extend(target.model.clone());
        Self {
            target,
            reason,
            models,
            not_before,
            draining_since: None,
            closed_since: None,
            order: None,
        }
    }

    /// Tells whether an order was claimed for this change.
    pub fn is_claimed(&self) -> bool {
        self.order.is_some()
    }

    /// Tells whether this is the change that an order was claimed for.
    pub fn has_order(&self, order_id: &SmolStr) -> bool {
        self.order.as_ref().is_some_and(|(claimed, _)| claimed == order_id)
    }

    /// Tells whether the claim is too old for its order to be sent.
    pub fn is_claim_expired(&self, now: Timestamp) -> bool {
        self.order.as_ref().is_some_and(|(_, begun)| now.since(*begun) > MAX_CLAIM_AGE)
    }

    /// Tells whether an order for this change may still be sent, so that the
    /// change can't be put off.
    pub fn is_sendable(&self, now: Timestamp) -> bool {
        self.is_claimed() && !self.is_claim_expired(now)
    }

    /// Tells whether the engine must get no new work.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Goes on with the drain.
    ///
    /// `closed` tells whether every live daemon sends the engine nothing now.
    /// The engine is drained once a report made after that shows no work.
    pub fn step(
        &mut self,
        closed: bool,
        report: Option<&LoadReport>,
        now: Timestamp,
    ) -> ChangeStep {
        if now < self.not_before {
            return ChangeStep::AwaitingWeights;
        }
        let since = *self.draining_since.get_or_insert(now);
        if !closed {
            self.closed_since = None;
        } else if self.closed_since.is_none() {
            self.closed_since = Some(now);
        }
        let closed_since = self.closed_since;
        let idle = closed_since.is_some_and(|closed_since| {
            report.is_some_and(|report| shows_idle(report, closed_since))
        });
        match idle {
            true => ChangeStep::Drained,
            false if now.since(since) > DRAIN_TIMEOUT => ChangeStep::TimedOut,
            false => ChangeStep::Draining,
        }
    }
}

fn shows_idle(report: &LoadReport, since: Timestamp) -> bool {
    let made_at = Timestamp::from_millis(report.made_at_ms);
    let fresh = made_at > since + MAX_CLOCK_SKEW;
    fresh && report.state == EngineState::Serving && report.running == 0 && report.queued == 0
}
