//! What daemons tell each other, and what operators ask them.

use std::{sync::Arc, time::Duration};

use gooseberry_core::time::Timestamp;
use gooseberry_wire::peer::{DaemonStatus, EngineStatus, PeerHello, PeerRevision};
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
    poison::rpc::{PoisonApiServer, PoisonServer},
    revisions::RevisionStore,
};

/// Interval of heartbeats between daemons.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for an answer of a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a lost connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);
/// Age at which a peer that says nothing is no longer listed.
const PEER_EXPIRY: Duration = Duration::from_secs(5);
/// Code of the error for a wrong secret.
const WRONG_SECRET: i32 = 401;
/// Code of the error for settings that can't be changed.
const BAD_VALUE: i32 = 400;

/// Calls between daemons and from operators.
#[rpc(server)]
pub trait PeerApi {
    /// Introduces a daemon and answers with this one's introduction.
    #[method(name = "hello")]
    async fn hello(&self, secret: String, hello: PeerHello) -> RpcResult<PeerHello>;

    /// Returns the newest accepted configuration.
    #[method(name = "revision")]
    async fn revision(&self, secret: String) -> RpcResult<Option<PeerRevision>>;

    /// Reports the state of this daemon.
    #[method(name = "status")]
    async fn status(&self, secret: String) -> RpcResult<DaemonStatus>;

    /// Sets the level of the logs.
    #[method(name = "log_level")]
    async fn log_level(&self, secret: String, level: String) -> RpcResult<()>;
}

/// Holds what is known of the peers.
#[derive(Default)]
pub struct PeerBook {
    peers: Mutex<Vec<KnownPeer>>,
}

struct KnownPeer {
    hello: PeerHello,
    heard: Timestamp,
}

impl PeerBook {
    /// Notes an introduction, unless a newer incarnation has come before.
    pub fn hear(&self, hello: PeerHello, now: Timestamp) {
        let mut peers = self.peers.lock();
        let known = peers.iter_mut().find(|peer| peer.hello.daemon == hello.daemon);
        match known {
            Some(peer) if peer.hello.incarnation > hello.incarnation => {}
            Some(peer) => *peer = KnownPeer { hello, heard: now },
            None => peers.push(KnownPeer { hello, heard: now }),
        }
    }

    /// Lists the peers that were heard lately.
    pub fn live(&self, now: Timestamp) -> Vec<PeerHello> {
        let peers = self.peers.lock();
        let live = peers.iter().filter(|peer| now.since(peer.heard) < PEER_EXPIRY);
        live.map(|peer| peer.hello.clone()).collect()
    }
}

/// Answers the calls of peers and operators.
pub struct PeerServer {
    context: Arc<DaemonContext>,
    revisions: Arc<RevisionStore>,
    book: Arc<PeerBook>,
}

impl PeerServer {
    /// Starts to answer calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        context: Arc<DaemonContext>,
        revisions: Arc<RevisionStore>,
        book: Arc<PeerBook>,
    ) -> anyhow::Result<ServerHandle> {
        let server = Server::builder().build(&context.settings.peer_listen).await?;
        let poison = PoisonServer::new(Arc::clone(&context.poison));
        let mut module = Self { context, revisions, book }.into_rpc();
        module.merge(poison.into_rpc())?;
        Ok(server.start(module))
    }

    fn check(&self, secret: &str) -> RpcResult<()> {
        let known = self.context.settings.peer_secret.as_bytes();
        if bool::from(known.ct_eq(secret.as_bytes())) {
            return Ok(());
        }
        Err(ErrorObjectOwned::owned(WRONG_SECRET, "the secret is wrong", None::<()>))
    }
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn hello(&self, secret: String, hello: PeerHello) -> RpcResult<PeerHello> {
        self.check(&secret)?;
        let _ = self.context.events.send(ControlEvent::Peer(hello.clone())).await;
        self.book.hear(hello, self.context.clock.now());
        Ok(own_hello(&self.context))
    }

    async fn revision(&self, secret: String) -> RpcResult<Option<PeerRevision>> {
        self.check(&secret)?;
        let newest = self.revisions.newest();
        Ok(newest.map(|accepted| PeerRevision {
            revision: accepted.revision,
            text: accepted.text.to_string(),
        }))
    }

    async fn status(&self, secret: String) -> RpcResult<DaemonStatus> {
        self.check(&secret)?;
        Ok(status(&self.context, &self.book))
    }

    async fn log_level(&self, secret: String, level: String) -> RpcResult<()> {
        self.check(&secret)?;
        let set = self.context.levels.set(&level);
        set.map_err(|error| ErrorObjectOwned::owned(BAD_VALUE, error.to_string(), None::<()>))
    }
}

fn own_hello(context: &DaemonContext) -> PeerHello {
    PeerHello {
        daemon: context.settings.name.clone(),
        failure_domain: context.settings.failure_domain.clone(),
        incarnation: context.incarnation,
        revision: context.snapshot.load().fleet.revision,
    }
}

fn status(context: &DaemonContext, book: &PeerBook) -> DaemonStatus {
    let snapshot = context.snapshot.load_full();
    let engines = snapshot.engines.iter().map(|(key, entry)| EngineStatus {
        engine: snapshot.fleet.engines[key].name.to_string(),
        reachable: entry.view.open,
        role: entry.view.role.to_string(),
        model: snapshot.fleet.models[entry.view.model].name.to_string(),
        running: entry.view.running,
        queued: entry.view.queued,
        outstanding: entry.gauge.outstanding(),
    });
    let hello = own_hello(context);
    DaemonStatus {
        daemon: hello.daemon,
        failure_domain: hello.failure_domain,
        incarnation: hello.incarnation,
        revision: hello.revision,
        ready: context.is_ready(),
        engines: engines.collect(),
        peers: book.live(context.clock.now()),
        balance: context.balance.rows(),
        steward: None,
    }
}

/// Keeps a connection to one peer: heartbeats, and revisions that it has.
pub async fn follow(
    context: Arc<DaemonContext>,
    revisions: Arc<RevisionStore>,
    book: Arc<PeerBook>,
    address: String,
) {
    loop {
        if let Err(error) = follow_once(&context, &revisions, &book, &address).await {
            tracing::debug!(peer = address, %error, "lost a peer");
        }
        context.clock.sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_once(
    context: &DaemonContext,
    revisions: &RevisionStore,
    book: &PeerBook,
    address: &str,
) -> anyhow::Result<()> {
    let builder = WsClientBuilder::default()
        .connection_timeout(ANSWER_TIMEOUT)
        .request_timeout(ANSWER_TIMEOUT);
    let client = builder.build(format!("ws://{address}")).await?;
    let secret = &context.settings.peer_secret;
    loop {
        let hello: PeerHello =
            client.request("hello", rpc_params![secret, own_hello(context)]).await?;
        let offered = hello.revision;
        let _ = context.events.send(ControlEvent::Peer(hello.clone())).await;
        book.hear(hello, context.clock.now());
        if offered > revisions.revision() {
            let newest: Option<PeerRevision> =
                client.request("revision", rpc_params![secret]).await?;
            if let Some(newest) = newest {
                revisions.offer(context, newest.revision, &newest.text).await;
            }
        }
        context.clock.sleep(HEARTBEAT_INTERVAL).await;
    }
}
