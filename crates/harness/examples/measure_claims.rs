//! Measures the writes and the latency of each claim, and the share of claims
//! that are granted while the platform is down.
//!
//! The first part runs real processes on loopback with the first version of
//! claims, which makes two writes per claim. The second part simulates the
//! decision logic of both versions under a simulated clock, without processes and
//! network. In the second version, daemons own slots and commit the claims of a
//! slot together.
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
const CALL_COUNT: usize = 500;
/// Daemons in the simulation, each of which owns one slot.
const OWNER_COUNT: usize = 8;
/// Duration of one write to the platform in the simulation, in milliseconds.
const WRITE_MS: u64 = 3;
/// Time for which an owner collects claims before it commits, in milliseconds.
const LINGER_MS: u64 = 5;
/// Time for which an owner collects final states before it commits.
const FINISH_LINGER: Duration = Duration::from_secs(1);
/// Time after which a caller in the simulation gives up.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time before the outage in the simulation, and again after it.
const TIME_AROUND_OUTAGE: Duration = Duration::from_secs(60);
const OUTAGE_DURATION: Duration = Duration::from_secs(600);
/// Time after which a claim expires.
const CLAIM_TTL: Duration = Duration::from_secs(86_400);

fn main() {
    measure_processes();
    for rate in [8, 80] {
        simulate_versions(rate);
    }
}

fn measure_processes() {
    let system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    let before = system::platform_counts(&system).writes;
    let address = &system.daemons[0].address;
    let mut idempotent = Vec::new();
    let mut claimed = Vec::new();
    for index in 0..CALL_COUNT {
        let call = TestCall::new(Method::Post, address, "/booking/availability");
        idempotent.push(measure_call(&call.account_key(ACCOUNT_KEY).body("one drill")));
        claimed.push(measure_call(&system::reservation_call(address, &format!("key-{index}"))));
    }
    // The daemon writes the final states in the background.
    std::thread::sleep(Duration::from_secs(1));
    let writes = system::platform_counts(&system).writes - before;
    println!("first version, processes, {CALL_COUNT} sequential calls of each kind");
    println!("  writes per claim: {:.2}", writes as f64 / CALL_COUNT as f64);
    for (name, latencies) in [("repeatable", &mut idempotent), ("claimed", &mut claimed)] {
        latencies.sort_unstable();
        let percentile = |percent: usize| latencies[latencies.len() * percent / 100];
        println!("  {name}: p50 {:?}, p99 {:?}", percentile(50), percentile(99));
    }
}

fn measure_call(call: &TestCall) -> Duration {
    let begin = Instant::now();
    let answer = call.send().expect("a response");
    assert_eq!(answer.status, 200);
    begin.elapsed()
}

#[derive(Default)]
struct RunFigures {
    arrived: u64,
    granted: u64,
    arrived_in_outage: u64,
    granted_in_outage: u64,
    writes: u64,
    /// Total wait of the claims that arrived while the platform was up.
    wait_ms: u64,
}

impl RunFigures {
    fn record_grant(&mut self, arrived: u64, now: u64) {
        self.granted += 1;
        self.granted_in_outage += u64::from(is_down(arrived));
        if !is_down(arrived) {
            self.wait_ms += now - arrived;
        }
    }

    fn record_arrival(&mut self, now: u64) {
        self.arrived += 1;
        self.arrived_in_outage += u64::from(is_down(now));
    }

    fn print(&self, name: &str) {
        let share = 100.0 * self.granted_in_outage as f64 / self.arrived_in_outage as f64;
        let granted = self.granted - self.granted_in_outage;
        println!("  {name}");
        println!(
            "    platform up: {} of {} granted, {:.2} writes per claim, mean wait {:.1} ms",
            granted,
            self.arrived - self.arrived_in_outage,
            self.writes as f64 / granted as f64,
            self.wait_ms as f64 / granted as f64,
        );
        println!(
            "    outage: {} of {} granted ({share:.1} %)",
            self.granted_in_outage, self.arrived_in_outage
        );
    }
}

fn is_down(now: u64) -> bool {
    let begin = TIME_AROUND_OUTAGE.as_millis() as u64;
    (begin..begin + OUTAGE_DURATION.as_millis() as u64).contains(&now)
}

fn simulate_versions(rate: u64) {
    println!("simulation, {rate} claims per second, outage of {} s", OUTAGE_DURATION.as_secs());
    let end = (TIME_AROUND_OUTAGE * 2 + OUTAGE_DURATION).as_millis() as u64;
    simulate_first_version(rate, end).print("first version");
    simulate_second_version(rate, end).print("second version");
}

