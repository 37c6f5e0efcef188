//! Runs the daemon of an entry VM.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context;
use async_std::task;
use bpaf::Bpaf;
use gooseberry_config::{diagnostic::TextDiagnostics, settings};
use gooseberry_daemon::{logs, program};
use gooseberry_edges::stop::{ProcessSignals, StopSignal};
use gooseberry_gateway::settings::GatewayOptions;

/// Forwards requests of callers to the backend servers of this platform
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// YAML file with the settings of this daemon
    #[bpaf(long, short, argument("FILE"))]
    settings: PathBuf,
    /// Run as a gateway of the users' platform; the settings file has gateway settings
    gateway: bool,
    /// Check the settings and exit
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    if arguments.gateway {
        return run_gateway(arguments);
    }
    let stop = StopSignal::on_termination()?;
    let settings = read(&arguments.settings, settings::parse)?;
    if arguments.check {
        return Ok(());
    }
    let log_filter = logs::install(&settings.log)?;
    set_threads(settings.traffic_threads);
    task::block_on(program::run(settings, log_filter, stop))
}

fn run_gateway(arguments: Arguments) -> anyhow::Result<()> {
    let signals = ProcessSignals::install()?;
    let settings = read(&arguments.settings, settings::parse_gateway)?;
    let options = GatewayOptions::new(&settings)?;
    if arguments.check {
        return Ok(());
    }
    let (_writer, dropped) = logs::install_lossy(&settings.log)?;
    // An entry VM has less than one core.
    set_threads(1);
    let reload = move || {
        let settings = read(&arguments.settings, settings::parse_gateway)?;
        Ok(GatewayOptions::new(&settings)?)
    };
    let dropped_lines = Box::new(move || dropped.dropped_lines() as u64);
    task::block_on(gooseberry_gateway::program::run(options, signals, reload, dropped_lines))
}

/// Reads and validates settings.
fn read<T>(path: &Path, parse: fn(&str) -> Result<T, TextDiagnostics>) -> anyhow::Result<T> {
    let shown = path.display();
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read the settings {shown}"))?;
    parse(&text).with_context(|| format!("invalid settings in {shown}"))
}

/// Sets the number of the runtime's threads. The runtime reads it once, when it
/// starts.
fn set_threads(count: u32) {
    std::env::set_var("ASYNC_STD_THREAD_COUNT", count.to_string());
}
