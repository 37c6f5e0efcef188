//! Claims in the platform's key-value service.

use std::sync::Arc;

use gooseberry_core::claims::{ClaimKey, ClaimState, KeptAnswer};
use gooseberry_edges::{
    clock::Clock,
    platform::{PlatformEdge, PlatformError, PutOutcome},
};
use gooseberry_wire::{
    claim::{ClaimPhase, ClaimRecord},
    platform::{KvPut, KvRecord},
};
use smol_str::{format_smolstr, SmolStr};
use xxhash_rust::xxh3;

/// Reads and writes claims.
#[derive(Clone)]
pub struct ClaimStore {
    platform: Arc<dyn PlatformEdge>,
    clock: Clock,
}

/// Names a claim that this daemon holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    path: SmolStr,
    revision: u64,
    record: ClaimRecord,
}

/// Says how an attempt to claim ended.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This daemon holds the claim and may send the call, once.
    Held(Box<HeldClaim>),
    /// The key was claimed before.
    Found { state: ClaimState, fingerprint: u64 },
}

/// Says why a claim couldn't be made or read.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// The claim has provably not been recorded by this try, or nobody acts on
    /// it: the holder sends only after it has seen its record.
    #[error("the claim can't be recorded: {0}")]
    Platform(#[from] PlatformError),
    #[error("the record of the claim can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl ClaimStore {
    /// Makes a store on the platform's key-value service.
    pub fn new(platform: Arc<dyn PlatformEdge>, clock: Clock) -> Self {
        Self { platform, clock }
    }

    /// Claims a key, or finds who did.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer; the call must then not
    /// be sent.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        holder: &str,
        fingerprint: u64,
    ) -> Result<ClaimOutcome, ClaimError> {
        let path = claim_path(key);
        let record = ClaimRecord {
            claim: format!("{holder}/{:016x}", rand::random::<u64>()),
            holder: holder.to_owned(),
            fingerprint,
            phase: ClaimPhase::Running,
            made_at_ms: self.clock.now().as_millis(),
            status: None,
            content_type: None,
            body: None,
        };
        let found = match self.put(&path, &record, 0).await {
            Ok(PutOutcome::Written(revision)) => {
                return Ok(ClaimOutcome::Held(Box::new(HeldClaim { path, revision, record })));
            }
            Ok(PutOutcome::Conflict(found)) => found,
            Err(error) if error.is_without_effect() => return Err(error.into()),
            // The write may have taken effect: the record tells.
            Err(_) => self.platform.get(&path).await?,
        };
        self.judge(path, record, found)
    }

    fn judge(
        &self,
        path: SmolStr,
        own: ClaimRecord,
        found: Option<KvRecord>,
    ) -> Result<ClaimOutcome, ClaimError> {
        let Some(found) = found else {
            return Err(PlatformError::Refused(409).into());
        };
        let record: ClaimRecord = serde_json::from_str(&found.value)?;
        if record.claim == own.claim {
            let held = HeldClaim { path, revision: found.revision, record };
            return Ok(ClaimOutcome::Held(Box::new(held)));
        }
        Ok(ClaimOutcome::Found { fingerprint: record.fingerprint, state: state(record) })
    }

    /// Keeps the answer of a call that has run.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub async fn finish(&self, held: HeldClaim, answer: &KeptAnswer) -> Result<(), ClaimError> {
        let mut record = held.record;
        match String::from_utf8(answer.body.clone()) {
            Ok(body) => {
                record.phase = ClaimPhase::Done;
                record.status = Some(answer.status);
                record.content_type = Some(answer.content_type.to_string());
                record.body = Some(body);
            }
            Err(_) => record.phase = ClaimPhase::Lost,
        }
        self.put(&held.path, &record, held.revision).await?;
        Ok(())
    }

    /// Records that the outcome of a call isn't known.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub async fn lose(&self, held: HeldClaim) -> Result<(), ClaimError> {
        let record = ClaimRecord { phase: ClaimPhase::Lost, ..held.record };
        self.put(&held.path, &record, held.revision).await?;
        Ok(())
    }

    /// Gives up a claim whose call has provably not been sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub async fn release(&self, held: HeldClaim) -> Result<(), ClaimError> {
        self.platform.delete(&held.path, held.revision).await?;
        Ok(())
    }

    async fn put(
        &self,
        path: &str,
        record: &ClaimRecord,
        expected: u64,
    ) -> Result<PutOutcome, PlatformError> {
        let value = serde_json::to_string(record).expect("border types are valid JSON");
        let put = KvPut { value, expected: Some(expected), lease: None };
        self.platform.put(path, &put).await
    }
}

/// Returns the path of a claim; keys may hold any text, so they are hashed.
fn claim_path(key: &ClaimKey) -> SmolStr {
    let named = format!("{}\0{}\0{}", key.service, key.account, key.key);
    format_smolstr!("claims/{:032x}", xxh3::xxh3_128(named.as_bytes()))
}

fn state(record: ClaimRecord) -> ClaimState {
    match record.phase {
        ClaimPhase::Running => ClaimState::Running { holder: record.holder.into() },
        ClaimPhase::Done => ClaimState::Done(KeptAnswer {
            status: record.status.unwrap_or(200),
            content_type: record.content_type.unwrap_or_default().into(),
            body: record.body.unwrap_or_default().into_bytes(),
        }),
        ClaimPhase::Lost => ClaimState::Lost,
        ClaimPhase::Released => ClaimState::Released,
    }
}
