//! Authorizes requests by the API keys of client accounts.
//!
//! A request is authorized when its head has arrived, and again before each send to a server, by the
//! configuration that is then the newest one.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    serving::accounts::{
        self, AccountDecision, AccountKey, AccountRequest, AccountRow, AccountTable,
        ConfigurationKnowledge, KeyDigest, KeySecret, KeyState, RevocationPolicy,
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::SentAccount,
    front::{self as platform_front, LocalResponse, RequestHead},
};
use http::{request, HeaderMap, HeaderName, HeaderValue};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::state::GatewayState;

/// Retry-after of a request whose key can't be judged: about the time in which a daemon that has just
/// started, or whose watch has failed once, reads the configuration.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// The client account of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAccount {
    pub name: SmolStr,
    /// Priority of the account's requests, which goes before that of their routes.
    pub priority: Option<u8>,
}

impl From<&AccountRow> for CallAccount {
    fn from(row: &AccountRow) -> Self {
        Self { name: row.name.clone(), priority: row.priority }
    }
}

/// What a request is authorized by.
#[derive(Clone, Copy, Debug)]
pub enum CallAuthority {
    /// The configuration had no accounts.
    Unmanaged,
    /// The route needs no key.
    Anonymous,
    /// The digest of an API key.
    Key(KeyDigest),
    /// Another daemon, which has checked the key.
    Daemon {
        /// Time in a clock that counts suspension up to which its decision holds, if there is a limit.
        valid_until: Option<Timestamp>,
    },
}

/// Headers beside the token of a request that a daemon hands over: the name of the request's account,
/// its priority, and the milliseconds for which the daemon's decision holds.
const FORWARDED_ACCOUNT: HeaderName = HeaderName::from_static("gooseberry-forward-account");
const FORWARDED_PRIORITY: HeaderName = HeaderName::from_static("gooseberry-forward-priority");
const FORWARDED_VALIDITY: HeaderName = HeaderName::from_static("gooseberry-forward-valid-ms");

/// The account of a request that another daemon hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedAccount {
    pub account: CallAccount,
    /// Time for which the other daemon's decision holds from the arrival, if there is a limit.
    pub validity: Option<Duration>,
}

impl ForwardedAccount {
    /// Writes the headers of a request that is handed over, in place of any that it has.
    pub fn write(this: Option<&Self>, headers: &mut HeaderMap) {
        Self::take(headers);
        let Some(Self { account, validity }) = this else {
            return;
        };
        if let Ok(name) = HeaderValue::from_str(&account.name) {
            headers.insert(FORWARDED_ACCOUNT, name);
        }
        if let Some(priority) = account.priority {
            headers.insert(FORWARDED_PRIORITY, u16::from(priority).into());
        }
        if let Some(validity) = validity {
            headers.insert(FORWARDED_VALIDITY, (validity.as_millis() as u64).into());
        }
    }

    /// Removes the headers and returns what they say. It is true only beside a valid token.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut text = |name: HeaderName| {
            let value = headers.remove(name)?;
            value.to_str().ok().map(SmolStr::from)
        };
        let (name, priority) = (text(FORWARDED_ACCOUNT), text(FORWARDED_PRIORITY));
        let validity = text(FORWARDED_VALIDITY);
        // A limit that can't be decoded has passed.
        let validity = validity.map(|text| Duration::from_millis(text.parse().unwrap_or(0)));
        let priority = priority.and_then(|text| text.parse().ok());
        Some(Self { account: CallAccount { name: name?, priority }, validity })
    }

    /// Returns whether the other daemon's decision no longer holds.
    pub fn has_expired(&self) -> bool {
        self.validity.is_some_and(|validity| validity.is_zero())
    }
}

/// The account of a request and what authorizes it.
#[derive(Clone, Debug)]
pub struct CallAccess {
    pub account: Option<CallAccount>,
    pub authority: CallAuthority,
}

impl CallAccess {
    fn of(authority: CallAuthority) -> Self {
        Self { account: None, authority }
    }
}

