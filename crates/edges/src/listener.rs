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
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, FutureExt};
use parking_lot::Mutex;

use crate::{clock::Clock, stop::StopSignal};

/// Longest time for the head of a request, and for an idle connection.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
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
    pub fn running(&self) -> usize {
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

    /// Waits until no request runs, at most for the limit, then closes all
    /// connections. Returns the number of requests that were cut.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.shared.closing.store(true, Ordering::SeqCst);
        let deadline = self.clock.now() + limit;
        while self.running() > 0 && self.clock.now() < deadline {
            self.clock.sleep(DRAIN_INTERVAL).await;
        }
        let cut = self.running();
        for (_, stream) in self.shared.connections.lock().drain() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        cut
    }

    /// Ends the wait for a request whose head doesn't come in time.
    async fn limit_head(
        &self,
        activity: &ConnectionActivity,
    ) -> http_types::Result<ConnectionStatus> {
        self.clock.sleep(self.head_timeout).await;
        if activity.answered.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
        Ok(ConnectionStatus::Close)
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
        let watched = WatchedStream::new(stream);
        let activity = watched.activity.clone();
        let state = &self.shared;
        let endpoint = |request: http_types::Request| {
            activity.answered.store(true, Ordering::SeqCst);
            state.busy.fetch_add(1, Ordering::SeqCst);
            let app = app.clone();
            async move { app.respond::<_, http_types::Response>(request).await }
        };
        let mut server = Server::new(watched.clone(), endpoint);
        loop {
            activity.start_request();
            let status = server.accept_one().or(self.limit_head(&activity)).await;
            if activity.answered.load(Ordering::SeqCst) {
                state.busy.fetch_sub(1, Ordering::SeqCst);
            } else if activity.received.load(Ordering::SeqCst) {
                refuse_head(watched.clone(), status.is_ok()).await;
                return;
            }
            match status {
                Ok(ConnectionStatus::KeepAlive) if !state.closing.load(Ordering::SeqCst) => {}
                _ => return,
            }
        }
    }
}

/// Answers a head that came too slowly or can't be read.
async fn refuse_head(mut stream: WatchedStream, timed_out: bool) {
    let (line, title) = if timed_out {
        ("408 Request Timeout", "the head of the request came too slowly or ended early")
    } else {
        ("400 Bad Request", "the head of the request can't be read or is too long")
    };
    let status = &line[..3];
    let body = format!(
        r#"{{"type":"urn:gooseberrykeel:bad-request","title":"{title}","status":{status},"detail":"{title}","executed":"no"}}"#
    );
    let head = format!(
        "HTTP/1.1 {line}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let _ = stream.inner.shutdown(std::net::Shutdown::Write);
}

/// Notes what happened on a connection since the last request ended.
#[derive(Default)]
struct ConnectionActivity {
    /// Bytes of a request have come in.
    received: AtomicBool,
    /// The request went to the application.
    answered: AtomicBool,
}

impl ConnectionActivity {
    fn start_request(&self) {
        self.received.store(false, Ordering::SeqCst);
        self.answered.store(false, Ordering::SeqCst);
    }
}

/// A stream that notes whether bytes came in.
#[derive(Clone)]
struct WatchedStream {
    inner: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl WatchedStream {
    fn new(inner: TcpStream) -> Self {
        Self { inner, activity: Arc::default() }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            self.activity.received.store(true, Ordering::SeqCst);
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
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
