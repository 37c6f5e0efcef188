//! What the daemons say of themselves.

use std::time::Duration;

use anyhow::Context;
use gooseberry_wire::peer::DaemonStatus;
use jsonrpsee::{core::client::ClientT, rpc_params, ws_client::WsClientBuilder};

use crate::arguments::Target;

/// Longest time for an answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds the answer of one daemon.
#[derive(Debug)]
pub struct DaemonAnswer {
    pub address: String,
    pub status: anyhow::Result<DaemonStatus>,
}

/// Asks all named daemons for their state.
pub async fn ask_all(target: &Target) -> Vec<DaemonAnswer> {
    let mut answers = Vec::new();
    for address in &target.daemon {
        let status = ask(address, &target.secret).await;
        answers.push(DaemonAnswer { address: address.clone(), status });
    }
    answers
}

async fn ask(address: &str, secret: &str) -> anyhow::Result<DaemonStatus> {
    let builder = WsClientBuilder::default()
        .connection_timeout(ANSWER_TIMEOUT)
        .request_timeout(ANSWER_TIMEOUT);
    let client = builder
        .build(format!("ws://{address}"))
        .await
        .with_context(|| format!("can't reach the daemon at {address}"))?;
    Ok(client.request("status", rpc_params![secret]).await?)
}
