//! Token streams that outlive a connection, so that a caller can resume them.

use std::{sync::Arc, time::Duration};

use gooseberry_core::time::Timestamp;
use parking_lot::Mutex;

/// Time without a reader after which a stream is cancelled.
pub const ABANDONED_AFTER: Duration = Duration::from_secs(3);

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All tokens were generated.
    Completed,
    /// The prompt was prefilled and its KV cache exported under this handle.
    Exported(String),
    /// The stream was cancelled by the caller or an order, or abandoned.
    Cancelled,
}

/// Progress of one stream.
#[derive(Debug)]
pub struct StreamState {
    pub prompt_hash: u64,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    /// Position of the first token that was generated here.
    pub start_position: u32,
    /// Position after the last token.
    pub next_position: u32,
    pub end: Option<StreamEnd>,
    /// Number of connections that read the stream.
    pub readers: u32,
    pub last_read: Timestamp,
    subscribers: Vec<async_channel::Sender<()>>,
}

/// A stream that the batch writes to and connections read from.
pub type SharedStream = Arc<Mutex<StreamState>>;

impl StreamState {
    /// Makes a stream whose first token is at position `start`.
    pub fn new(prompt_hash: u64, prompt_tokens: u32, start: u32, now: Timestamp) -> SharedStream {
        Arc::new(Mutex::new(Self {
            prompt_hash,
            prompt_tokens,
            cached_tokens: 0,
            start_position: start,
            next_position: start,
            end: None,
            readers: 0,
            last_read: now,
            subscribers: Vec::new(),
        }))
    }

    /// Adds a token and notifies the subscribers.
    pub fn push_token(&mut self) {
        self.next_position += 1;
        self.wake_subscribers();
    }

    /// Ends the stream, unless it has ended already, and notifies the subscribers.
    pub fn finish(&mut self, end: StreamEnd) {
        self.end.get_or_insert(end);
        self.wake_subscribers();
    }

    /// Returns a receiver that is notified of the next change.
    pub fn subscribe(&mut self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.subscribers.push(sender);
        receiver
    }

    /// Returns whether no connection has read the stream for longer than [`ABANDONED_AFTER`].
    pub fn is_abandoned(&self, now: Timestamp) -> bool {
        self.readers == 0 && now.since(self.last_read) > ABANDONED_AFTER
    }

    fn wake_subscribers(&mut self) {
        for subscriber in self.subscribers.drain(..) {
            let _ = subscriber.try_send(());
        }
    }
}
