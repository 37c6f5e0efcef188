//! Loopback addresses that nothing listens at.

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Second octet of the lowest loopback address that tests listen at.
const FIRST_NETWORK: u8 = 64;
/// Bits of the process id that go to the second octet of the address.
const NETWORK_MASK: u8 = FIRST_NETWORK - 1;
/// First port that tests listen at.
const FIRST_PORT: u16 = 10_000;
/// Port of the next address that is returned.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns a loopback address that nothing listens at, a new one each time.
///
/// The host is derived from the process id and the ports are counted up. So
/// neither an outgoing connection (from 127.0.0.1) nor another test uses the
/// address, and no address has to be bound to find out that it is unused.
///
/// # Panics
///
/// Panics if all ports have been returned.
pub fn unused_address() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_NETWORK | (high & NETWORK_MASK), middle, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port >= FIRST_PORT, "no unused port is left in this test process");
    format!("{host}:{port}")
}

/// Returns a listener bound to an [`unused_address`].
///
/// # Panics
///
/// Panics if the address can't be bound.
pub fn bind_unused_address() -> TcpListener {
    TcpListener::bind(unused_address()).expect("an address that no other process uses")
}
