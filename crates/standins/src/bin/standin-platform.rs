//! Command line of the stand-in platform.

use std::sync::Arc;

use async_std::task;
use bpaf::Bpaf;
use gooseberry_standins::{
    platform::http::{self, platform_options, PlatformOptions, PlatformState},
    program,
};

/// Simulates the platform (key-value service, list of VMs, weight store), for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// IP address and port to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: String,
    /// IP address and port of the control interface, which sets faults and returns counts
    #[bpaf(long, argument("ADDRESS"))]
    control: String,
    #[bpaf(external(platform_options))]
    options: PlatformOptions,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let state = PlatformState::new(&arguments.options);
    task::block_on(async {
        let expiry = Arc::clone(&state);
        task::spawn(async move { expiry.expire_leases().await });
        let control = (arguments.control.as_str(), http::control(Arc::clone(&state)));
        program::run(&arguments.listen, http::app(state), Some(control)).await
    })
}
