//! Operations on a partition and their answers.

use derive_more::Display;
use kumquatkeel_types::{AttemptId, EntryName, IdempotencyKey, Incarnation, RequestId};
use serde::{Deserialize, Serialize};

use super::{Call, CallOutcome, Claim, LedgerKey};

/// An operation on a partition. Applied twice, it has the effect of once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Claims a call.
    Claim(Call),
    /// Records the outcome of a claimed attempt.
    Settle {
        /// The call's key.
        key: LedgerKey,
        /// The attempt.
        attempt: AttemptId,
        /// The outcome.
        outcome: CallOutcome,
    },
}

impl Operation {
    /// Returns the key that the operation is about.
    pub const fn key(&self) -> &LedgerKey {
        match self {
            Self::Claim(call) => &call.key,
            Self::Settle { key, .. } => key,
        }
    }
}

/// The answer to an operation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpAnswer {
    /// The call is claimed for the operation's attempt; it may be sent.
    #[display("claimed")]
    Claimed(Claim),
    /// Another attempt holds the call and has no outcome yet.
    #[display("held by {}", _0.attempt)]
    Held(Claim),
    /// The call has run, or may have.
    #[display("has an outcome")]
    #[serde(rename = "told")]
    Recorded(CallOutcome),
    /// The key was used for another request.
    #[display("key reused")]
    KeyReused,
    /// The key is older than the age limit.
    #[display("key expired")]
    KeyExpired,
    /// The partition has no room; nothing was claimed.
    #[display("partition full")]
    Full,
    /// The outcome stands in the ledger.
    #[display("settled")]
    Settled,
    /// The attempt does not hold the call any more, or never did; the outcome was dropped.
    #[display("not the holder")]
    NotHolder,
    /// The store failed. A claim was not made or must not be used; an outcome may not stand.
    #[display("store unavailable")]
    StoreUnavailable,
}

/// Returns a call with the key `key`, attempted as request `number`, for examples and tests.
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
