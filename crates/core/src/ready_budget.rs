//! Bounds the turns that one task takes on the runtime's thread.
//!
//! Apart from the transport, since the product's own interface and its stand-ins bound their tasks too and
//! don't link the HTTP library of the transport.

use std::task::{Context, Poll};

/// Polls of a source in a row that may be ready before its task gives way to others. A read returns up
/// to 8 KiB.
const READY_LIMIT: u32 = 8;

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
