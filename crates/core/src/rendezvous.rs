//! Rendezvous hashing: which of several daemons takes a key.

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Weighs a daemon for a key; the one of the greatest weight takes the key.
///
/// The name breaks ties, so that the order is the same everywhere.
pub fn weight<'a>(daemon: &'a str, key: &str) -> (u64, &'a str) {
    (xxh3::xxh3_64_with_seed(daemon.as_bytes(), xxh3::xxh3_64(key.as_bytes())), daemon)
}

/// Returns the daemon that takes a key.
pub fn choose<'a>(daemons: &'a [SmolStr], key: &str) -> Option<&'a SmolStr> {
    daemons.iter().max_by_key(|daemon| weight(daemon, key))
}
