//! How the end of a response's body is marked.

use derive_more::Display;

/// How the end of a response's body is marked on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Framing {
    /// By a content length or a last chunk; the transport reports a body that ends earlier.
    #[display("delimited")]
    Delimited,
    /// By the end of the connection only, which looks the same when the sender crashed.
    #[display("connection")]
    Connection,
}
