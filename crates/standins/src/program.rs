//! Main loop that all stand-ins share: two listeners and a graceful shutdown.

use std::time::Duration;

use async_std::{net::TcpListener, task};
use gooseberry_edges::{clock::Clock, listener::HttpListener, stop::StopSignal};

/// Longest time that a shutdown waits for running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves an application and its control port until the process receives a termination signal.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run<S, C>(
    listen: &str,
    app: tide::Server<S>,
    control: Option<(&str, tide::Server<C>)>,
) -> anyhow::Result<()>
where
    S: Clone + Send + Sync + 'static,
    C: Clone + Send + Sync + 'static,
{
    let stop = StopSignal::on_termination()?;
    let clock = Clock::system();
    if let Some((address, app)) = control {
        let socket = TcpListener::bind(address).await?;
        let listener = HttpListener::new(clock.clone());
        let stop = stop.clone();
        task::spawn(async move { listener.serve(socket, app, stop).await });
    }
    let socket = TcpListener::bind(listen).await?;
    let listener = HttpListener::new(clock);
    listener.serve(socket, app, stop).await;
    listener.drain(DRAIN_TIMEOUT).await;
    Ok(())
}
