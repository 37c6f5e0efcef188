//! Client accounts: which account the API key of a request belongs to, and whether the request is
//! admitted.
//!
//! It handles the requests of up to 23,000 accounts, whose keys are added and removed while daemons
//! are cut off from the key-value service, are suspended or start again. A daemon can't tell whether
//! its configuration is still the newest one, so decisions use the age of what it knows. The table
//! is built once per version of the configuration.

use std::{cmp::Reverse, collections::HashMap, fmt, time::Duration};

use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3;

use crate::{serving::configuration::AccountSpec, time::Timestamp};

/// Age of the configuration up to which an unknown key is refused for good. Watches through relays
/// keep the age below 3.2 s, and a configuration is in force 4 s after it was acknowledged, so a key
/// that has been in force for longer isn't refused.
pub const CONFIRMED_AGE_LIMIT: Duration = Duration::from_millis(3500);
/// Share of the time limit of a revocation after which keys are no longer accepted. The rest is for
/// the path of the request from the client and for the time until it is sent to a server.
const ACCEPTED_SHARE: f64 = 0.9;

/// Identifies an account, in all daemons and versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Returns the key of the account with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Secret of one process, without which the digests of API keys can't be computed.
#[derive(Clone)]
pub struct KeySecret([u8; 32]);

impl KeySecret {
    /// Creates a secret from random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of an API key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::new().chain_update(self.0).chain_update(key).finalize().into())
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("KeySecret").finish_non_exhaustive()
    }
}

/// SHA-256 hash of the process's secret and an API key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the part by which candidates are found. Without the secret, the time that the search
    /// takes tells nothing about keys.
    fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("KeyDigest").finish_non_exhaustive()
    }
}

/// An account of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountRow {
    pub key: AccountKey,
    pub name: SmolStr,
    /// Priority of the account's requests, which goes before that of their routes.
    pub priority: Option<u8>,
}

/// Digest of an API key with the index of its account.
#[derive(Clone, Copy, Debug)]
struct DigestRow {
    digest: KeyDigest,
    account: u32,
}

/// The accounts of one version of the configuration, by the digests of their API keys.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: Vec<AccountRow>,
    /// Sorted by the digests' prefixes, then in the order of the configuration.
    digests: Vec<DigestRow>,
}

impl AccountTable {
    /// Builds the table. Empty keys are left out. If accounts share a key, it belongs to the first.
    pub fn new(specs: &[AccountSpec], secret: &KeySecret) -> Self {
        let accounts = specs.iter().map(|spec| AccountRow {
            key: AccountKey::of(&spec.name),
            name: spec.name.clone(),
            priority: spec.priority,
        });
        let keys = (0..).zip(specs).flat_map(|(account, spec)| {
            spec.keys.iter().filter(|key| !key.is_empty()).map(move |key| (account, key))
        });
        let rows =
            keys.map(|(account, key)| DigestRow { digest: secret.digest(key.as_bytes()), account });
        let mut digests: Vec<DigestRow> = rows.collect();
        digests.sort_by_key(|row| row.digest.prefix());
        Self { accounts: accounts.collect(), digests }
    }

    /// Returns whether there are no accounts, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the accounts in the order of the configuration.
    pub fn accounts(&self) -> &[AccountRow] {
        &self.accounts
    }

    /// Returns whether an account exists and has a key.
    pub fn has_keys(&self, account: AccountKey) -> bool {
        let position = self.accounts.iter().position(|row| row.key == account);
        position
            .is_some_and(|position| self.digests.iter().any(|row| row.account as usize == position))
    }

    /// Finds the account of an API key. Each candidate is compared in constant time.
    pub fn find(&self, digest: &KeyDigest) -> Option<&AccountRow> {
        let prefix = digest.prefix();
        let first = self.digests.partition_point(|row| row.digest.prefix() < prefix);
        let candidates =
            self.digests[first..].iter().take_while(|row| row.digest.prefix() == prefix);
        let mut found = None;
        for row in candidates {
            if bool::from(row.digest.0.ct_eq(&digest.0)) {
                found = found.or(Some(row.account));
            }
        }
        self.accounts.get(found? as usize)
    }
}

