//! Authorizes requests by the API keys of client accounts.
//!
//! A request is authorized when its head has arrived, and again before each send to a server, by the
//! configuration that is then the newest one.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{
    serving::accounts::{
        self, AccountDecision, AccountRequest, AccountRow, AccountTable, ConfigurationKnowledge,
        KeyDigest, KeySecret, KeyState, RevocationPolicy,
    },
    time::Timestamp,
};
use gooseberry_platform::{
    engine::SentAccount,
    front::{self as platform_front, LocalResponse, RequestHead},
};
use http::request;
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

impl AccountGate<'_> {
    /// Authorizes a request whose head has arrived, and removes its credentials if the configuration
    /// has accounts.
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
        if view.is_anonymous {
            return Ok(CallAccess::of(CallAuthority::Anonymous));
        }
        let digest = key.map(|key| self.secret.digest(key.as_bytes()));
        let row = self.decide(&view, digest.as_ref())?;
        let account = row.map(CallAccount::from);
        let authority = digest.map_or(CallAuthority::Anonymous, CallAuthority::Key);
        Ok(CallAccess { account, authority })
    }

    /// Returns the age of the current configuration.
    pub fn age(&self) -> Option<Duration> {
        self.state.lock().accounts.knowledge.age(self.newest_era, self.now)
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
            decision => Err(AccountRefusal {
                decision,
                key,
                account: row.map(|row| row.name.clone()),
                version: view.version,
                age: view.age,
            }),
        }
    }
}
