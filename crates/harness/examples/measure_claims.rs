//! Measures claims: writes for each, latency added, share served in an outage.
//!
//! The first part runs the real processes on loopback with the first version.
//! The second part is a compressed run of the decision logic of both versions
//! under a clock of its own; it has no processes and no network.
//!
//! Build the programs with `cargo build --workspace --bins`, then run
//! `cargo run -p gooseberry-harness --example measure_claims`.

use std::time::{Duration, Instant};

use gooseberry_core::{
    circuit_breaker::CircuitBreaker,
    claims::{ClaimRow, ClaimState},
    slots::{CommitOutcome, SlotLimits, SlotOwner, SlotRecord, SlotResponse},
    time::Timestamp,
};
use gooseberry_harness::{
    calls::TestCall,
    system::{self, SystemOptions, TestSystem, ACCOUNT_KEY},
};
use http_types::Method;
use smol_str::{format_smolstr, SmolStr};

/// Calls of each kind in the part with processes.
const CALLS: usize = 500;
/// Daemons, each the owner of one slot, in the compressed run.
const OWNERS: usize = 8;
/// Time for one write of the platform in the compressed run, in milliseconds.
const WRITE_MS: u64 = 3;
/// Time for which an owner gathers claims before it commits, in milliseconds.
const LINGER_MS: u64 = 5;
/// Time for which an owner gathers final states before it commits.
const FINISH_LINGER: Duration = Duration::from_secs(1);
/// Time until a caller in the compressed run gives up.
const DEADLINE: Duration = Duration::from_secs(5);
const BEFORE: Duration = Duration::from_secs(60);
const OUTAGE: Duration = Duration::from_secs(600);
const HORIZON: Duration = Duration::from_secs(86_400);

fn main() {
    measure_processes();
    for rate in [8, 80] {
        measure_rules(rate);
    }
}

fn measure_processes() {
    let system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    let before = system::platform_counts(&system).writes;
    let address = &system.daemons[0].address;
    let mut plain = Vec::new();
    let mut claimed = Vec::new();
    for index in 0..CALLS {
        let call = TestCall::new(Method::Post, address, "/booking/availability");
        plain.push(time(&call.account_key(ACCOUNT_KEY).body("one drill")));
        claimed.push(time(&system::reservation_call(address, &format!("key-{index}"))));
    }
    // The final states are written in the background.
    std::thread::sleep(Duration::from_secs(1));
    let writes = system::platform_counts(&system).writes - before;
    println!("first version, processes, {CALLS} calls of each kind one after the other");
    println!("  writes for each claim: {:.2}", writes as f64 / CALLS as f64);
    for (name, spans) in [("repeatable", &mut plain), ("claimed", &mut claimed)] {
        spans.sort_unstable();
        let at = |share: usize| spans[spans.len() * share / 100];
        println!("  {name}: p50 {:?}, p99 {:?}", at(50), at(99));
    }
}

fn time(call: &TestCall) -> Duration {
    let begin = Instant::now();
    let answer = call.send().expect("an answer");
    assert_eq!(answer.status, 200);
    begin.elapsed()
}

#[derive(Default)]
struct Figures {
    arrived: u64,
    granted: u64,
    in_outage: u64,
    granted_in_outage: u64,
    writes: u64,
    /// Sum of the waits of claims that came while the platform was up.
    wait_ms: u64,
}

impl Figures {
    fn grant(&mut self, arrived: u64, now: u64) {
        self.granted += 1;
        self.granted_in_outage += u64::from(is_down(arrived));
        if !is_down(arrived) {
            self.wait_ms += now - arrived;
        }
    }

    fn arrive(&mut self, now: u64) {
        self.arrived += 1;
        self.in_outage += u64::from(is_down(now));
    }

    fn print(&self, name: &str) {
        let share = 100.0 * self.granted_in_outage as f64 / self.in_outage as f64;
        let granted = self.granted - self.granted_in_outage;
        println!("  {name}");
        println!(
            "    platform up: {} of {} served, {:.2} writes for each, mean wait {:.1} ms",
            granted,
            self.arrived - self.in_outage,
            self.writes as f64 / granted as f64,
            self.wait_ms as f64 / granted as f64,
        );
        println!(
            "    outage: {} of {} served ({share:.1} %)",
            self.granted_in_outage, self.in_outage
        );
    }
}

fn is_down(now: u64) -> bool {
    let begin = BEFORE.as_millis() as u64;
    (begin..begin + OUTAGE.as_millis() as u64).contains(&now)
}

fn measure_rules(rate: u64) {
    println!("compressed run, {rate} claims a second, outage of {} s", OUTAGE.as_secs());
    let end = (BEFORE * 2 + OUTAGE).as_millis() as u64;
    first_version(rate, end).print("first version");
    second_version(rate, end).print("second version");
}

