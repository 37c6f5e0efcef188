//! Sends the requests of a trace at their recorded times.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use async_std::task;
use gooseberry_edges::{clock::Clock, http::HttpClient};
use gooseberry_wire::trace::TraceEntry;

use crate::{outcome::CallerResult, request::CallerRequest, statistics::CallerStatistics};

/// Daemons, account keys and speed of a replay.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    daemons: Vec<String>,
    keys: HashMap<String, String>,
    speed: f64,
}

impl CallerOptions {
    /// Makes options from account keys of the form `NAME=KEY`.
    ///
    /// # Errors
    ///
    /// Returns an error if a key doesn't have this form or the speed isn't positive.
    pub fn new(daemons: Vec<String>, keys: &[String], speed: f64) -> anyhow::Result<Self> {
        anyhow::ensure!(speed > 0.0, "the speed factor must be above 0");
        let keys = keys.iter().map(|pair| {
            let (name, key) =
                pair.split_once('=').context("an account key must have the form NAME=KEY")?;
            Ok((name.to_owned(), key.to_owned()))
        });
        Ok(Self { daemons, keys: keys.collect::<anyhow::Result<_>>()?, speed })
    }
}

/// Replays a trace and returns the statistics of its requests.
pub async fn run(options: CallerOptions, entries: Vec<TraceEntry>) -> CallerStatistics {
    let options = Arc::new(options);
    let client = HttpClient::new(Clock::system());
    let start = Instant::now();
    let mut running = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        let due = Duration::from_millis(entry.at_ms).div_f64(options.speed);
        task::sleep(due.saturating_sub(start.elapsed())).await;
        let (options, client) = (Arc::clone(&options), client.clone());
        running.push(task::spawn(async move { send(&options, &client, entry, index).await }));
    }
    let mut statistics = CallerStatistics::new(running.len() as u64);
    for request in running {
        statistics.add(&request.await);
    }
    statistics.set_duration(start.elapsed());
    statistics
}

async fn send(
    options: &CallerOptions,
    client: &HttpClient,
    entry: TraceEntry,
    index: usize,
) -> CallerResult {
    let daemon = &options.daemons[index % options.daemons.len()];
    let key = options.keys.get(&entry.caller).map_or("", String::as_str);
    CallerRequest { client, daemon, key, entry: &entry, index }.run().await
}
