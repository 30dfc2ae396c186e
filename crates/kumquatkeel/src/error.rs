//! Errors of the operator's program.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use kumquatkeel::daemon::http::HttpError;
use kumquatkeel::types::document::Faults;

/// Says why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// A file can't be read or written.
    #[display("{step} {}: {source}", path.display())]
    #[from(skip)]
    File {
        /// The step.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The document has faults.
    #[display("{_0}")]
    Faults(Faults),
    /// An entry can't be reached.
    #[display("{_0}")]
    Http(HttpError),
    /// An entry's answer is not the expected one.
    #[display("{step} at {peer}: {reason}")]
    #[from(skip)]
    Answer {
        /// The step.
        step: &'static str,
        /// The entry.
        peer: SocketAddr,
        /// What is wrong.
        reason: String,
    },
    /// Another operator changed the document first.
    #[display("conflict: revision {revision} is in force; changed since the base: {changes}")]
    #[from(skip)]
    Conflict {
        /// The revision in force.
        revision: kumquatkeel::types::Revision,
        /// The changes, for people.
        changes: String,
    },
    /// The document is committed but not in force everywhere.
    #[display("revision {revision} is committed but not yet in force at: {lagging}")]
    #[from(skip)]
    Lagging {
        /// The revision.
        revision: kumquatkeel::types::Revision,
        /// The processes that lag, for people.
        lagging: String,
    },
    /// The plot can't be drawn.
    #[display("drawing {}: {reason}", path.display())]
    #[from(skip)]
    Plot {
        /// The file.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
    /// An argument is wrong.
    #[display("{argument}: {reason}")]
    #[from(skip)]
    Argument {
        /// The argument.
        argument: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The demo or a measurement failed.
    #[display("{step}: {reason}")]
    #[from(skip)]
    Run {
        /// The step.
        step: &'static str,
        /// What is wrong.
        reason: String,
    },
}

impl CommandError {
    /// Says whether the operator's input is wrong.
    pub(crate) const fn is_invalid_input(&self) -> bool {
        matches!(self, Self::Faults(_) | Self::Argument { .. })
    }
}
