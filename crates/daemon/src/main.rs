//! Runs the daemon of an entry VM.

use std::{fs, path::PathBuf};

use anyhow::Context;
use async_std::task;
use bpaf::Bpaf;
use gooseberry_config::settings;
use gooseberry_daemon::{logs, program};

/// Serves callers and carries their requests to the backend servers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// YAML file with the settings of this daemon
    #[bpaf(long, short, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let path = arguments.settings.display();
    let text = fs::read_to_string(&arguments.settings)
        .with_context(|| format!("can't read the settings {path}"))?;
    let settings =
        settings::parse(&text).with_context(|| format!("the settings {path} are wrong"))?;
    if arguments.check {
        return Ok(());
    }
    let levels = logs::install(&settings.log)?;
    // The runtime reads the number of its threads once, when it starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", settings.traffic_threads.to_string());
    task::block_on(program::run(settings, levels))
}
