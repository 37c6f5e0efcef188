//! Calls between daemons about requests that crash engines.

use std::{sync::Arc, time::Duration};

use gooseberry_wire::peer::{PoisonNotice, TrialRequest};
use jsonrpsee::{
    core::{async_trait, client::ClientT, traits::ToRpcParams, RpcResult},
    proc_macros::rpc,
    ws_client::{WsClient, WsClientBuilder},
};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::{context::DaemonContext, peers};

/// Timeout for the response of a peer. A request waits for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls about suspects and quarantines.
#[rpc(server)]
pub trait PoisonApi {
    /// Applies the status of a request.
    #[method(name = "poison_notice")]
    async fn notice(&self, secret: String, notice: PoisonNotice) -> RpcResult<()>;

    /// Reserves an engine for the trial of a suspect, if it is free.
    #[method(name = "poison_trial")]
    async fn trial(&self, secret: String, trial: TrialRequest) -> RpcResult<bool>;

    /// Ends the trial of a suspect.
    #[method(name = "poison_trial_end")]
    async fn trial_end(&self, secret: String, trial: TrialRequest) -> RpcResult<()>;
}

/// Server for the calls of peers.
pub struct PoisonServer {
    context: Arc<DaemonContext>,
}

impl PoisonServer {
    /// Creates a server that updates a daemon's registry.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }
}

#[async_trait]
impl PoisonApiServer for PoisonServer {
    async fn notice(&self, secret: String, notice: PoisonNotice) -> RpcResult<()> {
        peers::check_secret(&self.context, &secret)?;
        self.context.poison.apply_notice(&notice);
        Ok(())
    }

    async fn trial(&self, secret: String, trial: TrialRequest) -> RpcResult<bool> {
        peers::check_secret(&self.context, &secret)?;
        Ok(self.context.poison.reserve(&trial))
    }

    async fn trial_end(&self, secret: String, trial: TrialRequest) -> RpcResult<()> {
        peers::check_secret(&self.context, &secret)?;
        self.context.poison.release(&trial);
        Ok(())
    }
}

/// Client for one peer that connects on first use.
pub struct PeerClient {
    address: SmolStr,
    client: Mutex<Option<Arc<WsClient>>>,
}

impl PeerClient {
    /// Creates a client that isn't connected.
    pub fn new(address: &str) -> Self {
        Self { address: address.into(), client: Mutex::new(None) }
    }

    /// Calls the peer. Returns `None` if it doesn't respond in time.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: impl ToRpcParams + Send + Clone,
    ) -> Option<T> {
        // The open connection may have been lost since its last use.
        for _ in 0..2 {
            let (client, is_new) = self.client().await?;
            match client.request(method, params.clone()).await {
                Ok(answer) => return Some(answer),
                Err(error) => {
                    tracing::debug!(peer = %self.address, %error, "call to peer failed");
                    *self.client.lock() = None;
                }
            }
            if is_new {
                return None;
            }
        }
        None
    }

    async fn client(&self) -> Option<(Arc<WsClient>, bool)> {
        if let Some(client) = &*self.client.lock() {
            return Some((Arc::clone(client), false));
        }
        let builder = WsClientBuilder::default()
            .connection_timeout(CALL_TIMEOUT)
            .request_timeout(CALL_TIMEOUT);
        let client = Arc::new(builder.build(format!("ws://{}", self.address)).await.ok()?);
        *self.client.lock() = Some(Arc::clone(&client));
        Some((client, true))
    }
}
