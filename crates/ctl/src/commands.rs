//! The sub-commands, grouped into one file for each subject.

mod explain;
mod report;
mod state;
mod text;

use std::process::ExitCode;

use crate::{
    arguments::{Action, Arguments},
    exit::CommandError,
    output::OutputFormat,
};

/// Executes the sub-command, prints its result and returns the exit code.
pub async fn run(arguments: Arguments) -> ExitCode {
    match execute(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gooseberryctl: {error}");
            error.exit_code()
        }
    }
}

async fn execute(arguments: &Arguments) -> Result<(), CommandError> {
    let target = &arguments.target;
    let format = if arguments.json { OutputFormat::Json } else { OutputFormat::Text };
    match &arguments.action {
        Action::Check { file } => text::check(file, format),
        Action::Schema => {
            print!("{}", gooseberry_wire::CONFIGURATION_SCHEMA);
            Ok(())
        }
        Action::Put(options) => text::put(target, options, format).await,
        Action::Get => text::get(target, format).await,
        Action::Diff { file } => text::diff(target, file, format).await,
        Action::History => text::history(target, format).await,
        Action::Drain { author, name } => text::drain(target, author, name, format).await,
        Action::Status { engines } => state::status(target, *engines, format).await,
        Action::Orders => state::orders(target, format).await,
        Action::Explain { request, files } => explain::explain(request, files),
        Action::LogLevel { level } => state::log_level(target, level).await,
        Action::Report { html } => report::report(target, html.as_deref(), format).await,
    }
}
