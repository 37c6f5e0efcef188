//! TCP proxy between two processes, which injects connection faults.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::Duration,
};

use crate::net;

/// Most bytes that are forwarded in one step.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which the proxy polls for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// Defines what a proxy does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyState {
    /// Bytes are forwarded in both directions.
    Forwarding,
    /// Connections are closed, and new ones are refused.
    Closed,
    /// Open connections go on, and new ones are refused.
    RefusingNew,
    /// Open connections stay open but nothing is forwarded, and attempts to connect hang.
    Unreachable,
    /// Connections stay open and new ones are accepted, but nothing is forwarded.
    Stalled,
    /// Requests are forwarded, but the bytes that the target sends are not.
    ResponsesStalled,
    /// Bytes are forwarded in both directions, each step after this delay.
    Delayed(Duration),
}

/// Direction of the bytes that a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyDirection {
    ToTarget,
    FromTarget,
}

impl ProxyState {
    fn blocks(self, direction: ProxyDirection) -> bool {
        match self {
            Self::Forwarding | Self::Closed | Self::RefusingNew | Self::Delayed(_) => false,
            Self::Stalled | Self::Unreachable => true,
            Self::ResponsesStalled => direction == ProxyDirection::FromTarget,
        }
    }
}

/// Forwards connections to one address until the handle is dropped.
#[derive(Debug)]
pub struct TestProxy {
    /// Address that clients connect to instead of the target's.
    pub address: String,
    shared: Arc<ProxyShared>,
}

#[derive(Debug)]
struct ProxyShared {
    target: String,
    state: Mutex<ProxyState>,
    changed: Condvar,
    ended: AtomicBool,
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl TestProxy {
    /// Starts a proxy that forwards to an address.
    pub fn start(target: &str) -> Self {
        let listener = net::bind_unused_address();
        let address = listener.local_addr().expect("an address").to_string();
        let shared = Arc::new(ProxyShared {
            target: target.to_owned(),
            state: Mutex::new(ProxyState::Forwarding),
            changed: Condvar::new(),
            ended: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let (accepting, listen) = (Arc::clone(&shared), address.clone());
        thread::spawn(move || accepting.accept_connections(&listen, Some(listener)));
        Self { address, shared }
    }

    /// Changes the state, which applies to open connections too.
    pub fn set_state(&self, state: ProxyState) {
        *self.shared.state.lock().expect("no panic under this lock") = state;
        self.shared.changed.notify_all();
        if state == ProxyState::Closed {
            self.shared.close_all();
        }
    }
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        self.set_state(ProxyState::Closed);
    }
}

impl ProxyShared {
    fn state(&self) -> ProxyState {
        *self.state.lock().expect("no panic under this lock")
    }

    fn close_all(&self) {
        let mut connections = self.connections.lock().expect("no panic under this lock");
        for (_, stream) in connections.drain() {
            close(&stream);
        }
    }

    /// Accepts connections until the proxy is dropped. It doesn't listen while the
    /// proxy is closed, so that new connections are refused.
    fn accept_connections(self: Arc<Self>, listen: &str, mut listener: Option<TcpListener>) {
        let mut fillers = Vec::new();
        while !self.ended.load(Ordering::SeqCst) {
            let state = self.state();
            if state != ProxyState::Unreachable && !fillers.is_empty() {
                fillers.clear();
                listener = None;
            }
            if matches!(state, ProxyState::Closed | ProxyState::RefusingNew) {
                listener = None;
            } else if state == ProxyState::Unreachable {
                if fillers.is_empty() {
                    fillers = listener.as_ref().map(fill_queue).unwrap_or_default();
                }
            } else if let Some(listener) = listener.as_ref() {
                listener.set_nonblocking(true).expect("a listener that doesn't block");
                while let Ok((stream, _)) = listener.accept() {
                    let proxy = Arc::clone(&self);
                    thread::spawn(move || proxy.forward_connection(stream));
                }
            } else {
                listener = TcpListener::bind(listen).ok();
            }
            thread::sleep(ACCEPT_INTERVAL);
        }
    }

    fn forward_connection(self: Arc<Self>, client: TcpStream) {
        let _ = client.set_nonblocking(false);
        self.wait_while_blocked(ProxyDirection::ToTarget);
        let Ok(target) = TcpStream::connect(&self.target) else { return close(&client) };
        let ids = [&client, &target].map(|stream| self.register(stream));
        if self.state() == ProxyState::Closed {
            return self.close_all();
        }
        let (Ok(from), Ok(to)) = (client.try_clone(), target.try_clone()) else { return };
        let proxy = Arc::clone(&self);
        let responses =
            thread::spawn(move || proxy.forward_bytes(&to, &from, ProxyDirection::FromTarget));
        self.forward_bytes(&client, &target, ProxyDirection::ToTarget);
        let _ = responses.join();
        let mut connections = self.connections.lock().expect("no panic under this lock");
        connections.retain(|id, _| !ids.contains(id));
    }

    /// Stores a handle of a connection, so that [`Self::close_all`] can close it.
    fn register(&self, stream: &TcpStream) -> u64 {
        let _ = stream.set_nodelay(true);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let handle = stream.try_clone().expect("a second handle of a connection");
        self.connections.lock().expect("no panic under this lock").insert(id, handle);
        id
    }

    /// Forwards bytes in one direction until one of the connections closes.
    fn forward_bytes(&self, mut from: &TcpStream, mut to: &TcpStream, direction: ProxyDirection) {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(read) = from.read(&mut chunk) {
            // Bytes that were received while the proxy is stalled are forwarded
            // later, and so is the end of the stream.
            self.wait_while_blocked(direction);
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn wait_while_blocked(&self, direction: ProxyDirection) {
        let state = self.state.lock().expect("no panic under this lock");
        let is_blocked = |state: &mut ProxyState| state.blocks(direction);
        let state = *self.changed.wait_while(state, is_blocked).expect("no panic under this lock");
        if let ProxyState::Delayed(delay) = state {
            thread::sleep(delay);
        }
    }
}

/// Fills the queue of new connections, so that attempts to connect hang. Returns what fills it.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    rustix::net::listen(listener, 0).expect("the queue can be shortened");
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(20));
    std::iter::from_fn(|| connect().ok()).collect()
}

/// Shuts down a connection in both directions.
fn close(stream: &TcpStream) {
    let _: io::Result<()> = stream.shutdown(Shutdown::Both);
}
