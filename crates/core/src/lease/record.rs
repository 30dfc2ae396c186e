//! The stored form of a lease.

use kumquatkeel_types::{EntryName, Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// The value of a lease's object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The entry that holds the lease, or held it last if it is released.
    pub holder: EntryName,
    /// Incarnation of the holder.
    pub life: Incarnation,
    /// Fencing epoch, raised at each takeover.
    pub epoch: Epoch,
    /// Number of the renewal within the epoch, from zero.
    pub renewal: u64,
    /// Whether the holder released the lease, so that another may take it at once.
    pub released: bool,
}
