//! The signals that stop a daemon gracefully.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or an interrupt from the terminal.
///
/// # Errors
///
/// Returns an error when the signals can't be watched.
pub async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
