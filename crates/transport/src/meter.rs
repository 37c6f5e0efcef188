//! Bounds the bytes of one connection that lead to nothing.

use std::{
    io,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

/// Most bytes that are read from a connection without a head or data of a body being decoded: the
/// largest head of a response, 64 KiB, and the beginning of the body that is read with it.
const OVERHEAD_LIMIT_BYTES: usize = 128 * 1024;

/// Counts the bytes that are read from a connection without a head or data of a body being decoded;
/// clones share the count.
///
/// Interim responses, blank lines and the framing of chunks may go on without end, and the HTTP
/// library has no bound for them.
#[derive(Clone, Debug, Default)]
pub struct OverheadMeter(Arc<AtomicUsize>);

impl OverheadMeter {
    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if there were too many since the last progress.
    pub(crate) fn record_read(&self, bytes: usize) -> io::Result<()> {
        let total = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total > OVERHEAD_LIMIT_BYTES {
            let message = format!("{total} bytes without a complete head or data of a body");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }

    /// Records that a head or data was decoded, or that a request was sent whose response follows.
    pub(crate) fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}
