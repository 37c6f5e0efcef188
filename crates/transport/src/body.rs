//! The body of an answer: whole, or passed on as it arrives.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_lite::{ready, Stream};
use http_body::{Body, Frame, SizeHint};

/// Says why a body ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The backend server broke off.
    #[error("the backend server broke off its answer")]
    Broken,
    /// The request's time limit passed.
    #[error("the time limit passed while the answer was sent")]
    TimedOut,
}

/// The parts of a body as a task makes them.
pub type BodyChunks = async_channel::Receiver<Result<Bytes, BodyError>>;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Parts come through a channel; `length` is known if the backend server
    /// declared it. A fault makes hyper cut the connection, so that the caller
    /// sees the answer as broken.
    Parts { parts: Pin<Box<BodyChunks>>, length: Option<u64>, fault: Option<BodyError> },
}

impl ResponseBody {
    /// Makes a body whose bytes are all there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole(if bytes.is_empty() { None } else { Some(bytes) })
    }

    /// Makes a body from a channel of parts.
    pub fn parts(parts: BodyChunks, length: Option<u64>) -> Self {
        Self::Parts { parts: Box::pin(parts), length, fault: None }
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
            Self::Parts { parts, fault, .. } => {
                if let Some(fault) = fault.take() {
                    return Poll::Ready(Some(Err(fault)));
                }
                let part = ready!(Stream::poll_next(parts.as_mut(), context));
                if let Some(Err(broken)) = part {
                    // hyper drops what it hasn't written when a body fails:
                    // the wait lets it write the parts before the fault.
                    *fault = Some(broken);
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
