//! The promises that are checked after a soak.

use std::time::{Duration, Instant};

use gooseberry_standins::gateway_mocks;

use crate::{
    callers::RESPONSE_TIMEOUT,
    history::{CallKind, CallRecord, ExecutionRecord, FaultScope, SoakHistory},
    servers::EVENTS_PER_STREAM,
};

/// Time after which a server that leaves gets nothing new, and a configuration is
/// in force: what the platform allows on its largest deployments.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Time that a daemon must have been undisturbed for bounds in time to hold.
const STABLE_SPAN: Duration = Duration::from_secs(4);
/// Time after the last fault after which requests must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// Share of requests that must be served then.
const RECOVERED_SHARE: f64 = 0.9;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum InvariantViolation {
    /// A request that may run once ran more often.
    RanTwice(String),
    /// An answer says that the request hasn't run, though it has.
    FalseRefusal(String),
    /// A success isn't a whole answer of a server to this request.
    MixedAnswer(String),
    /// A connection ended without an answer and without a fault that explains it.
    LostAnswer(String),
    /// A server got a request long after it said that it leaves.
    SentAfterLeaving(String),
    /// A request was run by the old service long after a new configuration.
    OldConfiguration(String),
    /// Requests aren't served again after the last fault.
    NotRecovered(String),
    /// A daemon ended by itself, or a planned stop failed.
    BadExit(String),
}

/// Checks all promises.
pub fn check(ledger: &SoakHistory, exits: &[String]) -> Vec<InvariantViolation> {
    let mut violations: Vec<InvariantViolation> =
        exits.iter().map(|exit| InvariantViolation::BadExit(exit.clone())).collect();
    for call in &ledger.calls {
        let runs = ledger.executions.get(&call.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_call(ledger, call, runs));
    }
    violations.extend(check_leaving(ledger));
    violations.extend(check_recovery(ledger));
    violations
}

fn check_call(
    ledger: &SoakHistory,
    call: &CallRecord,
    runs: &[ExecutionRecord],
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let story = || format!("{call:?} ran {runs:?}");
    if !call.kind.is_idempotent() {
        if runs.len() > 1 {
            violations.push(InvariantViolation::RanTwice(story()));
        }
        if call.reports_not_executed() && !runs.is_empty() {
            violations.push(InvariantViolation::FalseRefusal(story()));
        }
    }
    let is_success = gateway_mocks::status_code(&call.answer) == "200";
    if is_success && gateway_mocks::is_complete_response(&call.answer) && !is_own_answer(call, runs)
    {
        violations.push(InvariantViolation::MixedAnswer(story()));
    }
    if call.is_connected
        && !gateway_mocks::is_complete_response(&call.answer)
        && !is_excused(ledger, call)
    {
        violations.push(InvariantViolation::LostAnswer(story()));
    }
    violations.extend(check_service(ledger, call, runs));
    violations
}

/// Tells whether an answer is the signed, whole answer of one run of the request.
fn is_own_answer(call: &CallRecord, runs: &[ExecutionRecord]) -> bool {
    let Some((_, body)) = call.answer.split_once("\r\n\r\n") else {
        return false;
    };
    let is_of_run = |run: &ExecutionRecord| match call.kind {
        CallKind::Plain | CallKind::Order => body == run.body,
        CallKind::Chat | CallKind::Review => {
            let text = unchunk(body);
            text == run.body && text.matches("\n\n").count() == EVENTS_PER_STREAM
        }
    };
    gateway_mocks::is_signed(&call.answer) && runs.iter().any(is_of_run)
}

fn unchunk(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        if length == 0 || rest.len() < length + 2 {
            break;
        }
        text.push_str(&rest[..length]);
        body = &rest[length + 2..];
    }
    text
}

/// Tells whether a fault explains that no whole answer came.
fn is_excused(ledger: &SoakHistory, call: &CallRecord) -> bool {
    let slack = Duration::from_secs(1);
    let from = call.sent_at.checked_sub(slack).unwrap_or(call.sent_at);
    ledger.had_fault(from, call.ended_at, |scope| match scope {
        FaultScope::Daemon(daemon) => daemon == call.daemon,
        FaultScope::Servers => true,
        FaultScope::StoreConnection(_) | FaultScope::Store => false,
    })
}

/// A daemon that was undisturbed must have known of a new configuration.
fn check_service(
    ledger: &SoakHistory,
    call: &CallRecord,
    runs: &[ExecutionRecord],
) -> Option<InvariantViolation> {
    if !matches!(call.kind, CallKind::Plain | CallKind::Order) {
        return None;
    }
    let (moved_at, service) = *ledger.route_changes.iter().rfind(|(at, _)| *at <= call.sent_at)?;
    let is_due = call.sent_at >= moved_at + IN_FORCE_LIMIT;
    let wrong = runs.iter().find(|run| run.service != service)?;
    let from = moved_at.checked_sub(STABLE_SPAN).unwrap_or(moved_at);
    let had_fault = is_out_of_touch(ledger, from, wrong.began_at, |daemon| daemon == call.daemon);
    let story = || format!("{call:?} ran {wrong:?} after a move to {service}");
    (is_due && !had_fault).then(|| InvariantViolation::OldConfiguration(story()))
}

fn check_leaving(ledger: &SoakHistory) -> Option<InvariantViolation> {
    let late = ledger.arrivals.iter().find(|(server, at)| {
        let Some(left_at) = ledger.draining_since.get(server) else {
            return false;
        };
        let from = left_at.checked_sub(STABLE_SPAN).unwrap_or(*left_at);
        *at > *left_at + IN_FORCE_LIMIT && !is_out_of_touch(ledger, from, *at, |_| true)
    })?;
    Some(InvariantViolation::SentAfterLeaving(late.0.clone()))
}

fn is_out_of_touch(
    ledger: &SoakHistory,
    from: Instant,
    until: Instant,
    is_meant: impl Fn(usize) -> bool,
) -> bool {
    ledger.had_fault(from, until, |scope| match scope {
        FaultScope::Daemon(daemon) | FaultScope::StoreConnection(daemon) => is_meant(daemon),
        FaultScope::Store => true,
        FaultScope::Servers => false,
    })
}

fn check_recovery(ledger: &SoakHistory) -> Option<InvariantViolation> {
    let since = ledger.faults_cleared_at? + RECOVERY_LIMIT;
    let after: Vec<&CallRecord> =
        ledger.calls.iter().filter(|call| call.sent_at >= since).collect();
    let served = after.iter().filter(|call| call.is_served()).count();
    let is_recovered = !after.is_empty() && served as f64 >= after.len() as f64 * RECOVERED_SHARE;
    let slowest = after.iter().map(|call| call.ended_at - call.sent_at).max();
    let story = || {
        format!("{served} of {} served, slowest {slowest:?} of {RESPONSE_TIMEOUT:?}", after.len())
    };
    (!is_recovered).then(|| InvariantViolation::NotRecovered(story()))
}
