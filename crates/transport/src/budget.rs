//! Bounds on what one connection may take: turns on the runtime's thread, and bytes that lead to
//! nothing.

use std::{
    io,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    task::{Context, Poll},
};

/// Polls of a source in a row that may be ready before its task gives way to others. A read returns up
/// to 8 KiB.
const READY_LIMIT: u32 = 8;
/// Most bytes that are read from a connection without a head or data of a body being decoded: the
/// largest head of a response, 64 KiB, and the beginning of the body that is read with it.
const OVERHEAD_LIMIT_BYTES: usize = 128 * 1024;

/// Makes a task give way to others while its source is always ready.
///
/// A task that never meets `Pending` keeps its thread, so neither timers nor aborts take effect.
#[derive(Clone, Debug)]
pub struct ReadyBudget {
    left: u32,
}

impl Default for ReadyBudget {
    fn default() -> Self {
        Self { left: READY_LIMIT }
    }
}

impl ReadyBudget {
    /// Polls a source, or gives way if the last polls were all ready. Then the result is `Pending`, and
    /// the task is woken at once.
    pub fn poll<T>(
        &mut self,
        context: &mut Context<'_>,
        source: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        if self.left == 0 {
            self.left = READY_LIMIT;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = source(context);
        self.left = if polled.is_ready() { self.left - 1 } else { READY_LIMIT };
        polled
    }
}

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
