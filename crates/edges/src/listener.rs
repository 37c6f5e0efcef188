//! An accept loop over `async_h1` that can be drained.
//!
//! `tide` has no graceful shutdown of its own, so each connection is served
//! here: requests that run are finished, idle connections are closed, and a
//! head that can't be read gets a plain 4xx instead of a reset.

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
use gooseberry_core::time::Timestamp;
use parking_lot::Mutex;

use crate::{clock::Clock, stop::StopSignal};

/// Longest time for the head of a request, and for an idle connection.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes of a head: what `async_h1` reads of one, and its buffer.
const HEAD_BYTES: usize = 16 * 1024;
/// Bytes of a head from which `async_h1` refuses it.
const HEAD_LIMIT: usize = 8 * 1024;
/// Longest time for which a caller may leave an answer unread.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a connection looks whether its caller still reads.
const STALL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which the rest of a refused request is read and dropped, so
/// that its caller gets the answer and no reset.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that are read and dropped so.
const LINGER_BYTES: u64 = 1024 * 1024;
/// Pause after a failed accept, so that a shortage of files can pass.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a drain looks for running requests.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Serves one listening socket.
#[derive(Clone)]
pub struct HttpListener {
    clock: Clock,
    head_timeout: Duration,
    shared: Arc<ListenerState>,
}

