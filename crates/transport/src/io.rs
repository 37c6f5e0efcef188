//! Adapts the TCP streams of async-std to hyper's reads and writes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_std::net::TcpStream;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use hyper::rt;
use rustix::net::sockopt;

/// Bytes that one read takes from the socket at most.
const READ_CHUNK: usize = 8192;
/// Time without acknowledgement after which the kernel gives a connection up.
/// Half of the shortest `stable-ms` that the deployments name (3 s).
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Idle time before the first keep-alive probe; the kernel counts in seconds.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Probes that may go unanswered.
const PROBE_COUNT: u32 = 2;

/// A TCP stream that hyper can drive.
#[derive(Debug)]
pub struct StreamIo {
    stream: TcpStream,
}

impl StreamIo {
    /// Wraps a stream and makes the kernel notice a silent peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket refuses an option.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let limit = UNACKNOWLEDGED_LIMIT.as_millis() as u32;
        sockopt::set_tcp_user_timeout(&stream, limit)?;
        sockopt::set_socket_keepalive(&stream, true)?;
        sockopt::set_tcp_keepidle(&stream, PROBE_DELAY)?;
        sockopt::set_tcp_keepintvl(&stream, PROBE_DELAY)?;
        sockopt::set_tcp_keepcnt(&stream, PROBE_COUNT)?;
        Ok(Self { stream })
    }
}

impl rt::Read for StreamIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK];
        let length = cursor.remaining().min(READ_CHUNK);
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk[..length]))?;
        cursor.put_slice(&chunk[..read]);
        Poll::Ready(Ok(()))
    }
}

impl rt::Write for StreamIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
