//! Short ways to answer HTTP requests.

use std::io;

use gooseberry_edges::channel::ChannelReader;
use serde::Serialize;
use tide::{Body, Response, StatusCode};

/// Answers with JSON.
///
/// # Errors
///
/// Returns an error if the value can't be written as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}

/// Answers with a status alone.
pub fn status(status: StatusCode) -> tide::Result {
    Ok(Response::new(status))
}

/// Breaks the connection in the middle of the answer, so that it is lost.
pub fn aborted() -> tide::Result {
    let (parts, reader) = ChannelReader::new(1);
    let _ = parts.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    Ok(response)
}
