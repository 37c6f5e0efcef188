//! Operator calls for this daemon's history.

use std::sync::Arc;

use gooseberry_wire::peer::DaemonHistory;
use jsonrpsee::{
    core::{async_trait, RpcResult},
    proc_macros::rpc,
};

use crate::{context::DaemonContext, history::HistoryStore, peers};

/// Calls from operators.
#[rpc(server)]
pub trait OperatorApi {
    /// Lists the samples of this daemon's work.
    #[method(name = "history")]
    async fn history(&self, secret: String) -> RpcResult<DaemonHistory>;
}

/// Server for the calls of operators.
pub struct OperatorServer {
    context: Arc<DaemonContext>,
    history: Arc<HistoryStore>,
}

impl OperatorServer {
    /// Creates a server for this daemon's history.
    pub fn new(context: Arc<DaemonContext>, history: Arc<HistoryStore>) -> Self {
        Self { context, history }
    }
}

#[async_trait]
impl OperatorApiServer for OperatorServer {
    async fn history(&self, secret: String) -> RpcResult<DaemonHistory> {
        peers::check_secret(&self.context, &secret)?;
        Ok(DaemonHistory {
            daemon: self.context.settings.name.clone(),
            incarnation: self.context.incarnation,
            samples: self.history.list(),
        })
    }
}
