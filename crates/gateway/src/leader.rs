//! Orders engines to change their stage, at one daemon at a time.
//!
//! The daemon that holds the steward's key gives orders; the key's revision is
//! the fencing token. Not all engines check it, so a new holder waits until no
//! order of the one before can be on its way, and a holder renews its lease
//! right before each order.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use gooseberry_core::{
    arena::EngineKey,
    serving::{
        directory::EngineStage,
        stages::{self, OrderState, StageChange},
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::{self, StageOrder},
    store::{StoreClient, StoreError, StorePut},
};
use http::StatusCode;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    send::{self, ConnectionChoice, SendTarget},
};

/// Key of the daemon that gives orders.
pub const KEY: &str = "steward";

/// Time without renewal after which the key goes.
const LEASE_SPAN: Duration = Duration::from_secs(4);
/// Time between renewals.
const RENEW_SPAN: Duration = Duration::from_millis(1200);
/// Time that a new holder waits before its first order: `lease-ms` of the
/// deployments is 3 s, in which two holders must not take turns.
const TAKEOVER_WAIT: Duration = Duration::from_millis(3300);
/// Longest time from a renewal to the order that rests on it.
const RENEWAL_AGE: Duration = Duration::from_millis(400);
/// Longest time for a call to the store or an engine.
const CALL_LIMIT: Duration = Duration::from_millis(800);
/// Time for which a change must be wanted before it is ordered; an engine that
/// crashed may be back by then.
const WANTED_SPAN: Duration = Duration::from_millis(2000);
/// Time until an engine is ordered again: an order that got no answer may be
/// carried out up to 12 s later.
const ORDER_PAUSE: Duration = Duration::from_secs(13);
/// Time until an engine that refused an order is ordered again.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
/// Greatest spread of the daemons' tries to take a free key.
const TRY_SPREAD_MS: u64 = 400;

/// Whether the steward's key is free, as the watch last said.
#[derive(Debug, Default)]
pub struct LeaderKey {
    holder: Mutex<Option<String>>,
}

impl LeaderKey {
    /// Notes who holds the key.
    pub fn set_holder(&self, holder: Option<String>) {
        *self.holder.lock() = holder;
    }

    fn is_free(&self) -> bool {
        self.holder.lock().is_none()
    }
}

/// Holds the key whenever it can be had, and gives orders then.
pub async fn run(gateway: Arc<Gateway>, seat: Arc<LeaderKey>) {
    let spread = Duration::from_millis(gateway.daemon % TRY_SPREAD_MS);
    let mut client = StoreClient::new(gateway.options.store);
    loop {
        gateway.clock.sleep(RENEW_SPAN + spread).await;
        if !gateway.is_ready() || !seat.is_free() {
            continue;
        }
        match hold(&gateway, &mut client).await {
            Ok(()) => {}
            Err(StoreError::Conflict) => tracing::debug!("another daemon is the steward"),
            Err(fault) => tracing::info!(%fault, "not the steward any more"),
        }
    }
}

/// What a holder remembers.
struct Stewardship<'a> {
    gateway: &'a Gateway,
    lease: u64,
    fence: u64,
    /// Since when a failure domain has wanted more engines in a stage.
    wanted: HashMap<(SmolStr, EngineStage), Timestamp>,
    /// Orders of late, with the time at which they were given.
    ordered: HashMap<EngineKey, (OrderState, Timestamp)>,
}

async fn hold(gateway: &Gateway, client: &mut StoreClient) -> Result<(), StoreError> {
    let lease = client.grant_lease(LEASE_SPAN, CALL_LIMIT).await?;
    let name = gateway.options.name.as_bytes();
    let put = StorePut { key: KEY, value: name, lease: lease.id, expected: Some(0) };
    let fence = client.put(&put, CALL_LIMIT).await?;
    tracing::info!(fence, "steward");
    let began = gateway.now();
    let mut stewardship = Stewardship {
        gateway,
        lease: lease.id,
        fence,
        wanted: HashMap::new(),
        ordered: HashMap::new(),
    };
    while !gateway.is_stopping() {
        gateway.clock.sleep(RENEW_SPAN).await;
        client.renew_lease(lease.id, CALL_LIMIT).await?;
        let due = stewardship.due();
        if gateway.now().since(began) >= TAKEOVER_WAIT {
            for change in due {
                stewardship.order(client, change).await?;
            }
        }
    }
    Ok(())
}

