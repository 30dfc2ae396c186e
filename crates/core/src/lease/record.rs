//! The object that holds a lease.

use kumquatkeel_types::{EntryName, Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// The value of a lease's object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: EntryName,
    /// The holder's life.
    pub life: Incarnation,
    /// The fencing epoch, raised at each take-over.
    pub epoch: Epoch,
    /// The number of the renewal within the epoch.
    pub renewal: u64,
    /// Whether the holder gave the lease up.
    pub released: bool,
}
