//! An HTTP/1.1 listener over `async_h1` with graceful shutdown.
//!
//! `tide` has no graceful shutdown of its own, so connections are served here:
//! on shutdown, running requests are finished and idle connections closed. A
//! malformed head gets a 4xx response instead of a connection reset.

use std::{
    collections::HashMap,
    future, io,
    pin::Pin,
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc,
    },
    task::{Context, Poll},
    time::Duration,
};

use async_h1::server::{ConnectionStatus, Server};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use gooseberry_core::{ready_budget::ReadyBudget, time::Timestamp};
use parking_lot::Mutex;

use crate::{clock::Clock, stop::StopSignal};

/// Timeout for receiving the head of a request, which also limits the time for
/// which a connection may be idle.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes read before a head is complete: the largest head that `async_h1`
/// accepts, plus its read buffer.
const MAX_UNPARSED_BYTES: usize = 16 * 1024;
/// Size in bytes from which `async_h1` rejects a head.
const HEAD_LIMIT_BYTES: usize = 8 * 1024;
/// Longest time for which a caller may accept no bytes of a response.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a connection is checked for a stalled write.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which the rest of a rejected request is read and discarded,
/// so that its caller receives the response instead of a connection reset.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of a rejected request that are read and discarded.
const LINGER_LIMIT_BYTES: u64 = 1024 * 1024;
/// Delay after a failed accept, so that a shortage of file descriptors can end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a drain checks for running requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An HTTP server; clones share its connections.
#[derive(Clone)]
pub struct HttpListener {
    clock: Clock,
    head_timeout: Duration,
    shared: Arc<ListenerState>,
}

