//! When callers that are refused may come back.

use std::time::Duration;

/// Share of the wait by which callers are spread.
const SPREAD: f64 = 0.25;

/// Returns when a caller may come back that waits for the end of `wait`, and is not to be kept waiting for
/// more than `longest`.
///
/// All callers that are refused for one reason know the same end, and would come back together. `draw` is
/// drawn at random from 0 to 1 for each.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::spread_retry_after;
///
/// let (wait, longest) = (Duration::from_secs(2), Duration::from_secs(10));
/// assert_eq!(spread_retry_after(wait, longest, 0.0), wait);
/// assert_eq!(spread_retry_after(wait, longest, 1.0), Duration::from_millis(2_500));
/// ```
pub fn spread_retry_after(wait: Duration, longest: Duration, draw: f64) -> Duration {
    let latest = wait.mul_f64(1.0 + SPREAD).min(longest);
    let earliest = latest.div_f64(1.0 + SPREAD);
    earliest + latest.saturating_sub(earliest).mul_f64(draw)
}
