//! Keeps this daemon's address registered in the key-value service, under a lease.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use gooseberry_core::serving::{backoff::RetryBackoff, store_era::EraError};
use gooseberry_platform::store::{PutCondition, StoreClient, StoreError, StoreLease, StorePut};

use crate::{
    gateway::Gateway,
    peers::{self, PeerRecord},
};

/// Time to live of an address in the key-value service without renewal.
const LEASE_TTL: Duration = Duration::from_secs(20);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(7);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// First and longest delay after a failed call, so that an address is registered again within
/// seconds after an outage.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Registers this daemon's address and keeps it registered.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = gateway.store.client();
    let mut backoff = RetryBackoff::new(RETRY_DELAY, MAX_RETRY_DELAY, gateway.daemon);
    let mut lease = None;
    loop {
        let fault = match keep_registered(&gateway, &mut client, &mut lease, &mut backoff).await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
        tracing::info!(%fault, "address registration or its renewal failed; retrying");
        if matches!(fault, StoreError::NoLease | StoreError::Era(EraError::Ended { .. })) {
            lease = None;
        } else {
            gateway.clock.sleep(backoff.next_delay()).await;
        }
    }
}

async fn keep_registered(
    gateway: &Gateway,
    client: &mut StoreClient,
    registered: &mut Option<StoreLease>,
    backoff: &mut RetryBackoff,
) -> Result<std::convert::Infallible, StoreError> {
    loop {
        let lease = match *registered {
            // The lease may still be valid after an outage.
            Some(lease) => {
                client.renew_lease(lease, CALL_TIMEOUT).await?;
                lease
            }
            None => {
                let lease = client.grant_lease(LEASE_TTL, CALL_TIMEOUT).await?;
                let key = format!("{}{}", peers::KEY_PREFIX, gateway.options.name);
                let value = serde_json::to_vec(&PeerRecord::own(gateway))?;
                let condition = PutCondition::Any;
                let put = StorePut { key: &key, value: &value, lease: Some(lease), condition };
                client.put(&put, CALL_TIMEOUT).await?;
                gateway.clear_lost_registration();
                *registered = Some(lease);
                lease
            }
        };
        backoff.reset();
        if is_lost_before_renewal(gateway, lease).await {
            tracing::info!("address registration was lost; registering again");
            *registered = None;
        }
    }
}

/// Waits until a lease is to be renewed. Returns early, with true, if the registration was lost: the other
/// daemons need it within seconds.
async fn is_lost_before_renewal(gateway: &Gateway, lease: StoreLease) -> bool {
    let era_ended = async {
        gateway.store.era_ended(lease.era).await;
    };
    let lost = era_ended.or(gateway.registration_lost());
    gateway.clock.timeout(RENEW_INTERVAL, lost).await.is_ok()
}
