//! An HTTP/1.1 server.

use std::{
    convert::Infallible,
    future::Future,
    pin::pin,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_util::future::{self, Either};
use http::{Request, Response, Version};
use hyper::{body::Incoming, server::conn::http1, service};

use crate::{
    body::ResponseBody,
    io::{self, StreamIo},
    timer::RuntimeTimer,
};

/// Delay after a failed accept, for instance when the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Buffer space beyond the largest head, for the beginning of the body after it.
const BODY_BUFFER_BYTES: usize = 16 * 1024;

/// Limits on callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time until the next head on a connection is complete.
    pub idle: Duration,
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

/// An HTTP server for one or more listeners; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct HttpServer {
    open: Arc<AtomicUsize>,
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
        S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (server, handler) = (self.clone(), handler.clone());
                    task::spawn(async move {
                        server.open.fetch_add(1, Ordering::Relaxed);
                        server.serve_stream(stream, limits, handler).await;
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

    async fn serve_stream<S, F>(&self, stream: TcpStream, limits: ServerLimits, handler: S)
    where
        S: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let socket = stream.clone();
        let io = match StreamIo::new(stream) {
            Ok(io) => io,
            Err(error) => {
                tracing::debug!(%error, "failed to set socket options on an accepted connection");
                return;
            }
        };
        // Responses to HTTP/1.0 aren't sent in chunks and may end with the connection.
        let lacks_chunks = Arc::new(AtomicBool::new(false));
        let is_unchunked = Arc::clone(&lacks_chunks);
        let answer = service::service_fn(move |request: Request<Incoming>| {
            is_unchunked.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(RuntimeTimer)
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.head_bytes + BODY_BUFFER_BYTES)
            .serve_connection(io, answer);
        let mut connection = pin!(connection);
        let shutdown = pin!(self.close.wait());
        let result = match future::select(connection.as_mut(), shutdown).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            tracing::debug!(%error, "caller's connection closed with an error");
            if error.is_user() && lacks_chunks.load(Ordering::Relaxed) {
                // The response body failed, and an orderly end would make it look complete.
                io::reset_on_close(&socket);
            }
        }
    }
}
