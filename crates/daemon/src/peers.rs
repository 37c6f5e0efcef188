//! Calls between daemons, and calls from operators.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    revisions::{self, PeerExchange, HEARTBEAT_INTERVAL, PEER_TIMEOUT, RECONNECT_DELAY},
    time::Timestamp,
};
use gooseberry_wire::peer::{DaemonStatus, EngineStatus, OrderRow, PeerHello, PeerRevision};
use jsonrpsee::{
    core::{async_trait, client::ClientT, RpcResult},
    proc_macros::rpc,
    rpc_params,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
    ws_client::WsClientBuilder,
};
use parking_lot::Mutex;
use subtle::ConstantTimeEq;

use crate::{
    context::DaemonContext,
    control::ControlEvent,
    history::HistoryStore,
    leader,
    limits::{QuotaApiServer, QuotaServer},
    loads::{LoadApiServer, LoadServer},
    operators::{OperatorApiServer, OperatorServer},
    poison::rpc::{PoisonApiServer, PoisonServer},
    revisions::RevisionStore,
};

/// Delay before a lost connection is opened again during startup, when peers may be
/// starting too.
const STARTUP_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time without a hello after which a peer is no longer listed.
const PEER_EXPIRY: Duration = Duration::from_secs(5);
/// Error code for a wrong secret.
const WRONG_SECRET: i32 = 401;
/// Error code for a setting that can't be changed.
const BAD_VALUE: i32 = 400;

/// Error code for state that the platform doesn't return now.
const UNAVAILABLE: i32 = 503;

/// Calls between daemons and from operators.
#[rpc(server)]
pub trait PeerApi {
    /// Records the caller's hello and returns this daemon's hello.
    #[method(name = "hello")]
    async fn hello(&self, secret: String, hello: PeerHello) -> RpcResult<PeerHello>;

    /// Returns the newest accepted configuration.
    #[method(name = "revision")]
    async fn revision(&self, secret: String) -> RpcResult<Option<PeerRevision>>;

    /// Offers a configuration that this daemon may not have yet.
    #[method(name = "offer")]
    async fn offer(&self, secret: String, offered: PeerRevision) -> RpcResult<()>;

    /// Returns the status of this daemon.
    #[method(name = "status")]
    async fn status(&self, secret: String) -> RpcResult<DaemonStatus>;

    /// Returns the order records of all engines.
    #[method(name = "orders")]
    async fn orders(&self, secret: String) -> RpcResult<Vec<OrderRow>>;

    /// Sets the log level.
    #[method(name = "log_level")]
    async fn log_level(&self, secret: String, level: String) -> RpcResult<()>;
}

/// Peers with their last hello.
#[derive(Default)]
pub struct PeerTable {
    peers: Mutex<Vec<KnownPeer>>,
}

struct KnownPeer {
    hello: PeerHello,
    last_hello: Timestamp,
}

impl PeerTable {
    /// Records a hello, unless one of a newer incarnation has arrived before.
    pub fn observe_hello(&self, hello: PeerHello, now: Timestamp) {
        let mut peers = self.peers.lock();
        let known = peers.iter_mut().find(|peer| peer.hello.daemon == hello.daemon);
        match known {
            Some(peer) if peer.hello.incarnation > hello.incarnation => {}
            Some(peer) => *peer = KnownPeer { hello, last_hello: now },
            None => peers.push(KnownPeer { hello, last_hello: now }),
        }
    }

    /// Returns whether every live peer has just acknowledged that it sends an
    /// engine no requests and that none of its requests run there.
    pub fn all_drained(&self, engine: &str, now: Timestamp) -> bool {
        let peers = self.peers.lock();
        let mut live = peers.iter().filter(|peer| now.since(peer.last_hello) < PEER_EXPIRY);
        live.all(|peer| {
            let names = &peer.hello.drained;
            now.since(peer.last_hello) < leader::ACK_MAX_AGE
                && names.iter().any(|name| name == engine)
        })
    }

    /// Lists the peers with a recent hello.
    pub fn live_peers(&self, now: Timestamp) -> Vec<PeerHello> {
        let peers = self.peers.lock();
        let live = peers.iter().filter(|peer| now.since(peer.last_hello) < PEER_EXPIRY);
        live.map(|peer| peer.hello.clone()).collect()
    }
}

/// Server for the calls of peers and operators.
pub struct PeerServer {
    context: Arc<DaemonContext>,
    revisions: Arc<RevisionStore>,
    table: Arc<PeerTable>,
}

impl PeerServer {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        context: Arc<DaemonContext>,
        revisions: Arc<RevisionStore>,
        table: Arc<PeerTable>,
        history: Arc<HistoryStore>,
    ) -> anyhow::Result<ServerHandle> {
        let server = Server::builder().build(&context.settings.peer_listen).await?;
        let operators = OperatorServer::new(Arc::clone(&context), history).into_rpc();
        let quota = QuotaServer::new(Arc::clone(&context)).into_rpc();
        let loads = LoadServer::new(Arc::clone(&context)).into_rpc();
        let poison = PoisonServer::new(Arc::clone(&context)).into_rpc();
        let mut methods = Self { context, revisions, table }.into_rpc();
        methods.merge(operators)?;
        methods.merge(quota)?;
        methods.merge(loads)?;
        methods.merge(poison)?;
        Ok(server.start(methods))
    }
}

