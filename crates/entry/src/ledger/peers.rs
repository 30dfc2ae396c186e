//! What the ledger needs of other processes.

use async_trait::async_trait;
use kumquatkeel_core::ledger::{ClaimHolder, OpAnswer, Operation, PartitionId};
use kumquatkeel_types::message::{FenceReply, FenceRequest};
use kumquatkeel_types::{EntryName, RequestId, TargetName};

/// The other processes, as the ledger sees them.
#[async_trait]
pub trait LedgerPeers: Send + Sync {
    /// Returns the number of live entries, which share the rate of writes.
    fn writers(&self) -> u32;

    /// Says whether the entry that took a request can still send it.
    fn holder(&self, request: &RequestId) -> ClaimHolder;

    /// Returns the entry that batches a partition's operations; none when it is this one.
    fn owner(&self, partition: PartitionId) -> Option<EntryName>;

    /// Sends an operation to the partition's owner; none when no answer came.
    async fn forward(&self, owner: &EntryName, operation: &Operation) -> Option<OpAnswer>;

    /// Asks a target's agent to fence an attempt; none when no answer came.
    async fn fence(&self, target: &TargetName, request: FenceRequest) -> Option<FenceReply>;
}
