//! Runs the stand-in platform.

use std::sync::Arc;

use async_std::task;
use bpaf::Bpaf;
use gooseberry_standins::{
    platform::http::{self, platform_options, PlatformOptions, PlatformState},
    program,
};

/// Stands in for the platform: key-value service, list of VMs, weight store
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// IP address and port to serve
    #[bpaf(long, argument("ADDRESS"))]
    listen: String,
    /// IP address and port that takes faults and gives counts
    #[bpaf(long, argument("ADDRESS"))]
    control: String,
    #[bpaf(external(platform_options))]
    options: PlatformOptions,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let state = PlatformState::new(&arguments.options);
    task::block_on(async {
        let expiring = Arc::clone(&state);
        task::spawn(async move { expiring.expire_leases().await });
        let control = (arguments.control.as_str(), http::control(Arc::clone(&state)));
        program::run(&arguments.listen, http::app(state), Some(control)).await
    })
}