#[derive(Default)]
struct ListenerState {
    next_id: AtomicU64,
    running: AtomicUsize,
    is_closing: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl HttpListener {
    /// Creates a listener without connections.
    pub fn new(clock: Clock) -> Self {
        Self { clock, head_timeout: HEAD_TIMEOUT, shared: Arc::default() }
    }

    /// Sets the timeout for the head of a request.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// Returns the number of running requests.
    pub fn running_requests(&self) -> usize {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Accepts connections until the signal is triggered.
    pub async fn serve<S>(&self, socket: TcpListener, app: tide::Server<S>, stop: StopSignal)
    where
        S: Clone + Send + Sync + 'static,
    {
        loop {
            let accepted = async { Some(socket.accept().await) }
                .or(async {
                    stop.wait().await;
                    None
                })
                .await;
            match accepted {
                Some(Ok((stream, _))) => self.spawn(stream, app.clone()),
                Some(Err(error)) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
    }

    /// Stops accepting requests on open connections and waits until no request
    /// is running, but no longer than the limit. Returns the number of requests
    /// that are still running.
    pub async fn finish(&self, limit: Duration) -> usize {
        self.shared.is_closing.store(true, Ordering::SeqCst);
        let deadline = self.clock.now() + limit;
        while self.running_requests() > 0 && self.clock.now() < deadline {
            self.clock.sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.running_requests()
    }

    /// Waits as [`Self::finish`] does, then closes all connections. Returns the
    /// number of requests that were aborted.
    pub async fn drain(&self, limit: Duration) -> usize {
        let aborted = self.finish(limit).await;
        for (_, stream) in self.shared.connections.lock().drain() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        aborted
    }

    /// Returns when the head of a request hasn't arrived in time.
    async fn wait_head_timeout(&self, activity: &ConnectionActivity) -> RequestEnd {
        self.clock.sleep(self.head_timeout).await;
        if activity.is_dispatched.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
        RequestEnd::HeadTimeout
    }

    /// Returns when the caller has stopped reading a response for too long.
    async fn wait_stall_timeout(&self, activity: &ConnectionActivity) -> RequestEnd {
        loop {
            self.clock.sleep(STALL_CHECK_INTERVAL).await;
            let blocked_since = *activity.blocked_since.lock();
            if blocked_since
                .is_some_and(|since| self.clock.now().since(since) >= WRITE_STALL_TIMEOUT)
            {
                return RequestEnd::Stalled;
            }
        }
    }

    fn spawn<S>(&self, stream: TcpStream, app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let listener = self.clone();
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let id = listener.shared.next_id.fetch_add(1, Ordering::Relaxed);
            listener.shared.connections.lock().insert(id, stream.clone());
            listener.serve_connection(stream, app).await;
            listener.shared.connections.lock().remove(&id);
        });
    }

    async fn serve_connection<S>(&self, stream: TcpStream, app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let monitored = MonitoredStream::new(stream, self.clock.clone());
        let activity = monitored.activity.clone();
        let state = &self.shared;
        let endpoint = |request: http_types::Request| {
            activity.is_dispatched.store(true, Ordering::SeqCst);
            state.running.fetch_add(1, Ordering::SeqCst);
            let (app, activity) = (app.clone(), activity.clone());
            async move {
                let response = app.respond::<_, http_types::Response>(request).await;
                activity.is_responded.store(true, Ordering::SeqCst);
                response
            }
        };
        let mut server = Server::new(monitored.clone(), endpoint);
        loop {
            activity.start_request();
            let served = async { RequestEnd::from(server.accept_one().await) };
            let limits = self.wait_head_timeout(&activity).or(self.wait_stall_timeout(&activity));
            let end = served.or(limits).await;
            if activity.is_dispatched.load(Ordering::SeqCst) {
                state.running.fetch_sub(1, Ordering::SeqCst);
            } else if let Some(refusal) = HeadRefusal::from_end(&end, &activity) {
                refuse_head(monitored.clone(), refusal).await;
                return self.linger(monitored.inner).await;
            }
            match end {
                RequestEnd::KeepAlive if !state.is_closing.load(Ordering::SeqCst) => {}
                RequestEnd::Broken if activity.has_unread_body.load(Ordering::SeqCst) => {
                    return self.linger(monitored.inner).await;
                }
                _ => return,
            }
        }
    }

    /// Reads and discards what the caller still sends, within the limits of time
    /// and size.
    async fn linger(&self, stream: TcpStream) {
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let discard =
            futures_lite::io::copy((&stream).take(LINGER_LIMIT_BYTES), futures_lite::io::sink());
        let _ = self.clock.timeout(LINGER_TIMEOUT, discard).await;
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

/// How the processing of one request on a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// The response was sent, and another request may follow.
    KeepAlive,
    /// The response was sent or the caller closed the connection; no request
    /// follows.
    Close,
    /// The request couldn't be read or its response couldn't be written.
    Broken,
    /// The head of the request didn't arrive in time.
    HeadTimeout,
    /// The caller didn't read its response in time.
    Stalled,
}

impl From<http_types::Result<ConnectionStatus>> for RequestEnd {
    fn from(result: http_types::Result<ConnectionStatus>) -> Self {
        match result {
            Ok(ConnectionStatus::KeepAlive) => Self::KeepAlive,
            Ok(ConnectionStatus::Close) => Self::Close,
            Err(_) => Self::Broken,
        }
    }
}

/// The reason why a head is rejected. The texts are sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
enum HeadRefusal {
    #[strum(serialize = "the head of the request didn't come in time")]
    TooSlow,
    #[strum(serialize = "the head of the request is longer than 8 KiB")]
    TooLong,
    #[strum(serialize = "the head of the request ended early")]
    EndedEarly,
    #[strum(serialize = "the head of the request can't be read")]
    Unreadable,
}

impl HeadRefusal {
    /// Returns the reason to reject a head, or `None` if no byte of it arrived.
    fn from_end(end: &RequestEnd, activity: &ConnectionActivity) -> Option<Self> {
        let received_bytes = activity.received_bytes.load(Ordering::SeqCst);
        if received_bytes == 0 {
            return None;
        }
        Some(match end {
            RequestEnd::HeadTimeout => Self::TooSlow,
            RequestEnd::KeepAlive | RequestEnd::Close => Self::EndedEarly,
            RequestEnd::Broken | RequestEnd::Stalled if received_bytes >= HEAD_LIMIT_BYTES => {
                Self::TooLong
            }
            RequestEnd::Broken | RequestEnd::Stalled => Self::Unreadable,
        })
    }

    fn status_line(self) -> &'static str {
        match self {
            Self::TooSlow => "408 Request Timeout",
            Self::TooLong => "431 Request Header Fields Too Large",
            Self::EndedEarly | Self::Unreadable => "400 Bad Request",
        }
    }
}

/// Rejects a head with a problem document.
async fn refuse_head(mut stream: MonitoredStream, refusal: HeadRefusal) {
    let line = refusal.status_line();
    let status = &line[..3];
    let body = format!(
        r#"{{"type":"urn:gooseberrykeel:bad-request","title":"bad request","status":{status},"detail":"{refusal}","executed":"no"}}"#
    );
    let head = format!(
        "HTTP/1.1 {line}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
}

/// What happened on a connection since the last request ended.
#[derive(Default)]
struct ConnectionActivity {
    /// Bytes received, including those of the head.
    received_bytes: AtomicUsize,
    /// Whether the request was passed to the application.
    is_dispatched: AtomicBool,
    /// Whether the application returned the head of its response.
    is_responded: AtomicBool,
    /// Whether part of the request's body was left unread.
    has_unread_body: AtomicBool,
    /// Time since which writes have been blocked because the caller doesn't read.
    blocked_since: Mutex<Option<Timestamp>>,
}

impl ConnectionActivity {
    fn start_request(&self) {
        self.received_bytes.store(0, Ordering::SeqCst);
        self.is_dispatched.store(false, Ordering::SeqCst);
        self.is_responded.store(false, Ordering::SeqCst);
        *self.blocked_since.lock() = None;
    }

    /// Records whether a write was blocked.
    fn record_write(&self, is_blocked: bool, clock: &Clock) {
        let mut blocked_since = self.blocked_since.lock();
        if !is_blocked {
            *blocked_since = None;
        } else if blocked_since.is_none() {
            *blocked_since = Some(clock.now());
        }
    }
}

/// A stream that records the activity on a connection.
#[derive(Clone)]
struct MonitoredStream {
    inner: TcpStream,
    clock: Clock,
    activity: Arc<ConnectionActivity>,
    budget: ReadyBudget,
}

impl MonitoredStream {
    fn new(inner: TcpStream, clock: Clock) -> Self {
        Self { inner, clock, activity: Arc::default(), budget: ReadyBudget::default() }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // Without this, `async_h1` would read the rest of a rejected body after
        // the response, without a limit on its size.
        if self.activity.is_responded.load(Ordering::SeqCst) {
            self.activity.has_unread_body.store(true, Ordering::SeqCst);
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let Self { inner, budget, .. } = &mut *self;
        let read = budget.poll(context, |context| Pin::new(inner).poll_read(context, buffer));
        if let Poll::Ready(Ok(length)) = read {
            let received_bytes =
                self.activity.received_bytes.fetch_add(length, Ordering::SeqCst) + length;
            // Without this limit, a head without line breaks could grow without
            // bound.
            if received_bytes > MAX_UNPARSED_BYTES
                && !self.activity.is_dispatched.load(Ordering::SeqCst)
            {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.activity.record_write(written.is_pending(), &self.clock);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
