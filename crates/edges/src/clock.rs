//! The one clock of a process, which tests pause and advance.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::time::Timestamp;
use parking_lot::Mutex;

/// Says that a time limit passed before the awaited work was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct TimeoutElapsed;

/// Tells the time and waits for it.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Follows the machine: the wall clock at the start, monotonic from there.
    System { origin: Instant, start: Timestamp },
    /// Moves only when a test says so.
    Manual(Arc<ManualClock>),
}

impl Clock {
    /// Starts a clock that follows the machine.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Timestamp::from_millis(since_epoch.as_millis() as u64);
        Self::System { origin: Instant::now(), start }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        match self {
            Self::System { origin, start } => *start + origin.elapsed(),
            Self::Manual(clock) => clock.state.lock().now,
        }
    }

    /// Waits for a span of time.
    pub async fn sleep(&self, span: Duration) {
        match self {
            Self::System { .. } => task::sleep(span).await,
            Self::Manual(clock) => clock.sleep(span).await,
        }
    }

    /// Waits for work, but no longer than a span of time.
    ///
    /// # Errors
    ///
    /// Returns [`TimeoutElapsed`] if the span ends first; the work is dropped.
    pub async fn timeout<T>(
        &self,
        span: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, TimeoutElapsed> {
        let limit = async {
            self.sleep(span).await;
            Err(TimeoutElapsed)
        };
        async { Ok(work.await) }.or(limit).await
    }
}

/// Stands still until a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    state: Mutex<ManualState>,
}

#[derive(Debug, Default)]
struct ManualState {
    now: Timestamp,
    sleepers: Vec<Sleeper>,
}

#[derive(Debug)]
struct Sleeper {
    due: Timestamp,
    wake: async_channel::Sender<()>,
}

impl ManualClock {
    /// Makes a clock that stands at a point in time.
    pub fn at(now: Timestamp) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(ManualState { now, sleepers: Vec::new() }) })
    }

    /// Moves the clock on and wakes all whose time has come.
    pub fn advance(&self, span: Duration) {
        let mut state = self.state.lock();
        state.now = state.now + span;
        let now = state.now;
        state.sleepers.retain(|sleeper| {
            if sleeper.due <= now {
                let _ = sleeper.wake.try_send(());
            }
            sleeper.due > now
        });
    }

    async fn sleep(&self, span: Duration) {
        let (wake, woken) = async_channel::bounded(1);
        {
            let mut state = self.state.lock();
            let due = state.now + span;
            if due <= state.now {
                return;
            }
            state.sleepers.push(Sleeper { due, wake });
        }
        let _ = woken.recv().await;
    }
}
