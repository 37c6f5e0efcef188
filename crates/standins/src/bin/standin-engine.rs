//! Command line of the stand-in model engine.

use std::sync::Arc;

use async_std::task;
use bpaf::Bpaf;
use gooseberry_standins::{
    engine::http::{self, engine_options, EngineOptions, EngineServer},
    program,
};

/// Simulates a model engine with continuous batching, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// IP address and port to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: String,
    /// IP address and port of the control interface, which sets faults and returns counts
    #[bpaf(long, argument("ADDRESS"))]
    control: String,
    #[bpaf(external(engine_options))]
    options: EngineOptions,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let server = EngineServer::new(arguments.options);
    task::block_on(async {
        let batch = Arc::clone(&server);
        task::spawn(async move { batch.run_batch().await });
        let reports = Arc::clone(&server);
        task::spawn(async move { reports.run_reports().await });
        let control = (arguments.control.as_str(), http::control(Arc::clone(&server)));
        program::run(&arguments.listen, http::app(server), Some(control)).await
    })
}
