//! Limits of accounts: this daemon's shares, and what it lends as a home.
//!
//! Once a second the daemon asks the homes of its active accounts for shares,
//! one call to each home whatever the number of accounts. Without an answer it
//! goes on with the part that is its own.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::{
    limits::{AccountLimit, DomainView, LimitCoordinator, LimitTable},
    refusal::RequestRefusal,
    time::Timestamp,
};
use gooseberry_wire::quota::{QuotaGrant, QuotaRequest, ShareRequest};
use jsonrpsee::{
    core::{async_trait, client::ClientT, RpcResult},
    proc_macros::rpc,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::{context::DaemonContext, peers};

/// Interval of askings.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for the answer of a home; a later one would be over soon.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls between daemons about limits.
#[rpc(server)]
pub trait QuotaApi {
    /// Lends shares of the limits of accounts.
    #[method(name = "quota")]
    async fn quota(&self, secret: String, ask: QuotaRequest) -> RpcResult<QuotaGrant>;
}

/// Holds the limits that this daemon keeps and lends.
#[derive(Default)]
pub struct LimitState {
    table: Mutex<LimitTable>,
    home: Mutex<LimitCoordinator>,
    view: Mutex<DomainView>,
    /// Addresses of the daemons by name, as their connections show them.
    addresses: Mutex<HashMap<SmolStr, String>>,
}

impl LimitState {
    /// Notes what is known of the failure domain, which has to be said all the
    /// time.
    pub fn set_view(&self, view: DomainView, now: Timestamp) {
        self.home.lock().observe(view.clone(), now);
        self.table.lock().set_base_share(view.base_share());
        *self.view.lock() = view;
    }

    /// Notes at which address a daemon has answered.
    pub fn set_address(&self, daemon: &str, address: &str) {
        self.addresses.lock().insert(SmolStr::new(daemon), address.to_owned());
    }

    /// Returns the address at which a daemon has answered.
    pub fn address(&self, daemon: &str) -> Option<String> {
        self.addresses.lock().get(daemon).cloned()
    }

    /// Takes a request out of its account's share.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time to come back.
    pub fn acquire(
        &self,
        account: &SmolStr,
        limit: AccountLimit,
        tokens: u32,
        now: Timestamp,
    ) -> Result<(), RequestRefusal> {
        self.table.lock().acquire(account, limit, tokens, now)
    }

    /// Lends what an asking wishes for, of the accounts whose home this daemon
    /// takes itself for.
    fn grant_share(&self, own: &str, ask: &QuotaRequest, now: Timestamp) -> QuotaGrant {
        let view = self.view.lock().clone();
        let mut home = self.home.lock();
        home.remove_expired(now);
        let shares = ask.wishes.iter().map(|wish| {
            if view.coordinator(&wish.account).is_none_or(|daemon| daemon != own) {
                return 0;
            }
            home.grant_share(&SmolStr::new(&wish.account), &ask.daemon, wish.share, now)
        });
        QuotaGrant { shares: shares.collect() }
    }

    /// Sorts the wishes of this daemon by home.
    fn asks(&self, daemon: &str, now: Timestamp) -> HashMap<SmolStr, QuotaRequest> {
        let wishes = self.table.lock().wanted_shares(now);
        let view = self.view.lock();
        let mut asks: HashMap<SmolStr, QuotaRequest> = HashMap::new();
        for (account, share) in wishes {
            let Some(home) = view.coordinator(&account) else { continue };
            let empty = || QuotaRequest { daemon: daemon.to_owned(), wishes: Vec::new() };
            let ask = asks.entry(home.clone()).or_insert_with(empty);
            ask.wishes.push(ShareRequest { account: account.to_string(), share });
        }
        asks
    }

    /// Takes what a home has lent in answer to an asking.
    fn grant(&self, ask: &QuotaRequest, loan: &QuotaGrant, asked_at: Timestamp, now: Timestamp) {
        let mut table = self.table.lock();
        for (wish, share) in ask.wishes.iter().zip(&loan.shares) {
            table.apply_grant(&wish.account, *share, asked_at, now);
        }
    }
}

/// Answers the calls of other daemons about limits.
pub struct QuotaServer {
    context: Arc<DaemonContext>,
}

impl QuotaServer {
    /// Makes a server over the limits of a daemon.
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self { context }
    }
}

#[async_trait]
impl QuotaApiServer for QuotaServer {
    async fn quota(&self, secret: String, ask: QuotaRequest) -> RpcResult<QuotaGrant> {
        peers::check_secret(&self.context, &secret)?;
        let own = &self.context.settings.name;
        Ok(self.context.limits.grant_share(own, &ask, self.context.clock.now()))
    }
}

/// Asks the homes of the active accounts for shares, for ever.
pub async fn request_shares(context: Arc<DaemonContext>) {
    let clients = Arc::new(Mutex::new(HashMap::new()));
    loop {
        context.clock.sleep(ASK_INTERVAL).await;
        let own = SmolStr::new(&context.settings.name);
        for (home, ask) in context.limits.asks(&own, context.clock.now()) {
            if home == own {
                let now = context.clock.now();
                let loan = context.limits.grant_share(&own, &ask, now);
                context.limits.grant(&ask, &loan, now, now);
            } else {
                // A home that doesn't answer must not hold up the others.
                task::spawn(ask_home(Arc::clone(&context), Arc::clone(&clients), home, ask));
            }
        }
    }
}

type HomeClients = Mutex<HashMap<SmolStr, Arc<WsClient>>>;

async fn ask_home(
    context: Arc<DaemonContext>,
    clients: Arc<HomeClients>,
    home: SmolStr,
    ask: QuotaRequest,
) {
    let asked_at = context.clock.now();
    match call_home(&context, &clients, &home, &ask).await {
        Ok(loan) => context.limits.grant(&ask, &loan, asked_at, context.clock.now()),
        Err(error) => {
            tracing::debug!(%home, %error, "no shares from a home");
            clients.lock().remove(&home);
        }
    }
}

async fn call_home(
    context: &DaemonContext,
    clients: &HomeClients,
    home: &SmolStr,
    ask: &QuotaRequest,
) -> anyhow::Result<QuotaGrant> {
    let known = clients.lock().get(home).cloned();
    let client = match known {
        Some(client) => client,
        None => {
            let address = context.limits.address(home);
            let address = address.ok_or(UnknownHome)?;
            let builder = WsClientBuilder::default()
                .connection_timeout(ASK_TIMEOUT)
                .request_timeout(ASK_TIMEOUT);
            let client = Arc::new(builder.build(format!("ws://{address}")).await?);
            clients.lock().insert(home.clone(), Arc::clone(&client));
            client
        }
    };
    Ok(client.request("quota", rpc_params![&context.settings.peer_secret, ask]).await?)
}

/// Says that a home has no known address.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the home's address isn't known")]
struct UnknownHome;
