//! The command-line arguments. The doc comments here are the text of `--help`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Operates gooseberrykeel
///
/// Examples:
///   gooseberryctl check configuration.yaml
///   gooseberryctl get > configuration.yaml    (edit it, then:)
///   gooseberryctl put --wait configuration.yaml
///   gooseberryctl drain engine-a1
///   gooseberryctl report --html report.html
///
/// Exit codes: 0 success, 1 failure or invalid arguments, 3 the text isn't valid,
/// 4 another operator has recorded an edit in the meantime, 5 the text isn't in
/// force at all named daemons yet, 6 the platform has lost data.
///
/// Completions for bash: eval "$(gooseberryctl --bpaf-complete-style-bash)";
/// likewise for zsh, fish and elvish.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    #[bpaf(external)]
    pub target: Target,
    /// Print JSON for programs instead of tables for people
    pub json: bool,
    #[bpaf(external)]
    pub action: Action,
}

/// Addresses and secrets of the platform and the daemons
#[derive(Clone, Debug, Bpaf)]
pub struct Target {
    /// IP address and port of the platform's services
    #[bpaf(long, env("GOOSEBERRY_PLATFORM"), argument("ADDRESS"), optional)]
    pub platform: Option<String>,
    /// Secret that the platform requires; prefer the environment variable
    #[bpaf(long, env("GOOSEBERRY_PLATFORM_SECRET"), argument("SECRET"), optional)]
    pub platform_secret: Option<String>,
    /// IP address and peer port of a daemon; may be repeated
    #[bpaf(long, env("GOOSEBERRY_DAEMON"), argument("ADDRESS"))]
    pub daemon: Vec<String>,
    /// Secret that daemons and operators share; prefer the environment variable
    #[bpaf(long, env("GOOSEBERRY_SECRET"), argument("SECRET"), fallback(String::new()))]
    pub secret: String,
}

/// Sub-commands
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Check a configuration text without putting it in force
    #[bpaf(command)]
    Check {
        /// YAML file to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the schema of the configuration text
    #[bpaf(command)]
    Schema,
    /// Show the effect of a configuration text and record it, which puts it in force
    #[bpaf(command)]
    Put(#[bpaf(external(put_options))] PutOptions),
    /// Print the recorded configuration text, with its revision in the first line
    #[bpaf(command)]
    Get,
    /// Print the difference between the recorded text and a file, and its effect
    #[bpaf(command)]
    Diff {
        /// YAML file to compare
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the recorded edits of the configuration with author, time and difference
    #[bpaf(command)]
    History,
    /// Print the state of the named daemons
    #[bpaf(command)]
    Status {
        /// Also print the engines that each daemon knows
        engines: bool,
    },
    /// Print the orders of the engines and which daemon issued them
    #[bpaf(command)]
    Orders,
    /// Edit the recorded text so that an engine or plain server gets no new work
    #[bpaf(command)]
    Drain {
        /// Name of the author to record with the edit
        #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
        author: String,
        /// Name of the engine or plain server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Print the outcome counts of all requests by service and account, for auditors
    #[bpaf(command)]
    Report {
        /// Write a self-contained HTML page with plots to this file
        #[bpaf(long, argument("FILE"), optional)]
        html: Option<PathBuf>,
    },
    /// Print the timeline of a request from the log lines of gateways
    #[bpaf(command)]
    Explain {
        /// Id of the request as sent by the caller
        #[bpaf(positional("ID"))]
        request: String,
        /// Files with log lines of all daemons; standard input is read if none is given
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Set the log level of the named daemons while they run
    #[bpaf(command)]
    LogLevel {
        /// Level, such as info or gooseberry_daemon=debug
        #[bpaf(positional("LEVEL"))]
        level: String,
    },
}

/// Edit to record, and how to put it in force
#[derive(Clone, Debug, Bpaf)]
pub struct PutOptions {
    /// Revision that the edit started from, 0 for the first text; if absent, it
    /// is read from the first line of the file, which `get` writes
    #[bpaf(long, argument("REVISION"), optional)]
    pub base: Option<u64>,
    /// Name of the author to record with the edit
    #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
    pub author: String,
    /// Show the effect without recording the text
    pub dry_run: bool,
    /// Wait until the text is in force at all named daemons
    pub wait: bool,
    /// YAML file to record
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}
