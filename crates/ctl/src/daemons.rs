//! What the daemons say of themselves.

use std::time::Duration;

use anyhow::Context;
use gooseberry_wire::peer::{DaemonHistory, DaemonStatus, OrderRow};
use jsonrpsee::{
    core::client::ClientT,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::de::DeserializeOwned;

use crate::arguments::Target;

/// Longest time for an answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds the answer of one daemon.
#[derive(Debug)]
pub struct DaemonResponse<T> {
    pub address: String,
    pub answer: anyhow::Result<T>,
}

/// Asks all named daemons for their state.
pub async fn statuses(target: &Target) -> Vec<DaemonResponse<DaemonStatus>> {
    ask_all(target, "status").await
}

/// Asks all named daemons for the samples of their work.
pub async fn histories(target: &Target) -> Vec<DaemonResponse<DaemonHistory>> {
    ask_all(target, "history").await
}

/// Asks the first named daemon that answers for the orders of the engines.
///
/// # Errors
///
/// Returns an error if none is named or none answers.
pub async fn orders(target: &Target) -> anyhow::Result<Vec<OrderRow>> {
    let answers = ask_all(target, "orders").await;
    let mut last = anyhow::anyhow!("name a daemon with --daemon ADDRESS");
    for daemon in answers {
        match daemon.answer {
            Ok(rows) => return Ok(rows),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn ask_all<T: DeserializeOwned>(target: &Target, method: &str) -> Vec<DaemonResponse<T>> {
    let mut answers = Vec::new();
    for address in &target.daemon {
        let answer = ask(address, method, &target.secret).await;
        answers.push(DaemonResponse { address: address.clone(), answer });
    }
    answers
}

async fn ask<T: DeserializeOwned>(address: &str, method: &str, secret: &str) -> anyhow::Result<T> {
    Ok(connect(address).await?.request(method, rpc_params![secret]).await?)
}

/// Sets the level of the logs of one daemon.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached or refuses the level.
pub async fn set_log_level(address: &str, secret: &str, level: &str) -> anyhow::Result<()> {
    Ok(connect(address).await?.request("log_level", rpc_params![secret, level]).await?)
}

async fn connect(address: &str) -> anyhow::Result<WsClient> {
    let builder = WsClientBuilder::default()
        .connection_timeout(ANSWER_TIMEOUT)
        .request_timeout(ANSWER_TIMEOUT);
    let client = builder.build(format!("ws://{address}")).await;
    client.with_context(|| format!("can't reach the daemon at {address}"))
}
