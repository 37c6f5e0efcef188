//! Claims as stored in the key-value store.

use base64::{prelude::BASE64_STANDARD, Engine};
use gooseberry_core::{
    claims::{ClaimKey, ClaimRow, ClaimState, StoredResponse},
    time::Timestamp,
};
use gooseberry_wire::claim::{ClaimPhase, ClaimRecord};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Prefix of the paths of all claims.
const CLAIM_PREFIX: &str = "claims/";
/// Status of a stored response whose record has none. Only a damaged record lacks it.
const FALLBACK_STATUS: u16 = 502;

/// Returns the path prefix of one shard of the claims. The first byte of the key's hash
/// is the shard's number.
pub fn shard_prefix(shard: u8) -> SmolStr {
    smol_str::format_smolstr!("{CLAIM_PREFIX}{shard:02x}")
}

/// Returns the path of a claim.
///
/// Callers choose the keys, which may contain any text. They are hashed with SHA-256,
/// so that nobody can construct collisions. The length before each part ensures that
/// different keys never yield the same hash input.
pub fn claim_path(key: &ClaimKey) -> SmolStr {
    let mut hash = Sha256::new();
    for part in [&key.service, &key.account, &key.key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    smol_str::format_smolstr!("{CLAIM_PREFIX}{:x}", hash.finalize())
}

/// Converts a claim to its record, which is made at the given time.
pub fn to_record(row: &ClaimRow, made_at: Timestamp) -> ClaimRecord {
    let (phase, answer) = match &row.state {
        ClaimState::Running => (ClaimPhase::Running, None),
        ClaimState::Done(answer) => (ClaimPhase::Done, Some(answer)),
        ClaimState::Executed => (ClaimPhase::Executed, None),
        ClaimState::Lost => (ClaimPhase::Lost, None),
        ClaimState::Released => (ClaimPhase::Released, None),
    };
    ClaimRecord {
        claim: row.claim.to_string(),
        holder: row.holder.to_string(),
        fingerprint: row.fingerprint,
        phase,
        made_at_ms: made_at.as_millis(),
        expires_at_ms: row.expires.as_millis(),
        status: answer.map(|answer| answer.status),
        content_type: answer.map(|answer| answer.content_type.to_string()),
        body_base64: answer.map(|answer| BASE64_STANDARD.encode(&answer.body)),
    }
}

/// Converts a record to the claim that it holds.
///
/// # Errors
///
/// Returns an error if the stored body can't be decoded.
pub fn to_row(record: ClaimRecord) -> Result<ClaimRow, base64::DecodeError> {
    let state = match record.phase {
        ClaimPhase::Running => ClaimState::Running,
        ClaimPhase::Done => ClaimState::Done(StoredResponse {
            status: record.status.unwrap_or(FALLBACK_STATUS),
            content_type: record.content_type.unwrap_or_default().into(),
            body: BASE64_STANDARD.decode(record.body_base64.unwrap_or_default())?,
        }),
        ClaimPhase::Executed => ClaimState::Executed,
        ClaimPhase::Lost => ClaimState::Lost,
        ClaimPhase::Released => ClaimState::Released,
    };
    Ok(ClaimRow {
        claim: record.claim.into(),
        holder: record.holder.into(),
        fingerprint: record.fingerprint,
        state,
        expires: Timestamp::from_millis(record.expires_at_ms),
    })
}
