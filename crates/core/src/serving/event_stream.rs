//! Where the events of a stream end, and whether a stream that ended is complete.
//!
//! A response may declare neither a length nor chunks and end with its connection. Then an engine
//! that closes the connection early looks like one that has finished, except that the last event
//! lacks the blank line that ends it.

/// How a response delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyFraming {
    /// The head states the length.
    Length,
    /// The body is sent in chunks, of which an empty one is the last.
    Chunked,
    /// The body ends with its connection.
    Connection,
}

/// Finds the boundaries between server-sent events in the bytes of a stream.
///
/// Lines end with LF, CRLF or CR; a blank line ends an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventTracker {
    complete_events: u32,
    /// Bytes since the last boundary.
    open_bytes: u64,
    /// Whether the current line has bytes.
    is_line_started: bool,
    is_after_cr: bool,
    /// Whether a line has ended with CRLF.
    uses_crlf: bool,
}

impl EventTracker {
    /// Tracks the bytes of a stream from its start.
    pub fn after(bytes: &[u8]) -> Self {
        let mut tracker = Self::default();
        tracker.push(bytes);
        tracker
    }

    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push_byte(*byte);
        }
    }

    fn push_byte(&mut self, byte: u8) {
        let is_line_feed_of_crlf = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        if is_line_feed_of_crlf {
            self.uses_crlf = true;
            if self.open_bytes > 0 {
                self.open_bytes += 1;
            }
            return;
        }
        let is_line_end = matches!(byte, b'\r' | b'\n');
        if is_line_end && !self.is_line_started {
            // Further blank lines between events end no event.
            self.complete_events += u32::from(self.open_bytes > 0);
            self.open_bytes = 0;
            return;
        }
        self.is_line_started = !is_line_end;
        self.open_bytes += 1;
    }

    /// Returns whether the stream is complete, given that its body ended without an error.
    ///
    /// A complete stream doesn't end inside an event. One that ends with its connection also has at
    /// least one event.
    pub fn is_complete(&self, framing: BodyFraming) -> bool {
        let is_cut_before_first = framing == BodyFraming::Connection && self.complete_events == 0;
        self.open_bytes() == 0 && !is_cut_before_first
    }

    /// Returns the number of events that are complete.
    pub fn complete_events(&self) -> u32 {
        self.complete_events
    }

    /// Returns the bytes of an event that isn't complete yet.
    pub fn open_bytes(&self) -> u64 {
        // The LF that follows CR in this stream is still missing.
        self.open_bytes + u64::from(self.is_after_cr && self.uses_crlf && self.open_bytes == 0)
    }
}
