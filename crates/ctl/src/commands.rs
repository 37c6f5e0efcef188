//! The commands, each in a file of its own.

mod balance;
mod state;
mod story;
mod text;

use std::process::ExitCode;

use crate::{
    arguments::{Action, Arguments},
    exit::CommandError,
    output::OutputFormat,
};

/// Carries out the action and prints its result.
pub async fn run(arguments: Arguments) -> ExitCode {
    match act(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gooseberryctl: {error}");
            error.exit_code()
        }
    }
}

async fn act(arguments: &Arguments) -> Result<(), CommandError> {
    let target = &arguments.target;
    let style = if arguments.json { OutputFormat::Json } else { OutputFormat::Text };
    match &arguments.action {
        Action::Check { file } => text::check(file, style),
        Action::Schema => {
            print!("{}", gooseberry_wire::CONFIGURATION_SCHEMA);
            Ok(())
        }
        Action::Put(options) => text::put(target, options, style).await,
        Action::Get => text::get(target, style).await,
        Action::Diff { file } => text::diff(target, file, style).await,
        Action::History => text::history(target, style).await,
        Action::Drain { author, name } => text::drain(target, author, name, style).await,
        Action::Status { engines } => state::status(target, *engines, style).await,
        Action::Orders => state::orders(target, style).await,
        Action::Explain { request, files } => story::explain(request, files),
        Action::LogLevel { level } => state::log_level(target, level).await,
        Action::Report { html } => balance::report(target, html.as_deref(), style).await,
    }
}
