//! Streams that engines run for this daemon.

use std::sync::Arc;

use async_std::task;
use smol_str::SmolStr;

use crate::context::DaemonContext;

/// Cancels a stream at its engine when dropped, unless it is kept.
pub struct StreamGuard {
    context: Arc<DaemonContext>,
    address: SmolStr,
    stream_id: String,
    kept: bool,
}

impl StreamGuard {
    /// Holds a stream that an engine is asked for.
    pub fn new(context: &Arc<DaemonContext>, address: &SmolStr, stream_id: &str) -> Self {
        Self {
            context: Arc::clone(context),
            address: address.clone(),
            stream_id: stream_id.to_owned(),
            kept: false,
        }
    }

    /// Leaves the stream as it is: it has ended, never began, or goes on.
    pub fn disarm(&mut self) {
        self.kept = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        let context = Arc::clone(&self.context);
        let address = self.address.clone();
        let stream_id = std::mem::take(&mut self.stream_id);
        task::spawn(async move {
            if let Err(error) = context.engines.cancel(&address, &stream_id).await {
                // The engine drops a stream that nobody reads by itself.
                tracing::debug!(%address, %error, "a stream isn't cancelled");
            }
        });
    }
}
