//! Process signals from the platform: `SIGTERM` and `SIGINT` stop, `SIGHUP` reloads.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A request to the process, received as a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Stop within the grace period.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The handlers of the process's signals.
#[derive(Debug)]
pub struct Signals {
    stop: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers. Call it first, since a signal that arrives earlier ends the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.stop.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
