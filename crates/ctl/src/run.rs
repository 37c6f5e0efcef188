//! Carries out one action.

use std::{fs, path::Path, process::ExitCode, time::Duration};

use anyhow::Context;
use async_std::task;
use gooseberry_config::fleet;
use gooseberry_wire::{edit::HistoryRecord, peer::DaemonStatus};
use serde_json::json;

use crate::{
    arguments::{Action, Arguments, Target},
    configuration::{self, ConfigurationStore},
    daemons::{self, DaemonAnswer},
    exit::CommandError,
    report::BalanceReport,
};

/// Longest time that `put --wait` waits.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Interval at which `put --wait` asks.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// Carries out the action and prints its result.
pub async fn run(arguments: Arguments) -> ExitCode {
    match act(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.code()
        }
    }
}

async fn act(arguments: &Arguments) -> Result<(), CommandError> {
    let target = &arguments.target;
    match &arguments.action {
        Action::Check { file } => check(file, arguments.json),
        Action::Put { base, author, wait, file } => {
            let text = read(file)?;
            fleet::build(0, &text)?;
            check_platform(target).await?;
            let revision = ConfigurationStore::new(target)?.put(*base, author, &text).await?;
            print(arguments.json, json!({ "revision": revision }), || {
                format!("recorded as revision {revision}")
            });
            if *wait {
                wait_in_force(target, revision).await?;
            }
            Ok(())
        }
        Action::Get => get(target, arguments.json).await,
        Action::Diff { file } => {
            let recorded = ConfigurationStore::new(target)?.get().await?;
            let recorded = recorded.map_or(String::new(), |recorded| recorded.edit.text);
            print!("{}", configuration::difference(&recorded, &read(file)?));
            Ok(())
        }
        Action::History => history(target, arguments.json).await,
        Action::Status => status(target, arguments.json).await,
        Action::Report => report(target, arguments.json).await,
    }
}

fn read(file: &Path) -> anyhow::Result<String> {
    fs::read_to_string(file).with_context(|| format!("can't read {}", file.display()))
}

fn print(as_json: bool, value: serde_json::Value, text: impl FnOnce() -> String) {
    if as_json {
        println!("{value}");
    } else {
        println!("{}", text());
    }
}

fn check(file: &Path, as_json: bool) -> Result<(), CommandError> {
    let fleet = fleet::build(0, &read(file)?)?;
    let counts = json!({
        "services": fleet.services.len(),
        "engines": fleet.engines.len(),
        "plain_servers": fleet.plain_servers.len(),
        "accounts": fleet.accounts.len(),
    });
    print(as_json, counts.clone(), || format!("valid: {counts}"));
    Ok(())
}

async fn get(target: &Target, as_json: bool) -> Result<(), CommandError> {
    let recorded = ConfigurationStore::new(target)?.get().await?;
    let recorded = recorded.context("no configuration is recorded")?;
    if as_json {
        println!("{}", json!({ "revision": recorded.revision, "edit": recorded.edit }));
    } else {
        eprintln!("revision {} by {}", recorded.revision, recorded.edit.author);
        print!("{}", recorded.edit.text);
    }
    Ok(())
}

async fn history(target: &Target, as_json: bool) -> Result<(), CommandError> {
    let store = ConfigurationStore::new(target)?;
    if let Some(present) = store.get().await? {
        store.history().keep(&present).await?;
    }
    let records = store.history().list().await?;
    print(as_json, json!(records), || {
        let lines = records.iter().map(|record| {
            let HistoryRecord { revision, base, author, made_at_ms, difference, .. } = record;
            format!("revision {revision} from {base} by {author} at {made_at_ms} ms\n{difference}")
        });
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Refuses an edit while daemons have a higher revision than the platform,
/// because they would never put it in force.
async fn check_platform(target: &Target) -> Result<(), CommandError> {
    let answers = daemons::ask_all(target).await;
    let recorded = ConfigurationStore::new(target)?.get().await?;
    let recorded = recorded.map_or(0, |recorded| recorded.revision);
    let statuses = answers.into_iter().filter_map(|answer| answer.status.ok());
    let highest = statuses.max_by_key(|status| status.revision);
    match highest.filter(|status| status.revision > recorded) {
        Some(DaemonStatus { daemon, revision, .. }) => {
            Err(CommandError::DataLost { daemon, revision, recorded })
        }
        None => Ok(()),
    }
}

/// Waits until all named daemons have a revision in force.
async fn wait_in_force(target: &Target, revision: u64) -> Result<(), CommandError> {
    let mut waited = Duration::ZERO;
    loop {
        let answers = daemons::ask_all(target).await;
        let lagging: Vec<_> = answers
            .iter()
            .filter(|answer| !is_in_force(answer, revision))
            .map(|answer| answer.address.as_str())
            .collect();
        if lagging.is_empty() {
            return Ok(());
        }
        if waited >= WAIT_LIMIT {
            return Err(CommandError::Lagging { revision, lagging: lagging.join(", ") });
        }
        task::sleep(WAIT_INTERVAL).await;
        waited += WAIT_INTERVAL;
    }
}

fn is_in_force(answer: &DaemonAnswer, revision: u64) -> bool {
    answer.status.as_ref().is_ok_and(|status| status.revision >= revision)
}

async fn status(target: &Target, as_json: bool) -> Result<(), CommandError> {
    for answer in daemons::ask_all(target).await {
        match answer.status {
            Ok(status) if as_json => println!("{}", json!(status)),
            Ok(status) => println!(
                "{} in {}: revision {}, {}, {} of {} engines reachable",
                status.daemon,
                status.failure_domain,
                status.revision,
                if status.ready { "ready" } else { "not ready" },
                status.engines.iter().filter(|engine| engine.reachable).count(),
                status.engines.len(),
            ),
            Err(error) => eprintln!("{}: {error:#}", answer.address),
        }
    }
    Ok(())
}

async fn report(target: &Target, as_json: bool) -> Result<(), CommandError> {
    let answers = daemons::ask_all(target).await;
    let mut rows = Vec::new();
    for answer in answers {
        match answer.status {
            Ok(status) => rows.extend(status.balance),
            Err(error) => eprintln!("{}: {error:#}; its share is unknown", answer.address),
        }
    }
    let report = BalanceReport::sum(rows.into_iter());
    print(as_json, json!(report), || report.to_table());
    Ok(())
}
