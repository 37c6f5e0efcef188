//! Creates claims, and settles them in the background.

use std::{sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::{
    circuit_breaker::CircuitBreaker,
    claims::{
        self, ClaimAttempt, ClaimKey, ClaimRow, ClaimState, ClaimStep, SettleStep, StoreOutcome,
        StoredResponse, CLAIM_POLL_INTERVAL,
    },
    membership::MembershipTable,
    refusal::RequestRefusal,
    time::Timestamp,
};
use gooseberry_edges::{
    clock::Clock,
    platform::{PlatformApi, PlatformError, PutOutcome},
};
use gooseberry_wire::platform::{KvPut, KvRecord};
use parking_lot::Mutex;
use smol_str::{format_smolstr, SmolStr};

use crate::claims::{local::LocalClaims, record};

/// Initial backoff before the final state of a claim is written again.
const INITIAL_SETTLE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff before the final state of a claim is written again.
const MAX_SETTLE_BACKOFF: Duration = Duration::from_secs(5);
/// HTTP status of the platform's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Reads and writes claims.
#[derive(Clone)]
pub struct ClaimStore {
    platform: Arc<dyn PlatformApi>,
    clock: Clock,
    breaker: Arc<Mutex<CircuitBreaker>>,
    local: LocalClaims,
}

/// Call that runs at most once.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    pub key: ClaimKey,
    /// Requesting process, as VM/INCARNATION.
    pub holder: SmolStr,
    /// Hash of the method, path, query and body.
    pub fingerprint: u64,
    pub deadline: Timestamp,
    /// Period in which callers may retry.
    pub retry_horizon: Duration,
}

/// Claim that this daemon holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    path: SmolStr,
    revision: u64,
    row: ClaimRow,
    claimed: Timestamp,
    deadline: Timestamp,
}

/// Outcome of an attempt to claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This daemon holds the claim and may send the call, once.
    Held(Box<HeldClaim>),
    /// An earlier try has run and its response is stored.
    Answered(StoredResponse),
    Refused(RequestRefusal),
}

impl ClaimStore {
    /// Creates a store on the platform's key-value store.
    pub fn new(platform: Arc<dyn PlatformApi>, clock: Clock) -> Self {
        Self { platform, clock, breaker: Arc::default(), local: LocalClaims::default() }
    }

    /// Returns the claims whose final state isn't in the key-value store yet.
    pub fn local(&self) -> &LocalClaims {
        &self.local
    }

    /// Claims a key, or finds out how the call of the claim's holder ended.
    pub async fn claim(
        &self,
        call: &ClaimCall,
        members: impl Fn() -> MembershipTable,
    ) -> ClaimOutcome {
        let path = record::claim_path(&call.key);
        let claimed = self.clock.now();
        let row = ClaimRow {
            claim: format_smolstr!("{}/{:016x}", call.holder, rand::random::<u64>()),
            holder: call.holder.clone(),
            fingerprint: call.fingerprint,
            state: ClaimState::Running,
            expires: claimed + call.retry_horizon,
        };
        let mut attempt = ClaimAttempt::new(row.claim.clone(), call.fingerprint, call.deadline);
        let mut step = ClaimStep::Write { expected: 0 };
        if let Some(answer) = self.read_local(&path) {
            step = attempt.after_read(answer, &members(), claimed);
        }
        loop {
            step = match step {
                ClaimStep::Write { expected } => {
                    let answer = self.write(&path, &row, expected, call.deadline).await;
                    attempt.after_write(answer, &members(), self.clock.now())
                }
                ClaimStep::Read => {
                    let answer = self.read(&path, call.deadline).await;
                    attempt.after_read(answer, &members(), self.clock.now())
                }
                ClaimStep::Wait => {
                    self.clock.sleep(CLAIM_POLL_INTERVAL).await;
                    let answer = match self.read_local(&path) {
                        Some(answer) => answer,
                        None => self.read(&path, call.deadline).await,
                    };
                    attempt.after_read(answer, &members(), self.clock.now())
                }
                ClaimStep::Send { revision } => {
                    self.local.insert(path.clone(), row.clone());
                    let deadline = call.deadline;
                    let held = HeldClaim { path, revision, row, claimed, deadline };
                    return ClaimOutcome::Held(Box::new(held));
                }
                ClaimStep::Replay(answer) => return ClaimOutcome::Answered(answer),
                ClaimStep::Refuse(refusal) => return ClaimOutcome::Refused(refusal),
                ClaimStep::Abandon { refusal, expected } => {
                    let held = HeldClaim {
                        path,
                        revision: expected,
                        row,
                        claimed,
                        deadline: call.deadline,
                    };
                    self.settle(held, ClaimState::Released);
                    return ClaimOutcome::Refused(refusal);
                }
            };
        }
    }

