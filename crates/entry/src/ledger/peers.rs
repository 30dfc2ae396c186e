//! The ledger's interface to other entries and to agents.

use async_trait::async_trait;
use kumquatkeel_core::ledger::{ClaimHolder, OpAnswer, Operation, PartitionId};
use kumquatkeel_types::message::{FenceReply, FenceRequest};
use kumquatkeel_types::{EntryName, RequestId, TargetName};

/// The other entries and the agents, as the ledger needs them.
#[async_trait]
pub trait LedgerPeers: Send + Sync {
    /// Returns the number of live entries, which share the limit on the rate of writes.
    fn live_entries(&self) -> u32;

    /// Returns whether the entry that accepted a request can still send it.
    fn holder_state(&self, request: &RequestId) -> ClaimHolder;

    /// Returns the entry that batches a partition's operations; `None` when it is this one.
    fn partition_owner(&self, partition: PartitionId) -> Option<EntryName>;

    /// Sends an operation to the partition's owner; `None` when it did not answer.
    async fn forward(&self, owner: &EntryName, operation: &Operation) -> Option<OpAnswer>;

    /// Asks a target's agent to fence an attempt; `None` when it did not answer.
    async fn fence(&self, target: &TargetName, request: FenceRequest) -> Option<FenceReply>;
}
