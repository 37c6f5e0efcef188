//! Command line of the load generator.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use gooseberry_caller::{
    replay::{self, CallerOptions},
    trace,
};

/// Replays a trace file against daemons and checks each response
///
/// Exits with status 1 if a response was wrong or a request has no recorded outcome.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// IP address and port of a daemon; may be given several times
    #[bpaf(long, argument("ADDRESS"), some("at least one --daemon is required"))]
    daemon: Vec<String>,
    /// Account key as NAME=KEY; may be given several times
    #[bpaf(long, argument("NAME=KEY"))]
    key: Vec<String>,
    /// Factor by which the trace is replayed faster than recorded
    #[bpaf(long, argument("FACTOR"), fallback(1.0))]
    speed: f64,
    /// Print the statistics as JSON instead of text
    json: bool,
    /// Trace file with one JSON object per line
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = arguments().run();
    let entries = trace::read(&arguments.trace)?;
    let options = CallerOptions::new(arguments.daemon, &arguments.key, arguments.speed)?;
    let statistics = task::block_on(replay::run(options, entries));
    if arguments.json {
        println!("{}", serde_json::to_string(&statistics.summary())?);
    } else {
        print!("{}", statistics.to_text());
    }
    Ok(if statistics.is_consistent() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
