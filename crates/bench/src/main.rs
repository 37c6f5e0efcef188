//! Measures the latency that a daemon adds to calls, and its CPU time for each
//! token.

mod latency;
mod tokens;

use bpaf::Bpaf;
use gooseberry_harness::system::{SystemOptions, TestSystem};

/// Measures the latency and the CPU time that a daemon adds to requests, with
/// stand-ins on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Requests per second of the latency measurement
    #[bpaf(long, argument("N"), fallback(200))]
    rate: u32,
    /// Duration of the latency measurement, in seconds
    #[bpaf(long, argument("S"), fallback(10))]
    seconds: u32,
    /// Concurrent streams of the token measurement
    #[bpaf(long, argument("N"), fallback(64))]
    streams: u32,
    /// Tokens of each stream
    #[bpaf(long, argument("N"), fallback(10_000))]
    tokens: u32,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    // The engine steps are much shorter than the measured times.
    let engine_arguments = ["--step-us", "100", "--sequence-us", "0", "--kv-pieces", "200000"];
    let options = SystemOptions {
        engines: 2,
        engine_arguments: engine_arguments.map(str::to_owned).to_vec(),
        ..SystemOptions::default()
    };
    let system = TestSystem::start(options);
    latency::measure(&system, arguments.rate, arguments.seconds)?;
    tokens::measure(&system, arguments.streams, arguments.tokens)
}
