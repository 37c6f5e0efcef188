//! Plain services: any method and path, forwarded once.

use std::time::Duration;

use crate::{
    http::{ConnectionUse, HttpAnswer, HttpCall, HttpClient, HttpError},
    EdgeFuture,
};

/// Reaches the backend servers of plain services.
pub trait PlainEdge: Send + Sync {
    /// Sends a request and waits for the head of its answer.
    fn forward<'a>(
        &'a self,
        address: &'a str,
        call: &'a HttpCall,
        limit: Duration,
    ) -> EdgeFuture<'a, Result<HttpAnswer, HttpError>>;
}

/// Reaches plain services by HTTP.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: HttpClient,
}

impl PlainClient {
    /// Makes a client.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }
}

impl PlainEdge for PlainClient {
    fn forward<'a>(
        &'a self,
        address: &'a str,
        call: &'a HttpCall,
        limit: Duration,
    ) -> EdgeFuture<'a, Result<HttpAnswer, HttpError>> {
        // Only a new connection tells a request that never left from one that
        // may have arrived.
        Box::pin(self.http.send(address, call, ConnectionUse::Fresh, limit))
    }
}