/// Returns what servers are told about the account of a request.
pub fn sent_account(account: Option<&CallAccount>, authority: CallAuthority) -> SentAccount<'_> {
    match (account, authority) {
        (Some(account), _) => SentAccount::Named(&account.name),
        (None, CallAuthority::Unmanaged) => SentAccount::Unmanaged,
        (None, _) => SentAccount::Anonymous,
    }
}

/// Accounts of the current configuration, and when it was found to be the newest one.
#[derive(Clone, Debug, Default)]
pub struct AccountState {
    pub table: Arc<AccountTable>,
    pub knowledge: ConfigurationKnowledge,
}

/// Why a request isn't authorized, with what the decision was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountRefusal {
    /// Never [`AccountDecision::Admit`].
    pub decision: AccountDecision,
    pub key: KeyState,
    pub account: Option<SmolStr>,
    /// Version of the configuration, and its age.
    pub version: u64,
    pub age: Option<Duration>,
}

impl AccountRefusal {
    /// Writes the decision to the log, with what it was based on.
    pub fn log(&self, request_id: &str) {
        tracing::info!(
            request = request_id,
            decision = %self.decision,
            key = %self.key,
            account = self.account.as_deref(),
            version = self.version,
            age_ms = self.age.map(|age| age.as_millis() as u64),
            "request not authorized"
        );
    }

    /// Returns the response for the caller.
    pub fn response(&self) -> LocalResponse {
        match self.decision {
            AccountDecision::Unauthorized => LocalResponse::Unauthorized,
            AccountDecision::Admit | AccountDecision::Unavailable => {
                LocalResponse::Unavailable { retry_after: RETRY_AFTER }
            }
        }
    }
}

/// What requests are authorized by at one point in time.
#[derive(Debug)]
pub struct AccountGate<'a> {
    pub state: &'a Mutex<GatewayState>,
    pub secret: &'a KeySecret,
    pub policy: RevocationPolicy,
    /// Newest known era of the key-value service.
    pub newest_era: u64,
    /// Time in a clock that counts suspension.
    pub now: Timestamp,
}

/// The parts of the current configuration that a decision depends on.
struct GateView {
    table: Arc<AccountTable>,
    is_anonymous: bool,
    version: u64,
    age: Option<Duration>,
}

impl GateView {
    fn refusal(
        &self,
        decision: AccountDecision,
        key: KeyState,
        account: Option<&CallAccount>,
    ) -> AccountRefusal {
        let account = account.map(|account| account.name.clone());
        AccountRefusal { decision, key, account, version: self.version, age: self.age }
    }
}

