//! A view of one accepted connection, with which what it holds can be shed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;

#[derive(Debug)]
struct HandleState {
    blocked_since: Mutex<Option<Instant>>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

/// State of an accepted connection; clones share it. It is an extension of each request on the
/// connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(Arc<HandleState>);

impl Default for ConnectionHandle {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self(Arc::new(HandleState { blocked_since: Mutex::default(), sender, receiver }))
    }
}

impl ConnectionHandle {
    /// Closes the connection, whatever it is doing.
    pub fn abort(&self) {
        self.0.sender.close();
    }

    /// Returns whether [`Self::abort`] has been called.
    pub fn is_aborted(&self) -> bool {
        self.0.sender.is_closed()
    }

    /// Returns for how long there has been data that the peer doesn't take, or `None` if there is
    /// none. A peer that takes a little now and then doesn't end this time.
    pub fn blocked_for(&self, now: Instant) -> Option<Duration> {
        self.0.blocked_since.lock().map(|since| now.saturating_duration_since(since))
    }

    /// Waits until [`Self::abort`] is called.
    pub(crate) async fn aborted(&self) {
        // Nothing is sent on the channel; closing it ends the wait.
        let _ = self.0.receiver.recv().await;
    }

    pub(crate) fn record_blocked(&self) {
        self.0.blocked_since.lock().get_or_insert_with(Instant::now);
    }

    pub(crate) fn record_flushed(&self) {
        *self.0.blocked_since.lock() = None;
    }
}
