//! Adapts async-std's TCP streams to hyper's I/O traits.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_std::net::TcpStream;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use gooseberry_core::ready_budget::ReadyBudget;
use hyper::rt;
use rustix::net::sockopt;

use crate::{handle::ConnectionHandle, meter::OverheadMeter};

/// Most bytes read from the socket at once.
const READ_CHUNK_BYTES: usize = 8192;
/// Time for which sent data may stay unacknowledged, or the peer's window shut, before the kernel
/// closes an outgoing connection (`TCP_USER_TIMEOUT`). Half of the shortest `stable-ms` in the
/// deployments' settings (3 s).
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keep-alive probe, and the interval between
/// probes. The kernel takes whole seconds only.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keep-alive probes after which the kernel closes an outgoing connection, if its user
/// timeout doesn't end before.
const OUTGOING_PROBE_COUNT: u32 = 2;
/// The same for an accepted connection, which has no user timeout. It is closed after 2 s, as an
/// outgoing one is.
const ACCEPTED_PROBE_COUNT: u32 = 1;

/// Who watches whether the peer takes what is written.
#[derive(Debug)]
enum PeerWatch {
    /// The handle of an accepted connection. A caller may read late, so the kernel sets no limit.
    Handle(ConnectionHandle),
    /// The kernel. A server that can't be reached has to be known soon, so that others get its
    /// requests.
    Kernel,
}

/// A TCP stream that implements hyper's I/O traits.
#[derive(Debug)]
pub struct StreamIo {
    stream: TcpStream,
    watch: PeerWatch,
    budget: ReadyBudget,
    meter: OverheadMeter,
    /// Whether a write has failed. The kernel reports a reset once, and a read after that finds what
    /// looks like an orderly end.
    has_failed: bool,
}

impl StreamIo {
    /// Wraps an accepted stream and sets the socket options with which the kernel detects an
    /// unresponsive peer. The meter counts what is read, and the handle learns when the peer doesn't
    /// take what is written.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option can't be set.
    pub fn accepted(
        stream: TcpStream,
        meter: OverheadMeter,
        handle: ConnectionHandle,
    ) -> io::Result<Self> {
        Self::new(stream, meter, PeerWatch::Handle(handle))
    }

    /// Wraps an outgoing stream in the same way.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option can't be set.
    pub fn outgoing(stream: TcpStream, meter: OverheadMeter) -> io::Result<Self> {
        Self::new(stream, meter, PeerWatch::Kernel)
    }

    fn new(stream: TcpStream, meter: OverheadMeter, watch: PeerWatch) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        sockopt::set_socket_keepalive(&stream, true)?;
        sockopt::set_tcp_keepidle(&stream, PROBE_INTERVAL)?;
        sockopt::set_tcp_keepintvl(&stream, PROBE_INTERVAL)?;
        let probe_count = match watch {
            PeerWatch::Kernel => {
                set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT)?;
                OUTGOING_PROBE_COUNT
            }
            PeerWatch::Handle(_) => ACCEPTED_PROBE_COUNT,
        };
        sockopt::set_tcp_keepcnt(&stream, probe_count)?;
        Ok(Self { stream, watch, budget: ReadyBudget::default(), meter, has_failed: false })
    }

    /// Writes with a function, and records whether the peer doesn't take the data.
    fn poll_writing<T>(
        &mut self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let Self { stream, watch, budget, has_failed, .. } = self;
        budget.poll(context, |context| {
            let written = write(Pin::new(stream), context);
            watch.record_write(written.is_pending());
            *has_failed |= matches!(written, Poll::Ready(Err(_)));
            written
        })
    }
}

impl PeerWatch {
    /// Records a write, which may be blocked because the peer doesn't take the data.
    fn record_write(&self, is_blocked: bool) {
        match self {
            Self::Handle(handle) if is_blocked => handle.record_blocked(),
            Self::Handle(handle) => handle.record_taken(),
            Self::Kernel => {}
        }
    }

    /// Records that everything has been written.
    fn record_flushed(&self) {
        match self {
            Self::Handle(handle) => handle.record_flushed(),
            Self::Kernel => {}
        }
    }
}

/// Sets for how long sent data may stay unacknowledged, or the peer's window shut.
///
/// # Errors
///
/// Returns an error if the socket option can't be set.
pub fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    Ok(sockopt::set_tcp_user_timeout(stream, limit.as_millis() as u32)?)
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
        if read == 0 && self.has_failed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
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
        self.watch.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
