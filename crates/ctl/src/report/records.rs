//! The balances that daemons have recorded in the key-value service.

use anyhow::Context;
use gooseberry_edges::{
    clock::Clock,
    http::HttpClient,
    platform::{PlatformApi, PlatformClient},
};
use gooseberry_wire::peer::OutcomeRecord;

use crate::arguments::Target;

/// Prefix of the keys.
const BALANCE_PREFIX: &str = "balance/";

/// Reads all records; none if the arguments name no platform.
///
/// # Errors
///
/// Returns an error if the platform gives no answer: without the records the
/// report would show ended daemons as nothing.
pub async fn read(target: &Target) -> anyhow::Result<Vec<OutcomeRecord>> {
    let address = target.platform.as_deref();
    let address = address.context("name the platform with --platform ADDRESS")?;
    let http = HttpClient::new(Clock::system());
    let platform = PlatformClient::new(http, address, target.platform_secret.as_deref());
    let listing = platform.list(BALANCE_PREFIX).await?;
    let records = listing.records.iter();
    records
        .map(|record| {
            serde_json::from_str(&record.value)
                .with_context(|| format!("the record {} can't be read", record.key))
        })
        .collect()
}
