//! Errors of the platform.

use derive_more::{Display, Error};

use crate::ObjectVersion;

/// What went wrong at the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreFault {
    /// The precondition does not hold; nothing was written.
    #[display("the object is at version {current:?}")]
    Conflict {
        /// The version in the store; none when there is no object.
        current: Option<ObjectVersion>,
    },
    /// The call was refused for its rate; nothing was written.
    #[display("the rate limit is reached")]
    RateLimited,
    /// The store could not be reached or refused before doing anything; nothing was written.
    #[display("the store is unavailable")]
    Unavailable,
    /// The answer was lost: a write may have taken effect.
    #[display("the answer was lost")]
    Unknown,
    /// The value is over the store's limit.
    #[display("the value has {bytes} bytes")]
    TooLarge {
        /// The value's size.
        bytes: usize,
    },
    /// The watch can't go on from this version; list again.
    #[display("the watch has a gap")]
    WatchGap,
    /// The platform's answer can't be understood.
    #[display("the answer is malformed: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// An error of the platform with the step and the peer at which it arose.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {fault}")]
pub struct StoreError {
    /// The step.
    pub step: &'static str,
    /// The peer's address.
    pub peer: String,
    /// What went wrong.
    #[error(not(source))]
    pub fault: StoreFault,
}

impl StoreError {
    /// Makes an error of `step` at `peer`.
    pub fn new(step: &'static str, peer: impl Into<String>, fault: StoreFault) -> Self {
        Self {
            step,
            peer: peer.into(),
            fault,
        }
    }

    /// Says whether a write that failed so may have taken effect.
    pub const fn may_have_written(&self) -> bool {
        matches!(
            self.fault,
            StoreFault::Unknown | StoreFault::Malformed { .. }
        )
    }
}
