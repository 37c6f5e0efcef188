//! Guard for streams that engines run for this daemon.

use std::sync::Arc;

use async_std::task;
use smol_str::SmolStr;

use crate::context::DaemonContext;

/// Cancels a stream at its engine on drop, unless it is disarmed.
pub struct StreamGuard {
    context: Arc<DaemonContext>,
    address: SmolStr,
    stream_id: String,
    is_disarmed: bool,
}

impl StreamGuard {
    /// Creates a guard for a stream that is requested from an engine.
    pub fn new(context: &Arc<DaemonContext>, address: &SmolStr, stream_id: &str) -> Self {
        Self {
            context: Arc::clone(context),
            address: address.clone(),
            stream_id: stream_id.to_owned(),
            is_disarmed: false,
        }
    }

    /// Disables the cancellation, because the stream has ended, never began or is
    /// to continue.
    pub fn disarm(&mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if self.is_disarmed {
            return;
        }
        let context = Arc::clone(&self.context);
        let address = self.address.clone();
        let stream_id = std::mem::take(&mut self.stream_id);
        task::spawn(async move {
            if let Err(error) = context.engines.cancel(&address, &stream_id).await {
                // The engine ends a stream by itself once no client reads it.
                tracing::debug!(%address, %error, "can't cancel stream at engine");
            }
        });
    }
}
