//! Steps that all requests of callers share: body, account and deadline.

use std::{sync::Arc, time::Duration};

use futures_lite::{AsyncReadExt, FutureExt};
use gooseberry_core::{
    arena::{AccountKey, ServiceKey},
    limits::AccountLimit,
    outcomes::{OutcomeKey, RequestOutcome},
    refusal::{RefusalReason, RequestExecuted, RequestRefusal},
    time::Timestamp,
};
use smol_str::SmolStr;

use crate::{
    callers::{app::CallerRequest, identity},
    context::DaemonContext,
    outcomes::OutcomeGuard,
    snapshot::FleetSnapshot,
};

/// Header with the absolute deadline, in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "request-deadline";

/// Request whose body was read and whose account is known.
pub struct AcceptedRequest {
    pub context: Arc<DaemonContext>,
    /// Snapshot that the request uses until it ends.
    pub snapshot: Arc<FleetSnapshot>,
    pub account: AccountKey,
    pub service: ServiceKey,
    pub deadline: Timestamp,
    pub guard: OutcomeGuard,
}

/// Reads the body and authenticates the account.
///
/// # Errors
///
/// Returns a refusal for an unknown key, or for a body that is too large or arrives
/// too slowly.
pub async fn read(
    request: &mut CallerRequest,
    snapshot: &FleetSnapshot,
) -> Result<(AccountKey, Vec<u8>), RequestRefusal> {
    let account = identity::authenticate(&snapshot.fleet, request)?;
    let limit = snapshot.fleet.limits.max_body_bytes;
    let too_large = || RequestRefusal::not_executed(RefusalReason::BodyTooLarge(limit));
    if request.len().is_some_and(|length| length as u64 > limit) {
        return Err(too_large());
    }
    let expected = request.len();
    let clock = request.state().clock.clone();
    let timeout = Duration::from_secs(request.state().settings.body_timeout_s.into());
    let mut body = Vec::new();
    let mut reader = request.take_body().into_reader().take(limit + 1);
    let drain_deadline = request.state().drain_deadline.clone();
    let reading = async { Some(reader.read_to_end(&mut body).await) };
    let drain_timed_out = async {
        drain_deadline.wait().await;
        None
    };
    let Some(read) = clock.timeout(timeout, reading.or(drain_timed_out)).await.transpose() else {
        let refusal = RequestRefusal::not_executed(RefusalReason::ShuttingDown);
        return Err(refusal.retry_after(super::refusals::RETRY_AFTER));
    };
    match read {
        Ok(Ok(length)) if length as u64 > limit => Err(too_large()),
        // A request must not run with half its body because the caller closed its
        // sending side early.
        Ok(Ok(length)) if expected.is_some_and(|expected| expected != length) => {
            Err(bad_request("the body ended before its announced length"))
        }
        Ok(Ok(_)) => Ok((account, body)),
        Ok(Err(error)) => Err(bad_request(&format!("the body can't be read: {error}"))),
        Err(_) => Err(RequestRefusal::not_executed(RefusalReason::BodyTooSlow(timeout))),
    }
}

/// Accepts a request for a service. From here on its outcome is counted.
///
/// # Errors
///
/// Returns a refusal for a deadline that can't be parsed or has passed.
pub fn accept(
    request: &CallerRequest,
    snapshot: Arc<FleetSnapshot>,
    account: AccountKey,
    service: ServiceKey,
) -> Result<AcceptedRequest, RequestRefusal> {
    let context = Arc::clone(request.state());
    let deadline = read_deadline(request, &context, &snapshot, service)?;
    let key = OutcomeKey {
        service: snapshot.fleet.services[service].name.clone(),
        account: snapshot.fleet.accounts[account].name.clone(),
    };
    let guard = context.outcomes.accept(key);
    Ok(AcceptedRequest { context, snapshot, account, service, deadline, guard })
}

fn read_deadline(
    request: &CallerRequest,
    context: &DaemonContext,
    snapshot: &FleetSnapshot,
    service: ServiceKey,
) -> Result<Timestamp, RequestRefusal> {
    let now = context.clock.now();
    let Some(value) = request.header(DEADLINE_HEADER) else {
        return Ok(now + snapshot.fleet.services[service].deadline);
    };
    let Ok(millis) = value.last().as_str().trim().parse() else {
        return Err(bad_request("the request-deadline header isn't a number of milliseconds"));
    };
    let deadline = Timestamp::from_millis(millis);
    if deadline <= now {
        return Err(RequestRefusal::not_executed(RefusalReason::DeadlinePassed));
    }
    Ok(deadline)
}

impl AcceptedRequest {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Refuses the request if a service that it depends on has no open backend
    /// server.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the missing service.
    pub fn check_dependencies(&self) -> Result<(), RequestRefusal> {
        let Some(missing) = self.snapshot.missing_dependency(self.service) else {
            return Ok(());
        };
        let name = self.snapshot.fleet.services[missing].name.clone();
        let refusal = RequestRefusal::not_executed(RefusalReason::DependencyDown(name));
        Err(refusal.retry_after(super::refusals::RETRY_AFTER))
    }

    /// Takes the request's tokens from its account's rate limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time after which to retry.
    pub fn check_limit(&self, tokens: u32) -> Result<(), RequestRefusal> {
        let account = &self.snapshot.fleet.accounts[self.account];
        let limit = AccountLimit {
            requests_per_second: account.requests_per_second,
            tokens_per_second: account.tokens_per_second,
        };
        let limit = limit.per_domain(self.snapshot.fleet.domains.len());
        self.context.limits.acquire(&account.name, limit, tokens, self.context.clock.now())
    }

    /// Counts the outcome of a refused request and returns the refusal.
    pub fn refuse(self, refusal: RequestRefusal) -> RequestRefusal {
        self.guard.end(outcome(&refusal));
        refusal
    }
}

/// Returns the outcome under which a refusal is counted.
pub fn outcome(refusal: &RequestRefusal) -> RequestOutcome {
    match refusal.executed {
        RequestExecuted::No => RequestOutcome::Refused,
        RequestExecuted::Unknown => RequestOutcome::Unknown,
        RequestExecuted::Yes => RequestOutcome::Failed,
    }
}

/// Returns the refusal of an invalid request.
pub fn bad_request(detail: &str) -> RequestRefusal {
    RequestRefusal::not_executed(RefusalReason::BadRequest(SmolStr::new(detail)))
}
