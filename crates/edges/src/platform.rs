//! The platform: key-value service, list of VMs, weight store.

use std::time::Duration;

use gooseberry_core::revisions::WATCH_TIMEOUT_MARGIN;
use gooseberry_wire::platform::{
    KvConflict, KvListing, KvPut, KvRecord, KvWritten, LeaseGrant, LeaseRequest, VmListing,
    WeightGrant,
};
use http_types::{Method, Request, StatusCode, Url};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::{
    http::{ConnectionUse, HttpCall, HttpClient, HttpError},
    ApiFuture,
};

/// Longest time for an answer of the platform.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Says why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The call has provably not arrived.
    #[error("the platform can't be reached: {0}")]
    Unreachable(#[source] HttpError),
    /// The call may have taken effect.
    #[error("whether the platform took the call isn't known: {0}")]
    Unknown(#[source] HttpError),
    /// The platform refused the call.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The answer can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(#[source] serde_json::Error),
}

impl PlatformError {
    /// Tells whether a write has provably not taken effect.
    pub fn has_no_effect(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Refused(_))
    }
}

impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        if error.is_unsent() {
            Self::Unreachable(error)
        } else {
            Self::Unknown(error)
        }
    }
}

/// Says how a conditional write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// The write took effect and has this revision.
    Written(u64),
    /// The key had another revision; the present record, if there is one.
    Conflict(Option<KvRecord>),
}

/// Reaches the platform's services.
pub trait PlatformApi: Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> ApiFuture<'a, Result<Option<KvRecord>, PlatformError>>;

    /// Writes a key if its revision is the expected one.
    fn put<'a>(
        &'a self,
        key: &'a str,
        put: &'a KvPut,
    ) -> ApiFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Deletes a key if its revision is the expected one.
    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
    ) -> ApiFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Lists the records below a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> ApiFuture<'a, Result<KvListing, PlatformError>>;

    /// Waits for a revision of a key above `after`; nothing if none came.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> ApiFuture<'a, Result<Option<KvRecord>, PlatformError>>;

    /// Asks for a lease.
    fn grant_lease(&self, ttl: Duration) -> ApiFuture<'_, Result<LeaseGrant, PlatformError>>;

    /// Extends a lease; `false` if it has lapsed.
    fn renew_lease(&self, lease: u64) -> ApiFuture<'_, Result<bool, PlatformError>>;

    /// Gives up a lease and the keys that live by it.
    fn release_lease(&self, lease: u64) -> ApiFuture<'_, Result<(), PlatformError>>;

    /// Lists the VMs, late.
    fn vms(&self) -> ApiFuture<'_, Result<VmListing, PlatformError>>;

    /// Asks the weight store when a load of a model may start.
    fn reserve_weights<'a>(
        &'a self,
        model: &'a str,
    ) -> ApiFuture<'a, Result<WeightGrant, PlatformError>>;
}

/// Reaches the platform by HTTP and JSON.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    address: SmolStr,
    secret: Option<SmolStr>,
}

impl PlatformClient {
    /// Makes a client for the platform at an address.
    pub fn new(http: HttpClient, address: &str, secret: Option<&str>) -> Self {
        Self { http, address: address.into(), secret: secret.map(SmolStr::new) }
    }

    fn request(&self, method: Method, path: &str, query: &[(&str, &str)]) -> Request {
        let mut url = Url::parse(&format!("http://{}", self.address))
            .expect("the settings admit only addresses");
        url.set_path(path);
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut request = Request::new(method, url);
        if let Some(secret) = &self.secret {
            request.insert_header("authorization", format!("Bearer {secret}"));
        }
        request
    }

