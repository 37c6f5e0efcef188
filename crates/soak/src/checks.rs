//! The invariants that are checked after a soak.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use gooseberry_standins::gateway_mocks;

use crate::{
    callers::RESPONSE_TIMEOUT,
    history::{
        self, ArrivalRecord, CallKind, CallRecord, ExecutionRecord, FaultScope, OrderRecord,
        PoisonArrival, SoakHistory,
    },
    plan::PoisonKind,
    servers::{self, EVENTS_PER_STREAM},
};

/// Time after which a draining server gets no new requests and a new
/// configuration is in force: what the platform allows on its largest deployments.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Time for which a daemon and the store must have had no fault before a
/// change, so that the time limit of the change is checked.
const STABLE_DURATION: Duration = Duration::from_secs(4);
/// Time after the last fault after which requests must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// Time after daemons lost their links, or were stopped or started, after which their callers must
/// be served.
const CUT_LIMIT: Duration = Duration::from_secs(3);
/// Length of the spans in which requests of daemons with and without links are compared.
const COMPARED_SPAN: Duration = Duration::from_millis(500);
/// Share of requests that must be served after the recovery limit.
const RECOVERED_SHARE: f64 = 0.9;

/// Number of crashes, and time after them, from which poison requests must not reach servers. A part
/// that requests share is harder to find than a request that is sent again.
const CONVICTING_CRASHES: [(PoisonKind, usize); 2] =
    [(PoisonKind::SharedPart, 5), (PoisonKind::SameRequest, 3)];
const CONVICTION_LIMIT: Duration = Duration::from_secs(3);
/// Number of poison requests that may reach servers nevertheless.
const LATE_POISON_LIMIT: usize = 3;

/// Time after which a server that has told a daemon that it leaves gets no request from it.
const NOTICE_LIMIT: Duration = Duration::from_millis(2500);
/// Time without a fault of a daemon and of the store in which the daemon reads the list of servers.
const READ_DURATION: Duration = Duration::from_millis(2500);
/// Time after a server asked for quiet from which its requests are counted, and how many it may get.
const QUIET_GRACE: Duration = Duration::from_millis(500);
const QUIET_REQUEST_LIMIT: usize = 2;
/// Time after a server first named its limit from which the limit holds, and the span over which
/// its requests are counted.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum InvariantViolation {
    /// A non-idempotent request was executed more than once.
    RanTwice(String),
    /// A response reports that the request was not executed, but it was.
    FalseRefusal(String),
    /// A successful response isn't the complete response of one server to this request.
    MixedAnswer(String),
    /// A stream holds events of servers of two software versions.
    MixedVersions(String),
    /// A connection ended without a complete response and without a fault that explains it.
    LostAnswer(String),
    /// A server got a request too long after its entry was set to draining.
    SentAfterLeaving(String),
    /// A server got a request from a daemon that had read a list without it.
    SentAfterRemoval(String),
    /// The old service executed a request too long after the configuration changed.
    OldConfiguration(String),
    /// Poison requests still reached servers long after they had crashed several.
    SentAfterCrashes(String),
    /// A server got a request from a daemon that it had told that it leaves.
    SentAfterNotice(String),
    /// A server that asked a daemon for quiet got requests from it.
    SentDuringQuiet(String),
    /// A server got far more requests than the limit that it named.
    OverLimit(String),
    /// A server got an order with a lower fencing token than the one before, or with that of another
    /// daemon.
    FenceWentBack(String),
    /// Callers of daemons without links to servers were served far worse than the others.
    CutCallers(String),
    /// Too few requests were served after the last fault.
    NotRecovered(String),
    /// A daemon ended unexpectedly, or a planned stop failed.
    BadExit(String),
}

