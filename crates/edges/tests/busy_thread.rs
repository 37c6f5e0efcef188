//! Calls of the product's own client while the runtime's only thread is busy.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use async_std::task;
use gooseberry_edges::{
    clock::Clock,
    http::{self, ConnectionUse, HttpCall, HttpClient, HttpError},
};
use http_types::{Method, Request, Url};

/// Time limit of the call.
const LIMIT: Duration = Duration::from_secs(20);
const ATTEMPTS: u32 = 3;

/// Sends a request while another task keeps the thread beyond the time limit of its connection.
fn call_beside_work(address: String) -> Result<(), HttpError> {
    task::block_on(async move {
        let call = task::spawn(async move {
            let url = Url::parse(&format!("http://{address}/x")).expect("a URL");
            let call = HttpCall::new(Request::new(Method::Get, url));
            let client = HttpClient::new(Clock::system());
            client.send(&address, &call, ConnectionUse::New, LIMIT).await.map(drop)
        });
        let busy = http::CONNECT_TIMEOUT + Duration::from_millis(100);
        let work = task::spawn(async move { thread::sleep(busy) });
        let called = call.await;
        work.await;
        called
    })
}

// Guards against a sound server that counts as unreachable because the daemon itself was busy.
#[test]
fn a_call_whose_connection_opens_while_the_thread_is_busy_is_answered() {
    // The runtime reads it when it starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    });
    for attempt in 0..ATTEMPTS {
        let called = call_beside_work(address.clone());
        assert!(called.is_ok(), "call {attempt}: {}", called.expect_err("a failure"));
    }
}
