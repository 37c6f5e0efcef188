//! A link between two processes that a test can cut or freeze.

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

use crate::process;

/// Most bytes that pass in one step.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which the link looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// Says what a link does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyState {
    /// Bytes pass both ways.
    Forwarding,
    /// Connections are closed, and new ones are refused.
    Closed,
    /// Connections stay open and new ones are taken, but nothing passes.
    Stalled,
    /// As frozen, but only what the target sends back doesn't pass.
    ResponsesStalled,
    /// Bytes pass both ways, each step this much later.
    Delayed(Duration),
}

/// The way that bytes take through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkWay {
    There,
    Back,
}

impl ProxyState {
    fn holds(self, way: LinkWay) -> bool {
        match self {
            Self::Forwarding | Self::Closed | Self::Delayed(_) => false,
            Self::Stalled => true,
            Self::ResponsesStalled => way == LinkWay::Back,
        }
    }
}

/// Forwards bytes to one address; ends with its handle.
#[derive(Debug)]
pub struct TestProxy {
    /// Address to connect to instead of the target's.
    pub address: String,
    shared: Arc<LinkShared>,
}

#[derive(Debug)]
struct LinkShared {
    target: String,
    state: Mutex<ProxyState>,
    changed: Condvar,
    ended: AtomicBool,
    next: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl TestProxy {
    /// Opens a link to an address.
    pub fn start(target: &str) -> Self {
        let socket = process::bind_unused_address();
        let address = socket.local_addr().expect("an address").to_string();
        let shared = Arc::new(LinkShared {
            target: target.to_owned(),
            state: Mutex::new(ProxyState::Forwarding),
            changed: Condvar::new(),
            ended: AtomicBool::new(false),
            next: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let (accepting, listen) = (Arc::clone(&shared), address.clone());
        thread::spawn(move || accepting.accept_forever(&listen, Some(socket)));
        Self { address, shared }
    }

    /// Sets what the link does from now on.
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

impl LinkShared {
    fn state(&self) -> ProxyState {
        *self.state.lock().expect("no panic under this lock")
    }

    fn close_all(&self) {
        let mut connections = self.connections.lock().expect("no panic under this lock");
        for (_, stream) in connections.drain() {
            close(&stream);
        }
    }

    /// Takes connections while the link isn't cut; a cut link doesn't listen.
    fn accept_forever(self: Arc<Self>, listen: &str, mut socket: Option<TcpListener>) {
        while !self.ended.load(Ordering::SeqCst) {
            if self.state() == ProxyState::Closed {
                socket = None;
            } else if let Some(socket) = socket.as_ref() {
                socket.set_nonblocking(true).expect("a socket that doesn't block");
                while let Ok((stream, _)) = socket.accept() {
                    let link = Arc::clone(&self);
                    thread::spawn(move || link.carry(stream));
                }
            } else {
                socket = TcpListener::bind(listen).ok();
            }
            thread::sleep(ACCEPT_INTERVAL);
        }
    }

    fn carry(self: Arc<Self>, near: TcpStream) {
        let _ = near.set_nonblocking(false);
        self.wait_passable(LinkWay::There);
        let Ok(far) = TcpStream::connect(&self.target) else { return close(&near) };
        let kept = [&near, &far].map(|stream| self.keep(stream));
        if self.state() == ProxyState::Closed {
            return self.close_all();
        }
        let (Ok(from), Ok(to)) = (near.try_clone(), far.try_clone()) else { return };
        let link = Arc::clone(&self);
        let back = thread::spawn(move || link.pass(&to, &from, LinkWay::Back));
        self.pass(&near, &far, LinkWay::There);
        let _ = back.join();
        let mut connections = self.connections.lock().expect("no panic under this lock");
        connections.retain(|id, _| !kept.contains(id));
    }

    /// Keeps a handle of a connection, for a cut.
    fn keep(&self, stream: &TcpStream) -> u64 {
        let _ = stream.set_nodelay(true);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let kept = stream.try_clone().expect("a second handle of a connection");
        self.connections.lock().expect("no panic under this lock").insert(id, kept);
        id
    }

    /// Passes bytes one way until an end closes.
    fn pass(&self, mut from: &TcpStream, mut to: &TcpStream, way: LinkWay) {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(read) = from.read(&mut chunk) {
            // Bytes that came in a freeze wait, and so does a close.
            self.wait_passable(way);
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn wait_passable(&self, way: LinkWay) {
        let state = self.state.lock().expect("no panic under this lock");
        let is_held = |state: &mut ProxyState| state.holds(way);
        let state = *self.changed.wait_while(state, is_held).expect("no panic under this lock");
        if let ProxyState::Delayed(span) = state {
            thread::sleep(span);
        }
    }
}

/// Closes a connection both ways.
fn close(stream: &TcpStream) {
    let _: io::Result<()> = stream.shutdown(Shutdown::Both);
}
