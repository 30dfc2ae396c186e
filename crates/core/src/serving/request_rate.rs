//! A rate of requests, as a target names it.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Lowest rate, in requests per 1,000 seconds; a lower one counts as this. Requests at this rate
/// still show when the limit ends.
const MIN_MILLIS: f64 = 100.0;
/// Highest rate, in requests per 1,000 seconds; a higher one counts as this.
const MAX_MILLIS: f64 = 1e9;

/// A number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("{_0} is not a rate: it is negative or not finite")]
pub struct InvalidRate(#[error(not(source))] f64);

/// A positive rate of requests, with a resolution of one request in 1,000 seconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::RequestRate;
///
/// let rate = RequestRate::try_from(2.5).unwrap();
/// assert_eq!(rate.interval(), Duration::from_millis(400));
/// assert!(RequestRate::try_from(-1.0).is_err());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second().max(f64::MIN_POSITIVE))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    /// Converts requests per second; zero counts as the lowest rate.
    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidRate(per_second));
        }
        let millis = (per_second * 1_000.0).clamp(MIN_MILLIS, MAX_MILLIS);
        Ok(Self(millis as u64))
    }
}
