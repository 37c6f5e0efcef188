//! Runs the stand-in plain service.

use std::sync::Arc;

use async_std::task;
use bpaf::Bpaf;
use gooseberry_standins::{
    plain::{self, PlainState},
    program,
};

/// Stands in for a backend server of a plain service
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Name of the server
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// IP address and port to serve
    #[bpaf(long, argument("ADDRESS"))]
    listen: String,
    /// IP address and port that takes faults and gives counts
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
