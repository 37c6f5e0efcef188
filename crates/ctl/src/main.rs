//! Runs the operators' command.

use std::process::ExitCode;

use async_std::task;
use gooseberry_ctl::{arguments, commands};

fn main() -> ExitCode {
    let arguments = arguments::arguments().run();
    task::block_on(commands::run(arguments))
}
