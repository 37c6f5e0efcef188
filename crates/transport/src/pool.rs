//! Idle connections, kept for the next request to the same address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::client::ClientConnection;

/// Idle connections kept for one address.
const KEPT_FOR_ADDRESS: usize = 8;
/// Longest idle time of a kept connection where the other end states none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of the stated idle time that is used, so that a close by the other end
/// doesn't cross a request.
const IDLE_SHARE: f64 = 0.5;

/// Keeps idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ClientConnection>>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if one is fit for use.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| is_fit(connection, now));
        connections.pop()
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, mut connection: ClientConnection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < KEPT_FOR_ADDRESS {
            connections.push(connection);
        }
    }

    /// Closes what has been idle for too long.
    pub fn prune(&self, now: Instant) {
        self.idle.lock().retain(|_, connections| {
            connections.retain(|connection| is_fit(connection, now));
            !connections.is_empty()
        });
    }
}

fn is_fit(connection: &ClientConnection, now: Instant) -> bool {
    let limit = connection.idle_limit.map_or(DEFAULT_IDLE_LIMIT, |limit| limit.mul_f64(IDLE_SHARE));
    connection.is_open() && now.saturating_duration_since(connection.idle_since) < limit
}
