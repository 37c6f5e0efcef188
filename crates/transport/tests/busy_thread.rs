//! Connections that are opened while the runtime's only thread is busy, as that of a gateway may be.

use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use async_std::task;
use gooseberry_transport::client::{ClientConnection, SendError};

/// Time limit of a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(50);
/// Time for which other tasks keep the thread.
const BUSY_DURATION: Duration = Duration::from_millis(150);
const ATTEMPTS: u32 = 20;

/// Connects while another task keeps the thread beyond the time limit.
fn connect_beside_work(address: SocketAddr) -> Result<(), SendError> {
    task::block_on(async move {
        let connect = task::spawn(ClientConnection::connect(address, CONNECT_LIMIT));
        let work = task::spawn(async { thread::sleep(BUSY_DURATION) });
        let connected = connect.await;
        work.await;
        connected.map(drop)
    })
}

// Guards against a sound server that counts as unreachable because the daemon itself was busy.
#[test]
fn a_connection_that_opens_while_the_thread_is_busy_is_not_timed_out() {
    // The runtime reads it when it starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let refused: Vec<_> =
        (0..ATTEMPTS).filter_map(|_| connect_beside_work(address).err()).collect();
    assert!(refused.is_empty(), "{} of {ATTEMPTS}: {}", refused.len(), refused[0]);
}
