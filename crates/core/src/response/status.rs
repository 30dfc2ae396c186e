//! Which statuses end an exchange.

use std::ops::RangeInclusive;

/// The statuses of final responses. Those below are informational, or none at all.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is that of a final response. A peer that states another one as its answer is
/// faulty, and nothing that it says with it can be relied on.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::response::is_final_status;
///
/// assert!(is_final_status(200) && is_final_status(503));
/// assert!(![0, 101, 600, 999].into_iter().any(is_final_status));
/// ```
pub fn is_final_status(status: u16) -> bool {
    FINAL.contains(&status)
}
