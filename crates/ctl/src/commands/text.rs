//! Sub-commands that read, compare and edit the configuration text.

use std::{fs, path::Path, time::Duration};

use anyhow::Context;
use async_std::task;
use gooseberry_config::fleet;
use gooseberry_core::fleet::FleetTable;
use gooseberry_wire::{edit::HistoryRecord, peer::DaemonStatus};
use serde_json::json;

use crate::{
    arguments::{PutOptions, Target},
    configuration::{self, ConfigurationStore, RecordedText},
    daemons::{self, DaemonResponse},
    drain,
    effect::{self, EditEffect},
    exit::CommandError,
    output::OutputFormat,
};

/// Start of the line that `get` prints before the text.
const REVISION_LINE: &str = "# gooseberrykeel revision ";
/// Longest time for which `put --wait` waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the polls of `put --wait`.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) fn check(file: &Path, format: OutputFormat) -> Result<(), CommandError> {
    let fleet = fleet::build(0, &read(file)?)?;
    let counts = json!({
        "services": fleet.services.len(),
        "engines": fleet.engines.len(),
        "plain_servers": fleet.plain_servers.len(),
        "accounts": fleet.accounts.len(),
    });
    format.print(&counts, || {
        format!(
            "{} is valid: {} services, {} engines, {} plain servers, {} accounts",
            file.display(),
            fleet.services.len(),
            fleet.engines.len(),
            fleet.plain_servers.len(),
            fleet.accounts.len(),
        )
    });
    Ok(())
}

pub(super) async fn put(
    target: &Target,
    options: &PutOptions,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let text = read(&options.file)?;
    // Checked with the revision line, so that diagnostics have the line numbers of the file.
    let new = fleet::build(0, &text)?;
    let (base_line, text) = split_revision_line(&text);
    let base = options.base.or(base_line).context(
        "the base revision is missing: give the revision that the edit started from with --base, \
         or keep the first line that `get` prints",
    )?;
    let store = ConfigurationStore::new(target)?;
    let recorded = store.get().await?;
    let effects = effect::effects(&recorded_fleet(recorded.as_ref()), &new);
    check_platform(target, &store).await?;
    if options.dry_run {
        format.print(&effects, || describe(&effects));
        return Ok(());
    }
    if format == OutputFormat::Text {
        println!("{}", describe(&effects));
    }
    let revision = store.put(base, &options.author, text).await?;
    format.print(&json!({ "revision": revision, "effects": effects }), || {
        format!("recorded as revision {revision}")
    });
    if options.wait {
        wait_in_force(target, revision, format).await?;
    }
    Ok(())
}

pub(super) async fn get(target: &Target, format: OutputFormat) -> Result<(), CommandError> {
    let recorded = recorded(target).await?;
    format.print(&json!({ "revision": recorded.revision, "edit": recorded.edit }), || {
        format!("{REVISION_LINE}{}\n{}", recorded.revision, recorded.edit.text)
    });
    Ok(())
}

pub(super) async fn diff(
    target: &Target,
    file: &Path,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let text = read(file)?;
    let new = fleet::build(0, &text)?;
    let (_, text) = split_revision_line(&text);
    let recorded = ConfigurationStore::new(target)?.get().await?;
    let effects = effect::effects(&recorded_fleet(recorded.as_ref()), &new);
    let old = recorded.map_or(String::new(), |recorded| recorded.edit.text);
    let difference = configuration::difference(&old, text);
    format.print(&json!({ "difference": difference, "effects": effects }), || {
        format!("{difference}\n{}", describe(&effects))
    });
    Ok(())
}

pub(super) async fn drain(
    target: &Target,
    author: &str,
    name: &str,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let recorded = recorded(target).await?;
    let text = drain::drain(&recorded.edit.text, name).map_err(anyhow::Error::from)?;
    let store = ConfigurationStore::new(target)?;
    let revision = store.put(recorded.revision, author, &text).await?;
    format.print(&json!({ "revision": revision }), || {
        format!("{name} gets no new work once revision {revision} is in force")
    });
    Ok(())
}

