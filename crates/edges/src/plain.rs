//! Calls to plain services: requests of any method and path, each sent once.

use std::time::Duration;

use crate::{
    http::{ConnectionUse, HttpCall, HttpClient, HttpError, HttpResponse},
    ApiFuture,
};

/// Calls to the backend servers of plain services.
pub trait PlainApi: Send + Sync {
    /// Sends a request and waits for the head of its response.
    fn forward<'a>(
        &'a self,
        address: &'a str,
        call: &'a HttpCall,
        limit: Duration,
    ) -> ApiFuture<'a, Result<HttpResponse, HttpError>>;
}

/// Calls plain services by HTTP.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: HttpClient,
}

impl PlainClient {
    /// Creates a client.
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
        // Only with a new connection is a request that was never sent
        // distinguishable from one that may have reached the server.
        Box::pin(self.http.send(address, call, ConnectionUse::New, limit))
    }
}
