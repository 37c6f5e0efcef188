//! Runs the caller.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use gooseberry_caller::{
    replay::{self, CallerOptions},
    trace,
};

/// Replays a trace file against daemons and checks each answer
///
/// Exits with 1 if an answer was wrong or a request isn't accounted for.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// IP address and port of a daemon; may be given several times
    #[bpaf(long, argument("ADDRESS"), some("name at least one daemon"))]
    daemon: Vec<String>,
    /// Account key as NAME=KEY; may be given several times
    #[bpaf(long, argument("NAME=KEY"))]
    key: Vec<String>,
    /// Factor by which the trace runs faster
    #[bpaf(long, argument("FACTOR"), fallback(1.0))]
    speed: f64,
    /// Print JSON for programs instead of text for people
    json: bool,
    /// Trace file, one JSON object a line
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = arguments().run();
    let entries = trace::read(&arguments.trace)?;
    let options = CallerOptions::new(arguments.daemon, &arguments.key, arguments.speed)?;
    let tally = task::block_on(replay::run(options, entries));
    if arguments.json {
        println!("{}", serde_json::to_string(&tally.summary())?);
    } else {
        print!("{}", tally.to_text());
    }
    Ok(if tally.is_consistent() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
