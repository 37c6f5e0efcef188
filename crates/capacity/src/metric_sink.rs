//! Receives the metrics of the daemons and sums one of their counters.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
};

/// Largest datagram that is received.
const DATAGRAM_BYTES: usize = 65_536;

/// Receives metrics over UDP and sums one counter.
pub struct MetricSink {
    address: SocketAddr,
    sum: Arc<AtomicU64>,
}

impl MetricSink {
    /// Binds a loopback port and receives metrics until the process exits.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start(counter: &'static str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
        let address = socket.local_addr().expect("a bound address");
        let sum = Arc::new(AtomicU64::new(0));
        let receiver = Arc::clone(&sum);
        thread::spawn(move || receive(&socket, counter, &receiver));
        Self { address, sum }
    }

    /// Returns the address to send metrics to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current sum of the counter.
    pub fn sum(&self) -> u64 {
        self.sum.load(Ordering::Relaxed)
    }
}

fn receive(socket: &UdpSocket, counter: &str, sum: &AtomicU64) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    while let Ok(length) = socket.recv(&mut datagram) {
        let text = String::from_utf8_lossy(&datagram[..length]);
        for line in text.lines() {
            sum.fetch_add(counter_value(line, counter).unwrap_or(0), Ordering::Relaxed);
        }
    }
}

fn counter_value(line: &str, counter: &str) -> Option<u64> {
    let (name, value) = line.split_once(':')?;
    if !name.ends_with(counter) {
        return None;
    }
    value.strip_suffix("|c")?.parse().ok()
}
