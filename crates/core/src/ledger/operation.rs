//! Operations on a partition and their results.

use derive_more::Display;
use kumquatkeel_types::{AttemptId, EntryName, IdempotencyKey, Incarnation, RequestId};
use serde::{Deserialize, Serialize};

use super::{Call, CallOutcome, Claim, LedgerKey};

/// An operation on a partition. Operations are idempotent, so they may be resent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Claims a call for one attempt.
    Claim(Call),
    /// Records the outcome of a claimed attempt.
    Settle {
        /// Key of the call.
        key: LedgerKey,
        /// The attempt that claimed the call.
        attempt: AttemptId,
        /// The outcome of that attempt.
        outcome: CallOutcome,
    },
}

impl Operation {
    /// Returns the key of the call that the operation changes.
    pub const fn key(&self) -> &LedgerKey {
        match self {
            Self::Claim(call) => &call.key,
            Self::Settle { key, .. } => key,
        }
    }
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpAnswer {
    /// The call is claimed for the operation's attempt and may be sent.
    #[display("claimed")]
    Claimed(Claim),
    /// Another attempt holds the claim and has no outcome yet.
    #[display("held by {}", _0.attempt)]
    Held(Claim),
    /// The call has run, or may have, with this recorded outcome; it must not run again.
    #[display("has an outcome")]
    #[serde(rename = "told")]
    Recorded(CallOutcome),
    /// The key was already used for a request with a different digest.
    #[display("key reused")]
    KeyReused,
    /// The key has no record and is past the age limit or retired; the call must not run.
    #[display("key expired")]
    KeyExpired,
    /// The partition has no room left; nothing was claimed.
    #[display("partition full")]
    Full,
    /// The attempt's outcome is in the ledger.
    #[display("settled")]
    Settled,
    /// The attempt does not hold the claim, or no longer does; its outcome was discarded.
    #[display("not the holder")]
    NotHolder,
    /// The store failed. A claim must not be used, and an outcome may not be recorded.
    #[display("store unavailable")]
    StoreUnavailable,
}

/// Returns a call with the idempotency key `key`, attempted as request `number`, for examples and
/// tests.
pub fn example_call(key: &str, number: u64) -> Call {
    let name = |text: &str| text.to_owned();
    let key = LedgerKey {
        caller: name("member").try_into().expect("a name"),
        service: name("swaps").try_into().expect("a name"),
        key: IdempotencyKey::try_from(key).expect("a name"),
    };
    let entry = EntryName::try_from("entry-1").expect("a name");
    let request = RequestId {
        entry,
        life: Incarnation(1),
        number,
    };
    Call {
        key,
        digest: 7,
        attempt: AttemptId { request, number: 1 },
        target: name("desk-1").try_into().expect("a name"),
        incarnation: Incarnation(1),
    }
}
