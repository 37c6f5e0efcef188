//! Bodies of responses: those to callers, complete or streamed as they arrive, and those of servers
//! that are read as a whole.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use futures_lite::{ready, Stream};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::meter::OverheadMeter;

/// The reason why a response body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The backend server's response ended early.
    #[error("the backend server's response ended early")]
    Broken,
    /// The request's deadline passed.
    #[error("the request's deadline passed before the response was complete")]
    TimedOut,
}

/// The reason why the body of a server's response can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("the response has more than {0} bytes")]
    TooLong(usize),
    #[error("the response ended early: {0}")]
    Truncated(hyper::Error),
}

/// The body of a request or a response as it arrives.
#[derive(Debug)]
pub struct ArrivingBody {
    body: Incoming,
    /// Counts what is read from the connection without data of the body being decoded.
    meter: OverheadMeter,
}

impl ArrivingBody {
    pub(crate) fn new(body: Incoming, meter: OverheadMeter) -> Self {
        Self { body, meter }
    }
}

impl Body for ArrivingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.meter.record_progress();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads a whole body of at most `limit_bytes`. A server in trouble may send bytes without end.
///
/// # Errors
///
/// Returns an error if the body is longer or ends early. Its connection must then be dropped.
pub async fn read_whole(mut body: ArrivingBody, limit_bytes: usize) -> Result<Bytes, ReadError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(ReadError::Truncated)?.into_data().unwrap_or_default();
        if bytes.len() + data.len() > limit_bytes {
            return Err(ReadError::TooLong(limit_bytes));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// A channel of body chunks, or of the error that ends the body early.
pub type BodyChunks = async_channel::Receiver<Result<Bytes, BodyError>>;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body, or `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// A body whose chunks arrive through a channel. `length` is set if the
    /// backend server declared it. On an error hyper closes the connection, so
    /// that the caller detects the truncated response.
    Parts { parts: Pin<Box<BodyChunks>>, length: Option<u64>, error: Option<BodyError> },
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole(if bytes.is_empty() { None } else { Some(bytes) })
    }

    /// Creates a body that is streamed from a channel; `length` is its size in
    /// bytes, if known.
    pub fn parts(parts: BodyChunks, length: Option<u64>) -> Self {
        Self::Parts { parts: Box::pin(parts), length, error: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts { parts, error, .. } => {
                if let Some(error) = error.take() {
                    return Poll::Ready(Some(Err(error)));
                }
                let part = ready!(Stream::poll_next(parts.as_mut(), context));
                if let Some(Err(cause)) = part {
                    // When a body fails, hyper drops what it hasn't written yet.
                    // Returning `Pending` first lets it write the chunks that
                    // came before the error.
                    *error = Some(cause);
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Parts { length: Some(length), .. } => SizeHint::with_exact(*length),
            Self::Parts { length: None, .. } => SizeHint::default(),
        }
    }
}
