//! Adapts async-std's TCP streams to hyper's I/O traits.

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

use crate::{
    budget::{OverheadMeter, ReadyBudget},
    handle::ConnectionHandle,
};

/// Most bytes read from the socket at once.
const READ_CHUNK_BYTES: usize = 8192;
/// Time for which sent data may stay unacknowledged before the kernel closes
/// the connection (`TCP_USER_TIMEOUT`). Half of the shortest `stable-ms` in the
/// deployments' settings (3 s).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keep-alive probe, and the interval between
/// probes. The kernel takes whole seconds only.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keep-alive probes after which the kernel closes the connection.
const PROBE_COUNT: u32 = 2;

/// A TCP stream that implements hyper's I/O traits.
#[derive(Debug)]
pub struct StreamIo {
    stream: TcpStream,
    /// Learns when the peer doesn't take what is written; none for outgoing connections.
    handle: Option<ConnectionHandle>,
    budget: ReadyBudget,
    meter: OverheadMeter,
}

impl StreamIo {
    /// Wraps a stream and sets the socket options with which the kernel detects
    /// an unresponsive peer. The meter counts what is read.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option can't be set.
    pub fn new(stream: TcpStream, meter: OverheadMeter) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let limit = UNACKNOWLEDGED_TIMEOUT.as_millis() as u32;
        sockopt::set_tcp_user_timeout(&stream, limit)?;
        sockopt::set_socket_keepalive(&stream, true)?;
        sockopt::set_tcp_keepidle(&stream, PROBE_INTERVAL)?;
        sockopt::set_tcp_keepintvl(&stream, PROBE_INTERVAL)?;
        sockopt::set_tcp_keepcnt(&stream, PROBE_COUNT)?;
        Ok(Self { stream, handle: None, budget: ReadyBudget::default(), meter })
    }

    /// Reports to a handle when the peer doesn't take what is written.
    pub fn observed_by(self, handle: ConnectionHandle) -> Self {
        Self { handle: Some(handle), ..self }
    }

    /// Writes with a function, and records whether the peer doesn't take the data.
    fn poll_writing<T>(
        &mut self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let Self { stream, handle, budget, .. } = self;
        budget.poll(context, |context| {
            let written = write(Pin::new(stream), context);
            if let (Some(handle), Poll::Pending) = (handle, &written) {
                handle.record_blocked();
            }
            written
        })
    }
}

/// Makes the kernel reset the connection when its last handle is dropped, instead of ending it in
/// order.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        tracing::debug!(%error, "failed to reset a connection");
    }
}

impl rt::Read for StreamIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let length = cursor.remaining().min(READ_CHUNK_BYTES);
        let Self { stream, budget, .. } = &mut *self;
        let read = budget
            .poll(context, |context| Pin::new(stream).poll_read(context, &mut chunk[..length]));
        let read = ready!(read)?;
        self.meter.record_read(read)?;
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
        self.poll_writing(context, |stream, context| stream.poll_write(context, bytes))
    }

    /// Without vectored writes hyper copies each body into its own buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_writing(context, |stream, context| stream.poll_write_vectored(context, slices))
    }

    /// Is called when everything has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(handle) = &self.handle {
            handle.record_flushed();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
