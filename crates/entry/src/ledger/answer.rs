//! The ledger's interface and the results of its operations.

use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::ledger::{Call, CallOutcome, Claim, LedgerKey};

/// The result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The call may be sent, but only as this attempt, to this target and incarnation of its agent.
    Run(Claim),
    /// The call already ran and got this response.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body; `None` when it was too large to store.
        body: Option<String>,
    },
    /// The call is running; the caller retries with the same key after this time.
    Running {
        /// The time until the retry.
        retry_after: Duration,
    },
    /// The call may have run and is not run again.
    Unknown,
    /// The call is refused: its key was used for another request.
    KeyReused,
    /// The call is refused: its key is older than the ledger's age limit.
    KeyExpired,
    /// The call was not run: its partition of the ledger has no room for the key.
    Full,
    /// The call was not run: the store can't be reached.
    StoreUnavailable,
}

/// The result of recording an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleAnswer {
    /// The outcome is stored in the ledger.
    Stored,
    /// Another attempt holds the claim by now; the outcome was dropped.
    NotHolder,
    /// The store failed; writing the outcome is retried in the background.
    Pending,
}

/// A ledger of claims, which lets each call run at most once.
#[async_trait]
pub trait ClaimLedger: Send + Sync {
    /// Claims a call; must be called before the call is sent.
    ///
    /// The call may be sent only after [`ClaimAnswer::Run`]. When the agent then reports that it
    /// was not run, settle with [`CallOutcome::NotRun`] before claiming again for the next attempt.
    async fn claim(&self, call: Call) -> ClaimAnswer;

    /// Records the outcome of a claimed call and ends the claim.
    async fn settle(&self, key: &LedgerKey, claim: &Claim, outcome: CallOutcome) -> SettleAnswer;
}
