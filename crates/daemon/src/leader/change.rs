//! One planned change of an engine, from the decision until it takes effect.

use std::time::Duration;

use gooseberry_core::{
    changes::EngineTarget,
    orders::{MAX_CLAIM_AGE, MAX_CLOCK_SKEW},
    time::Timestamp,
};
use gooseberry_wire::engine::{EngineState, LoadReport};
use smol_str::SmolStr;

/// Longest time for an engine's requests to end. After that the change is
/// postponed.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);

/// Reason for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeReason {
    Configuration,
    Demand,
}

/// Planned change of an engine.
#[derive(Clone, Debug)]
pub struct EngineChange {
    pub target: EngineTarget,
    pub reason: ChangeReason,
    /// Models that the change takes an engine from or adds one to.
    pub models: Vec<SmolStr>,
    /// Start of the weight store's reservation for loading the weights.
    pub not_before: Timestamp,
    /// Time at which the drain began.
    draining_since: Option<Timestamp>,
    /// Time since which every daemon has reported that it sends the engine no
    /// requests.
    closed_since: Option<Timestamp>,
    /// Id of the order that was claimed for this change, and the time of the claim.
    pub order: Option<(SmolStr, Timestamp)>,
}

/// Progress of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// The reservation of the weight store hasn't started yet.
    AwaitingWeights,
    /// Requests still run on the engine, or may still reach it.
    Draining,
    /// The engine is idle and the order may be sent.
    Drained,
    /// The requests didn't end within the drain timeout.
    TimedOut,
}

impl EngineChange {
    /// Creates a change that hasn't begun.
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

    /// Returns whether an order was claimed for this change.
    pub fn is_claimed(&self) -> bool {
        self.order.is_some()
    }

    /// Returns whether the order was claimed for this change.
    pub fn has_order(&self, order_id: &SmolStr) -> bool {
        self.order.as_ref().is_some_and(|(claimed, _)| claimed == order_id)
    }

    /// Returns whether the claim is too old for its order to be sent.
    pub fn is_claim_expired(&self, now: Timestamp) -> bool {
        self.order.as_ref().is_some_and(|(_, begun)| now.since(*begun) > MAX_CLAIM_AGE)
    }

    /// Returns whether an order for this change may still be sent. Such a change
    /// can't be postponed.
    pub fn is_sendable(&self, now: Timestamp) -> bool {
        self.is_claimed() && !self.is_claim_expired(now)
    }

    /// Returns whether the engine gets no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Advances the drain.
    ///
    /// `closed` is true if no live daemon sends the engine requests now. The engine
    /// is drained once a report made after that shows no work.
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
