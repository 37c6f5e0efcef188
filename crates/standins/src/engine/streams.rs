//! Streams that outlive a connection, so that they can be resumed.

use std::{sync::Arc, time::Duration};

use gooseberry_core::time::Timestamp;
use parking_lot::Mutex;

/// Time after which a stream without a reader is cancelled.
pub const ABANDONED_AFTER: Duration = Duration::from_secs(3);

/// Says how a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All tokens were generated.
    Completed,
    /// The prompt was computed and its KV cache exported.
    Exported(String),
    /// The stream was cancelled or cut by an order.
    Cancelled,
}

/// Holds what one stream has generated.
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
    pub readers: u32,
    pub last_read: Timestamp,
    wake: Vec<async_channel::Sender<()>>,
}

/// A stream that the batch writes and connections read.
pub type SharedStream = Arc<Mutex<StreamState>>;

impl StreamState {
    /// Makes a stream that begins at a position.
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
            wake: Vec::new(),
        }))
    }

    /// Adds a token and wakes the readers.
    pub fn push_token(&mut self) {
        self.next_position += 1;
        self.wake_readers();
    }

    /// Ends the stream, unless it has ended, and wakes the readers.
    pub fn finish(&mut self, end: StreamEnd) {
        self.end.get_or_insert(end);
        self.wake_readers();
    }

    /// Returns a receiver that gets a message at the next change.
    pub fn subscribe(&mut self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.wake.push(sender);
        receiver
    }

    /// Tells whether nobody has read the stream for too long.
    pub fn is_abandoned(&self, now: Timestamp) -> bool {
        self.readers == 0 && now.since(self.last_read) > ABANDONED_AFTER
    }

    fn wake_readers(&mut self) {
        for reader in self.wake.drain(..) {
            let _ = reader.try_send(());
        }
    }
}
