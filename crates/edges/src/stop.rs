//! The signal to stop, from SIGTERM or SIGINT to every part of a process.

use std::{io, thread};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// Tells the parts of a process that it is to stop; clones share the signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    // Nothing is ever sent: the signal is given by closing the channel, which
    // every receiver notices, at any later time too.
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl StopSignal {
    /// Makes a signal that hasn't been given.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Makes a signal that SIGTERM and SIGINT give.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers can't be installed.
    pub fn on_termination() -> io::Result<Self> {
        let stop = Self::new();
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let given = stop.clone();
        thread::Builder::new().name("signals".to_owned()).spawn(move || {
            for _ in signals.forever() {
                given.trigger();
            }
        })?;
        Ok(stop)
    }

    /// Gives the signal.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Tells whether the signal has been given.
    pub fn is_triggered(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a channel that gets a message at each SIGHUP, which would end the
/// process otherwise. Signals that come before the last was handled count once.
///
/// # Errors
///
/// Returns an error if the handler can't be installed.
pub fn reload_requests() -> io::Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGHUP])?;
    thread::Builder::new().name("reload".to_owned()).spawn(move || {
        for _ in signals.forever() {
            // A full channel means that a reload is due already.
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