    /// Returns whether a claim is still valid for sending the call.
    pub fn is_sendable(&self, held: &HeldClaim) -> bool {
        claims::may_send(held.claimed, held.deadline, self.clock.now())
    }

    /// Records the final state of a claim in the background, retrying until it
    /// succeeds. Until then, callers of this daemon get it from memory.
    pub fn settle(&self, held: HeldClaim, state: ClaimState) {
        let row = ClaimRow { state, ..held.row };
        // A released claim isn't kept locally, as it would hide what another try
        // may have recorded.
        if row.state != ClaimState::Released {
            self.local.insert(held.path.clone(), row.clone());
        }
        let store = self.clone();
        task::spawn(async move { store.settle_row(held.path, held.revision, row).await });
    }

    async fn settle_row(&self, path: SmolStr, revision: u64, row: ClaimRow) {
        let mut expected = revision;
        let mut backoff = INITIAL_SETTLE_BACKOFF;
        loop {
            let answer = self.put(&path, &row, expected).await;
            match claims::next_settle_step(&row.claim, expected, &answer) {
                SettleStep::Write { expected: revision } => expected = revision,
                SettleStep::Retry { expected: revision } => {
                    expected = revision;
                    self.clock.sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_SETTLE_BACKOFF);
                }
                SettleStep::Done => break,
            }
        }
        self.local.remove(&path, &row.claim);
    }

    /// Returns a claim that this process holds, in the form of a read.
    fn read_local(&self, path: &str) -> Option<StoreOutcome> {
        let row = self.local.get(path)?;
        Some(StoreOutcome::Found { revision: 0, row })
    }

    /// Writes a claim unless the platform is known to be unavailable.
    async fn write(
        &self,
        path: &str,
        row: &ClaimRow,
        expected: u64,
        deadline: Timestamp,
    ) -> StoreOutcome {
        if !self.breaker.lock().allows_call(self.clock.now()) {
            return StoreOutcome::Failed;
        }
        let left = deadline.since(self.clock.now());
        let written = self.clock.timeout(left, self.put(path, row, expected)).await;
        written.unwrap_or(StoreOutcome::Unknown)
    }

    async fn read(&self, path: &str, deadline: Timestamp) -> StoreOutcome {
        let left = deadline.since(self.clock.now());
        match self.clock.timeout(left, self.platform.get(path)).await {
            Ok(Ok(found)) => self.to_answer(found),
            Ok(Err(error)) => {
                self.failed(&error);
                self.breaker.lock().record_failure(self.clock.now());
                StoreOutcome::Unknown
            }
            Err(_) => StoreOutcome::Unknown,
        }
    }

    async fn put(&self, path: &str, row: &ClaimRow, expected: u64) -> StoreOutcome {
        let record = record::to_record(row, self.clock.now());
        let value = serde_json::to_string(&record).expect("wire types serialize to JSON");
        let put = KvPut { value, expected: Some(expected), lease: None };
        match self.platform.put(path, &put).await {
            Ok(PutOutcome::Written(revision)) => {
                self.breaker.lock().record_success();
                StoreOutcome::Written(revision)
            }
            Ok(PutOutcome::Conflict(found)) => self.to_answer(found),
            Err(error) => self.failed(&error),
        }
    }

    fn to_answer(&self, found: Option<KvRecord>) -> StoreOutcome {
        self.breaker.lock().record_success();
        let Some(found) = found else { return StoreOutcome::Absent };
        let row = serde_json::from_str(&found.value).ok().map(record::to_row);
        match row {
            Some(Ok(row)) => StoreOutcome::Found { revision: found.revision, row },
            _ => {
                tracing::error!(key = found.key, "record of a claim is invalid");
                StoreOutcome::Failed
            }
        }
    }

    /// Handles a failed call. A rate limit or a single lost response doesn't show
    /// that the platform is unavailable; a failed read after a lost response does.
    fn failed(&self, error: &PlatformError) -> StoreOutcome {
        tracing::warn!(%error, "can't read or write a claim");
        if !error.has_no_effect() {
            return StoreOutcome::Unknown;
        }
        if !matches!(error, PlatformError::Refused(TOO_MANY_REQUESTS)) {
            self.breaker.lock().record_failure(self.clock.now());
        }
        StoreOutcome::Failed
    }
}
