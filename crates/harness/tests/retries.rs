//! Retries stay within the retry budget while all servers of a service fail.

use gooseberry_harness::{
    calls::TestCall,
    system::{self, SystemOptions, TestServer, TestSystem, ACCOUNT_KEY},
};
use gooseberry_standins::plain::{PlainCounts, PlainFaults};
use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};
use http_types::Method;

/// Requests that are sent while no server responds.
const REQUESTS: u64 = 400;
/// Most attempts per request, on average.
const MAX_AMPLIFICATION: f64 = 1.1;

fn attempts(servers: &[TestServer]) -> u64 {
    servers.iter().map(|server| server.counts::<PlainCounts>().unkeyed).sum()
}

/// Guards against a retry storm: when every server of a plain service drops its
/// responses, retries must not multiply the load.
#[test]
fn retries_do_not_amplify_the_failure_of_a_plain_service() {
    let system = TestSystem::start(SystemOptions { plain_servers: 3, ..SystemOptions::default() });
    let dropping = PlainFaults { lose_answers: u32::MAX, ..system::no_plain_faults() };
    for server in &system.plain_servers {
        server.set_faults(&dropping);
    }
    let before = attempts(&system.plain_servers);
    let call = TestCall::new(Method::Get, &system.daemons[0].address, "/booking/availability");
    let call = call.account_key(ACCOUNT_KEY);
    let mut last = None;
    for _ in 0..REQUESTS {
        last = Some(call.send().expect("a final response"));
    }
    let sent = (attempts(&system.plain_servers) - before) as f64;
    let amplification = sent / REQUESTS as f64;
    assert!(amplification <= MAX_AMPLIFICATION, "{amplification} attempts per request");
    let last = last.expect("a response");
    let document: ProblemDocument = last.json();
    assert_eq!(document.type_, "urn:gooseberrykeel:retry-budget-spent");
    assert_eq!((last.status, document.executed), (503, RequestExecuted::Unknown));
    assert!(last.retry_after.is_some());
}
