//! Plain services: any method and path, forwarded once.

use std::time::Duration;

use crate::{
    http::{ConnectionUse, HttpCall, HttpClient, HttpError, HttpResponse},
    ApiFuture,
};

/// Reaches the backend servers of plain services.
pub trait PlainApi: Send + Sync {
    /// Sends a request and waits for the head of its answer.
    fn forward<'a>(
        &'a self,
        address: &'a str,
        call: &'a HttpCall,
        limit: Duration,
    ) -> ApiFuture<'a, Result<HttpResponse, HttpError>>;
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

impl PlainApi for PlainClient {
    fn forward<'a>(
        &'a self,
        address: &'a str,
        call: &'a HttpCall,
        limit: Duration,
    ) -> ApiFuture<'a, Result<HttpResponse, HttpError>> {
        // Only a new connection tells a request that never left from one that
        // may have arrived.
        Box::pin(self.http.send(address, call, ConnectionUse::New, limit))
    }
}
