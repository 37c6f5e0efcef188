//! A pool of idle connections, reused for later requests to the same address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::client::ClientConnection;

/// Idle timeout of a pooled connection whose server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the stated idle timeout that is used, so that no request is sent
/// just as the server closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Idle connections by server address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ClientConnection>>>,
}

impl ConnectionPool {
    /// Returns the most recently used connection that is still usable, if any.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| is_usable(connection, now));
        connections.pop()
    }

    /// Returns a connection to the pool. Its last response must have been read
    /// to the end. The connection is closed if there are `limit` idle ones to its
    /// address.
    pub fn put(&self, mut connection: ClientConnection, limit: usize, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < limit {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address.
    pub fn remove(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Closes the connections that are closed by the server or idle for too long.
    pub fn prune(&self, now: Instant) {
        self.idle.lock().retain(|_, connections| {
            connections.retain(|connection| is_usable(connection, now));
            !connections.is_empty()
        });
    }
}

fn is_usable(connection: &ClientConnection, now: Instant) -> bool {
    let limit = connection
        .idle_limit
        .map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit.mul_f64(IDLE_TIMEOUT_FRACTION));
    connection.is_open() && now.saturating_duration_since(connection.idle_since) < limit
}
