//! The arguments; the help text is made from the comments here.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Operates gooseberrykeel
///
/// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 the text isn't valid,
/// 4 another operator was first, 5 not in force everywhere yet,
/// 6 the platform has lost data.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    #[bpaf(external)]
    pub target: Target,
    /// Print JSON for programs instead of text for people
    pub json: bool,
    #[bpaf(external)]
    pub action: Action,
}

/// Names the systems that the command talks to.
#[derive(Clone, Debug, Bpaf)]
pub struct Target {
    /// IP address and port of the platform's services
    #[bpaf(long, env("GOOSEBERRY_PLATFORM"), argument("ADDRESS"), optional)]
    pub platform: Option<String>,
    /// Secret that the platform asks for
    #[bpaf(long, env("GOOSEBERRY_PLATFORM_SECRET"), argument("SECRET"), optional)]
    pub platform_secret: Option<String>,
    /// IP address and peer port of a daemon; may be given several times
    #[bpaf(long, env("GOOSEBERRY_DAEMON"), argument("ADDRESS"))]
    pub daemon: Vec<String>,
    /// Secret that daemons and operators share
    #[bpaf(long, env("GOOSEBERRY_SECRET"), argument("SECRET"), fallback(String::new()))]
    pub secret: String,
}

/// Says what to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Check a configuration text without putting it in force
    #[bpaf(command)]
    Check {
        /// YAML file to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a configuration text in force
    #[bpaf(command)]
    Put {
        /// Revision that the edit started from; 0 for the first text
        #[bpaf(long, argument("REVISION"))]
        base: u64,
        /// Name of the author, for the record
        #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
        author: String,
        /// Wait until the text is in force at all named daemons
        wait: bool,
        /// YAML file to put
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the configuration text that is recorded
    #[bpaf(command)]
    Get,
    /// Print the difference between the recorded text and a file
    #[bpaf(command)]
    Diff {
        /// YAML file to compare
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print who changed the configuration, when and how
    #[bpaf(command)]
    History,
    /// Print the state of the named daemons
    #[bpaf(command)]
    Status,
    /// Print the balance of requests over the named daemons
    #[bpaf(command)]
    Report,
}
