//! Settings of the memory tracker.

use std::time::Duration;

use kumquatkeel_types::Incarnation;
use kumquatkeel_types::document::Fencing;

/// Size of the target, and the longest delays of an order on its way to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemorySettings {
    /// Incarnation of the agent, also its fencing token towards the engine.
    pub incarnation: Incarnation,
    /// Number of accelerators of the target.
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    pub accelerator_mb: u32,
    /// Whether the engine refuses orders with an outdated fencing token.
    pub fencing: Fencing,
    /// Longest time from sending an order to its execution by the engine.
    pub order_delay: Duration,
    /// Longest time from writing an intent to sending its order.
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
