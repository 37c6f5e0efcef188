//! Compares the latency of calls through a daemon with that of direct calls.

use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future;
use gooseberry_edges::{
    clock::Clock,
    http::{ConnectionUse, HttpCall, HttpClient},
};
use gooseberry_harness::system::{TestSystem, ACCOUNT_KEY};
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Measures direct calls and calls through the daemon, and prints percentiles.
///
/// # Errors
///
/// Returns an error if a request fails.
pub fn measure(system: &TestSystem, rate: u32, seconds: u32) -> anyhow::Result<()> {
    let direct = &system.plain_servers[0].address;
    let daemon = &system.daemons[0].address;
    let url = |address: &str, path: &str| Url::parse(&format!("http://{address}{path}"));
    let (path, prefixed) = ("/availability", "/booking/availability");
    let client = HttpClient::new(Clock::system());
    println!(
        "{rate} calls per second for {seconds} s each way, idempotent calls of a plain service"
    );
    // Direct calls alternate with calls through the daemon, so that other load on
    // the machine affects both alike.
    let mut histograms =
        [Histogram::new_with_max(MAX_LATENCY_US, 3)?, Histogram::new_with_max(MAX_LATENCY_US, 3)?];
    for _ in 0..seconds {
        task::block_on(run_second(&client, direct, url(direct, path)?, rate, &mut histograms[0]))?;
        task::block_on(run_second(
            &client,
            daemon,
            url(daemon, prefixed)?,
            rate,
            &mut histograms[1],
        ))?;
    }
    for quantile in [0.5, 0.9, 0.99] {
        let [direct, through] = histograms.each_ref().map(|it| it.value_at_quantile(quantile));
        let added = through as f64 / 1000.0 - direct as f64 / 1000.0;
        println!(
            "p{:<4} direct {direct:>6} us  through the daemon {through:>6} us  added {added:.3} ms",
            quantile * 100.0
        );
    }
    Ok(())
}

/// Sends the calls of one second at even intervals and records their latencies.
async fn run_second(
    client: &HttpClient,
    address: &str,
    url: Url,
    rate: u32,
    histogram: &mut Histogram<u64>,
) -> anyhow::Result<()> {
    let started = Instant::now();
    let calls = (0..rate).map(|index| {
        let mut head = Request::new(Method::Get, url.clone());
        head.insert_header("authorization", format!("Bearer {ACCOUNT_KEY}"));
        let call = HttpCall::new(head);
        let client = client.clone();
        let address = address.to_owned();
        let due = Duration::from_secs(1) * index / rate;
        task::spawn(async move {
            task::sleep(due.saturating_sub(started.elapsed())).await;
            let sent = Instant::now();
            let answer =
                client.send(&address, &call, ConnectionUse::Pooled, RESPONSE_TIMEOUT).await?;
            let status = answer.status();
            answer.into_bytes(RESPONSE_TIMEOUT).await?;
            anyhow::ensure!(status.is_success(), "status {status}");
            Ok(sent.elapsed())
        })
    });
    for result in future::join_all(calls).await {
        histogram.record(result?.as_micros() as u64)?;
    }
    Ok(())
}
