//! Claims as the key-value service keeps them.

use base64::{prelude::BASE64_STANDARD, Engine};
use gooseberry_core::{
    claims::{ClaimKey, ClaimRow, ClaimState, StoredResponse},
    time::Timestamp,
};
use gooseberry_wire::claim::{ClaimPhase, ClaimRecord};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Start of the paths of all claims.
const CLAIM_PREFIX: &str = "claims/";
/// Status of a kept answer that names none, which only a damaged record does.
const DAMAGED_STATUS: u16 = 502;

/// Returns the start of the paths of one shard of all claims.
pub fn shard_prefix(shard: u8) -> SmolStr {
    smol_str::format_smolstr!("{CLAIM_PREFIX}{shard:02x}")
}

/// Returns the path of a claim.
///
/// Keys may hold any text and callers choose them, so they are hashed with a
/// hash for which nobody can make collisions. The lengths keep the parts apart.
pub fn claim_path(key: &ClaimKey) -> SmolStr {
    let mut hash = Sha256::new();
    for part in [&key.service, &key.account, &key.key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    smol_str::format_smolstr!("{CLAIM_PREFIX}{:x}", hash.finalize())
}

/// Writes a claim as a record.
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

/// Reads a claim from its record.
///
/// # Errors
///
/// Returns an error if the kept body can't be decoded.
pub fn to_row(record: ClaimRecord) -> Result<ClaimRow, base64::DecodeError> {
    let state = match record.phase {
        ClaimPhase::Running => ClaimState::Running,
        ClaimPhase::Done => ClaimState::Done(StoredResponse {
            status: record.status.unwrap_or(DAMAGED_STATUS),
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
