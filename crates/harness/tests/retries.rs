//! Retries under a brown-out stay within their share.

use gooseberry_harness::{
    calls::TestCall,
    system::{self, SystemOptions, TestServer, TestSystem, ACCOUNT_KEY},
};
use gooseberry_standins::plain::{PlainCounts, PlainFaults};
use gooseberry_wire::problem::{ProblemDocument, RequestExecuted};
use http_types::Method;

/// Requests sent while no server gives an answer.
const REQUESTS: u64 = 400;
/// Most attempts for each request.
const AMPLIFICATION_LIMIT: f64 = 1.1;

fn attempts(servers: &[TestServer]) -> u64 {
    servers.iter().map(|server| server.counts::<PlainCounts>().unkeyed).sum()
}

#[test]
fn a_brown_out_of_a_plain_service_is_not_amplified() {
    let system = TestSystem::start(SystemOptions { plain_servers: 3, ..SystemOptions::default() });
    let losing = PlainFaults { lose_answers: u32::MAX, ..system::no_plain_faults() };
    for server in &system.plain_servers {
        server.set_faults(&losing);
    }
    let before = attempts(&system.plain_servers);
    let call = TestCall::new(Method::Get, &system.daemons[0].address, "/booking/availability");
    let call = call.account_key(ACCOUNT_KEY);
    let mut last = None;
    for _ in 0..REQUESTS {
        last = Some(call.send().expect("a final answer"));
    }
    let made = (attempts(&system.plain_servers) - before) as f64;
    let amplification = made / REQUESTS as f64;
    assert!(amplification <= AMPLIFICATION_LIMIT, "{amplification} attempts for each request");
    let last = last.expect("an answer");
    let document: ProblemDocument = last.json();
    assert_eq!(document.type_, "urn:gooseberrykeel:retry-budget-spent");
    assert_eq!((last.status, document.executed), (503, RequestExecuted::Unknown));
    assert!(last.retry_after.is_some());
}
