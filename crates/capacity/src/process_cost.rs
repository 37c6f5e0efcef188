//! Processor time and memory of a process, from the kernel's own counts.

use std::{fs, thread, time::Duration};

/// Clock ticks of the kernel in a second, as its interface fixes them.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of the process's status line before its processor times.
const FIELDS_BEFORE_TIMES: usize = 11;
const KIB_PER_MIB: f64 = 1024.0;

/// Holds what a process spent over a span.
#[derive(Clone, Copy, Debug)]
pub struct ProcessCost {
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Resident memory at the end, in MiB.
    pub resident_mib: f64,
}

/// Watches processes for a span and returns their mean cost.
pub fn measure_mean(pids: &[u32], span: Duration) -> ProcessCost {
    let before: f64 = pids.iter().map(|pid| cpu_seconds(*pid)).sum();
    thread::sleep(span);
    let after: f64 = pids.iter().map(|pid| cpu_seconds(*pid)).sum();
    let resident: f64 = pids.iter().map(|pid| resident_mib(*pid)).sum();
    let count = pids.len() as f64;
    ProcessCost {
        core_percent: (after - before) / span.as_secs_f64() / count * 100.0,
        resident_mib: resident / count,
    }
}

fn cpu_seconds(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program stands in parentheses and may hold spaces.
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
