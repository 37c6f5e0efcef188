//! A response body that another task writes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{ready, AsyncBufRead, AsyncRead, Stream};

/// One part of a body, or the error that ends it early.
pub type BodyChunk = io::Result<Vec<u8>>;

/// Reads the parts that come through a channel as one body.
///
/// An error part ends a chunked body without its last chunk, which tells the
/// caller honestly that the answer is incomplete.
pub struct ChannelReader {
    parts: Pin<Box<async_channel::Receiver<BodyChunk>>>,
    current: Vec<u8>,
    position: usize,
}

impl ChannelReader {
    /// Makes a reader and the sender that feeds it.
    pub fn new(capacity: usize) -> (async_channel::Sender<BodyChunk>, Self) {
        let (sender, parts) = async_channel::bounded(capacity);
        (sender, Self { parts: Box::pin(parts), current: Vec::new(), position: 0 })
    }
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let length = available.len().min(buffer.len());
        buffer[..length].copy_from_slice(&available[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.position == reader.current.len() {
            match ready!(reader.parts.as_mut().poll_next(context)) {
                Some(part) => {
                    reader.current = part?;
                    reader.position = 0;
                }
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&reader.current[reader.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.position += amount;
    }
}
