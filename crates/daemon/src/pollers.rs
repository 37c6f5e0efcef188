//! Tasks that poll plain services, engine caches and the platform.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use async_std::task;
use gooseberry_edges::http::HttpCall;
use http_types::{Method, Request, Url};
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::ControlEvent};

/// Interval of health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of reads of cache events. Cache events are hints and may be late.
const CACHE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of reads of the platform's list of VMs.
const VM_INTERVAL: Duration = Duration::from_secs(1);

/// Starts to poll the cache events of a home engine, until the engine is removed
/// from the configuration.
pub fn poll_cache_events(context: &Arc<DaemonContext>, engine: SmolStr) {
    let context = Arc::clone(context);
    let cache = context.routing.cache_key(&engine);
    task::spawn(async move {
        loop {
            context.clock.sleep(CACHE_INTERVAL).await;
            let Some(address) = engine_address(&context, &engine) else { return };
            let after = context.routing.last_sequence(cache);
            match context.engines.cache_events(&address, after).await {
                Ok(events) => context.routing.observe_cache(cache, &events),
                Err(error) => tracing::debug!(%engine, %error, "can't read cache events"),
            }
        }
    });
}

fn engine_address(context: &DaemonContext, engine: &str) -> Option<SmolStr> {
    let snapshot = context.snapshot.load();
    // The snapshot that contains the engine may be published after this task
    // starts.
    let found = snapshot.fleet.engines.find(|row| row.name == engine);
    found.map(|(_, row)| row.address.clone())
}

/// Starts health checks of a plain service's server, until the server is removed
/// from the configuration.
pub fn poll_plain_server(context: &Arc<DaemonContext>, server: SmolStr) {
    let context = Arc::clone(context);
    task::spawn(async move {
        loop {
            context.clock.sleep(HEALTH_INTERVAL).await;
            let Some(address) = plain_address(&context, &server) else { return };
            let healthy = is_healthy(&context, &address).await;
            let event = ControlEvent::PlainHealth { server: server.clone(), healthy };
            let _ = context.events.send(event).await;
        }
    });
}

fn plain_address(context: &DaemonContext, server: &str) -> Option<SmolStr> {
    let snapshot = context.snapshot.load();
    let found = snapshot.fleet.plain_servers.find(|row| row.name == server);
    found.map(|(_, row)| row.address.clone())
}

async fn is_healthy(context: &DaemonContext, address: &str) -> bool {
    let Ok(url) = Url::parse(&format!("http://{address}/health")) else { return false };
    let call = HttpCall::new(Request::new(Method::Get, url));
    match context.plain.forward(address, &call, HEALTH_TIMEOUT).await {
        Ok(answer) => answer.status().is_success(),
        Err(_) => false,
    }
}

/// Reads the platform's list of VMs in an endless loop.
pub async fn poll_vms(context: Arc<DaemonContext>) {
    loop {
        let listing = context.platform.vms().await;
        context.platform_reachable.store(listing.is_ok(), Ordering::Relaxed);
        if let Ok(listing) = listing {
            let _ = context.events.send(ControlEvent::Vms(listing)).await;
        }
        context.clock.sleep(VM_INTERVAL).await;
    }
}
