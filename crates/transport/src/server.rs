//! Serves HTTP/1.1 connections until the process stops.

use std::{
    convert::Infallible,
    future::Future,
    pin::pin,
    sync::{
        atomic::{AtomicUsize, Ordering},
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
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service};

use crate::{body::ResponseBody, io::StreamIo, timer::RuntimeTimer};

/// Pause after the listener fails, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of buffer beyond the largest head, for the part of a body behind it.
const BUFFER_SLACK: usize = 16 * 1024;

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest wait for the next head on a connection.
    pub idle: Duration,
}

/// Closes idle connections when it is given.
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
    /// Gives the signal.
    pub fn trigger(&self) {
        self.sender.close();
    }

    async fn wait(&self) {
        // The channel carries nothing; it only closes.
        let _ = self.receiver.recv().await;
    }
}

/// Serves the connections of one listener.
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

    /// Lets running requests end and closes all connections.
    pub fn close(&self) {
        self.close.trigger();
    }

    /// Accepts connections for as long as the process runs.
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
                    tracing::warn!(%error, "can't accept a connection");
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_stream<S, F>(&self, stream: TcpStream, limits: ServerLimits, handler: S)
    where
        S: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let io = match StreamIo::new(stream) {
            Ok(io) => io,
            Err(error) => {
                tracing::debug!(%error, "an accepted connection is gone");
                return;
            }
        };
        let answer = service::service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(RuntimeTimer)
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.head_bytes + BUFFER_SLACK)
            .serve_connection(io, answer);
        let mut connection = pin!(connection);
        let closing = pin!(self.close.wait());
        let ended = match future::select(connection.as_mut(), closing).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "a connection ended early");
        }
    }
}