/// Checks all invariants and returns the violations.
pub fn check(history: &SoakHistory, exits: &[String]) -> Vec<InvariantViolation> {
    let mut violations: Vec<InvariantViolation> =
        exits.iter().map(|exit| InvariantViolation::BadExit(exit.clone())).collect();
    for call in &history.calls {
        let runs = history.executions.get(&call.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_call(history, call, runs));
    }
    violations.extend(check_versions(history));
    violations.extend(check_draining(history));
    violations.extend(check_removed(history));
    for (kind, crashes) in CONVICTING_CRASHES {
        violations.extend(check_poison(history, kind, crashes));
    }
    violations.extend(check_limits(history));
    violations.extend(check_notices(history));
    violations.extend(check_quiet(history));
    violations.extend(check_fences(history));
    violations.extend(check_links(history));
    violations.extend(check_recovery(history));
    violations
}

/// Checks that poison requests stop reaching servers after they have crashed several, at daemons
/// without faults.
fn check_poison(
    history: &SoakHistory,
    kind: PoisonKind,
    crashes: usize,
) -> Option<InvariantViolation> {
    let times = history.crashes.iter().filter(|crash| crash.0 == kind).map(|crash| crash.1);
    let crash = times.clone().nth(crashes - 1)?;
    let is_late = |arrival: &&PoisonArrival| {
        let PoisonArrival { id, at, .. } = arrival;
        let call = history.calls.iter().find(|call| call.id == *id);
        let from = at.checked_sub(CONVICTION_LIMIT).unwrap_or(*at);
        let is_in_touch = call.is_some_and(|call| {
            !had_store_fault(history, from, *at, |daemon| may_have_sent(history, call, daemon))
        });
        arrival.kind == kind && *at > crash + CONVICTION_LIMIT && is_in_touch
    };
    let late: Vec<_> = history.poison_arrivals.iter().filter(is_late).collect();
    let details = || format!("{} sends and {} crashes: {late:?}", late.len(), times.count());
    (late.len() > LATE_POISON_LIMIT).then(|| InvariantViolation::SentAfterCrashes(details()))
}

fn check_call(
    history: &SoakHistory,
    call: &CallRecord,
    runs: &[ExecutionRecord],
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let details = || format!("{call:?} was executed as {runs:?}");
    if !call.kind.is_idempotent() {
        if runs.len() > 1 {
            violations.push(InvariantViolation::RanTwice(details()));
        }
        if call.reports_not_executed() && !runs.is_empty() {
            violations.push(InvariantViolation::FalseRefusal(details()));
        }
    }
    let is_success = gateway_mocks::status_code(&call.answer) == "200";
    if is_success
        && gateway_mocks::is_complete_response(&call.answer)
        && !is_response_of_one_run(call, runs)
    {
        violations.push(InvariantViolation::MixedAnswer(details()));
    }
    if call.is_connected
        && !gateway_mocks::is_complete_response(&call.answer)
        && !is_explained_by_fault(history, call)
    {
        violations.push(InvariantViolation::LostAnswer(details()));
    }
    violations.extend(check_service(history, call, runs));
    violations
}

/// Checks that all events of each stream, over all requests that resumed it, come from servers of
/// one software version.
fn check_versions(history: &SoakHistory) -> Vec<InvariantViolation> {
    let mut streams: HashMap<&str, BTreeMap<&str, Vec<&CallRecord>>> = HashMap::new();
    let reviews = history.calls.iter().filter(|call| call.kind == CallKind::Review);
    for call in reviews {
        let origin = call.resumed.as_ref().map_or(&call.id, |resumed| &resumed.origin);
        let versions = streams.entry(origin).or_default();
        for event in call.events() {
            if let Some((_, server)) = event.trim_end().rsplit_once(" of ") {
                versions.entry(servers::software(server)).or_default().push(call);
            }
        }
    }
    let mixed = streams.into_iter().filter(|(_, versions)| versions.len() > 1);
    mixed
        .map(|(id, versions)| InvariantViolation::MixedVersions(format!("{id}: {versions:?}")))
        .collect()
}

