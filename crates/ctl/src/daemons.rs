//! JSON-RPC requests to the daemons.

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

/// Timeout of a connection to a daemon and of each request to it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds the response or the error of one daemon.
#[derive(Debug)]
pub struct DaemonResponse<T> {
    pub address: String,
    pub answer: anyhow::Result<T>,
}

/// Requests the state of all named daemons.
pub async fn statuses(target: &Target) -> Vec<DaemonResponse<DaemonStatus>> {
    request_all(target, "status").await
}

/// Requests the samples of outcomes, tokens and engine roles of all named daemons.
pub async fn histories(target: &Target) -> Vec<DaemonResponse<DaemonHistory>> {
    request_all(target, "history").await
}

/// Returns the orders of the engines from the first named daemon that responds.
///
/// # Errors
///
/// Returns an error if no daemon is named or none responds.
pub async fn orders(target: &Target) -> anyhow::Result<Vec<OrderRow>> {
    let responses = request_all(target, "orders").await;
    let mut last = anyhow::anyhow!("no daemon is given; name one with --daemon ADDRESS");
    for daemon in responses {
        match daemon.answer {
            Ok(rows) => return Ok(rows),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn request_all<T: DeserializeOwned>(target: &Target, method: &str) -> Vec<DaemonResponse<T>> {
    let mut responses = Vec::new();
    for address in &target.daemon {
        let answer = request(address, method, &target.secret).await;
        responses.push(DaemonResponse { address: address.clone(), answer });
    }
    responses
}

async fn request<T: DeserializeOwned>(
    address: &str,
    method: &str,
    secret: &str,
) -> anyhow::Result<T> {
    Ok(connect(address).await?.request(method, rpc_params![secret]).await?)
}

/// Sets the log level of one daemon.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached or refuses the level.
pub async fn set_log_level(address: &str, secret: &str, level: &str) -> anyhow::Result<()> {
    Ok(connect(address).await?.request("log_level", rpc_params![secret, level]).await?)
}

async fn connect(address: &str) -> anyhow::Result<WsClient> {
    let builder = WsClientBuilder::default()
        .connection_timeout(RESPONSE_TIMEOUT)
        .request_timeout(RESPONSE_TIMEOUT);
    let client = builder.build(format!("ws://{address}")).await;
    client.with_context(|| format!("can't connect to the daemon at {address}"))
}
