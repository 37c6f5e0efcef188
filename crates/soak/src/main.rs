//! Runs soaks from the command line: one seed or a series of seeds.

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use gooseberry_soak::{SoakOptions, SoakScenario};

/// Runs gateways as processes, injects faults and checks invariants
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// First seed
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(long, argument("COUNT"), fallback(1), display_fallback)]
    seeds: u64,
    /// Length in seconds of the period in which faults begin
    #[bpaf(long, argument("SECONDS"), fallback(12), display_fallback)]
    seconds: u64,
    /// Number of daemons; more than twelve use relays
    #[bpaf(long, argument("COUNT"), fallback(4), display_fallback)]
    daemons: usize,
    /// Kinds of faults: mixed, drills (mixed, and a store that comes back from copies), or outages around
    /// servers that leave and serve on
    #[bpaf(long, argument("SCENARIO"), fallback(SoakScenario::Mixed), display_fallback)]
    scenario: SoakScenario,
    /// Folder for the logs of seeds that fail
    #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("target/soak")))]
    logs: PathBuf,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = arguments().run();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let period = Duration::from_secs(arguments.seconds);
        let (daemons, scenario) = (arguments.daemons, arguments.scenario);
        let options = SoakOptions { seed, fault_period: period, daemons, scenario };
        let folder = tempfile::tempdir()?;
        let report = gooseberry_soak::run(options, folder.path());
        println!(
            "seed {seed}: {} requests, {} served, {} of {} resumes continued, {} faults, {} violations",
            report.requests,
            report.served,
            report.continued,
            report.resumes,
            report.faults.len(),
            report.violations.len()
        );
        if report.violations.is_empty() {
            continue;
        }
        failed += 1;
        let logs = arguments.logs.join(format!("seed-{seed}"));
        fs::create_dir_all(&logs)?;
        for entry in fs::read_dir(folder.path())? {
            let entry = entry?;
            fs::copy(entry.path(), logs.join(entry.file_name()))?;
        }
        for fault in &report.faults {
            println!("  {fault:?}");
        }
        for violation in &report.violations {
            println!("  {violation:?}");
        }
        println!("  logs of the daemons are in {}", logs.display());
    }
    println!("{failed} of {} seeds failed", arguments.seeds);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
