//! The gateway with stand-ins of the platform, on loopback.

mod broken_engines;
mod crashing_engine;
mod cut_daemons;
mod endless;
mod format_one;
mod formats;
mod framing;
mod leaving;
mod limit_world;
mod news;
mod odd_entries;
mod outages;
mod pace;
mod plain_crashes;
mod poison_parts;
mod poison_world;
mod promises;
mod quiet;
mod repeated_refusals;
mod restored_store;
mod server_limits;
mod shutdown;
mod support;
mod truncation;
mod versions;
