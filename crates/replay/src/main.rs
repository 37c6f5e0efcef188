//! Runs the replay command.

use std::{fs, path::PathBuf};

use anyhow::Context;
use bpaf::Bpaf;
use gooseberry_config::fleet;
use gooseberry_core::{
    fleet::{FleetTable, ObjectiveWeight},
    roles::RolePolicy,
};
use gooseberry_replay::{
    compare,
    generate::{self, TraceOptions, TraceScenario, TraceUser},
    health::HealthSignal,
    oracle,
    run::{self, ReplayOptions},
    trace::ReplayTrace,
};

/// Replays traces through the routing, admission and role planning of gooseberrykeel
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Replay one trace with one policy
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        input: Input,
        /// static, greedy, adaptive or oracle
        #[bpaf(long, argument("POLICY"), fallback(PolicyName::Policy(RolePolicy::Adaptive)))]
        policy: PolicyName,
        /// goodput or role-changes; if absent, the objective of the configuration
        #[bpaf(long, argument("OBJECTIVE"), optional)]
        objective: Option<ObjectiveWeight>,
        /// Signal that ejects failing engines from routing: none, error-rate or burn-rate
        #[bpaf(long, argument("SIGNAL"), fallback(HealthSignal::None))]
        signal: HealthSignal,
        /// Print JSON for programs instead of text for people
        json: bool,
    },
    /// Replay traces with every policy and print a table
    #[bpaf(command)]
    Compare {
        /// Seed of the replay
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// Print JSON for programs instead of text for people
        json: bool,
        /// Configuration file
        #[bpaf(long, argument("FILE"))]
        config: PathBuf,
        /// Trace files
        #[bpaf(positional("TRACE"), some("name at least one trace"))]
        traces: Vec<PathBuf>,
    },
    /// Generate a trace and print it
    #[bpaf(command)]
    Generate {
        /// shift, day, withdrawn, morning-batch, flash or bad-version
        #[bpaf(long, argument("SHAPE"))]
        shape: TraceScenario,
        /// library or cooperative
        #[bpaf(long, argument("USER"))]
        user: TraceUser,
        /// Seed of the trace
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// Load of the heavy phases, as a share of the best split's capacity
        #[bpaf(long, argument("FACTOR"), fallback(generate::DEFAULT_LOAD_FACTOR))]
        load: f64,
        /// Length of the trace in seconds
        #[bpaf(long, argument("S"), optional)]
        seconds: Option<f64>,
    },
}

/// Trace, configuration and seed of the replay
#[derive(Clone, Debug, Bpaf)]
struct Input {
    /// Trace file with one JSON object per line
    #[bpaf(long, argument("FILE"))]
    trace: PathBuf,
    /// Configuration file
    #[bpaf(long, argument("FILE"))]
    config: PathBuf,
    /// Seed of the replay
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
}

/// Selects a policy or the estimate of a perfect forecast.
#[derive(Clone, Copy, Debug)]
enum PolicyName {
    Policy(RolePolicy),
    Oracle,
}

impl std::str::FromStr for PolicyName {
    type Err = strum::ParseError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "oracle" => Ok(Self::Oracle),
            _ => name.parse().map(Self::Policy),
        }
    }
}

fn main() -> anyhow::Result<()> {
    match arguments().run() {
        Arguments::Run { input, policy, objective, signal, json } => {
            let fleet = read_fleet(&input.config)?;
            let trace = read_trace(&input.trace)?;
            let objective = objective.unwrap_or(fleet.objectives.weight);
            let role_policy = match policy {
                PolicyName::Policy(policy) => policy,
                PolicyName::Oracle => RolePolicy::Adaptive,
            };
            let options = ReplayOptions {
                health_signal: signal,
                ..ReplayOptions::new(role_policy, objective, input.seed)
            };
            let report = match policy {
                PolicyName::Policy(_) => run::run(options, &fleet, &trace),
                PolicyName::Oracle => oracle::best(options, &fleet, &trace),
            };
            if json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                print!("{}", report.to_text());
            }
        }
        Arguments::Compare { seed, json, config, traces } => {
            let fleet = read_fleet(&config)?;
            for path in traces {
                let rows = compare::compare(seed, &fleet, &read_trace(&path)?);
                if json {
                    println!("{}", serde_json::to_string(&rows)?);
                } else {
                    println!("{}, seed {seed}\n{}", path.display(), compare::to_table(&rows));
                }
            }
        }
        Arguments::Generate { shape, user, seed, load, seconds } => {
            let options =
                TraceOptions { shape, user, seed, load_factor: load, duration_s: seconds };
            print!("{}", generate::generate(options).to_text());
        }
    }
    Ok(())
}

fn read_fleet(path: &PathBuf) -> anyhow::Result<FleetTable> {
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    fleet::build(1, &text)
        .with_context(|| format!("the configuration {} isn't valid", path.display()))
}

fn read_trace(path: &PathBuf) -> anyhow::Result<ReplayTrace> {
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    ReplayTrace::parse(&text).with_context(|| path.display().to_string())
}
