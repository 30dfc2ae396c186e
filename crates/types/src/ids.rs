//! Revisions, epochs and incarnations, and the identifiers of requests, attempts and models.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{EntryName, ModelName, ModelVersion};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counters! {
    /// The revision of the configuration. A process accepts none that is lower than its own.
    Revision;
    /// The epoch of a lease, used as fencing token: agents refuse orders with a lower one than they
    /// have seen.
    Epoch;
    /// The incarnation of a daemon, raised by a conditional write to the store at each start.
    Incarnation;
}

/// Identifies a caller's request in logs and answers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{entry}.{life}.{number}")]
pub struct RequestId {
    /// The entry that received the request.
    pub entry: EntryName,
    /// The incarnation of that entry.
    pub life: Incarnation,
    /// The request's number within that incarnation.
    pub number: u64,
}

/// Identifies one attempt to run a request on a target.
///
/// Answers echo it, so that a late answer to one attempt can't be mistaken for one to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request that the attempt is for.
    pub request: RequestId,
    /// The attempt's number within the request, from 1.
    pub number: u32,
}

/// Identifies one version of a base model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{name}@{version}")]
pub struct ModelId {
    /// The model's name.
    pub name: ModelName,
    /// The model's version.
    pub version: ModelVersion,
}
