//! Rate limits of accounts: the shares that this daemon uses, and those that it
//! grants as an account's coordinator.
//!
//! Once a second the daemon requests shares from the coordinators of its active
//! accounts, with one call to each coordinator regardless of the number of
//! accounts. Without a response it uses its base share.

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

/// Interval of share requests.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for the response of a coordinator. A later share would expire soon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls between daemons about limits.
#[rpc(server)]
pub trait QuotaApi {
    /// Grants shares of the limits of accounts.
    #[method(name = "quota")]
    async fn quota(&self, secret: String, ask: QuotaRequest) -> RpcResult<QuotaGrant>;
}

/// Limits that this daemon uses and grants.
#[derive(Default)]
pub struct LimitState {
    table: Mutex<LimitTable>,
    coordinator: Mutex<LimitCoordinator>,
    view: Mutex<DomainView>,
    /// Addresses of the daemons by name, taken from their connections.
    addresses: Mutex<HashMap<SmolStr, String>>,
}

impl LimitState {
    /// Sets the view of the failure domain. It has to be called continuously.
    pub fn set_view(&self, view: DomainView, now: Timestamp) {
        self.coordinator.lock().observe(view.clone(), now);
        self.table.lock().set_base_share(view.base_share());
        *self.view.lock() = view;
    }

    /// Records the address at which a daemon has responded.
    pub fn set_address(&self, daemon: &str, address: &str) {
        self.addresses.lock().insert(SmolStr::new(daemon), address.to_owned());
    }

    /// Returns the address at which a daemon has responded.
    pub fn address(&self, daemon: &str) -> Option<String> {
        self.addresses.lock().get(daemon).cloned()
    }

    /// Takes a request's tokens from this daemon's share of its account's limit.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time after which to retry.
    pub fn acquire(
        &self,
        account: &SmolStr,
        limit: AccountLimit,
        tokens: u32,
        now: Timestamp,
    ) -> Result<(), RequestRefusal> {
        self.table.lock().acquire(account, limit, tokens, now)
    }

    /// Grants requested shares, for the accounts whose coordinator is this daemon
    /// according to its own view.
    fn grant_share(&self, own: &str, request: &QuotaRequest, now: Timestamp) -> QuotaGrant {
        let view = self.view.lock().clone();
        let mut coordinator = self.coordinator.lock();
        coordinator.remove_expired(now);
        let shares = request.wishes.iter().map(|share_request| {
            if view.coordinator(&share_request.account).is_none_or(|daemon| daemon != own) {
                return 0;
            }
            coordinator.grant_share(
                &SmolStr::new(&share_request.account),
                &request.daemon,
                share_request.share,
                now,
            )
        });
        QuotaGrant { shares: shares.collect() }
    }

    /// Groups this daemon's share requests by coordinator.
    fn share_requests(&self, daemon: &str, now: Timestamp) -> HashMap<SmolStr, QuotaRequest> {
        let wishes = self.table.lock().wanted_shares(now);
        let view = self.view.lock();
        let mut share_requests: HashMap<SmolStr, QuotaRequest> = HashMap::new();
        for (account, share) in wishes {
            let Some(coordinator) = view.coordinator(&account) else { continue };
            let empty = || QuotaRequest { daemon: daemon.to_owned(), wishes: Vec::new() };
            let request = share_requests.entry(coordinator.clone()).or_insert_with(empty);
            request.wishes.push(ShareRequest { account: account.to_string(), share });
        }
        share_requests
    }

    /// Applies the shares that a coordinator has granted.
    fn apply_grant(
        &self,
        request: &QuotaRequest,
        grant: &QuotaGrant,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let mut table = self.table.lock();
        for (share_request, share) in request.wishes.iter().zip(&grant.shares) {
            table.apply_grant(&share_request.account, *share, sent_at, now);
        }
    }
}

/// Server for the calls of other daemons about limits.
pub struct QuotaServer {
    context: Arc<DaemonContext>,
}

impl QuotaServer {
    /// Creates a server for the limits of a daemon.
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

/// Requests shares from the coordinators of the active accounts, in an endless
/// loop.
pub async fn request_shares(context: Arc<DaemonContext>) {
    let clients = Arc::new(Mutex::new(HashMap::new()));
    loop {
        context.clock.sleep(REQUEST_INTERVAL).await;
        let own = SmolStr::new(&context.settings.name);
        for (coordinator, request) in context.limits.share_requests(&own, context.clock.now()) {
            if coordinator == own {
                let now = context.clock.now();
                let grant = context.limits.grant_share(&own, &request, now);
                context.limits.apply_grant(&request, &grant, now, now);
            } else {
                // Spawned, so that a coordinator that doesn't respond can't delay
                // the others.
                task::spawn(request_shares_from(
                    Arc::clone(&context),
                    Arc::clone(&clients),
                    coordinator,
                    request,
                ));
            }
        }
    }
}

type CoordinatorClients = Mutex<HashMap<SmolStr, Arc<WsClient>>>;

async fn request_shares_from(
    context: Arc<DaemonContext>,
    clients: Arc<CoordinatorClients>,
    coordinator: SmolStr,
    request: QuotaRequest,
) {
    let sent_at = context.clock.now();
    match call_coordinator(&context, &clients, &coordinator, &request).await {
        Ok(grant) => context.limits.apply_grant(&request, &grant, sent_at, context.clock.now()),
        Err(error) => {
            tracing::debug!(
                home = %coordinator,
                %error,
                "can't get shares of account limits from their coordinator"
            );
            clients.lock().remove(&coordinator);
        }
    }
}

async fn call_coordinator(
    context: &DaemonContext,
    clients: &CoordinatorClients,
    coordinator: &SmolStr,
    request: &QuotaRequest,
) -> anyhow::Result<QuotaGrant> {
    let known = clients.lock().get(coordinator).cloned();
    let client = match known {
        Some(client) => client,
        None => {
            let address = context.limits.address(coordinator);
            let address = address.ok_or(UnknownCoordinator)?;
            let builder = WsClientBuilder::default()
                .connection_timeout(REQUEST_TIMEOUT)
                .request_timeout(REQUEST_TIMEOUT);
            let client = Arc::new(builder.build(format!("ws://{address}")).await?);
            clients.lock().insert(coordinator.clone(), Arc::clone(&client));
            client
        }
    };
    Ok(client.request("quota", rpc_params![&context.settings.peer_secret, request]).await?)
}

/// Error for a coordinator whose address isn't known.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the coordinator's address isn't known: this daemon has no connection to it")]
struct UnknownCoordinator;
