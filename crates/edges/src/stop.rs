//! The shutdown signal of a process, triggered by SIGTERM or SIGINT.

use std::{io, thread};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// Notifies the tasks of a process of its shutdown; clones share the signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    // Nothing is ever sent on the channel. Closing it triggers the signal for
    // every receiver, including those that start to wait later.
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl StopSignal {
    /// Creates a signal that hasn't been triggered.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Creates a signal that SIGTERM and SIGINT trigger.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub fn on_termination() -> io::Result<Self> {
        let stop = Self::new();
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let signal = stop.clone();
        thread::Builder::new().name("signals".to_owned()).spawn(move || {
            for _ in signals.forever() {
                signal.trigger();
            }
        })?;
        Ok(stop)
    }

    /// Triggers the signal.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Returns whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the signal is triggered.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// The signals of a process that serves until it is stopped.
///
/// They are installed first of all: until then each of them ends the process at once.
#[derive(Debug)]
pub struct ProcessSignals {
    pub stop: StopSignal,
    /// Receives a message for each SIGHUP.
    pub reload_requests: async_channel::Receiver<()>,
}

impl ProcessSignals {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self { stop: StopSignal::on_termination()?, reload_requests: reload_requests()? })
    }
}

/// Returns a channel that receives a message for each SIGHUP.
///
/// Without this handler SIGHUP would end the process. Signals that arrive while
/// a message is still in the channel are merged with it.
///
/// # Errors
///
/// Returns an error if the signal handler can't be installed.
fn reload_requests() -> io::Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGHUP])?;
    thread::Builder::new().name("reload".to_owned()).spawn(move || {
        for _ in signals.forever() {
            // If the channel is full, a reload is already pending.
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
