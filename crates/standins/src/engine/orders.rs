//! Orders that change an engine's role, model, version or adapters.

use std::time::Duration;

use gooseberry_core::time::Timestamp;
use gooseberry_wire::engine::{EngineOrder, EngineRole, OrderResponse};
use serde::{Deserialize, Serialize};

/// Role, model, version and adapters of an engine, and the order that is pending.
#[derive(Clone, Debug)]
pub struct OrderState {
    pub role: EngineRole,
    pub model: String,
    pub version: Option<String>,
    pub adapters: Vec<String>,
    pub highest_fencing: u64,
    pub applied_order: Option<String>,
    pub pending: Option<PendingOrder>,
    checks_fencing: bool,
    change_duration: Duration,
}

/// An accepted order that is applied at a later time.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub order: EngineOrder,
    pub due: Timestamp,
}

/// Counts of orders and of KV cache transfers, which tests read from the control port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCounts {
    /// Orders that were accepted.
    pub accepted: u32,
    /// Orders that were refused because of a stale fencing token.
    pub refused: u32,
    /// Orders that were accepted while another was pending, which they replaced.
    pub conflicting: u32,
    /// Accepted orders that carried a lower token than an earlier one.
    pub stale: u32,
    /// Sequences that were cancelled by an order.
    pub cut: u32,
    /// Prompts whose KV cache was exported.
    pub exported: u32,
    /// Requests that were submitted with imported KV cache.
    pub imported: u32,
}

impl OrderState {
    /// Makes the state of an engine that has received no order.
    pub fn new(
        role: EngineRole,
        model: &str,
        checks_fencing: bool,
        change_duration: Duration,
    ) -> Self {
        Self {
            role,
            model: model.to_owned(),
            version: None,
            adapters: Vec::new(),
            highest_fencing: 0,
            applied_order: None,
            pending: None,
            checks_fencing,
            change_duration,
        }
    }

    /// Accepts an order, or refuses it if its fencing token is stale and fencing is checked.
    pub fn accept(
        &mut self,
        order: EngineOrder,
        now: Timestamp,
        counts: &mut OrderCounts,
    ) -> OrderResponse {
        let stale = order.fencing < self.highest_fencing;
        if stale && self.checks_fencing {
            counts.refused += 1;
            return OrderResponse {
                accepted: false,
                highest_fencing: self.highest_fencing,
                reason: Some("the fencing token is old".to_owned()),
            };
        }
        counts.accepted += 1;
        counts.stale += u32::from(stale);
        counts.conflicting += u32::from(self.pending.is_some());
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.pending = Some(PendingOrder { order, due: now + self.change_duration });
        OrderResponse { accepted: true, highest_fencing: self.highest_fencing, reason: None }
    }

    /// Applies the pending order if it is due; returns whether one was applied.
    pub fn apply_due(&mut self, now: Timestamp) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.due <= now) else {
            return false;
        };
        let order = pending.order;
        self.role = order.role.unwrap_or(self.role);
        if let Some(model) = order.model {
            self.model = model;
        }
        if order.version.is_some() {
            self.version = order.version;
        }
        if !order.adapters.is_empty() {
            self.adapters = order.adapters;
        }
        self.applied_order = Some(order.order_id);
        true
    }
}