impl Stewardship<'_> {
    /// Returns the changes that have been wanted for long enough.
    fn due(&mut self) -> Vec<StageChange> {
        let now = self.gateway.now();
        let state = self.gateway.state.lock();
        let Some(configuration) = &state.configuration else {
            return Vec::new();
        };
        self.ordered.retain(|_, (order, at)| now.since(*at) < order_pause(*order));
        let orders = self.ordered.iter().map(|(key, (order, _))| (*key, *order)).collect();
        let services = configuration.services.iter().filter(|service| service.engine.is_some());
        let changes: Vec<_> = services
            .flat_map(|service| stages::plan(&state.fleet, &service.name, &orders))
            .collect();
        let want = |change: &StageChange| {
            (state.fleet.server(change.engine).entry.domain.clone(), change.stage)
        };
        self.wanted.retain(|wanted, _| changes.iter().any(|change| want(change) == *wanted));
        for change in &changes {
            self.wanted.entry(want(change)).or_insert(now);
        }
        let is_due = |change: &StageChange| now.since(self.wanted[&want(change)]) >= WANTED_SPAN;
        changes.into_iter().filter(is_due).collect()
    }

    async fn order(
        &mut self,
        client: &mut StoreClient,
        change: StageChange,
    ) -> Result<(), StoreError> {
        let gateway = self.gateway;
        let target = {
            let state = gateway.state.lock();
            SendTarget::new(change.engine, state.fleet.server(change.engine))
        };
        let under_way = OrderState::Pending(change.stage);
        self.ordered.insert(change.engine, (under_way, gateway.now()));
        let Some(orders) = accepted_orders(gateway, &target).await else {
            self.ordered.insert(change.engine, (OrderState::Refused, gateway.now()));
            return Ok(());
        };
        client.renew_lease(self.lease, CALL_LIMIT).await?;
        let renewed = Instant::now();
        let order = StageOrder {
            server_id: &target.id,
            stage: change.stage,
            holder: &gateway.options.name,
            fence: self.fence,
            expected_orders: orders,
        };
        if renewed.elapsed() > RENEWAL_AGE {
            return Ok(());
        }
        let exchange =
            send::exchange(gateway, &target, || engine::order(&order), ConnectionChoice::New);
        let outcome = match gateway.clock.timeout(CALL_LIMIT, exchange).await {
            Ok(Ok((response, _))) => response.status(),
            Ok(Err(fault)) => {
                tracing::info!(server = %target.id, %fault, "order has no answer");
                return Ok(());
            }
            Err(_) => StatusCode::REQUEST_TIMEOUT,
        };
        if outcome.is_client_error() && outcome != StatusCode::REQUEST_TIMEOUT {
            self.ordered.insert(change.engine, (OrderState::Refused, gateway.now()));
        }
        tracing::info!(
            server = %target.id,
            stage = %change.stage,
            fence = self.fence,
            orders,
            status = outcome.as_u16(),
            "ordered"
        );
        Ok(())
    }
}

fn order_pause(order: OrderState) -> Duration {
    match order {
        OrderState::Pending(_) => ORDER_PAUSE,
        OrderState::Refused => REFUSED_PAUSE,
    }
}

/// Asks an engine how many orders it has accepted; none if it is at work on one
/// or doesn't answer.
async fn accepted_orders(gateway: &Gateway, target: &SendTarget) -> Option<u64> {
    let work = async {
        let exchange = send::exchange(gateway, target, engine::report, ConnectionChoice::New);
        let (response, _connection) = exchange.await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        engine::decode_report(&body.to_bytes()).ok()
    };
    let report = gateway.clock.timeout(CALL_LIMIT, work).await.ok().flatten();
    match report {
        Some(report) if !report.is_busy => Some(report.orders),
        report => {
            tracing::info!(server = %target.id, ?report, "engine takes no order now");
            None
        }
    }
}
