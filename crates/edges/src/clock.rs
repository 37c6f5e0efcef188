//! The clock of a process, which tests can replace by a manual one.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::time::Timestamp;
use parking_lot::Mutex;
use rustix::time::{self, ClockId};

/// The error of [`Clock::timeout`]: the time limit passed before the future was ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct TimeoutElapsed;

/// A source of time and sleeps: the system's clock or a manual one.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The wall-clock time at the start plus the monotonic time since then.
    System { origin: Instant, start: Timestamp },
    /// A clock that moves only when a test advances it.
    Manual(Arc<ManualClock>),
}

impl Clock {
    /// Creates a clock that starts at the system's wall-clock time.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Timestamp::from_millis(since_epoch.as_millis() as u64);
        Self::System { origin: Instant::now(), start }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        match self {
            Self::System { origin, start } => *start + origin.elapsed(),
            Self::Manual(clock) => clock.state.lock().now,
        }
    }

    /// Returns the time since the machine's start, which also counts suspensions. Only differences are
    /// meaningful.
    pub fn boot_time(&self) -> Timestamp {
        match self {
            Self::System { .. } => {
                let time = time::clock_gettime(ClockId::Boottime);
                Timestamp::from_millis((time.tv_sec * 1000 + time.tv_nsec / 1_000_000) as u64)
            }
            Self::Manual(clock) => {
                let state = clock.state.lock();
                state.now + state.suspended
            }
        }
    }

    /// Returns the wall-clock time, which may jump and differs between machines.
    pub fn wall_time(&self) -> Timestamp {
        match self {
            Self::System { .. } => {
                let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                Timestamp::from_millis(since_epoch.as_millis() as u64)
            }
            Self::Manual(clock) => {
                let state = clock.state.lock();
                state.now + state.suspended
            }
        }
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::System { .. } => task::sleep(duration).await,
            Self::Manual(clock) => clock.sleep(duration).await,
        }
    }

    /// Waits for a future, but no longer than a duration.
    ///
    /// # Errors
    ///
    /// Returns [`TimeoutElapsed`] if the duration ends first; the future is
    /// dropped.
    pub async fn timeout<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, TimeoutElapsed> {
        let limit = async {
            self.sleep(duration).await;
            Err(TimeoutElapsed)
        };
        async { Ok(future.await) }.or(limit).await
    }
}

/// A clock that stands still until a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    state: Mutex<ManualState>,
}

#[derive(Debug, Default)]
struct ManualState {
    now: Timestamp,
    /// Total time of the suspensions.
    suspended: Duration,
    sleepers: Vec<Sleeper>,
}

#[derive(Debug)]
struct Sleeper {
    due: Timestamp,
    wake: async_channel::Sender<()>,
}

impl ManualClock {
    /// Creates a clock that shows the given time.
    pub fn at(now: Timestamp) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(ManualState { now, ..ManualState::default() }) })
    }

    /// Suspends the machine for a duration, which only the wall clock and the time since the machine's
    /// start count.
    pub fn suspend(&self, duration: Duration) {
        self.state.lock().suspended += duration;
    }

    /// Advances the clock and wakes the sleepers that are due.
    pub fn advance(&self, duration: Duration) {
        let mut state = self.state.lock();
        state.now = state.now + duration;
        let now = state.now;
        state.sleepers.retain(|sleeper| {
            if sleeper.due <= now {
                let _ = sleeper.wake.try_send(());
            }
            sleeper.due > now
        });
    }

    async fn sleep(&self, duration: Duration) {
        let (wake, woken) = async_channel::bounded(1);
        {
            let mut state = self.state.lock();
            let due = state.now + duration;
            if due <= state.now {
                return;
            }
            state.sleepers.push(Sleeper { due, wake });
        }
        let _ = woken.recv().await;
    }
}
