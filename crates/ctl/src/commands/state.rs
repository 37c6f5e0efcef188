//! Sub-commands that read the state of the daemons or set their log level.

use gooseberry_wire::peer::DaemonStatus;
use serde_json::json;

use crate::{
    arguments::Target,
    daemons::{self, DaemonResponse},
    exit::CommandError,
    output::{self, OutputFormat},
};

pub(super) async fn status(
    target: &Target,
    engines: bool,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let responses = daemons::statuses(target).await;
    let values: Vec<_> = responses.iter().map(to_json).collect();
    format.print(&values, || {
        let mut text = daemon_table(&responses);
        if engines {
            text.push_str("\n\n");
            text.push_str(&engine_table(&responses));
        }
        text
    });
    Ok(())
}

pub(super) async fn orders(target: &Target, format: OutputFormat) -> Result<(), CommandError> {
    let rows = daemons::orders(target).await?;
    format.print(&rows, || {
        let header = ["engine", "phase", "change", "reason", "issuer", "outcome", "revision"];
        let mut table = output::table(&header);
        for row in &rows {
            table.add_row([
                row.engine.as_str(),
                &row.phase,
                &row.change,
                &row.reason,
                &row.issuer,
                row.outcome.as_deref().unwrap_or("-"),
                &row.revision.to_string(),
            ]);
        }
        table.to_string()
    });
    Ok(())
}

pub(super) async fn log_level(target: &Target, level: &str) -> Result<(), CommandError> {
    for address in &target.daemon {
        daemons::set_log_level(address, &target.secret, level).await?;
    }
    Ok(())
}

fn to_json(daemon: &DaemonResponse<DaemonStatus>) -> serde_json::Value {
    match &daemon.answer {
        Ok(status) => json!(status),
        Err(error) => json!({ "address": daemon.address, "error": format!("{error:#}") }),
    }
}

fn daemon_table(responses: &[DaemonResponse<DaemonStatus>]) -> String {
    let header = ["daemon", "failure domain", "revision", "ready", "steward", "engines", "peers"];
    let mut table = output::table(&header);
    for daemon in responses {
        match &daemon.answer {
            Ok(status) => {
                let reachable = status.engines.iter().filter(|engine| engine.reachable).count();
                table.add_row([
                    status.daemon.clone(),
                    status.failure_domain.clone(),
                    status.revision.to_string(),
                    yes_or_no(status.ready),
                    yes_or_no(status.steward == Some(true)),
                    format!("{reachable} of {} reachable", status.engines.len()),
                    status.peers.len().to_string(),
                ])
            }
            Err(error) => table.add_row([daemon.address.clone(), format!("{error:#}")]),
        };
    }
    table.to_string()
}

fn engine_table(responses: &[DaemonResponse<DaemonStatus>]) -> String {
    let header =
        ["engine", "seen by", "reachable", "role", "model", "running", "queued", "outstanding"];
    let mut table = output::table(&header);
    for status in responses.iter().filter_map(|daemon| daemon.answer.as_ref().ok()) {
        for engine in &status.engines {
            table.add_row([
                engine.engine.clone(),
                status.daemon.clone(),
                yes_or_no(engine.reachable),
                engine.role.clone(),
                engine.model.clone(),
                engine.running.to_string(),
                engine.queued.to_string(),
                engine.outstanding.to_string(),
            ]);
        }
    }
    table.to_string()
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