/// Returns whether a response is the signed, complete response of one execution of the request.
fn is_response_of_one_run(call: &CallRecord, runs: &[ExecutionRecord]) -> bool {
    let Some((_, body)) = call.answer.split_once("\r\n\r\n") else {
        return false;
    };
    let is_of_run = |run: &ExecutionRecord| match call.kind {
        CallKind::Plain | CallKind::Order => body == run.body,
        CallKind::Chat | CallKind::Review => {
            let text = history::decode_chunked(body);
            let received = call.resumed.as_ref().map_or(0, |resumed| resumed.events);
            text == run.body && text.matches("\n\n").count() == EVENTS_PER_STREAM - received
        }
    };
    gateway_mocks::is_signed(&call.answer) && runs.iter().any(is_of_run)
}

/// Returns whether a fault explains that the caller got no complete response.
fn is_explained_by_fault(history: &SoakHistory, call: &CallRecord) -> bool {
    let slack = Duration::from_secs(1);
    let from = call.sent_at.checked_sub(slack).unwrap_or(call.sent_at);
    history.had_fault(from, call.ended_at, |scope| match scope {
        FaultScope::Daemon(daemon) => daemon == call.daemon,
        FaultScope::Servers | FaultScope::ServerConnection(_) => true,
        FaultScope::DaemonLinks(daemon) => daemon == call.daemon,
        FaultScope::StoreConnection(_) | FaultScope::Store | FaultScope::DaemonRestart(_) => false,
    })
}

/// Checks that a daemon without faults routed the call by the current configuration.
fn check_service(
    history: &SoakHistory,
    call: &CallRecord,
    runs: &[ExecutionRecord],
) -> Option<InvariantViolation> {
    if !matches!(call.kind, CallKind::Plain | CallKind::Order) {
        return None;
    }
    let (moved_at, service) = *history.route_changes.iter().rfind(|(at, _)| *at <= call.sent_at)?;
    let is_due = call.sent_at >= moved_at + IN_FORCE_LIMIT;
    let wrong = runs.iter().find(|run| run.service != service)?;
    let from = moved_at.checked_sub(STABLE_DURATION).unwrap_or(moved_at);
    let had_fault = had_store_fault(history, from, wrong.began_at, |daemon| {
        may_have_sent(history, call, daemon)
    });
    let details =
        || format!("{call:?} was executed as {wrong:?} after the route changed to {service}");
    let is_late = (is_due && !had_fault) || is_read_since(history, call, moved_at, wrong.began_at);
    is_late.then(|| InvariantViolation::OldConfiguration(details()))
}

/// Returns whether the daemon of a call had surely read the store after a change, long before the call was
/// sent, whatever happened to the store at the change.
fn is_read_since(
    history: &SoakHistory,
    call: &CallRecord,
    changed_at: Instant,
    ran_at: Instant,
) -> bool {
    // Daemons that start anew have to read it again, and those without links hand requests to others.
    let is_excused = |scope| match scope {
        FaultScope::Daemon(daemon) | FaultScope::DaemonRestart(daemon) => daemon == call.daemon,
        FaultScope::DaemonLinks(_) => true,
        FaultScope::StoreConnection(_)
        | FaultScope::Store
        | FaultScope::Servers
        | FaultScope::ServerConnection(_) => false,
    };
    read_without_fault(history, call.daemon, changed_at).is_some_and(|read_at| {
        call.sent_at > read_at + NOTICE_LIMIT && !history.had_fault(read_at, ran_at, is_excused)
    })
}

/// Checks that no server got a request too long after its entry was set to draining.
fn check_draining(history: &SoakHistory) -> Option<InvariantViolation> {
    let late = history.arrivals.iter().find(|arrival| {
        let Some(drained_at) = history.draining_since.get(&arrival.server) else {
            return false;
        };
        let from = drained_at.checked_sub(STABLE_DURATION).unwrap_or(*drained_at);
        arrival.at > *drained_at + IN_FORCE_LIMIT
            && !had_store_fault(history, from, arrival.at, |_| true)
    })?;
    Some(InvariantViolation::SentAfterLeaving(late.server.clone()))
}

