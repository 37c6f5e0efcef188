//! Starts the tasks of a gateway and shuts them down in order.

use std::{sync::atomic::Ordering, sync::Arc, time::Duration};

use anyhow::Context;
use async_channel::Receiver;
use async_std::{net::TcpListener, task};
use gooseberry_core::serving::shutdown;
use gooseberry_edges::{clock::Clock, stop::ProcessSignals};
use gooseberry_platform::front as platform_front;
use gooseberry_transport::{
    body::{ArrivingBody, ResponseBody},
    server::{HttpServer, ServerLimits},
};
use http::{Request, Response, StatusCode};

use crate::{
    changes, front,
    gateway::Gateway,
    leader,
    metrics::{GatewayMetrics, LineCounter},
    peers, reach, registration,
    settings::{GatewayLimits, GatewayOptions},
    store_watch::{self, GatewayKeys},
};

/// Largest request head in bytes; the deployments specify 16,384 bytes.
const HEAD_LIMIT_BYTES: usize = 16 * 1024;
/// Longest wait for the next request on a connection. The deployments specify 15 s, of which
/// callers use four fifths.
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// Connections for the readiness check and for the metrics, each.
const CONTROL_CONNECTIONS: usize = 16;
/// Time between reads of the settings file.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time between checks whether requests are still running.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until it is stopped.
///
/// The settings are read again with `reload` at SIGHUP and periodically, because the file may
/// change without a signal. `dropped_lines` returns the number of dropped log lines.
///
/// # Errors
///
/// Returns an error if the tasks can't be started.
pub async fn run(
    options: GatewayOptions,
    signals: ProcessSignals,
    reload: impl Fn() -> anyhow::Result<GatewayOptions> + Send + 'static,
    dropped_lines: LineCounter,
) -> anyhow::Result<()> {
    let ProcessSignals { stop, reload_requests } = signals;
    if stop.is_triggered() {
        tracing::info!("stopped before the start");
        return Ok(());
    }
    let (gateway, callers) = start(options, dropped_lines).await?;
    task::spawn(reload_forever(Arc::clone(&gateway), reload_requests, reload));
    stop.wait().await;
    shut_down(&gateway, &callers).await;
    Ok(())
}

async fn reload_forever(
    gateway: Arc<Gateway>,
    reload_requests: Receiver<()>,
    reload: impl Fn() -> anyhow::Result<GatewayOptions>,
) {
    let mut last = None;
    loop {
        let is_requested =
            gateway.clock.timeout(RELOAD_INTERVAL, reload_requests.recv()).await.is_ok();
        let reloaded = match reload() {
            Ok(options) => {
                let needs_restart = gateway.options.restart_required(&options);
                Ok((options.limits, needs_restart))
            }
            Err(error) => Err(format!("{error:#}")),
        };
        let has_changed = match &last {
            Some(last) => *last != reloaded,
            None => reloaded != Ok((*gateway.limits.lock(), Vec::new())),
        };
        if is_requested || has_changed {
            apply_settings(&gateway, &reloaded);
        }
        last = Some(reloaded);
    }
}

/// Applies the settings that can be reloaded. `reloaded` contains them with the names of changed
/// settings that need a restart.
fn apply_settings(gateway: &Gateway, reloaded: &Result<(GatewayLimits, Vec<&str>), String>) {
    match reloaded {
        Ok((limits, needs_restart)) => {
            *gateway.limits.lock() = *limits;
            tracing::info!(?limits, ?needs_restart, "settings reloaded");
        }
        Err(error) => tracing::warn!(error, "settings not reloaded; keeping the current ones"),
    }
}

/// Starts all tasks of a gateway. Returns it with the HTTP server for callers.
///
/// # Errors
///
/// Returns an error if the metrics can't be registered or an address can't be bound.
pub async fn start(
    options: GatewayOptions,
    dropped_lines: LineCounter,
) -> anyhow::Result<(Arc<Gateway>, HttpServer)> {
    let metrics = GatewayMetrics::new(dropped_lines).context("can't register the metrics")?;
    let gateway = Arc::new(Gateway::new(options, Clock::system(), metrics));
    let options = &gateway.options;
    let keys = GatewayKeys { peers: Arc::clone(&gateway.peers), ..GatewayKeys::default() };
    peers::start(&gateway, &keys.peers)
        .await
        .with_context(|| format!("can't listen on {}", options.peer_listen))?;
    changes::serve(&gateway, &keys.changes).await?;
    task::spawn(store_watch::run(Arc::clone(&gateway), keys.clone()));
    task::spawn(leader::run(Arc::clone(&gateway), keys.leader));
    task::spawn(registration::run(Arc::clone(&gateway)));
    task::spawn(reach::run(Arc::clone(&gateway)));
    serve_ready(&gateway).await?;
    serve_metrics(&gateway).await?;
    let callers = serve_callers(&gateway).await?;
    tracing::info!(name = %options.name, domain = %options.domain, "started");
    Ok((gateway, callers))
}

