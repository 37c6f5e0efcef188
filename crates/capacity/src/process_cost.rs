//! CPU time and memory of a process, from its files in `/proc`.

use std::{fs, thread, time::Duration};

/// Clock ticks per second in the kernel's files (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields between the program's name and the CPU times in `/proc/PID/stat`.
const FIELDS_BEFORE_TIMES: usize = 11;
const KIB_PER_MIB: f64 = 1024.0;

/// Holds the mean CPU use and memory of processes.
#[derive(Clone, Copy, Debug)]
pub struct ProcessCost {
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Resident memory at the end, in MiB.
    pub resident_mib: f64,
}

/// Sleeps for a duration and returns the mean cost of the processes in it.
pub fn measure_mean(pids: &[u32], duration: Duration) -> ProcessCost {
    let before: f64 = pids.iter().map(|pid| cpu_seconds(*pid)).sum();
    thread::sleep(duration);
    let after: f64 = pids.iter().map(|pid| cpu_seconds(*pid)).sum();
    let resident: f64 = pids.iter().map(|pid| resident_mib(*pid)).sum();
    let count = pids.len() as f64;
    ProcessCost {
        core_percent: (after - before) / duration.as_secs_f64() / count * 100.0,
        resident_mib: resident / count,
    }
}

fn cpu_seconds(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program is in parentheses and may contain spaces.
    let rest = status.rsplit_once(')').map_or("", |(_, rest)| rest);
    let times = rest.split_ascii_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

fn resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_ascii_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / KIB_PER_MIB
}