/// Checks that no server got a request from a daemon long after this daemon had read a list without the
/// server, whatever happened to the store since.
fn check_removed(history: &SoakHistory) -> Option<InvariantViolation> {
    let calls: HashMap<&str, &CallRecord> =
        history.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let late = history.arrivals.iter().find(|arrival| {
        let removed_at = history.removed_at.get(&arrival.server);
        let (Some(removed_at), Some(call)) = (removed_at, calls.get(arrival.id.as_str())) else {
            return false;
        };
        is_read_since(history, call, *removed_at, arrival.at)
    })?;
    let details = format!("{} got {} although its entry was removed", late.server, late.id);
    Some(InvariantViolation::SentAfterRemoval(details))
}

/// Returns the first time after another by which a daemon has surely read the list of servers.
fn read_without_fault(history: &SoakHistory, daemon: usize, since: Instant) -> Option<Instant> {
    let is_affected = |scope| match scope {
        FaultScope::Daemon(affected)
        | FaultScope::DaemonRestart(affected)
        | FaultScope::StoreConnection(affected) => affected == daemon,
        FaultScope::Store => true,
        FaultScope::Servers | FaultScope::ServerConnection(_) | FaultScope::DaemonLinks(_) => false,
    };
    let faults = history.fault_intervals.iter().filter(|interval| is_affected(interval.scope));
    let ends = faults.map(|interval| interval.until + Duration::from_millis(1));
    let mut starts: Vec<Instant> = ends.chain([since]).filter(|start| *start >= since).collect();
    starts.sort_unstable();
    let mut spans = starts.into_iter().map(|start| (start, start + READ_DURATION));
    spans.find(|(start, end)| !history.had_fault(*start, *end, is_affected)).map(|(_, end)| end)
}

/// Checks that the fencing tokens of the orders to each server rise with each leader.
fn check_fences(history: &SoakHistory) -> Option<InvariantViolation> {
    let mut last: HashMap<&str, &OrderRecord> = HashMap::new();
    history.orders.iter().find_map(|order| {
        let earlier = last.insert(&order.server, order)?;
        let is_sound = match order.holder == earlier.holder {
            true => order.fence >= earlier.fence,
            false => order.fence > earlier.fence,
        };
        let details = || format!("{order:?} after {earlier:?}");
        (!is_sound).then(|| InvariantViolation::FenceWentBack(details()))
    })
}

/// Checks that no server got a request from a daemon long after it had told this daemon that it
/// leaves, whether or not the daemon reaches the store.
fn check_notices(history: &SoakHistory) -> Option<InvariantViolation> {
    let calls: HashMap<&str, &CallRecord> =
        history.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut told: HashMap<(&str, usize), Instant> = HashMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.is_leaving) {
        let Some(call) = calls.get(arrival.id.as_str()) else {
            continue;
        };
        let key = (arrival.server.as_str(), call.daemon);
        let is_affected = |scope| match scope {
            FaultScope::Daemon(daemon) => daemon == call.daemon,
            FaultScope::ServerConnection(server) => server == number(&arrival.server),
            FaultScope::DaemonLinks(_) => true,
            FaultScope::Servers
            | FaultScope::Store
            | FaultScope::StoreConnection(_)
            | FaultScope::DaemonRestart(_) => false,
        };
        match told.get(&key) {
            Some(told_at) if call.sent_at > *told_at + NOTICE_LIMIT => {
                if !history.had_fault(*told_at, arrival.at, is_affected) {
                    let details = format!("{} got {} from daemon {}", key.0, arrival.id, key.1);
                    return Some(InvariantViolation::SentAfterNotice(details));
                }
            }
            Some(_) => {}
            None => {
                told.insert(key, arrival.at);
            }
        }
    }
    None
}

