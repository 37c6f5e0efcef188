//! Response bodies with neither a length nor chunks, which end with their connection.
//!
//! `async_h1` takes such a body for empty and drops the bytes of it that it has read.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use async_std::net::TcpStream;
use futures_lite::{
    io::{AsyncReadExt, BufReader, Cursor},
    ready, AsyncRead, AsyncWrite,
};
use gooseberry_core::ready_budget::ReadyBudget;
use http_types::{
    headers::{CONTENT_LENGTH, TRANSFER_ENCODING},
    Body, Method, Response, StatusCode,
};
use parking_lot::Mutex;

/// Largest head of a response, with what is read of the body before the head is decoded, in bytes.
/// `async_h1` bounds the lines of a head only after it has read them.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Bytes read before the head of the response was decoded; `None` afterwards.
type ReceivedBytes = Arc<Mutex<Option<Vec<u8>>>>;

/// A connection that keeps a copy of what is read from it until the head of the response is
/// decoded.
#[derive(Debug)]
pub struct RecordingStream {
    stream: TcpStream,
    received: ReceivedBytes,
    /// The framing of a body may go on without end.
    budget: ReadyBudget,
}

/// The copy of what was read from a [`RecordingStream`].
#[derive(Debug)]
pub struct ReceivedHead {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl RecordingStream {
    /// Starts to record what is read from a connection.
    pub fn new(stream: TcpStream) -> (Self, ReceivedHead) {
        let received: ReceivedBytes = Arc::new(Mutex::new(Some(Vec::new())));
        let head = ReceivedHead { stream: stream.clone(), received: Arc::clone(&received) };
        (Self { stream, received, budget: ReadyBudget::default() }, head)
    }
}

impl ReceivedHead {
    /// Ends the recording. If the body of the response ends with its connection, sets this body
    /// and returns `true`.
    pub fn restore_body(self, method: Method, response: &mut Response) -> bool {
        let received = self.received.lock().take().unwrap_or_default();
        let is_framed =
            [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| response.header(name).is_some());
        let status = response.status();
        let has_no_body = method == Method::Head
            || status.is_informational()
            || matches!(status, StatusCode::NoContent | StatusCode::NotModified);
        if is_framed || has_no_body {
            return false;
        }
        let beginning = received[head_length(&received)..].to_vec();
        let body = Cursor::new(beginning).chain(self.stream);
        response.set_body(Body::from_reader(BufReader::new(body), None));
        true
    }
}

/// Returns the length of a response head, with the blank line that ends it.
fn head_length(received: &[u8]) -> usize {
    let is_head = |end: &usize| {
        let head = &received[..*end];
        head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n")
    };
    (0..=received.len()).find(is_head).unwrap_or(received.len())
}

impl AsyncRead for RecordingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, budget, .. } = &mut *self;
        let read = budget.poll(context, |context| Pin::new(stream).poll_read(context, buffer));
        let length = ready!(read)?;
        if let Some(received) = &mut *self.received.lock() {
            if received.len() + length > HEAD_LIMIT_BYTES {
                let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too long");
                return Poll::Ready(Err(error));
            }
            received.extend_from_slice(&buffer[..length]);
        }
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for RecordingStream {
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

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
