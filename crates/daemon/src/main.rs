//! Runs the daemon of an entry VM.

use std::{fs, path::PathBuf};

use anyhow::Context;
use async_std::task;
use bpaf::Bpaf;
use gooseberry_config::settings;
use gooseberry_daemon::{logs, program};
use gooseberry_gateway::settings::GatewayOptions;
use gooseberry_wire::gateway::GatewaySettings;

/// Serves callers and carries their requests to the backend servers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// YAML file with the settings of this daemon
    #[bpaf(long, short, argument("FILE"))]
    settings: PathBuf,
    /// Serve the users' platform; the settings are those of a gateway
    gateway: bool,
    /// Check the settings and exit
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let path = arguments.settings.display();
    let text = fs::read_to_string(&arguments.settings)
        .with_context(|| format!("can't read the settings {path}"))?;
    let wrong = || format!("the settings {path} are wrong");
    if arguments.gateway {
        let settings = settings::parse_gateway(&text).with_context(wrong)?;
        if !arguments.check {
            run_gateway(&settings)?;
        }
        return Ok(());
    }
    let settings = settings::parse(&text).with_context(wrong)?;
    if arguments.check {
        return Ok(());
    }
    let levels = logs::install(&settings.log)?;
    set_threads(settings.traffic_threads);
    task::block_on(program::run(settings, levels))
}

fn run_gateway(settings: &GatewaySettings) -> anyhow::Result<()> {
    let _writer = logs::install_bounded(&settings.log)?;
    let options = GatewayOptions::new(settings)?;
    // An entry VM has a part of one core.
    set_threads(1);
    task::block_on(gooseberry_gateway::program::run(options))
}

/// Sets the number of the runtime's threads, which it reads once at its start.
fn set_threads(count: u32) {
    std::env::set_var("ASYNC_STD_THREAD_COUNT", count.to_string());
}