/// Checks that a server which asked a daemon for quiet got almost nothing from it until the end of
/// the quiet.
fn check_quiet(history: &SoakHistory) -> Option<InvariantViolation> {
    let calls: HashMap<&str, &CallRecord> =
        history.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let sender = |arrival: &ArrivalRecord| Some(calls.get(arrival.id.as_str())?.daemon);
    for asked in history.arrivals.iter().filter(|arrival| arrival.asks_for_quiet) {
        let Some(daemon) = sender(asked) else {
            continue;
        };
        let (from, until) = (asked.at + QUIET_GRACE, asked.at + servers::QUIET_DURATION);
        let is_affected = |scope| match scope {
            FaultScope::Daemon(affected) => affected == daemon,
            FaultScope::ServerConnection(server) => server == number(&asked.server),
            FaultScope::DaemonLinks(_) => true,
            FaultScope::Servers
            | FaultScope::Store
            | FaultScope::StoreConnection(_)
            | FaultScope::DaemonRestart(_) => false,
        };
        if history.had_fault(asked.at, until, is_affected) {
            continue;
        }
        let is_late = |arrival: &&ArrivalRecord| {
            arrival.server == asked.server
                && (from..until).contains(&arrival.at)
                && sender(arrival) == Some(daemon)
        };
        let late = history.arrivals.iter().filter(is_late).count();
        if late > QUIET_REQUEST_LIMIT {
            let details = format!("{} got {late} from daemon {daemon}", asked.server);
            return Some(InvariantViolation::SentDuringQuiet(details));
        }
    }
    None
}

/// Returns the number of the server that has an id.
fn number(id: &str) -> usize {
    let digits = id.trim_start_matches('s').split('-').next();
    digits.and_then(|digits| digits.parse().ok()).expect("ids of servers have their number")
}

/// Checks that no server got far more requests than the limit that it named, from daemons without
/// faults.
fn check_limits(history: &SoakHistory) -> Option<InvariantViolation> {
    let calls: HashMap<&str, &CallRecord> =
        history.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let is_excused = |arrival: &ArrivalRecord| {
        let from = arrival.at.checked_sub(LIMIT_DELAY).unwrap_or(arrival.at);
        history.had_fault(from, arrival.at, |scope| match scope {
            FaultScope::Daemon(daemon) | FaultScope::StoreConnection(daemon) => {
                let call = calls.get(arrival.id.as_str());
                call.is_none_or(|call| may_have_sent(history, call, daemon))
            }
            FaultScope::Store
            | FaultScope::Servers
            | FaultScope::ServerConnection(_)
            | FaultScope::DaemonLinks(_)
            | FaultScope::DaemonRestart(_) => false,
        })
    };
    for (server, limit) in &history.limits {
        let from = limit.since + LIMIT_DELAY;
        let arrivals = history.arrivals.iter().filter(|arrival| {
            arrival.server == *server && arrival.at >= from && !is_excused(arrival)
        });
        let mut times: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
        times.sort_unstable();
        let allowed = 1.5 * limit.per_second * LIMIT_WINDOW.as_secs_f64() + 5.0;
        for (number, start) in times.iter().enumerate() {
            let window = times[number..].iter().take_while(|at| **at < *start + LIMIT_WINDOW);
            let count = window.count();
            if count as f64 > allowed {
                let details = format!("{server} got {count} requests, allowed {allowed}");
                return Some(InvariantViolation::OverLimit(details));
            }
        }
    }
    None
}

/// Returns whether a daemon may have sent a call to a server: the caller's, or any other if that one had
/// lost its links.
fn may_have_sent(history: &SoakHistory, call: &CallRecord, daemon: usize) -> bool {
    let is_cut = |scope| scope == FaultScope::DaemonLinks(call.daemon);
    daemon == call.daemon || history.had_fault(call.sent_at, call.ended_at, is_cut)
}

/// Returns whether a fault may have kept the matching daemons from reading the store.
fn had_store_fault(
    history: &SoakHistory,
    from: Instant,
    until: Instant,
    is_affected: impl Fn(usize) -> bool,
) -> bool {
    history.had_fault(from, until, |scope| match scope {
        FaultScope::Daemon(daemon) | FaultScope::StoreConnection(daemon) => is_affected(daemon),
        FaultScope::Store => true,
        FaultScope::Servers
        | FaultScope::ServerConnection(_)
        | FaultScope::DaemonLinks(_)
        | FaultScope::DaemonRestart(_) => false,
    })
}

