//! Authentication of callers by account key. Digests are compared in constant time.

use gooseberry_core::{
    arena::AccountKey,
    fleet::FleetTable,
    refusal::{RefusalReason, RequestRefusal},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::callers::app::CallerRequest;

/// Authentication scheme of the header that holds the account key.
const AUTH_SCHEME: &str = "Bearer ";

/// Finds the account of a request's key.
///
/// # Errors
///
/// Returns a refusal if the key is missing or unknown.
pub fn authenticate(
    fleet: &FleetTable,
    request: &CallerRequest,
) -> Result<AccountKey, RequestRefusal> {
    let header = request.header("authorization").map(|values| values.last().as_str());
    let key = header.and_then(|value| value.strip_prefix(AUTH_SCHEME));
    let found = key.and_then(|key| find_account(fleet, key.trim()));
    found.ok_or_else(|| RequestRefusal::not_executed(RefusalReason::WrongKey))
}

/// Compares full digests in constant time. The index of candidates isn't secret.
fn find_account(fleet: &FleetTable, key: &str) -> Option<AccountKey> {
    let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    let mut candidates = fleet.account_index.candidates(&digest).iter().copied();
    candidates.find(|account| {
        let known = &fleet.accounts[*account].key_digests;
        known.iter().any(|known| bool::from(known.ct_eq(&digest)))
    })
}
