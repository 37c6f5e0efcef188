//! An HTTP/1.1 server.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt,
    future::Future,
    net::SocketAddr,
    pin::{pin, Pin},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc,
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use futures_util::future::{self, Either};
use http::{header, Request, Response, Version};
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service};
use parking_lot::Mutex;

use crate::{
    body::{ArrivingBody, BodyError, ResponseBody},
    handle::ConnectionHandle,
    io::{self, StreamIo},
    meter::OverheadMeter,
    timer::RuntimeTimer,
};

/// Delay after a failed accept, for instance when the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Buffer space beyond the largest head, for the beginning of the body after it.
const BODY_BUFFER_BYTES: usize = 16 * 1024;
/// Longest wait for room when there are too many connections, before the new one is closed.
const ROOM_WAIT: Duration = Duration::from_millis(200);
/// Time between checks for room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Most bytes that are read and discarded after the last response on a connection. A close with
/// unread bytes resets the connection, and the caller may lose the response.
const DISCARD_LIMIT_BYTES: usize = 256 * 1024;
/// Longest time for which such bytes are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that are discarded at once.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Sheds something that a connection holds, and returns whether there was something.
pub type RoomMaker = Arc<dyn Fn() -> bool + Send + Sync>;

/// Limits on callers' connections.
#[derive(Clone)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time until the next head on a connection is complete.
    pub idle: Duration,
    /// Most open connections.
    pub connections: usize,
    /// Makes room when there are too many connections and none of them waits for a request.
    pub make_room: Option<RoomMaker>,
}

impl fmt::Debug for ServerLimits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ServerLimits")
            .field("head_bytes", &self.head_bytes)
            .field("idle", &self.idle)
            .field("connections", &self.connections)
            .finish_non_exhaustive()
    }
}

/// Shutdown signal for connections; clones share it.
#[derive(Clone, Debug)]
pub struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for CloseSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl CloseSignal {
    /// Triggers the shutdown.
    pub fn trigger(&self) {
        self.sender.close();
    }

    async fn wait(&self) {
        // Nothing is sent on the channel; closing it ends the wait.
        let _ = self.receiver.recv().await;
    }
}

/// Connections that wait for a request, by the time since when.
#[derive(Clone, Debug, Default)]
struct WaitingConnections(Arc<Mutex<BTreeMap<(Instant, u64), ConnectionHandle>>>);

impl WaitingConnections {
    /// Closes the connection that has waited longest; returns whether there was one.
    fn close_longest(&self) -> bool {
        let longest = self.0.lock().pop_first();
        longest.inspect(|(_, handle)| handle.abort()).is_some()
    }
}

/// The place of one connection among those that wait for a request.
#[derive(Debug)]
struct WaitingPlace {
    connections: WaitingConnections,
    handle: ConnectionHandle,
    number: u64,
    since: Mutex<Option<Instant>>,
}

impl WaitingPlace {
    fn enter(&self) {
        self.leave();
        let now = Instant::now();
        *self.since.lock() = Some(now);
        self.connections.0.lock().insert((now, self.number), self.handle.clone());
    }

