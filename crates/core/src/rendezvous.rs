//! Rendezvous hashing, which assigns a key to one of several daemons.

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Returns the weight of a daemon for a key. The key is assigned to the daemon with the
/// greatest weight.
///
/// The name breaks ties, so the order is the same on all daemons.
pub fn weight<'a>(daemon: &'a str, key: &str) -> (u64, &'a str) {
    (xxh3::xxh3_64_with_seed(daemon.as_bytes(), xxh3::xxh3_64(key.as_bytes())), daemon)
}

/// Returns the daemon that a key is assigned to.
pub fn choose<'a>(daemons: &'a [SmolStr], key: &str) -> Option<&'a SmolStr> {
    daemons.iter().max_by_key(|daemon| weight(daemon, key))
}
