//! Command line of the stand-in plain service.

use std::sync::Arc;

use async_std::task;
use bpaf::Bpaf;
use gooseberry_standins::{
    plain::{self, PlainState},
    program,
};

/// Simulates a backend server of a plain service, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Name of the server
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// IP address and port to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: String,
    /// IP address and port of the control interface, which sets faults and returns counts
    #[bpaf(long, argument("ADDRESS"))]
    control: String,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let state = PlainState::new(&arguments.name);
    let control = plain::control(Arc::clone(&state));
    let app = plain::app(state);
    task::block_on(program::run(&arguments.listen, app, Some((&arguments.control, control))))
}
