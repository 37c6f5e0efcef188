//! Completions, chats, plain calls, refusals and the shutdown of a daemon, through
//! all programs.

use async_std::task;
use gooseberry_harness::{
    calls::TestCall,
    process,
    system::{self, SystemOptions, TestSystem, ACCOUNT_KEY},
};
use gooseberry_standins::token;
use gooseberry_wire::{
    engine::{ChatResponse, CompletionResponse},
    problem::{ProblemDocument, RequestExecuted},
};
use http_types::Method;

#[test]
fn a_completion_is_complete() {
    let system = TestSystem::start(SystemOptions::default());
    let answer = system::completion_call(&system.daemons[0].address, "one two three", 20).send();
    let answer: CompletionResponse = answer.expect("a response").json();
    assert_eq!(answer.choices[0].text, token::expected_text("one two three", 20));
    assert_eq!(answer.usage.completion_tokens, 20);
}

#[test]
fn a_chat_response_is_complete() {
    let system = TestSystem::start(SystemOptions::default());
    let body = serde_json::json!({
        "model": "assistant", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 5,
    });
    let call = TestCall::new(Method::Post, &system.daemons[0].address, "/v1/chat/completions");
    let answer = call.account_key(ACCOUNT_KEY).json(&body).send().expect("a response");
    let answer: ChatResponse = answer.json();
    let message = answer.choices[0].message.as_ref().expect("a message");
    assert_eq!(message.content, token::expected_text("user: hello\nassistant:", 5));
}

#[test]
fn a_reservation_with_the_same_key_is_executed_once() {
    let system = TestSystem::start(SystemOptions { daemons: 2, ..SystemOptions::default() });
    for daemon in &system.daemons {
        let answer = system::reservation_call(&daemon.address, "key-1").send().expect("a response");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(system::execution_count(&system, "key-1"), 1);
}

#[test]
fn a_reservation_without_a_key_is_refused() {
    let system = TestSystem::start(SystemOptions::default());
    let call = TestCall::new(Method::Post, &system.daemons[0].address, "/booking/reservations");
    let answer = call.account_key(ACCOUNT_KEY).body("one drill").send().expect("a response");
    let document: ProblemDocument = answer.json();
    assert_eq!((answer.status, document.executed), (400, RequestExecuted::No));
}

#[test]
fn a_terminated_daemon_finishes_running_requests_and_exits_with_0() {
    let mut system = TestSystem::start(SystemOptions::default());
    let routed = |system: &TestSystem| system.daemons[0].process.log().matches("routed").count();
    let before = routed(&system);
    let call = system::completion_call(&system.daemons[0].address, "a long one", 400);
    let running = task::spawn(async move { call.send_async().await });
    process::wait_until("the request runs", || routed(&system) > before);
    system.daemons[0].process.terminate();
    process::wait_until("the daemon stops", || {
        system.daemons[0].process.log().contains("\"stopping\"")
    });
    let refused = system::completion_call(&system.daemons[0].address, "late", 1).send();
    let answer: CompletionResponse = task::block_on(running).expect("a complete response").json();
    assert_eq!(answer.choices[0].text, token::expected_text("a long one", 400));
    assert!(system.daemons[0].process.wait().success());
    if let Ok(refused) = refused {
        assert_eq!(refused.status, 503);
        assert!(refused.retry_after.is_some());
    }
}