    async fn call(
        &self,
        call: impl Into<HttpCall> + Send,
        limit: Duration,
    ) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let call = call.into();
        let connection = match call.head.method() {
            Method::Get => ConnectionUse::Pooled,
            _ => ConnectionUse::New,
        };
        let answer = self.http.send(&self.address, &call, connection, limit).await?;
        let status = answer.status();
        let bytes = answer.into_bytes(ANSWER_TIMEOUT).await?;
        Ok((status, bytes))
    }

    async fn write(
        &self,
        request: impl Into<HttpCall> + Send,
    ) -> Result<PutOutcome, PlatformError> {
        match self.call(request, ANSWER_TIMEOUT).await? {
            (StatusCode::Ok, bytes) => {
                Ok(PutOutcome::Written(parse::<KvWritten>(&bytes)?.revision))
            }
            (StatusCode::Conflict, bytes) => {
                Ok(PutOutcome::Conflict(parse::<KvConflict>(&bytes)?.current))
            }
            (status, _) => Err(PlatformError::Refused(status.into())),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        request: impl Into<HttpCall> + Send,
    ) -> Result<T, PlatformError> {
        match self.call(request, ANSWER_TIMEOUT).await? {
            (StatusCode::Ok, bytes) => parse(&bytes),
            (status, _) => Err(PlatformError::Refused(status.into())),
        }
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(PlatformError::Malformed)
}

impl PlatformApi for PlatformClient {
    fn get<'a>(&'a self, key: &'a str) -> ApiFuture<'a, Result<Option<KvRecord>, PlatformError>> {
        Box::pin(async move {
            let request = self.request(Method::Get, &format!("/kv/{key}"), &[]);
            match self.call(request, ANSWER_TIMEOUT).await? {
                (StatusCode::Ok, bytes) => parse(&bytes).map(Some),
                (StatusCode::NotFound, _) => Ok(None),
                (status, _) => Err(PlatformError::Refused(status.into())),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        put: &'a KvPut,
    ) -> ApiFuture<'a, Result<PutOutcome, PlatformError>> {
        let request = self.request(Method::Put, &format!("/kv/{key}"), &[]);
        Box::pin(self.write(HttpCall::with_json(request, put)))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
    ) -> ApiFuture<'a, Result<PutOutcome, PlatformError>> {
        let expected = expected.to_string();
        let request =
            self.request(Method::Delete, &format!("/kv/{key}"), &[("expected", &expected)]);
        Box::pin(self.write(request))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> ApiFuture<'a, Result<KvListing, PlatformError>> {
        Box::pin(self.read(self.request(Method::Get, "/list", &[("prefix", prefix)])))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> ApiFuture<'a, Result<Option<KvRecord>, PlatformError>> {
        Box::pin(async move {
            let after = after.to_string();
            let wait_ms = wait.as_millis().to_string();
            let query = [("after", after.as_str()), ("wait_ms", wait_ms.as_str())];
            let request = self.request(Method::Get, &format!("/watch/{key}"), &query);
            match self.call(request, wait + WATCH_TIMEOUT_MARGIN).await? {
                (StatusCode::Ok, bytes) => parse(&bytes).map(Some),
                (StatusCode::NoContent, _) => Ok(None),
                (status, _) => Err(PlatformError::Refused(status.into())),
            }
        })
    }

    fn grant_lease(&self, ttl: Duration) -> ApiFuture<'_, Result<LeaseGrant, PlatformError>> {
        let wanted = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        let request = self.request(Method::Post, "/leases", &[]);
        Box::pin(self.read(HttpCall::with_json(request, &wanted)))
    }

    fn renew_lease(&self, lease: u64) -> ApiFuture<'_, Result<bool, PlatformError>> {
        Box::pin(async move {
            let request = self.request(Method::Put, &format!("/leases/{lease}"), &[]);
            match self.call(request, ANSWER_TIMEOUT).await? {
                (StatusCode::Ok, _) => Ok(true),
                (StatusCode::NotFound, _) => Ok(false),
                (status, _) => Err(PlatformError::Refused(status.into())),
            }
        })
    }

    fn release_lease(&self, lease: u64) -> ApiFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            let request = self.request(Method::Delete, &format!("/leases/{lease}"), &[]);
            self.call(request, ANSWER_TIMEOUT).await.map(|_| ())
        })
    }

    fn vms(&self) -> ApiFuture<'_, Result<VmListing, PlatformError>> {
        Box::pin(self.read(self.request(Method::Get, "/vms", &[])))
    }

    fn reserve_weights<'a>(
        &'a self,
        model: &'a str,
    ) -> ApiFuture<'a, Result<WeightGrant, PlatformError>> {
        Box::pin(self.read(self.request(Method::Post, &format!("/weights/{model}"), &[])))
    }
}
