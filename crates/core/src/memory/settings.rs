//! What the account must know of the target.

use std::time::Duration;

use kumquatkeel_types::Incarnation;
use kumquatkeel_types::document::Fencing;

/// The size of the target and the bounds on late orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemorySettings {
    /// The agent's life, which is also its fencing number towards the engine.
    pub incarnation: Incarnation,
    /// The target's accelerators.
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    pub accelerator_mb: u32,
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: Fencing,
    /// The longest time from the sending of an order to its execution.
    pub order_delay: Duration,
    /// The longest time from the write of an intent to the sending of its order.
    pub order_lease: Duration,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(1),
            accelerators: 0,
            accelerator_mb: 0,
            fencing: Fencing::Ignored,
            order_delay: Duration::from_secs(10),
            order_lease: Duration::from_secs(5),
        }
    }
}
