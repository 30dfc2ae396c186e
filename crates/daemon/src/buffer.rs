//! A limit on what a process buffers of its peers' answers, over all of them.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

/// Answers of up to this size are always buffered, and don't count.
const FREE_BYTES: usize = 16 * 1024;
/// Largest part of the memory that is left that one answer may take. However many answers grow without end, each
/// of them stops while there is memory left for others, nearly as much as it has itself.
const MAX_SHARE: usize = 4;
/// Size of the parts in which a buffered body is passed on.
const FRAME_BYTES: usize = 16 * 1024;

/// An answer that may not be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{bytes} bytes are too many to buffer while {used} are in use")]
pub struct BufferError {
    /// The size of the answer so far.
    pub bytes: usize,
    /// The memory in use by other answers.
    pub used: usize,
}

/// The memory for answers that are buffered.
#[derive(Debug)]
pub struct BufferPool {
    size: usize,
    used: AtomicUsize,
}

impl BufferPool {
    /// Creates a pool of `size` bytes.
    pub const fn new(size: usize) -> Self {
        Self {
            size,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns a lease on no memory yet.
    pub fn lease(self: &Arc<Self>) -> BufferLease {
        BufferLease {
            pool: self.clone(),
            held: 0,
        }
    }
}

/// The memory that one answer takes; it is given back when the lease is dropped.
#[derive(Debug)]
pub struct BufferLease {
    pool: Arc<BufferPool>,
    held: usize,
}

impl BufferLease {
    /// Sets the size of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is larger than its share of the memory that is left.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BufferError> {
        let needed = if bytes > FREE_BYTES { bytes } else { 0 };
        let used = self.pool.used().saturating_sub(self.held);
        let left = self.pool.size.saturating_sub(used);
        if needed > self.held && needed > left / MAX_SHARE {
            return Err(BufferError { bytes, used });
        }
        self.hold(needed);
        Ok(())
    }

    /// Gives memory back that is beyond the answer's size.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes <= FREE_BYTES {
            self.hold(0);
        } else if bytes < self.held {
            self.hold(bytes);
        }
    }

    fn hold(&mut self, bytes: usize) {
        if bytes >= self.held {
            (self.pool.used).fetch_add(bytes - self.held, Ordering::Relaxed);
        } else {
            (self.pool.used).fetch_sub(self.held - bytes, Ordering::Relaxed);
        }
        self.held = bytes;
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.hold(0);
    }
}

/// A body that has been buffered as a whole. It gives its memory back once its reader has taken the last part.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Bytes,
    /// Held until the body is dropped.
    _lease: BufferLease,
}

impl BufferedBody {
    /// Creates the body from its content.
    pub const fn new(bytes: Bytes, lease: BufferLease) -> Self {
        Self {
            bytes,
            _lease: lease,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
