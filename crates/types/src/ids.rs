//! Numbers that order configuration, fencing, daemons' lives and attempts.

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
            /// Returns the following number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counters! {
    /// The revision of the accepted configuration. Nothing accepts a lower one.
    Revision;
    /// The fencing epoch of a control lease. Nothing accepts a lower one.
    Epoch;
    /// The life of a daemon: raised by a conditional write in the store at each start.
    Incarnation;
}

/// Identifies one caller's request in logs and answers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{entry}.{life}.{number}")]
pub struct RequestId {
    /// The entry that took the request.
    pub entry: EntryName,
    /// The life of that entry.
    pub life: Incarnation,
    /// The request's number within that life.
    pub number: u64,
}

/// Identifies one attempt to run a request on a target.
///
/// Every event of an answer echoes it, so that a late answer of one attempt can't be taken for
/// another's.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// The attempt's number within the request, from 1.
    pub number: u32,
}

/// Identifies a base model at one version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{name}@{version}")]
pub struct ModelId {
    /// The model's name.
    pub name: ModelName,
    /// The model's version.
    pub version: ModelVersion,
}
