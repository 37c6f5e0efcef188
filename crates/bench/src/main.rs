//! Measures what a daemon adds: latency, and processor time for each token.

mod latency;
mod tokens;

use bpaf::Bpaf;
use gooseberry_harness::system::{SystemOptions, TestSystem};

/// Measures what a daemon adds to requests, with stand-ins on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Requests a second of the latency measurement
    #[bpaf(long, argument("N"), fallback(200))]
    rate: u32,
    /// Length of the latency measurement, in seconds
    #[bpaf(long, argument("S"), fallback(10))]
    seconds: u32,
    /// Streams that run at once in the token measurement
    #[bpaf(long, argument("N"), fallback(64))]
    streams: u32,
    /// Tokens of each stream
    #[bpaf(long, argument("N"), fallback(10_000))]
    tokens: u32,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    // Steps much shorter than what is measured.
    let engine_arguments = ["--step-us", "100", "--sequence-us", "0", "--kv-pieces", "200000"];
    let size = SystemOptions {
        engines: 2,
        engine_arguments: engine_arguments.map(str::to_owned).to_vec(),
        ..SystemOptions::default()
    };
    let system = TestSystem::start(size);
    latency::measure(&system, arguments.rate, arguments.seconds)?;
    tokens::measure(&system, arguments.streams, arguments.tokens)
}
