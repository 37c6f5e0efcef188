//! Measures what control costs a daemon, for `docs/CAPACITY.md`.
//!
//! Real daemons run idle beside stand-ins, so that all they spend is control.
//! A large fleet is many entries of the configuration with the address of one
//! stand-in: to a daemon each is an engine with a connection of its own.

mod configurations;
mod metric_sink;
mod process_cost;
mod sweep;

use bpaf::Bpaf;

/// Measures the processor time and memory that control takes
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Time for which each setup is measured, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Print JSON for programs instead of tables for people
    json: bool,
    #[bpaf(external)]
    sweep: Sweep,
}

/// Says what grows
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
enum Sweep {
    /// 10 to 780 engines in the configuration of one daemon
    #[bpaf(command)]
    Engines,
    /// 2 to 16 daemons in one failure domain
    #[bpaf(command)]
    Daemons,
    /// 100 to 23,000 accounts in the configuration
    #[bpaf(command)]
    Accounts,
}

fn main() {
    let arguments = arguments().run();
    let rows = match arguments.sweep {
        Sweep::Engines => sweep::engines(arguments.seconds),
        Sweep::Daemons => sweep::daemons(arguments.seconds),
        Sweep::Accounts => sweep::accounts(arguments.seconds),
    };
    if arguments.json {
        println!("{}", serde_json::json!(rows));
    } else {
        println!("{}", sweep::table(&rows));
    }
}
