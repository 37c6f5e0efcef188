//! Starts the parts of a daemon and stops them in order.

use std::{
    sync::{atomic::AtomicBool, Arc},
    thread,
    time::Duration,
};

use anyhow::Context;
use arc_swap::ArcSwap;
use async_std::{net::TcpListener, task};
use gooseberry_edges::{
    clock::Clock,
    engine::EngineClient,
    http::HttpClient,
    listener::HttpListener,
    plain::PlainClient,
    platform::{PlatformApi, PlatformClient},
    stop::StopSignal,
};
use gooseberry_wire::settings::DaemonSettings;

use crate::{
    callers::app,
    claims::{prune, store::ClaimStore},
    context::DaemonContext,
    control::{ControlEvent, ControlState},
    demand::DemandMeter,
    history::{self, HistoryStore},
    leader::{DrainTable, LeaderTask},
    limits::{self, LimitState},
    loads::{self, LoadExchange},
    logs::LogFilter,
    metrics::MetricClient,
    outcomes::{record, OutcomeStore},
    peers::{self, PeerServer, PeerTable},
    poison::{quarantine, PoisonRegistry},
    pollers,
    retries::RetryTable,
    revisions::{self, RevisionStore},
    routing::RoutingState,
    snapshot::FleetSnapshot,
};

/// Time for which a stopping daemon refuses new requests before it closes the
/// listener, so that the load balancer detects the shutdown.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);
/// Part of the drain timeout that is reserved for refusing the requests that don't
/// end before it.
const REFUSAL_RESERVE: Duration = Duration::from_millis(500);
/// Longest time that a stopping daemon waits until all claims are in the key-value
/// store.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a daemon until it is stopped.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(
    settings: DaemonSettings,
    log_filter: LogFilter,
    stop: StopSignal,
) -> anyhow::Result<()> {
    let drain_limit = Duration::from_secs(settings.drain_s);
    let (context, events) = context(settings, log_filter, stop.clone())?;
    start_control(&context, events)?;
    let revisions = Arc::new(RevisionStore::new(&context.settings.peers));
    let table = Arc::new(PeerTable::default());
    let history = Arc::new(HistoryStore::default());
    start_tasks(&context, &revisions, &table, &history);
    let leader = task::spawn(LeaderTask::new(&context, &table).run());
    let server = PeerServer::start(Arc::clone(&context), revisions, table, history)
        .await
        .with_context(|| format!("can't listen at {}", context.settings.peer_listen))?;
    let listen = &context.settings.listen;
    let socket =
        TcpListener::bind(listen).await.with_context(|| format!("can't listen at {listen}"))?;
    tracing::info!(daemon = context.settings.name, incarnation = context.incarnation, "started");
    let head_timeout = Duration::from_secs(context.settings.head_timeout_s.into());
    let listener = HttpListener::new(context.clock.clone()).head_timeout(head_timeout);
    let closed = StopSignal::new();
    let serving = task::spawn({
        let (listener, closed) = (listener.clone(), closed.clone());
        let app = app::build(Arc::clone(&context));
        async move { listener.serve(socket, app, closed).await }
    });
    stop.wait().await;
    tracing::info!(running = listener.running_requests(), "stopping");
    context.clock.sleep(REFUSAL_PERIOD).await;
    closed.trigger();
    serving.await;
    let refusal_reserve = REFUSAL_RESERVE.min(drain_limit);
    let ended = listener.finish(drain_limit - refusal_reserve).await;
    context.drain_deadline.trigger();
    let cut = listener.drain(refusal_reserve).await;
    leader.await;
    let unsettled = context.claims.local().wait_settled(&context.clock, SETTLE_TIMEOUT).await;
    record::record_final(&context).await;
    let _ = server.stop();
    tracing::info!(ended, cut, unsettled, balance = ?context.outcomes.rows(), "stopped");
    Ok(())
}

fn context(
    settings: DaemonSettings,
    log_filter: LogFilter,
    stop: StopSignal,
) -> anyhow::Result<(Arc<DaemonContext>, async_channel::Receiver<ControlEvent>)> {
    let clock = Clock::system();
    let http = HttpClient::new(clock.clone());
    let secret = settings.platform_secret.as_deref();
    let platform: Arc<dyn PlatformApi> =
        Arc::new(PlatformClient::new(http.clone(), &settings.platform, secret));
    let metrics = Arc::new(MetricClient::new(settings.metrics.as_deref())?);
    let incarnation = clock.now().as_millis();
    let (sender, events) = async_channel::unbounded();
    let (poison, quarantine_notices) = PoisonRegistry::new(&settings, clock.clone());
    let context = DaemonContext {
        process: smol_str::format_smolstr!("{}/{incarnation}", settings.name),
        incarnation,
        stop,
        drain_deadline: StopSignal::new(),
        snapshot: ArcSwap::from_pointee(FleetSnapshot::empty()),
        events: sender,
        claims: ClaimStore::new(Arc::clone(&platform), clock.clone()),
        drains: DrainTable::default(),
        demand: DemandMeter::default(),
        platform,
        platform_reachable: AtomicBool::new(true),
        engines: Arc::new(EngineClient::new(http.clone())),
        plain: Arc::new(PlainClient::new(http)),
        outcomes: OutcomeStore::new(Arc::clone(&metrics)),
        limits: LimitState::default(),
        loads: LoadExchange::new((&settings.name).into()),
        routing: Arc::new(RoutingState::new(Arc::clone(&metrics))),
        poison,
        retries: RetryTable::new(clock.clone()),
        metrics,
        log_filter,
        clock,
        settings,
    };
    let context = Arc::new(context);
    task::spawn(quarantine::read(Arc::clone(&context)));
    task::spawn(quarantine::write(Arc::clone(&context), quarantine_notices));
    Ok((context, events))
}

/// Starts the thread that owns all control state.
fn start_control(
    context: &Arc<DaemonContext>,
    events: async_channel::Receiver<ControlEvent>,
) -> anyhow::Result<()> {
    let state = ControlState::new(Arc::clone(context));
    let thread = thread::Builder::new().name("control".to_owned());
    thread.spawn(move || task::block_on(state.run(events)))?;
    Ok(())
}

fn start_tasks(
    context: &Arc<DaemonContext>,
    revisions: &Arc<RevisionStore>,
    table: &Arc<PeerTable>,
    history: &Arc<HistoryStore>,
) {
    task::spawn(history::sample_periodically(Arc::clone(context), Arc::clone(history)));
    task::spawn(record::record_periodically(Arc::clone(context)));
    let (store, peers) = (Arc::clone(revisions), Arc::clone(table));
    task::spawn(revisions::watch_platform(Arc::clone(context), store, peers));
    task::spawn(revisions::finish_startup(Arc::clone(context), Arc::clone(revisions)));
    task::spawn(pollers::poll_vms(Arc::clone(context)));
    task::spawn(prune::run(Arc::clone(context)));
    task::spawn(limits::request_shares(Arc::clone(context)));
    loads::spawn(context);
    for address in &context.settings.peers {
        let (context, revisions) = (Arc::clone(context), Arc::clone(revisions));
        task::spawn(peers::maintain_connection(
            context,
            revisions,
            Arc::clone(table),
            address.clone(),
        ));
    }
}
