//! Measures the control traffic of a daemon, for `docs/CAPACITY.md`.
//!
//! Real daemons run beside stand-ins without requests, so that all CPU time that
//! they use is spent on control. A large fleet consists of many configuration
//! entries with the address of one stand-in. A daemon treats each entry as an
//! engine and opens a separate connection to it.

mod configurations;
mod metric_sink;
mod process_cost;
mod sweep;

use bpaf::Bpaf;

/// Measures the CPU time and memory that a daemon uses without requests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Duration of the measurement of each size, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Print JSON instead of a table
    json: bool,
    #[bpaf(external)]
    sweep: Sweep,
}

/// Selects the quantity that is varied
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