/// Prints the recorded edits with their authors, times and differences.
pub(super) async fn history(target: &Target, format: OutputFormat) -> Result<(), CommandError> {
    let store = ConfigurationStore::new(target)?;
    if let Some(present) = store.get().await? {
        store.history().record(&present).await?;
    }
    let records = store.history().list().await?;
    format.print(&records, || {
        let lines = records.iter().map(|record| {
            let HistoryRecord { revision, base, author, made_at_ms, difference, .. } = record;
            format!("revision {revision} from {base} by {author} at {made_at_ms} ms\n{difference}")
        });
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Refuses an edit while a daemon has a higher revision than the platform,
/// because daemons would never put the edit in force.
///
/// The platform is read after the daemons. Otherwise, an edit that another
/// operator records between the two reads would look like lost data.
async fn check_platform(target: &Target, store: &ConfigurationStore) -> Result<(), CommandError> {
    let responses = daemons::statuses(target).await;
    let statuses = responses.into_iter().filter_map(|daemon| daemon.answer.ok());
    let highest = statuses.max_by_key(|status| status.revision);
    let recorded = store.get().await?.map_or(0, |recorded| recorded.revision);
    match highest.filter(|status| status.revision > recorded) {
        Some(DaemonStatus { daemon, revision, .. }) => {
            Err(CommandError::DataLost { daemon, revision, recorded })
        }
        None => Ok(()),
    }
}

async fn recorded(target: &Target) -> anyhow::Result<RecordedText> {
    let recorded = ConfigurationStore::new(target)?.get().await?;
    recorded.context("no configuration is recorded; record the first one with `put --base 0`")
}

/// Builds the recorded fleet. If the text is missing or no longer valid, the fleet is empty.
fn recorded_fleet(recorded: Option<&RecordedText>) -> FleetTable {
    let Some(recorded) = recorded else { return FleetTable::default() };
    fleet::build(recorded.revision, &recorded.edit.text).unwrap_or_default()
}

fn describe(effects: &[EditEffect]) -> String {
    if effects.is_empty() {
        return "no service, engine, server or account changes".to_owned();
    }
    let lines: Vec<_> = effects.iter().map(|effect| format!("  {effect}")).collect();
    format!("effect:\n{}", lines.join("\n"))
}

fn read(file: &Path) -> anyhow::Result<String> {
    fs::read_to_string(file).with_context(|| format!("can't read {}", file.display()))
}

/// Splits off the revision line that `get` prints before the text, if there is one.
fn split_revision_line(text: &str) -> (Option<u64>, &str) {
    let Some((line, rest)) = text.split_once('\n') else { return (None, text) };
    let revision = line.strip_prefix(REVISION_LINE).and_then(|number| number.trim().parse().ok());
    match revision {
        Some(revision) => (Some(revision), rest),
        None => (None, text),
    }
}

/// Waits until all named daemons have at least this revision in force.
async fn wait_in_force(
    target: &Target,
    revision: u64,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let mut waited = Duration::ZERO;
    loop {
        let responses = daemons::statuses(target).await;
        let lagging: Vec<_> = responses
            .iter()
            .filter(|daemon| {
                !daemon.answer.as_ref().is_ok_and(|status| status.revision >= revision)
            })
            .map(daemon_name)
            .collect();
        if lagging.is_empty() {
            format.print(&json!({ "in_force": responses.len() }), || {
                format!("in force at all {} named daemons", responses.len())
            });
            return Ok(());
        }
        if waited >= WAIT_TIMEOUT {
            return Err(CommandError::NotInForce { revision, daemons: lagging.join(", ") });
        }
        if format == OutputFormat::Text {
            eprintln!(
                "in force at {} of {} daemons; waiting for: {}",
                responses.len() - lagging.len(),
                responses.len(),
                lagging.join(", ")
            );
        }
        task::sleep(WAIT_POLL_INTERVAL).await;
        waited += WAIT_POLL_INTERVAL;
    }
}

fn daemon_name(daemon: &DaemonResponse<DaemonStatus>) -> String {
    match &daemon.answer {
        Ok(status) => status.daemon.clone(),
        Err(_) => format!("{} (no response)", daemon.address),
    }
}
