//! Measures the CPU time of a daemon for each token that it forwards.

use std::{
    fs,
    time::{Duration, Instant},
};

use anyhow::Context;
use async_std::task;
use futures_util::future;
use gooseberry_harness::system::{self, TestSystem};

/// JSON field that every token event has, which is counted to count tokens.
const TOKEN_FIELD: &[u8] = b"\"position\":";
/// Deadline that is late enough for admission to accept long responses.
const LONG_DEADLINE: Duration = Duration::from_secs(3600);

/// Runs concurrent streams and prints the tokens for each CPU second.
///
/// # Errors
///
/// Returns an error if a stream fails, tokens are missing, or the CPU time of the
/// daemon can't be read.
pub fn measure(system: &TestSystem, streams: u32, tokens: u32) -> anyhow::Result<()> {
    let daemon = &system.daemons[0];
    let before = cpu_time(daemon.process.id())?;
    let started = Instant::now();
    let calls = (0..streams).map(|index| {
        let call = system::stream_call(&daemon.address, &format!("stream {index}"), tokens)
            .header("request-deadline", &system::deadline_in(LONG_DEADLINE));
        task::spawn(async move { call.send_async().await })
    });
    let answers = task::block_on(future::join_all(calls));
    let elapsed = started.elapsed();
    let used = cpu_time(daemon.process.id())? - before;
    let mut forwarded = 0;
    for answer in answers {
        let body = answer?.body;
        forwarded += body.windows(TOKEN_FIELD.len()).filter(|it| *it == TOKEN_FIELD).count();
    }
    anyhow::ensure!(
        forwarded as u64 == u64::from(streams) * u64::from(tokens),
        "tokens are missing"
    );
    println!("{streams} concurrent streams of {tokens} tokens");
    println!(
        "{forwarded} tokens in {:.2} s, {:.0} per second; the daemon used {:.2} s of CPU time",
        elapsed.as_secs_f64(),
        forwarded as f64 / elapsed.as_secs_f64(),
        used.as_secs_f64()
    );
    println!(
        "{:.0} tokens per second of CPU time, {:.2} us per token",
        forwarded as f64 / used.as_secs_f64(),
        used.as_secs_f64() * 1e6 / forwarded as f64
    );
    Ok(())
}

/// Reads the user and system CPU time that a process has used.
fn cpu_time(process: u32) -> anyhow::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program may contain spaces. The other fields follow its
    // closing parenthesis.
    let (_, fields) =
        stat.rsplit_once(") ").context("no program name in the process's stat file")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let seconds = ticks as f64 / rustix::param::clock_ticks_per_second() as f64;
    Ok(Duration::from_secs_f64(seconds))
}
