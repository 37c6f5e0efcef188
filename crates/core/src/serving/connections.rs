//! How many idle connections a daemon keeps to each server.
//!
//! A server accepts a number of connections from all daemons together and resets those beyond it, so in
//! a large fleet idle ones would take the place of those with requests.

/// Share of a server's connections that may be idle.
const IDLE_SHARE: f64 = 0.5;
/// Most idle connections to a server that a daemon has a use for.
const MAX_IDLE: usize = 8;

/// Returns the number of idle connections that a daemon may keep to a server which accepts
/// `max_connections` from all daemons.
pub fn idle_limit(max_connections: u32, daemons: u32) -> usize {
    let share = f64::from(max_connections) * IDLE_SHARE / f64::from(daemons.max(1));
    (share as usize).clamp(1, MAX_IDLE)
}
