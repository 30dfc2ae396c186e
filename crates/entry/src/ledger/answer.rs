//! What the request path sees of the ledger.

use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::ledger::{Call, CallOutcome, Claim, LedgerKey};

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The call may be sent, as this attempt, to this target and life of its agent only.
    Run(Claim),
    /// The call ran already and was answered so.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body; none when it was too large to keep.
        body: Option<String>,
    },
    /// The call runs; the caller asks again after this time with the same key.
    Running {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The call may have run; it is not run again.
    Unknown,
    /// The key was used for another request; refused.
    KeyReused,
    /// The key is older than the age limit; refused.
    KeyExpired,
    /// The ledger has no room for the key; not run.
    Full,
    /// The store can't be reached; not run.
    StoreUnavailable,
}

/// The answer to an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleAnswer {
    /// The outcome stands in the ledger.
    Stored,
    /// Another attempt holds the call by now; the outcome was dropped.
    NotHolder,
    /// The store failed; the outcome is sent again until it stands.
    Pending,
}

/// The ledger of calls that run at most once.
#[async_trait]
pub trait CallLedger: Send + Sync {
    /// Claims a call before it is sent.
    ///
    /// Only after [`ClaimAnswer::Run`] may it be sent. When the agent then says that it was not
    /// run, settle with [`CallOutcome::NotRun`] before claiming again with the next attempt.
    async fn claim(&self, call: Call) -> ClaimAnswer;

    /// Records what became of a claimed call.
    async fn settle(&self, key: &LedgerKey, claim: &Claim, outcome: CallOutcome) -> SettleAnswer;
}