/// Simulates the first version, which makes two writes per claim, and grants none
/// while the platform is down.
fn simulate_first_version(rate: u64, end: u64) -> RunFigures {
    let mut figures = RunFigures::default();
    let mut breaker = CircuitBreaker::default();
    for now in (0..end).filter(|now| arrives(*now, rate)) {
        figures.record_arrival(now);
        if !breaker.allows_call(Timestamp::from_millis(now)) {
            continue;
        }
        if is_down(now) {
            breaker.record_failure(Timestamp::from_millis(now));
            continue;
        }
        breaker.record_success();
        figures.writes += 2;
        figures.record_grant(now, now + WRITE_MS);
    }
    figures
}

fn arrives(now: u64, rate: u64) -> bool {
    now * rate / 1_000 != (now + 1) * rate / 1_000
}

struct WaitingClaim {
    key: SmolStr,
    row: ClaimRow,
    arrived: u64,
}

struct SimulatedOwner {
    owner: SlotOwner,
    waiting: Vec<WaitingClaim>,
    /// Time at which the running write ends, and whether it succeeds.
    write: Option<(u64, bool)>,
    committed_at: u64,
    revision: u64,
}

/// Simulates the second version, in which [`OWNER_COUNT`] owners commit claims
/// together.
fn simulate_second_version(rate: u64, end: u64) -> RunFigures {
    let mut figures = RunFigures::default();
    let mut owners: Vec<_> = (0..OWNER_COUNT).map(start_owner).collect();
    let mut next = 0;
    for now in 0..end {
        if arrives(now, rate) {
            figures.record_arrival(now);
            let owner = &mut owners[next % OWNER_COUNT];
            owner.waiting.push(new_claim(next, now));
            next += 1;
        }
        for owner in &mut owners {
            owner.step(now, &mut figures);
        }
    }
    figures
}

fn start_owner(index: usize) -> SimulatedOwner {
    let record = SlotRecord {
        owner: format_smolstr!("vm-{index}/1"),
        stamp: Timestamp::from_millis(0),
        gap_until: Timestamp::from_millis(0),
        segments: Vec::new(),
        rows: Default::default(),
    };
    let owner = SlotOwner::new(1, record, Vec::new(), SlotLimits::default());
    SimulatedOwner { owner, waiting: Vec::new(), write: None, committed_at: 0, revision: 1 }
}

fn new_claim(index: usize, now: u64) -> WaitingClaim {
    let row = ClaimRow {
        claim: format_smolstr!("claim-{index}"),
        holder: "vm-0/1".into(),
        fingerprint: 0,
        state: ClaimState::Running,
        expires: Timestamp::from_millis(now) + CLAIM_TTL,
    };
    WaitingClaim { key: format_smolstr!("key-{index}"), row, arrived: now }
}

impl SimulatedOwner {
    fn step(&mut self, now: u64, figures: &mut RunFigures) {
        if let Some((_, succeeded)) = self.write.filter(|(end, _)| *end <= now) {
            self.write = None;
            self.revision += u64::from(succeeded);
            self.owner.committed(match succeeded {
                true => CommitOutcome::Written(self.revision),
                false => CommitOutcome::Unknown,
            });
        }
        self.request_claims(now, figures);
        let linger = match self.waiting.is_empty() || is_down(now) {
            true => FINISH_LINGER.as_millis() as u64,
            false => LINGER_MS,
        };
        if self.write.is_some() || now < self.committed_at + linger {
            return;
        }
        if self.owner.commit(Timestamp::from_millis(now)).is_some() {
            self.committed_at = now;
            self.write = Some((now + WRITE_MS, !is_down(now)));
            figures.writes += u64::from(!is_down(now));
            self.write_segment(now, figures);
        }
    }

    /// Writes the segment that is due. The write takes no time in the simulation.
    fn write_segment(&mut self, now: u64, figures: &mut RunFigures) {
        if self.owner.seal().is_some() {
            figures.writes += u64::from(!is_down(now));
            self.owner.segment_written(!is_down(now));
        }
    }

    /// Requests all waiting claims. A granted claim gets its final state at once,
    /// since calls take no time in the simulation.
    fn request_claims(&mut self, now: u64, figures: &mut RunFigures) {
        let time = Timestamp::from_millis(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|entry| match self.owner.request_claim(&entry.key, &entry.row, time) {
            SlotResponse::Granted => {
                figures.record_grant(entry.arrived, now);
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