/// Compares a secret with this daemon's secret in constant time.
///
/// # Errors
///
/// Returns an error for the caller if the secret is wrong.
pub fn check_secret(context: &DaemonContext, secret: &str) -> RpcResult<()> {
    let known = context.settings.peer_secret.as_bytes();
    if bool::from(known.ct_eq(secret.as_bytes())) {
        return Ok(());
    }
    Err(ErrorObjectOwned::owned(WRONG_SECRET, "the secret is wrong", None::<()>))
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn hello(&self, secret: String, hello: PeerHello) -> RpcResult<PeerHello> {
        check_secret(&self.context, &secret)?;
        let _ = self.context.events.send(ControlEvent::Peer(hello.clone())).await;
        let to_leader = hello.steward == Some(true);
        self.table.observe_hello(hello, self.context.clock.now());
        Ok(own_hello(&self.context, to_leader))
    }

    async fn revision(&self, secret: String) -> RpcResult<Option<PeerRevision>> {
        check_secret(&self.context, &secret)?;
        Ok(self.revisions.newest().map(PeerRevision::from))
    }

    async fn offer(&self, secret: String, offered: PeerRevision) -> RpcResult<()> {
        check_secret(&self.context, &secret)?;
        self.revisions.offer(&self.context, offered.revision, &offered.text).await;
        Ok(())
    }

    async fn status(&self, secret: String) -> RpcResult<DaemonStatus> {
        check_secret(&self.context, &secret)?;
        Ok(status(&self.context, &self.table))
    }

    async fn orders(&self, secret: String) -> RpcResult<Vec<OrderRow>> {
        check_secret(&self.context, &secret)?;
        let rows = leader::list_orders(&*self.context.platform).await;
        rows.map_err(|error| ErrorObjectOwned::owned(UNAVAILABLE, error.to_string(), None::<()>))
    }

    async fn log_level(&self, secret: String, level: String) -> RpcResult<()> {
        check_secret(&self.context, &secret)?;
        let set = self.context.log_filter.set(&level);
        set.map_err(|error| ErrorObjectOwned::owned(BAD_VALUE, error.to_string(), None::<()>))
    }
}

/// Builds the hello of this daemon. Only a leader gets the demand.
pub fn own_hello(context: &DaemonContext, to_leader: bool) -> PeerHello {
    PeerHello {
        steward: Some(context.drains.is_leader()),
        draining: context.drains.draining(),
        drained: context.drains.drained(&context.snapshot.load(), context.clock.now()),
        demand: if to_leader { context.demand.rows() } else { Vec::new() },
        daemon: context.settings.name.clone(),
        failure_domain: context.settings.failure_domain.clone(),
        incarnation: context.incarnation,
        revision: context.snapshot.load().fleet.revision,
        platform_reachable: context.is_platform_reachable(),
    }
}

fn status(context: &DaemonContext, table: &PeerTable) -> DaemonStatus {
    let snapshot = context.snapshot.load_full();
    let engines = snapshot.engines.iter().map(|(key, entry)| EngineStatus {
        engine: snapshot.fleet.engines[key].name.to_string(),
        reachable: entry.view.accepting,
        role: entry.view.role.to_string(),
        model: snapshot.fleet.models[entry.view.model].name.to_string(),
        running: entry.view.running,
        queued: entry.view.queued,
        outstanding: entry.gauge.outstanding(),
    });
    let hello = own_hello(context, false);
    DaemonStatus {
        daemon: hello.daemon,
        failure_domain: hello.failure_domain,
        incarnation: hello.incarnation,
        revision: hello.revision,
        ready: context.is_ready(),
        engines: engines.collect(),
        peers: table.live_peers(context.clock.now()),
        balance: context.outcomes.rows(),
        steward: hello.steward,
    }
}

/// Keeps a connection to one peer, with heartbeats and configuration revisions in
/// both directions.
pub async fn maintain_connection(
    context: Arc<DaemonContext>,
    revisions: Arc<RevisionStore>,
    table: Arc<PeerTable>,
    address: String,
) {
    loop {
        if let Err(error) = follow_once(&context, &revisions, &table, &address).await {
            tracing::debug!(peer = address, %error, "connection to peer lost");
        }
        let delay = if revisions.is_starting() { STARTUP_RECONNECT_DELAY } else { RECONNECT_DELAY };
        context.clock.sleep(delay).await;
    }
}

async fn follow_once(
    context: &DaemonContext,
    store: &RevisionStore,
    table: &PeerTable,
    address: &str,
) -> anyhow::Result<()> {
    let builder =
        WsClientBuilder::default().connection_timeout(PEER_TIMEOUT).request_timeout(PEER_TIMEOUT);
    let client = builder.build(format!("ws://{address}")).await?;
    let secret = &context.settings.peer_secret;
    let changes = store.subscribe();
    let mut sent_revision = 0;
    let mut to_leader = false;
    loop {
        let hello: PeerHello =
            client.request("hello", rpc_params![secret, own_hello(context, to_leader)]).await?;
        to_leader = hello.steward == Some(true);
        let offered = hello.revision;
        context.limits.set_address(&hello.daemon, address);
        let _ = context.events.send(ControlEvent::Peer(hello.clone())).await;
        table.observe_hello(hello, context.clock.now());
        if revisions::compare(store.revision(), offered, sent_revision) == PeerExchange::Ask {
            let newest: Option<PeerRevision> =
                client.request("revision", rpc_params![secret]).await?;
            if let Some(newest) = newest {
                store.offer(context, newest.revision, &newest.text).await;
            }
        }
        store.peer_answered(context, address).await;
        let exchange = revisions::compare(store.revision(), offered, sent_revision);
        let newest = store.newest().filter(|_| exchange == PeerExchange::Tell);
        if let Some(newest) = newest {
            sent_revision = newest.revision;
            let newest = PeerRevision::from(newest);
            let () = client.request("offer", rpc_params![secret, newest]).await?;
        }
        // A new revision is sent immediately and not with the next heartbeat.
        let _ = context.clock.timeout(HEARTBEAT_INTERVAL, changes.recv()).await;
    }
}
