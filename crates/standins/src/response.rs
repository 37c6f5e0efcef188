//! Constructors of HTTP responses.

use std::io;

use gooseberry_edges::channel::ChannelReader;
use serde::Serialize;
use tide::{Body, Response, StatusCode};

/// Returns a response with a JSON body.
///
/// # Errors
///
/// Returns an error if the value can't be written as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}

/// Returns a response without a body.
pub fn status(status: StatusCode) -> tide::Result {
    Ok(Response::new(status))
}

/// Returns a response whose connection is aborted before the body, so that the caller
/// gets no complete response.
pub fn aborted() -> tide::Result {
    let (chunks, reader) = ChannelReader::new(1);
    let _ = chunks.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    Ok(response)
}
