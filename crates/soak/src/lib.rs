//! A soak test of the gateway: runs daemons as processes, injects faults, and
//! checks what callers and backend servers recorded.
//!
//! A seed determines the faults and the requests, but not how the processes
//! interleave. A seed that failed may therefore pass when it is run again, so
//! a failed seed is reported together with its faults.

pub mod callers;
pub mod checks;
pub mod history;
pub mod links;
pub mod plan;
pub mod servers;
pub mod system;

use std::{path::Path, time::Duration};

use crate::{checks::InvariantViolation, history::CallRecord, system::SoakSystem};

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    pub seed: u64,
    /// Period in which faults begin.
    pub fault_period: Duration,
    pub daemons: usize,
    pub scenario: SoakScenario,
}

/// The kinds of faults that a soak has.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SoakScenario {
    /// All kinds, which overlap.
    #[default]
    Mixed,
    /// All kinds, and a store that comes back from copies of itself again and again.
    Drills,
    /// Two outages of the store in a row around each server that leaves and serves on.
    Outages,
}

impl SoakScenario {
    fn is_mixed(self) -> bool {
        matches!(self, Self::Mixed | Self::Drills)
    }
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    pub requests: usize,
    pub served: usize,
    /// Requests that resume a stream, and those of them that got an event.
    pub resumes: usize,
    pub continued: usize,
    pub faults: Vec<plan::PlannedFault>,
    pub violations: Vec<InvariantViolation>,
}

/// Runs a soak and writes the daemons' logs to `folder`.
///
/// # Panics
///
/// Panics if a process or a stand-in can't be started.
pub fn run(terms: SoakOptions, folder: &Path) -> SoakReport {
    let faults = plan::plan(terms);
    let mut system = SoakSystem::start(terms, folder);
    let traffic = callers::start(&system, terms);
    system.inject_faults(&faults, plan::plan_limit(terms), plan::plan_links(terms));
    system.clear_faults();
    traffic.stop();
    let exits = system.stop();
    let history = system.history.lock();
    let violations = checks::check(&history, &exits);
    let served = history.calls.iter().filter(|call| call.is_served()).count();
    let is_resume = |call: &&CallRecord| call.resumed.is_some();
    let resumes = history.calls.iter().filter(is_resume).count();
    let continued =
        history.calls.iter().filter(is_resume).filter(|call| !call.events().is_empty()).count();
    let requests = history.calls.len();
    SoakReport { requests, served, resumes, continued, faults, violations }
}