/// Accepts requests until the load balancer has detected the shutdown, then lets the running ones
/// finish until the end of the grace period.
async fn shut_down(gateway: &Gateway, callers: &HttpServer) {
    gateway.set_stopping();
    let open = callers.open_connections();
    tracing::info!(running = gateway.running.load(Ordering::Relaxed), open, "stopping");
    gateway.clock.sleep(shutdown::NOTICE_DURATION).await;
    let peer_server = &gateway.peer_server;
    callers.close();
    peer_server.close();
    let open_connections = || callers.open_connections() + peer_server.open_connections();
    let is_over =
        || gateway.shutdown_progress().is_none_or(|progress| progress.until_exit.is_zero());
    while open_connections() > 0 && !is_over() {
        gateway.clock.sleep(POLL_INTERVAL).await;
    }
    tracing::info!(cut = open_connections(), "stopped");
}

async fn bind(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("can't listen on {address}"))
}

async fn serve_callers(gateway: &Arc<Gateway>) -> anyhow::Result<HttpServer> {
    let listener = bind(gateway.options.listen).await?;
    let server = HttpServer::default();
    let handler = {
        let gateway = Arc::clone(gateway);
        move |request| front::respond(Arc::clone(&gateway), request)
    };
    let limits = shedding_limits(gateway, gateway.memory.limits().connections);
    spawn_server(&server, listener, limits, handler);
    Ok(server)
}

async fn serve_ready(gateway: &Arc<Gateway>) -> anyhow::Result<()> {
    let listener = bind(gateway.options.ready_listen).await?;
    let gateway = Arc::clone(gateway);
    let limits = server_limits(CONTROL_CONNECTIONS);
    let server = HttpServer::default();
    spawn_server(&server, listener, limits, move |request: Request<ArrivingBody>| {
        let response = if request.uri().path() == platform_front::READY_PATH {
            platform_front::readiness(gateway.is_ready())
        } else {
            status_response(StatusCode::NOT_FOUND)
        };
        async move { response }
    });
    Ok(())
}

async fn serve_metrics(gateway: &Arc<Gateway>) -> anyhow::Result<()> {
    let listener = bind(gateway.options.metrics_listen).await?;
    let gateway = Arc::clone(gateway);
    let limits = server_limits(CONTROL_CONNECTIONS);
    let server = HttpServer::default();
    spawn_server(&server, listener, limits, move |_: Request<ArrivingBody>| {
        let response = match gateway.metrics.render() {
            Ok(text) => Response::new(ResponseBody::whole(text)),
            Err(error) => {
                tracing::warn!(%error, "metrics can't be encoded");
                status_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
        async move { response }
    });
    Ok(())
}

/// Returns the limits of a server for a number of connections.
fn server_limits(connections: usize) -> ServerLimits {
    ServerLimits { head_bytes: HEAD_LIMIT_BYTES, idle: IDLE_TIMEOUT, connections, make_room: None }
}

/// Returns the same limits for a server that sheds what is held for stalled callers when there are
/// too many connections.
pub fn shedding_limits(gateway: &Gateway, connections: usize) -> ServerLimits {
    let memory = Arc::clone(&gateway.memory);
    let make_room = move || memory.shed_for_connection();
    ServerLimits { make_room: Some(Arc::new(make_room)), ..server_limits(connections) }
}

/// Starts a task that serves the connections of a listener.
pub fn spawn_server<S, F>(
    server: &HttpServer,
    listener: TcpListener,
    limits: ServerLimits,
    handler: S,
) where
    S: Fn(Request<ArrivingBody>) -> F + Clone + Send + 'static,
    F: std::future::Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let server = server.clone();
    task::spawn(async move { server.serve(listener, limits, handler).await });
}

/// Creates a response without a body.
pub fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(""));
    *response.status_mut() = status;
    response
}