    fn leave(&self) {
        if let Some(since) = self.since.lock().take() {
            self.connections.0.lock().remove(&(since, self.number));
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Makes a connection one that waits for a request when the response of the last one ends.
#[derive(Debug)]
struct RequestGuard(Arc<WaitingPlace>);

impl RequestGuard {
    fn new(place: &Arc<WaitingPlace>) -> Self {
        place.leave();
        Self(Arc::clone(place))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter();
    }
}

/// The body of a response with the guard of its request.
struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What the responses on a connection mean for its end.
#[derive(Debug, Default)]
struct ConnectionEnd {
    /// Responses to HTTP/1.0 aren't sent in chunks and may end with the connection.
    lacks_chunks: AtomicBool,
    /// The last response closes the connection.
    is_last: AtomicBool,
}

/// An HTTP server for one or more listeners; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct HttpServer {
    open: Arc<AtomicUsize>,
    next_number: Arc<AtomicU64>,
    waiting: WaitingConnections,
    close: CloseSignal,
}

impl HttpServer {
    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes idle connections at once and the others after their current request.
    pub fn close(&self) {
        self.close.trigger();
    }

    /// Accepts connections and serves them with a handler; never returns.
    pub async fn serve<S, F>(&self, listener: TcpListener, limits: ServerLimits, handler: S)
    where
        S: Fn(Request<ArrivingBody>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    if !self.has_room(&limits).await {
                        tracing::debug!(limits.connections, "no room for another connection");
                        continue;
                    }
                    let (server, handler, limits) = (self.clone(), handler.clone(), limits.clone());
                    server.open.fetch_add(1, Ordering::Relaxed);
                    task::spawn(async move {
                        server.serve_stream(stream, peer, &limits, handler).await;
                        server.open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Makes room for a connection if there are too many; returns whether there is room. Meanwhile
    /// further connections wait in the kernel's queue.
    async fn has_room(&self, limits: &ServerLimits) -> bool {
        let is_full = || self.open_connections() >= limits.connections;
        if !is_full() {
            return true;
        }
        let started_at = Instant::now();
        let mut is_made = false;
        while is_full() && started_at.elapsed() < ROOM_WAIT {
            is_made = is_made
                || self.waiting.close_longest()
                || limits.make_room.as_ref().is_some_and(|make_room| make_room());
            task::sleep(ROOM_CHECK_INTERVAL).await;
        }
        !is_full()
    }

    async fn serve_stream<S, F>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        limits: &ServerLimits,
        handler: S,
    ) where
        S: Fn(Request<ArrivingBody>) -> F + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let mut socket = stream.clone();
        let handle = ConnectionHandle::default();
        let meter = OverheadMeter::default();
        let io = match StreamIo::accepted(stream, meter.clone(), handle.clone()) {
            Ok(io) => io,
            Err(error) => {
                tracing::debug!(%error, "failed to set socket options on an accepted connection");
                return;
            }
        };
        let place = Arc::new(WaitingPlace {
            connections: self.waiting.clone(),
            handle: handle.clone(),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            since: Mutex::default(),
        });
        place.enter();
        let end = Arc::new(ConnectionEnd::default());
        let answer = {
            let (end, handle, idle) = (Arc::clone(&end), handle.clone(), limits.idle);
            let place = Arc::clone(&place);
            service::service_fn(move |mut request: Request<Incoming>| {
                let guard = RequestGuard::new(&place);
                request.extensions_mut().insert(handle.clone());
                end.lacks_chunks.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
                meter.record_progress();
                handle.set_deadline(Instant::now() + idle);
                let request = request.map(|body| ArrivingBody::new(body, meter.clone()));
                let (end, answer) = (Arc::clone(&end), handler(request));
                async move {
                    let answer = answer.await;
                    let connection = answer.headers().get(header::CONNECTION);
                    let is_last = connection.is_some_and(|value| value == "close");
                    end.is_last.store(is_last, Ordering::Relaxed);
                    let guarded = answer.map(|body| GuardedBody { body, _guard: guard });
                    Ok::<_, Infallible>(guarded)
                }
            })
        };
        let result = {
            let connection = http1::Builder::new()
                .timer(RuntimeTimer)
                .header_read_timeout(limits.idle)
                .max_buf_size(limits.head_bytes + BODY_BUFFER_BYTES)
                .serve_connection(io, answer);
            let mut connection = pin!(connection);
            let shutdown = pin!(self.close.wait());
            let cut = pin!(wait_for_cut(&handle));
            match future::select(future::select(connection.as_mut(), shutdown), cut).await {
                Either::Left((Either::Left((result, _)), _)) => Ok(result),
                Either::Left((Either::Right(_), cut)) => {
                    connection.as_mut().graceful_shutdown();
                    match future::select(connection, cut).await {
                        Either::Left((result, _)) => Ok(result),
                        Either::Right((reason, _)) => Err(reason),
                    }
                }
                Either::Right((reason, _)) => Err(reason),
            }
        };
        match result {
            Ok(Ok(())) if end.is_last.load(Ordering::Relaxed) => {
                let discard = discard(&mut socket);
                discard.or(handle.aborted()).await;
            }
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                tracing::debug!(%error, "caller's connection closed with an error");
                if error.is_user() && end.lacks_chunks.load(Ordering::Relaxed) {
                    // The response body failed, and an orderly end would make it look complete.
                    io::reset_on_close(&socket);
                }
            }
            Err(reason) => {
                match reason {
                    // A flood sheds many.
                    CutReason::Shed => tracing::debug!(%peer, %reason, "caller's connection cut"),
                    CutReason::Unread => tracing::info!(%peer, %reason, "caller's connection cut"),
                }
                // What was written of a response must not look complete, and what the kernel holds
                // of it is freed.
                io::reset_on_close(&socket);
            }
        }
    }
}

/// Why a connection is cut, whatever it is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum CutReason {
    /// Room or memory is needed.
    Shed,
    /// The caller takes nothing of a response whose deadline has passed.
    Unread,
}

async fn wait_for_cut(handle: &ConnectionHandle) -> CutReason {
    let shed = async {
        handle.aborted().await;
        CutReason::Shed
    };
    let unread = async {
        handle.stalled().await;
        CutReason::Unread
    };
    shed.or(unread).await
}

/// Reads and discards what a caller still sends after the last response, within bounds.
async fn discard(socket: &mut TcpStream) {
    let timeout = task::sleep(DISCARD_TIMEOUT);
    let rest = async {
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        let mut discarded = 0;
        while discarded < DISCARD_LIMIT_BYTES {
            match socket.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(read) => discarded += read,
            }
        }
    };
    rest.or(timeout).await;
}
