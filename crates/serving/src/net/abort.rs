//! A TCP stream that resets its connection, rather than closing it, when an exchange is aborted.
//!
//! Bytes of the aborted request may still be unsent. A reset drops them, where a plain close would
//! have them delivered first, perhaps seconds later.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A shared flag of a connection, such as whether an exchange is in progress on it.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedFlag(Arc<AtomicBool>);

impl SharedFlag {
    /// Sets or clears the flag.
    pub(super) fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns whether the flag is set.
    pub(super) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A TCP stream that resets its connection when it is dropped during an exchange.
#[derive(Debug)]
pub(super) struct AbortStream {
    stream: TcpStream,
    busy: SharedFlag,
    refused: SharedFlag,
    /// Whether bytes that nobody has read are logged when the connection closes.
    logs_unread: bool,
}

impl AbortStream {
    /// Wraps a stream; `busy` is set while an exchange is in progress.
    pub(super) fn new(stream: TcpStream, busy: SharedFlag) -> Self {
        Self {
            stream,
            busy,
            refused: SharedFlag::default(),
            logs_unread: false,
        }
    }

    /// Logs bytes of the peer that nobody has read when the connection closes, such as a request that was
    /// sent while it was being closed.
    pub(super) const fn log_unread(mut self) -> Self {
        self.logs_unread = true;
        self
    }

    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream)
            .peek(&mut byte)
            .is_ok_and(|size| size > 0)
    }

    /// Returns a flag that lets all further reads fail once it is set.
    pub(super) fn refused(&self) -> SharedFlag {
        self.refused.clone()
    }
}

impl Drop for AbortStream {
    fn drop(&mut self) {
        if self.logs_unread && self.has_unread() {
            let peer = self.stream.peer_addr().ok();
            log::info!(peer:? = peer; "connection closed with unread bytes");
        }
        if self.busy.get() {
            let socket = SockRef::from(&self.stream);
            if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
                log::debug!(error:%; "setting the connection to be reset failed");
            }
        }
    }
}

impl AsyncRead for AbortStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.refused.get() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for AbortStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.busy.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
