//! The outcome counts that daemons have recorded in the key-value service.

use anyhow::Context;
use gooseberry_edges::{
    clock::Clock,
    http::HttpClient,
    platform::{PlatformApi, PlatformClient},
};
use gooseberry_wire::peer::OutcomeRecord;

use crate::arguments::Target;

/// Prefix of the keys.
const OUTCOME_PREFIX: &str = "balance/";

/// Reads all records.
///
/// # Errors
///
/// Returns an error if the arguments name no platform, if the platform doesn't
/// respond or if a record can't be read. Without the records, the report would
/// leave out daemons that have ended.
pub async fn read(target: &Target) -> anyhow::Result<Vec<OutcomeRecord>> {
    let address = target.platform.as_deref();
    let address = address.context("no platform is given; name it with --platform ADDRESS")?;
    let http = HttpClient::new(Clock::system());
    let platform = PlatformClient::new(http, address, target.platform_secret.as_deref());
    let listing = platform.list(OUTCOME_PREFIX).await?;
    let records = listing.records.iter();
    records
        .map(|record| {
            serde_json::from_str(&record.value)
                .with_context(|| format!("can't parse the outcome record {}", record.key))
        })
        .collect()
}
