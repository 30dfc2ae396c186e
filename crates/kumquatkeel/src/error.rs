//! Errors of the operator's program.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use kumquatkeel::daemon::http::HttpError;
use kumquatkeel::types::document::Faults;

/// Reasons for which a command fails; the display text is what the operator reads.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// An input file can't be read.
    #[display("{step} {}: {source}", path.display())]
    #[from(skip)]
    File {
        /// The operation on the file.
        step: &'static str,
        /// The file's path.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The configuration is invalid.
    #[display("{_0}")]
    Faults(Faults),
    /// The HTTP request to an entry failed.
    #[display("{_0}")]
    Http(HttpError),
    /// An entry refused the request, or its response can't be decoded.
    #[display("{step} at {peer}: {reason}")]
    #[from(skip)]
    Answer {
        /// The operation that was requested.
        step: &'static str,
        /// The entry's address.
        peer: SocketAddr,
        /// The entry's refusal, or the decoding error.
        reason: String,
    },
    /// Another operator's commit came first: the revision in force is not the request's base.
    #[display("conflict: revision {revision} is in force; changed since the base: {changes}")]
    #[from(skip)]
    Conflict {
        /// The revision in force.
        revision: kumquatkeel::types::Revision,
        /// The changes since the base, separated by commas.
        changes: String,
    },
    /// The configuration was committed, but the wait ended before it was in force everywhere.
    #[display("revision {revision} is committed but not yet in force at: {lagging}")]
    #[from(skip)]
    Lagging {
        /// The committed revision.
        revision: kumquatkeel::types::Revision,
        /// The processes on an older revision, separated by commas.
        lagging: String,
    },
    /// The burn plot can't be written.
    #[display("drawing {}: {reason}", path.display())]
    #[from(skip)]
    Plot {
        /// The plot's path.
        path: PathBuf,
        /// The drawing library's error.
        reason: String,
    },
    /// A command-line argument is invalid.
    #[display("{argument}: {reason}")]
    #[from(skip)]
    Argument {
        /// The argument's name, as on the command line.
        argument: &'static str,
        /// Why the value is refused.
        reason: String,
    },
    /// A command that runs locally failed: `explain`, `demo`, `stand-in` or `measure`.
    #[display("{step}: {reason}")]
    #[from(skip)]
    Run {
        /// The command or the part of it that failed.
        step: &'static str,
        /// The cause.
        reason: String,
    },
}

impl CommandError {
    /// Returns whether the cause is invalid input, as opposed to a failure of the system.
    pub(crate) const fn is_invalid_input(&self) -> bool {
        matches!(self, Self::Faults(_) | Self::Argument { .. })
    }
}
