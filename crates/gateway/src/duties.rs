//! Calls of the leader to the platform's API.
//!
//! The API may not check fencing tokens, so the leader proves right before each call that it still
//! holds the leader key. The age of that proof counts suspensions of the VM, and what is still unsent
//! when a call times out is discarded.

use std::time::Duration;

use gooseberry_core::{serving::call_rate::CallRate, time::Timestamp};
use gooseberry_edges::clock::Clock;
use gooseberry_platform::{
    duties::DutyRequest,
    store::{StoreClient, StoreError, StoreLease},
};
use gooseberry_transport::client::{ClientConnection, SendError};
use http::StatusCode;
use smol_str::SmolStr;

use crate::settings::{DutyKind, DutyOptions};

/// Longest time from the start of a renewal to the call that depends on it.
pub const MAX_RENEWAL_AGE: Duration = Duration::from_millis(400);
/// Timeout of a call to the API.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a connection to the API; round trips take up to 16 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time by which the wait of a new leader exceeds the time within which daemons must not take turns.
const TURN_RESERVE: Duration = Duration::from_millis(300);

/// The lease of the leader key, and the clock in which the age of its renewals is measured.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    pub lease: StoreLease,
    pub clock: Clock,
}

/// A renewal of the leader key's lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// Start of the call that renewed it, in the clock that counts suspensions.
    called_at: Timestamp,
}

impl LeaderLease {
    /// Renews the lease, within the longest age of a renewal that a call may depend on.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] or [`StoreError::Era`] if this daemon is no longer the leader,
    /// and [`StoreError::TimedOut`] if the renewal took too long.
    pub async fn renew(&self, client: &mut StoreClient) -> Result<LeaseRenewal, StoreError> {
        let renewal = LeaseRenewal { called_at: self.clock.boot_time() };
        client.renew_lease(self.lease, MAX_RENEWAL_AGE).await?;
        self.check(renewal)?;
        Ok(renewal)
    }

    /// Checks that a call may depend on a renewal.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::TimedOut`] if it is too old, for instance after a suspension.
    pub fn check(&self, renewal: LeaseRenewal) -> Result<(), StoreError> {
        if self.clock.boot_time().since(renewal.called_at) > MAX_RENEWAL_AGE {
            return Err(StoreError::TimedOut(MAX_RENEWAL_AGE));
        }
        Ok(())
    }
}

/// Outcome of a call to the platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyOutcome {
    /// The API has carried it out.
    Accepted,
    /// What was ordered isn't available now.
    Unavailable,
    /// The API refused it because there are too many calls, or it wasn't sent for that reason.
    RateLimited,
    /// The API has seen a higher fencing token.
    Superseded,
    /// The API refused it with another status.
    Rejected(StatusCode),
    /// There is no response, so it may be carried out later.
    Unknown,
}

impl DutyOutcome {
    /// Returns the outcome of a call with this status.
    pub fn of_status(status: StatusCode) -> Self {
        match status {
            status if status.is_success() => Self::Accepted,
            StatusCode::CONFLICT => Self::Unavailable,
            StatusCode::TOO_MANY_REQUESTS => Self::RateLimited,
            StatusCode::PRECONDITION_FAILED => Self::Superseded,
            status => Self::Rejected(status),
        }
    }
}

/// Permission of the leader to call the platform's API. It exists only after the wait of a new leader.
#[derive(Debug)]
pub struct DutyAuthority {
    options: DutyOptions,
    /// Name of this daemon.
    holder: SmolStr,
    /// Fencing token of the leader key.
    token: u64,
    lease: LeaderLease,
    rate: CallRate,
}

impl DutyAuthority {
    /// Creates the permission of a leader that has waited for [`takeover_wait`]. `token` is the fencing
    /// token of its leader key.
    pub fn new(options: DutyOptions, holder: SmolStr, token: u64, lease: LeaderLease) -> Self {
        let rate = CallRate::new(options.rate);
        Self { options, holder, token, lease, rate }
    }

    /// Returns the fencing token of the calls.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the settings of the duties.
    pub fn options(&self) -> &DutyOptions {
        &self.options
    }

    /// Returns whether the settings enable a duty.
    pub fn has_duty(&self, duty: DutyKind) -> bool {
        self.options.duties.contains(&duty)
    }

    /// Makes one call. It takes up to 1.5 s.
    ///
    /// The outcome is [`DutyOutcome::RateLimited`] if the call wasn't sent because there were too many
    /// within the last second, and [`DutyOutcome::Unknown`] if the API can't be reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease wasn't renewed, and [`StoreError::TimedOut`] if the renewal took
    /// too long to depend on it. Then nothing was sent.
    pub async fn call(
        &mut self,
        client: &mut StoreClient,
        request: &DutyRequest,
    ) -> Result<DutyOutcome, StoreError> {
        let clock = &self.lease.clock;
        if !self.rate.try_call(clock.now()) {
            tracing::info!(
                path = request.path(),
                per_second = self.options.rate,
                "duty call not sent: above duty_rate"
            );
            return Ok(DutyOutcome::RateLimited);
        }
        // The connection is established first, so that the renewal is as recent as possible. A new one
        // is used for each call: an open one may have gone silent.
        let connected = ClientConnection::connect(self.options.api, CONNECT_TIMEOUT).await;
        let renewal = self.lease.renew(client).await?;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(fault) => return Ok(self.unanswered(request, &fault)),
        };
        connection.discard_unsent_on_close();
        self.lease.check(renewal)?;
        let exchange = connection.send(request.encode(&self.holder, self.token));
        let outcome = match clock.timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(response)) => DutyOutcome::of_status(response.status()),
            Ok(Err(fault)) => return Ok(self.unanswered(request, &fault)),
            Err(_) => DutyOutcome::Unknown,
        };
        tracing::info!(
            path = request.path(),
            token = self.token,
            body_bytes = request.body().len(),
            renewal_age_ms = clock.boot_time().since(renewal.called_at).as_millis() as u64,
            %outcome,
            "duty call made"
        );
        Ok(outcome)
    }

    fn unanswered(&self, request: &DutyRequest, fault: &SendError) -> DutyOutcome {
        tracing::info!(path = request.path(), token = self.token, %fault, "no response to a duty call");
        DutyOutcome::Unknown
    }
}

/// Returns the time from the acquisition of the leader key to the first call. Within it, no call of the
/// previous leader can arrive any more, and it is longer than the time within which daemons must not
/// take turns.
pub fn takeover_wait(options: &DutyOptions) -> Duration {
    options.turn_interval + TURN_RESERVE
}
