//! Finds out whether this daemon is cut off from a service, by connections to its servers.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_util::future;
use rand::seq::IndexedRandom;

use crate::{
    gateway::Gateway,
    send::{self, SendTarget},
};

/// Number of servers that are connected in one check.
const CHECKED_SERVERS: usize = 3;
/// Time between two checks of a service that is cut off.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which the other daemons answer whether they reach a service: an attempt to connect, and the
/// way there and back.
const ANSWER_DELAY: Duration = Duration::from_millis(60);
/// First and longest time between two checks of a service whose servers may have crashed.
const CHECK_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1000));

/// Checks services that this daemon may be cut off from, for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>) {
    while let Some(service) = gateway.suspected_service().await {
        let gateway = Arc::clone(&gateway);
        task::spawn(async move {
            check_until_reached(&gateway, &service).await;
            gateway.state.lock().end_checks(&service);
        });
    }
}

async fn check_until_reached(gateway: &Arc<Gateway>, service: &str) {
    let mut delay = CHECK_INTERVALS.0;
    while !is_reached(gateway, service).await {
        let is_asking = gateway.state.lock().needs_reach_reports(service, gateway.now());
        if is_asking {
            gateway.state.lock().ask_reach(service);
            gateway.wake_publisher();
            gateway.clock.sleep(ANSWER_DELAY).await;
        }
        let is_new = gateway.state.lock().decide_reach(service, gateway.now());
        if is_new {
            gateway.metrics.cuts.inc();
            tracing::warn!(
                service,
                "cut off from servers that other daemons reach; handing requests to these daemons"
            );
            drop_connections(gateway, service);
            check_other_services(gateway, service);
        }
        let is_cut = gateway.state.lock().is_cut(service);
        gateway.clock.sleep(if is_cut { CUT_CHECK_INTERVAL } else { delay }).await;
        delay = (delay * 2).min(CHECK_INTERVALS.1);
    }
}

/// Connects to some servers of the services that have had no requests since a cut began: a route may move
/// to one of them, and its callers mustn't wait until their own requests have failed. Failures start the
/// checks of that service.
fn check_other_services(gateway: &Arc<Gateway>, cut_service: &str) {
    let configuration = gateway.state.lock().configuration.clone();
    let services = configuration.iter().flat_map(|configuration| &configuration.services);
    for service in services.filter(|service| service.name != cut_service) {
        let (gateway, service) = (Arc::clone(gateway), service.name.clone());
        task::spawn(async move { is_reached(&gateway, &service).await });
    }
}

/// Connects to some servers. Returns whether this daemon isn't cut off from the service, or it has no
/// servers.
async fn is_reached(gateway: &Gateway, service: &str) -> bool {
    let targets: Vec<_> = {
        let state = gateway.state.lock();
        let servers: Vec<_> = state.reachable_servers(service, gateway.now()).collect();
        let chosen = servers.choose_multiple(&mut rand::rng(), CHECKED_SERVERS);
        chosen.map(|key| SendTarget::new(*key, state.fleet.server(*key))).collect()
    };
    let connects = targets.iter().map(|target| send::connect(gateway, target));
    let connected = future::join_all(connects).await;
    let (checked, connected) =
        (connected.len(), connected.iter().filter(|connected| connected.is_ok()).count());
    let mut state = gateway.state.lock();
    if state.record_check(service, connected, checked) {
        tracing::info!(
            service,
            connected,
            checked,
            "servers can be reached again; handing over no more requests"
        );
    }
    !state.is_cut(service) && (connected > 0 || checked == 0)
}

/// Tells the other daemons whether this one reaches a service, one of which asked. If it hasn't
/// reached a server lately, it tries one.
pub async fn answer(gateway: Arc<Gateway>, service: String) {
    let target = {
        let mut state = gateway.state.lock();
        let now = gateway.now();
        if state.is_cut(&service) || !state.begin_answer(&service, now) {
            return;
        }
        let servers: Vec<_> = state.reachable_servers(&service, now).collect();
        let chosen = servers.choose(&mut rand::rng()).copied();
        chosen
            .filter(|_| !state.has_reached(&service, now))
            .map(|key| SendTarget::new(key, state.fleet.server(key)))
    };
    if let Some(target) = target {
        // The outcome is recorded, and the report tells it.
        let _ = send::connect(&gateway, &target).await;
    }
    if !gateway.is_stopping() && gateway.state.lock().queue_reach_report(gateway.now()) {
        gateway.wake_publisher();
    }
}

/// Closes idle connections, which may still hang when the servers can be reached again.
fn drop_connections(gateway: &Gateway, service: &str) {
    let state = gateway.state.lock();
    for (_, server) in state.fleet.iter().filter(|(_, server)| server.entry.service == *service) {
        gateway.connections.remove(server.entry.address);
    }
}