/// First tries of callers in one span of a cut.
#[derive(Clone, Copy, Debug, Default)]
struct SpanCount {
    served: usize,
    all: usize,
    other_served: usize,
    other_all: usize,
}

/// Checks that callers of daemons without links to servers are served like those of the others in
/// the same spans.
fn check_links(history: &SoakHistory) -> Option<InvariantViolation> {
    let cuts = || {
        history.fault_intervals.iter().filter_map(|interval| match interval.scope {
            FaultScope::DaemonLinks(daemon) => Some((daemon, interval)),
            _ => None,
        })
    };
    let (_, cut) = cuts().next()?;
    let from = cut.from + CUT_LIMIT;
    let is_disturbed = |call: &CallRecord| {
        let since = call.sent_at.checked_sub(CUT_LIMIT).unwrap_or(call.sent_at);
        let own = [FaultScope::Daemon(call.daemon), FaultScope::DaemonRestart(call.daemon)];
        history.had_fault(since, call.ended_at, |scope| own.contains(&scope))
    };
    let first_tries = history.calls.iter().filter(|call| {
        let is_counted = !call.is_poison && call.resumed.is_none();
        is_counted && (from..cut.until).contains(&call.sent_at) && !is_disturbed(call)
    });
    let mut spans: BTreeMap<u128, SpanCount> = BTreeMap::new();
    let mut unserved: Vec<&CallRecord> = Vec::new();
    for call in first_tries {
        let number = call.sent_at.duration_since(from).as_millis() / COMPARED_SPAN.as_millis();
        let span = spans.entry(number).or_default();
        if !call.is_served() {
            unserved.push(call);
        }
        let (served, all) = if cuts().any(|(daemon, _)| daemon == call.daemon) {
            (&mut span.served, &mut span.all)
        } else {
            (&mut span.other_served, &mut span.other_all)
        };
        *served += usize::from(call.is_served());
        *all += 1;
    }
    spans.retain(|_, span| span.all > 0 && span.other_all > 0);
    let served: usize = spans.values().map(|span| span.served).sum();
    let all: usize = spans.values().map(|span| span.all).sum();
    // Requests that would be served at the shares of the other daemons.
    let expected: f64 = spans
        .values()
        .map(|span| (span.all * span.other_served) as f64 / span.other_all as f64)
        .sum();
    let is_served = 3.0 * served as f64 >= 2.0 * expected || all - served <= 10 + all / 50;
    let details = || {
        let unserved: String = unserved.iter().map(|call| describe_unserved(call, from)).collect();
        format!(
            "{served} of {all}, {expected:.0} at the shares of the other daemons: {spans:?}\n{unserved}"
        )
    };
    (!is_served).then(|| InvariantViolation::CutCallers(details()))
}

/// Returns a line on a call that wasn't served: when it was sent after the start of the comparison,
/// how long it took, and the response.
fn describe_unserved(call: &CallRecord, from: Instant) -> String {
    let sent = call.sent_at.duration_since(from).as_millis();
    let took = (call.ended_at - call.sent_at).as_millis();
    let CallRecord { id, kind, daemon, answer, .. } = call;
    format!("  {id} ({kind}, daemon {daemon}) at {sent} ms, ended after {took} ms: {answer:?}\n")
}

/// Checks that requests are served again after the recovery limit.
fn check_recovery(history: &SoakHistory) -> Option<InvariantViolation> {
    let since = history.faults_cleared_at? + RECOVERY_LIMIT;
    let after: Vec<&CallRecord> =
        history.calls.iter().filter(|call| call.sent_at >= since && !call.is_poison).collect();
    let served = after.iter().filter(|call| call.is_served()).count();
    let is_recovered = !after.is_empty() && served as f64 >= after.len() as f64 * RECOVERED_SHARE;
    let slowest = after.iter().map(|call| call.ended_at - call.sent_at).max();
    let details = || {
        format!(
            "{served} of {} requests were served; \
             the slowest took {slowest:?} of a timeout of {RESPONSE_TIMEOUT:?}",
            after.len()
        )
    };
    (!is_recovered).then(|| InvariantViolation::NotRecovered(details()))
}