/// Two writes for each claim; none while the platform is down.
fn first_version(rate: u64, end: u64) -> Figures {
    let mut figures = Figures::default();
    let mut gate = CircuitBreaker::default();
    for now in (0..end).filter(|now| arrives(*now, rate)) {
        figures.arrive(now);
        if !gate.allows_call(Timestamp::from_millis(now)) {
            continue;
        }
        if is_down(now) {
            gate.record_failure(Timestamp::from_millis(now));
            continue;
        }
        gate.record_success();
        figures.writes += 2;
        figures.grant(now, now + WRITE_MS);
    }
    figures
}

fn arrives(now: u64, rate: u64) -> bool {
    now * rate / 1_000 != (now + 1) * rate / 1_000
}

struct Waiting {
    key: SmolStr,
    row: ClaimRow,
    arrived: u64,
}

struct OwnerRun {
    owner: SlotOwner,
    waiting: Vec<Waiting>,
    /// End of the write on its way, and whether the platform takes it.
    write: Option<(u64, bool)>,
    committed: u64,
    revision: u64,
}

fn second_version(rate: u64, end: u64) -> Figures {
    let mut figures = Figures::default();
    let mut runs: Vec<_> = (0..OWNERS).map(start_owner).collect();
    let mut next = 0;
    for now in 0..end {
        if arrives(now, rate) {
            figures.arrive(now);
            let run = &mut runs[next % OWNERS];
            run.waiting.push(wait(next, now));
            next += 1;
        }
        for run in &mut runs {
            run.step(now, &mut figures);
        }
    }
    figures
}

fn start_owner(index: usize) -> OwnerRun {
    let record = SlotRecord {
        owner: format_smolstr!("vm-{index}/1"),
        stamp: Timestamp::from_millis(0),
        gap_until: Timestamp::from_millis(0),
        segments: Vec::new(),
        rows: Default::default(),
    };
    let owner = SlotOwner::new(1, record, Vec::new(), SlotLimits::default());
    OwnerRun { owner, waiting: Vec::new(), write: None, committed: 0, revision: 1 }
}

fn wait(index: usize, now: u64) -> Waiting {
    let row = ClaimRow {
        claim: format_smolstr!("claim-{index}"),
        holder: "vm-0/1".into(),
        fingerprint: 0,
        state: ClaimState::Running,
        expires: Timestamp::from_millis(now) + HORIZON,
    };
    Waiting { key: format_smolstr!("key-{index}"), row, arrived: now }
}

impl OwnerRun {
    fn step(&mut self, now: u64, figures: &mut Figures) {
        if let Some((_, taken)) = self.write.filter(|(end, _)| *end <= now) {
            self.write = None;
            self.revision += u64::from(taken);
            self.owner.committed(match taken {
                true => CommitOutcome::Written(self.revision),
                false => CommitOutcome::Unknown,
            });
        }
        self.grant(now, figures);
        let linger = match self.waiting.is_empty() || is_down(now) {
            true => FINISH_LINGER.as_millis() as u64,
            false => LINGER_MS,
        };
        if self.write.is_some() || now < self.committed + linger {
            return;
        }
        if self.owner.commit(Timestamp::from_millis(now)).is_some() {
            self.committed = now;
            self.write = Some((now + WRITE_MS, !is_down(now)));
            figures.writes += u64::from(!is_down(now));
            self.seal(now, figures);
        }
    }

    /// Writes the segment that is due; its write takes no time in this run.
    fn seal(&mut self, now: u64, figures: &mut Figures) {
        if self.owner.seal().is_some() {
            figures.writes += u64::from(!is_down(now));
            self.owner.segment_written(!is_down(now));
        }
    }

    /// Asks for all that wait; who is granted sends and has its answer at once.
    fn grant(&mut self, now: u64, figures: &mut Figures) {
        let time = Timestamp::from_millis(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|entry| match self.owner.request_claim(&entry.key, &entry.row, time) {
            SlotResponse::Granted => {
                figures.grant(entry.arrived, now);
                self.owner.set_final_state(&entry.key, &entry.row.claim, ClaimState::Lost);
                false
            }
            SlotResponse::Pending => {
                let age = time.since(Timestamp::from_millis(entry.arrived));
                if age >= DEADLINE {
                    self.owner.set_final_state(&entry.key, &entry.row.claim, ClaimState::Released);
                }
                age < DEADLINE
            }
            SlotResponse::Found(_) | SlotResponse::Gap { .. } | SlotResponse::NotOwner => false,
        });
        self.waiting = waiting;
    }
}
