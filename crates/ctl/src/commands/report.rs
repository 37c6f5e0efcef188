//! The sub-command that prints the outcome counts of requests for auditors.

use std::{fs, path::Path};

use anyhow::Context;

use crate::{
    arguments::Target,
    daemons,
    exit::CommandError,
    output::OutputFormat,
    report::{html, records, table, OutcomeReport},
};

pub(super) async fn report(
    target: &Target,
    page: Option<&Path>,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let recorded = records::read(target).await?;
    let statuses = daemons::statuses(target).await;
    let live = statuses.into_iter().filter_map(|daemon| daemon.answer.ok());
    let report = OutcomeReport::new(recorded, live.collect());
    if let Some(file) = page {
        let histories = daemons::histories(target).await;
        let histories: Vec<_> =
            histories.into_iter().filter_map(|daemon| daemon.answer.ok()).collect();
        fs::write(file, html::page(&report, &histories)?)
            .with_context(|| format!("can't write {}", file.display()))?;
        eprintln!("wrote {}", file.display());
    }
    format.print(&report, || table::text(&report));
    Ok(())
}