impl AccountGate<'_> {
    /// Authorizes a request whose head has arrived, and removes its credentials if the configuration
    /// has accounts. A [`ForwardedAccount`] in its extensions, where only a valid token puts it,
    /// stands for a key.
    ///
    /// # Errors
    ///
    /// Returns why the request isn't authorized.
    pub fn authorize(
        &self,
        parts: &mut request::Parts,
        head: &RequestHead,
    ) -> Result<CallAccess, AccountRefusal> {
        let Some(view) = self.view(head) else {
            return Ok(CallAccess::of(CallAuthority::Unmanaged));
        };
        let key = platform_front::take_key(parts);
        let forwarded = parts.extensions.remove::<ForwardedAccount>();
        // Headers of a caller; those of a daemon were removed when its token was checked.
        ForwardedAccount::take(&mut parts.headers);
        if view.is_anonymous {
            return Ok(CallAccess::of(CallAuthority::Anonymous));
        }
        if let Some(ForwardedAccount { account, validity }) = forwarded {
            let valid_until = validity.map(|validity| self.now + validity);
            let authority = CallAuthority::Daemon { valid_until };
            self.check_forwarded(&view, &account, valid_until)?;
            return Ok(CallAccess { account: Some(account), authority });
        }
        let digest = key.map(|key| self.secret.digest(key.as_bytes()));
        let row = self.decide(&view, digest.as_ref())?;
        let account = row.map(CallAccount::from);
        let authority = digest.map_or(CallAuthority::Anonymous, CallAuthority::Key);
        Ok(CallAccess { account, authority })
    }

    /// Authorizes a request again, by the configuration that is the newest one now.
    ///
    /// # Errors
    ///
    /// Returns why the request isn't authorized any more. If it was authorized without a key that it
    /// would need now, or its key has another account, it has to be sent again by its client.
    pub fn check(
        &self,
        head: &RequestHead,
        account: Option<&CallAccount>,
        authority: CallAuthority,
    ) -> Result<(), AccountRefusal> {
        let Some(view) = self.view(head) else {
            return Ok(());
        };
        match (authority, account) {
            (CallAuthority::Key(digest), Some(account)) => {
                let row = self.decide(&view, Some(&digest))?;
                if row.is_none_or(|row| row.name == account.name) {
                    return Ok(());
                }
            }
            (CallAuthority::Daemon { valid_until }, Some(account)) => {
                return self.check_forwarded(&view, account, valid_until);
            }
            (CallAuthority::Anonymous, _) if view.is_anonymous => return Ok(()),
            _ => {}
        }
        Err(view.refusal(AccountDecision::Unavailable, KeyState::Missing, account))
    }

    /// Returns the account of a request as it is written to the headers of a request that is handed to
    /// another daemon.
    pub fn forwarded(
        &self,
        account: Option<&CallAccount>,
        authority: CallAuthority,
    ) -> Option<ForwardedAccount> {
        let validity = match authority {
            CallAuthority::Key(_) => {
                let state = self.state.lock();
                self.policy.validity(state.accounts.knowledge.age(self.newest_era, self.now))
            }
            CallAuthority::Daemon { valid_until } => {
                valid_until.map(|valid_until| valid_until.since(self.now))
            }
            CallAuthority::Unmanaged | CallAuthority::Anonymous => return None,
        };
        account.map(|account| ForwardedAccount { account: account.clone(), validity })
    }

    /// Checks a request whose key another daemon has checked.
    fn check_forwarded(
        &self,
        view: &GateView,
        account: &CallAccount,
        valid_until: Option<Timestamp>,
    ) -> Result<(), AccountRefusal> {
        let is_valid = match valid_until {
            Some(valid_until) => self.now < valid_until,
            None => !self.policy.is_strict,
        };
        let has_keys = view.table.has_keys(AccountKey::of(&account.name));
        if view.is_anonymous || is_valid && has_keys {
            return Ok(());
        }
        let key = if has_keys { KeyState::Valid } else { KeyState::Unknown };
        Err(view.refusal(AccountDecision::Unavailable, key, Some(account)))
    }

    fn view(&self, head: &RequestHead) -> Option<GateView> {
        let state = self.state.lock();
        let table = Arc::clone(&state.accounts.table);
        let configuration = state.configuration.as_ref().filter(|_| !table.is_empty())?;
        let route = configuration.route(&head.host, &head.path);
        Some(GateView {
            table,
            is_anonymous: route.is_some_and(|route| route.is_anonymous),
            version: configuration.version,
            age: state.accounts.knowledge.age(self.newest_era, self.now),
        })
    }

    /// Decides about a key, and returns its account.
    fn decide<'a>(
        &self,
        view: &'a GateView,
        digest: Option<&KeyDigest>,
    ) -> Result<Option<&'a AccountRow>, AccountRefusal> {
        let row = digest.and_then(|digest| view.table.find(digest));
        let key = match (digest, row) {
            (None, _) => KeyState::Missing,
            (Some(_), None) => KeyState::Unknown,
            (Some(_), Some(_)) => KeyState::Valid,
        };
        let request = AccountRequest { key, is_anonymous: view.is_anonymous, age: view.age };
        match accounts::decide(request, self.policy) {
            AccountDecision::Admit => Ok(row),
            decision => {
                let account = row.map(CallAccount::from);
                Err(view.refusal(decision, key, account.as_ref()))
            }
        }
    }
}