#[derive(Default)]
struct ListenerState {
    next: AtomicU64,
    busy: AtomicUsize,
    closing: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl HttpListener {
    /// Makes a listener without connections.
    pub fn new(clock: Clock) -> Self {
        Self { clock, head_timeout: HEAD_TIMEOUT, shared: Arc::default() }
    }

    /// Sets the longest time for the head of a request.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// Returns the number of requests that run now.
    pub fn running_requests(&self) -> usize {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Accepts connections until the signal is given.
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
                    tracing::warn!(%error, "can't accept a connection");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
                None => return,
            }
        }
    }

    /// Waits until no request runs, at most for the limit, and takes no further
    /// request on any connection. Returns the number of requests that still run.
    pub async fn finish(&self, limit: Duration) -> usize {
        self.shared.closing.store(true, Ordering::SeqCst);
        let deadline = self.clock.now() + limit;
        while self.running_requests() > 0 && self.clock.now() < deadline {
            self.clock.sleep(DRAIN_INTERVAL).await;
        }
        self.running_requests()
    }

    /// Waits as [`Self::finish`] does, then closes all connections. Returns the
    /// number of requests that were cut.
    pub async fn drain(&self, limit: Duration) -> usize {
        let cut = self.finish(limit).await;
        for (_, stream) in self.shared.connections.lock().drain() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        cut
    }

    /// Ends the wait for a request whose head doesn't come in time.
    async fn limit_head(&self, activity: &ConnectionActivity) -> RequestEnd {
        self.clock.sleep(self.head_timeout).await;
        if activity.answered.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
        RequestEnd::HeadTimeout
    }

    /// Ends an answer whose caller has stopped reading.
    async fn limit_stall(&self, activity: &ConnectionActivity) -> RequestEnd {
        loop {
            self.clock.sleep(STALL_INTERVAL).await;
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
            let id = listener.shared.next.fetch_add(1, Ordering::Relaxed);
            listener.shared.connections.lock().insert(id, stream.clone());
            listener.serve_connection(stream, app).await;
            listener.shared.connections.lock().remove(&id);
        });
    }

    async fn serve_connection<S>(&self, stream: TcpStream, app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let watched = WatchedStream::new(stream, self.clock.clone());
        let activity = watched.activity.clone();
        let state = &self.shared;
        let endpoint = |request: http_types::Request| {
            activity.answered.store(true, Ordering::SeqCst);
            state.busy.fetch_add(1, Ordering::SeqCst);
            let (app, activity) = (app.clone(), activity.clone());
            async move {
                let response = app.respond::<_, http_types::Response>(request).await;
                activity.responded.store(true, Ordering::SeqCst);
                response
            }
        };
        let mut server = Server::new(watched.clone(), endpoint);
        loop {
            activity.start_request();
            let served = async { RequestEnd::from(server.accept_one().await) };
            let limits = self.limit_head(&activity).or(self.limit_stall(&activity));
            let end = served.or(limits).await;
            if activity.answered.load(Ordering::SeqCst) {
                state.busy.fetch_sub(1, Ordering::SeqCst);
            } else if let Some(refusal) = HeadRefusal::of(&end, &activity) {
                refuse_head(watched.clone(), refusal).await;
                return self.linger(watched.inner).await;
            }
            match end {
                RequestEnd::KeepAlive if !state.closing.load(Ordering::SeqCst) => {}
                RequestEnd::Broken if activity.unread.load(Ordering::SeqCst) => {
                    return self.linger(watched.inner).await;
                }
                _ => return,
            }
        }
    }

    /// Reads and drops what a refused caller still sends, for a short time.
    async fn linger(&self, stream: TcpStream) {
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let discard =
            futures_lite::io::copy((&stream).take(LINGER_BYTES), futures_lite::io::sink());
        let _ = self.clock.timeout(LINGER_TIMEOUT, discard).await;
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Says how the wait for a request and its answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// The answer went out, and another request may follow.
    KeepAlive,
    /// The answer went out or the caller closed, and nothing follows.
    Close,
    /// The request couldn't be read or its answer not be written.
    Broken,
    /// The head of the request didn't come in time.
    HeadTimeout,
    /// The caller didn't read its answer in time.
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

/// Says why a head is refused.
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
    /// Returns the refusal of a head, or nothing if no byte of one came.
    fn of(end: &RequestEnd, activity: &ConnectionActivity) -> Option<Self> {
        let received = activity.received.load(Ordering::SeqCst);
        if received == 0 {
            return None;
        }
        Some(match end {
            RequestEnd::HeadTimeout => Self::TooSlow,
            RequestEnd::KeepAlive | RequestEnd::Close => Self::EndedEarly,
            RequestEnd::Broken | RequestEnd::Stalled if received >= HEAD_LIMIT => Self::TooLong,
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

/// Answers a head that can't be taken with a problem document.
async fn refuse_head(mut stream: WatchedStream, refusal: HeadRefusal) {
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

/// Notes what happened on a connection since the last request ended.
#[derive(Default)]
struct ConnectionActivity {
    /// Bytes that came in before the request went to the application.
    received: AtomicUsize,
    /// The request went to the application.
    answered: AtomicBool,
    /// The application gave the head of its answer.
    responded: AtomicBool,
    /// Part of the request's body was left unread.
    unread: AtomicBool,
    /// Time since which the caller takes no bytes.
    blocked_since: Mutex<Option<Timestamp>>,
}

impl ConnectionActivity {
    fn start_request(&self) {
        self.received.store(0, Ordering::SeqCst);
        self.answered.store(false, Ordering::SeqCst);
        self.responded.store(false, Ordering::SeqCst);
        *self.blocked_since.lock() = None;
    }

    /// Notes whether a write had to wait.
    fn note_write(&self, waits: bool, clock: &Clock) {
        let mut blocked_since = self.blocked_since.lock();
        if !waits {
            *blocked_since = None;
        } else if blocked_since.is_none() {
            *blocked_since = Some(clock.now());
        }
    }
}

/// A stream that notes what passes through it.
#[derive(Clone)]
struct WatchedStream {
    inner: TcpStream,
    clock: Clock,
    activity: Arc<ConnectionActivity>,
}

impl WatchedStream {
    fn new(inner: TcpStream, clock: Clock) -> Self {
        Self { inner, clock, activity: Arc::default() }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // After the answer, `async_h1` would read the rest of a refused body
        // without a bound.
        if self.activity.responded.load(Ordering::SeqCst) {
            self.activity.unread.store(true, Ordering::SeqCst);
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(length)) = read {
            let received = self.activity.received.fetch_add(length, Ordering::SeqCst) + length;
            // A head without line ends would grow without a bound.
            if received > HEAD_BYTES && !self.activity.answered.load(Ordering::SeqCst) {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.activity.note_write(written.is_pending(), &self.clock);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
