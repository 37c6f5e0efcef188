//! Implements hyper's timer with async-std, for the timeout on request heads.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_std::task;
use hyper::rt;

/// A hyper timer that uses async-std's sleep.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTimer;

impl rt::Timer for RuntimeTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(RuntimeSleep { inner: Box::pin(task::sleep(duration)) })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

struct RuntimeSleep {
    inner: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl Future for RuntimeSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.inner.as_mut().poll(context)
    }
}

impl rt::Sleep for RuntimeSleep {}
