//! Processor time of a daemon for each token that it forwards.

use std::{
    fs,
    time::{Duration, Instant},
};

use anyhow::Context;
use async_std::task;
use futures_util::future;
use gooseberry_harness::system::{self, TestSystem};

/// Event that ends a whole stream, and the fields that show a token.
const TOKEN_FIELD: &[u8] = b"\"position\":";
/// Deadline that admission takes for long answers.
const FAR_DEADLINE: Duration = Duration::from_secs(3600);

/// Runs streams at once and prints the tokens for each second of a core.
///
/// # Errors
///
/// Returns an error if a stream fails or the accounting can't be read.
pub fn measure(system: &TestSystem, streams: u32, tokens: u32) -> anyhow::Result<()> {
    let daemon = &system.daemons[0];
    let before = processor_time(daemon.process.id())?;
    let started = Instant::now();
    let calls = (0..streams).map(|index| {
        let call = system::stream_call(&daemon.address, &format!("stream {index}"), tokens)
            .header("request-deadline", &system::deadline_in(FAR_DEADLINE));
        task::spawn(async move { call.send_async().await })
    });
    let answers = task::block_on(future::join_all(calls));
    let elapsed = started.elapsed();
    let used = processor_time(daemon.process.id())? - before;
    let mut forwarded = 0;
    for answer in answers {
        let body = answer?.body;
        forwarded += body.windows(TOKEN_FIELD.len()).filter(|it| *it == TOKEN_FIELD).count();
    }
    anyhow::ensure!(forwarded as u64 == u64::from(streams) * u64::from(tokens), "lost tokens");
    println!("{streams} streams of {tokens} tokens at once");
    println!(
        "{forwarded} tokens in {:.2} s, {:.0} a second; the daemon used {:.2} s of a core",
        elapsed.as_secs_f64(),
        forwarded as f64 / elapsed.as_secs_f64(),
        used.as_secs_f64()
    );
    println!(
        "{:.0} tokens for each second of a core, {:.2} us a token",
        forwarded as f64 / used.as_secs_f64(),
        used.as_secs_f64() * 1e6 / forwarded as f64
    );
    Ok(())
}

/// Reads the user and system time that a process has used.
fn processor_time(process: u32) -> anyhow::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program may hold spaces; the fields follow its bracket.
    let (_, fields) = stat.rsplit_once(") ").context("a line without a program's name")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let seconds = ticks as f64 / rustix::param::clock_ticks_per_second() as f64;
    Ok(Duration::from_secs_f64(seconds))
}
