//! A view of one accepted connection, with which what it holds can be shed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::task;
use event_listener::Event;
use parking_lot::Mutex;

/// Time for which a peer may take nothing of a response after the deadline of its request.
const LATE_STALL_LIMIT: Duration = Duration::from_millis(1500);

/// Data that the peer doesn't take.
#[derive(Clone, Copy, Debug)]
struct BlockedWrite {
    since: Instant,
    /// Time at which the peer last took some of it, or `since`.
    progress_at: Instant,
}

#[derive(Debug)]
struct HandleState {
    blocked: Mutex<Option<BlockedWrite>>,
    /// Notified when data begins to be blocked.
    has_blocked: Event,
    /// Time until which the peer may leave a response unread.
    deadline: Mutex<Instant>,
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
        Self(Arc::new(HandleState {
            blocked: Mutex::default(),
            has_blocked: Event::new(),
            deadline: Mutex::new(Instant::now()),
            sender,
            receiver,
        }))
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
        self.0.blocked.lock().map(|blocked| now.saturating_duration_since(blocked.since))
    }

    /// Waits until [`Self::abort`] is called.
    pub(crate) async fn aborted(&self) {
        // Nothing is sent on the channel; closing it ends the wait.
        let _ = self.0.receiver.recv().await;
    }

    /// Sets the time until which the peer may leave the response to its request unread, the request's
    /// deadline. A live peer that doesn't read and a lost one look alike here.
    pub fn set_deadline(&self, deadline: Instant) {
        *self.0.deadline.lock() = deadline;
    }

    /// Waits until the deadline has passed and the peer takes nothing of the response.
    pub(crate) async fn stalled(&self) {
        loop {
            let has_blocked = self.0.has_blocked.listen();
            match self.time_to_stall(Instant::now()) {
                None => has_blocked.await,
                Some(Duration::ZERO) => return,
                Some(time_left) => task::sleep(time_left).await,
            }
        }
    }

    fn time_to_stall(&self, now: Instant) -> Option<Duration> {
        let blocked = (*self.0.blocked.lock())?;
        let end = (blocked.progress_at + LATE_STALL_LIMIT).max(*self.0.deadline.lock());
        Some(end.saturating_duration_since(now))
    }

    pub(crate) fn record_blocked(&self) {
        let mut blocked = self.0.blocked.lock();
        if blocked.is_none() {
            let now = Instant::now();
            *blocked = Some(BlockedWrite { since: now, progress_at: now });
            self.0.has_blocked.notify(usize::MAX);
        }
    }

    pub(crate) fn record_taken(&self) {
        if let Some(blocked) = &mut *self.0.blocked.lock() {
            blocked.progress_at = Instant::now();
        }
    }

    pub(crate) fn record_flushed(&self) {
        *self.0.blocked.lock() = None;
    }
}
