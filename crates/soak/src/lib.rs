//! A soak of the gateway: real processes, faults from outside, and a check of
//! what callers and backend servers saw.
//!
//! A seed decides the faults and the requests; how the processes interleave is
//! the machine's, so a seed that failed is kept with its faults and may pass.

pub mod callers;
pub mod checks;
pub mod history;
pub mod plan;
pub mod servers;
pub mod system;

use std::{path::Path, time::Duration};

use crate::{checks::InvariantViolation, system::SoakSystem};

/// What a soak runs.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    pub seed: u64,
    /// Time in which faults begin.
    pub fault_period: Duration,
    pub daemons: usize,
}

/// What came of a soak.
#[derive(Debug)]
pub struct SoakReport {
    pub requests: usize,
    pub served: usize,
    pub faults: Vec<plan::PlannedFault>,
    pub violations: Vec<InvariantViolation>,
}

/// Runs a soak; the daemons' logs stay in `folder`.
///
/// # Panics
///
/// Panics if a process or a stand-in can't be started.
pub fn run(terms: SoakOptions, folder: &Path) -> SoakReport {
    let faults = plan::plan(terms);
    let mut system = SoakSystem::start(terms, folder);
    let traffic = callers::start(&system, terms);
    system.inject_faults(&faults);
    system.clear_faults();
    traffic.stop();
    let exits = system.stop();
    let ledger = system.history.lock();
    let violations = checks::check(&ledger, &exits);
    let served = ledger.calls.iter().filter(|call| call.is_served()).count();
    SoakReport { requests: ledger.calls.len(), served, faults, violations }
}