/// How long keys that a configuration has removed may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationPolicy {
    /// Whether the limit also holds for daemons without contact to the key-value service.
    pub is_strict: bool,
    /// Time from the acknowledgement of the configuration.
    pub limit: Duration,
}

impl RevocationPolicy {
    /// Returns the age of the configuration up to which its keys are accepted, if there is a limit.
    pub fn accepted_age(&self) -> Option<Duration> {
        self.is_strict.then(|| self.limit.mul_f64(ACCEPTED_SHARE))
    }

    /// Returns how long the keys of a configuration of this age are still accepted: zero if they no
    /// longer are, and `None` if there is no limit.
    pub fn validity(&self, age: Option<Duration>) -> Option<Duration> {
        let limit = self.accepted_age()?;
        Some(age.map_or(Duration::ZERO, |age| limit.saturating_sub(age)))
    }

    /// Returns whether keys of a configuration of this age are accepted.
    pub fn accepts(&self, age: Option<Duration>) -> bool {
        self.validity(age).is_none_or(|validity| !validity.is_zero())
    }
}

/// What is known of the API key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyState {
    /// The request has none, or more than one.
    Missing,
    /// No account of the current configuration has it.
    Unknown,
    /// It belongs to an account.
    Valid,
}

/// What the decision about a request depends on, with the age of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountRequest {
    pub key: KeyState,
    /// Whether the request's route needs no key.
    pub is_anonymous: bool,
    /// Time since the start of the call by which the current configuration was last found to be the
    /// newest, in a clock that counts suspension. None if there was no such call in this process, or
    /// in this era of the key-value service.
    pub age: Option<Duration>,
}

/// The decision about a request of a configuration with accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AccountDecision {
    Admit,
    /// The request will never be admitted with its key.
    Unauthorized,
    /// It isn't known whether the key is valid. Another daemon may know it, or this one later.
    Unavailable,
}

/// Decides about a request of a configuration with accounts.
pub fn decide(request: AccountRequest, policy: RevocationPolicy) -> AccountDecision {
    if request.is_anonymous {
        return AccountDecision::Admit;
    }
    if !policy.accepts(request.age) {
        return AccountDecision::Unavailable;
    }
    if request.key == KeyState::Valid {
        return AccountDecision::Admit;
    }
    // A key that isn't known here may have been added meanwhile, and the route may have become
    // anonymous.
    if request.age.is_some_and(|age| age <= CONFIRMED_AGE_LIMIT) {
        AccountDecision::Unauthorized
    } else {
        AccountDecision::Unavailable
    }
}

/// When the current configuration was last found to be the newest one. All times are those of a
/// clock that counts suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationKnowledge {
    confirmed_at: Option<Timestamp>,
    /// Era of the key-value service in which it was confirmed.
    era: u64,
}

impl ConfigurationKnowledge {
    /// Records that all changes up to a time were applied. `confirmed_at` is the start of the call
    /// by which they are known, or an earlier time if a relay made it.
    pub fn confirm(&mut self, era: u64, confirmed_at: Timestamp) {
        if era > self.era {
            *self = Self { confirmed_at: None, era };
        }
        if era == self.era {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Returns the time since the configuration was confirmed in the newest era of the key-value
    /// service that is known.
    pub fn age(&self, newest_era: u64, now: Timestamp) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.filter(|_| self.era >= newest_era)?;
        Some(now.since(confirmed_at))
    }
}

/// Requests by account.
#[derive(Clone, Debug, Default)]
pub struct AccountCounter {
    counts: HashMap<SmolStr, u64>,
}

impl AccountCounter {
    /// Counts a request.
    pub fn record(&mut self, account: &SmolStr) {
        if let Some(count) = self.counts.get_mut(account) {
            *count += 1;
        } else {
            self.counts.insert(account.clone(), 1);
        }
    }

    /// Returns the counts of the largest accounts, at most `limit`, and the sum of the others.
    pub fn largest(&self, limit: usize) -> (Vec<(&SmolStr, u64)>, u64) {
        let mut rows: Vec<_> = self.counts.iter().map(|(name, count)| (name, *count)).collect();
        rows.sort_by_key(|(name, count)| (Reverse(*count), *name));
        let others = rows.split_off(limit.min(rows.len()));
        (rows, others.iter().map(|(_, count)| count).sum())
    }
}
