//! Permits for requests to targets that name a limit.
//!
//! A limit holds over all entries together. Dividing it among them fails where it is lower than the
//! number of entries: an entry that may save up one request already takes more than its share, and
//! one that may not never sends any. So one process, which all entries choose alike, hands out each
//! single request as a permit, at the rate of the limit.

use std::collections::HashMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::request_rate::RequestRate;
use super::target::TargetId;
use super::token_bucket::{TokenBucket, whole_millis};

/// Time for which unused permits accumulate.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// The urgency of a request that needs a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// The request comes before others.
    Urgent,
    /// The request leaves permits for urgent ones.
    Normal,
}

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitDecision {
    /// The target names no limit.
    NotNeeded,
    /// One request may be sent.
    Granted {
        /// Time after which it may be sent, in milliseconds.
        delay_ms: u32,
    },
    /// No request may be sent now.
    Denied {
        /// Time until a permit is available, in milliseconds.
        retry_ms: u32,
    },
}

fn capacity(rate: RequestRate) -> f64 {
    1.0 + rate.per_second() * BURST_WINDOW.as_secs_f64()
}

fn decide(bucket: &mut TokenBucket, urgency: Urgency, patience: Duration) -> PermitDecision {
    // Other requests leave half of what accumulates, so that urgent ones come first.
    let reserve = match urgency {
        Urgency::Urgent => 0.0,
        Urgency::Normal => (bucket.capacity() - 1.0) / 2.0,
    };
    let wait = bucket.wait_for(1.0 + reserve);
    let wait_ms = whole_millis(wait);
    if wait <= patience {
        bucket.take(1.0);
        return PermitDecision::Granted { delay_ms: wait_ms };
    }
    PermitDecision::Denied { retry_ms: wait_ms }
}

/// Issues the permits for targets that name a limit.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{
///     PermitDecision, PermitIssuer, RequestRate, TargetId, Urgency,
/// };
/// use kumquatkeel_types::Timestamp;
///
/// let target = TargetId::from("t1");
/// let limit = RequestRate::try_from(2.0).ok();
/// let mut issuer = PermitIssuer::default();
/// let mut request = |ms| {
///     issuer.request(&target, limit, Urgency::Urgent, Duration::ZERO, Timestamp::from_millis(ms))
/// };
/// assert_eq!(request(0), PermitDecision::Denied { retry_ms: 500 });
/// assert_eq!(request(500), PermitDecision::Granted { delay_ms: 0 });
/// ```
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    buckets: HashMap<TargetId, TokenBucket>,
}

impl PermitIssuer {
    /// Decides on a request for a permit by the limit that the target names.
    ///
    /// The first one waits for a permit, as a predecessor of this issuer may just have issued some.
    /// Urgent requests come before others. A permit that is available within `patience` is granted
    /// with that delay.
    pub fn request(
        &mut self,
        target: &TargetId,
        limit: Option<RequestRate>,
        urgency: Urgency,
        patience: Duration,
        now: Timestamp,
    ) -> PermitDecision {
        let Some(rate) = limit else {
            self.buckets.remove(target);
            return PermitDecision::NotNeeded;
        };
        let (per_second, capacity) = (rate.per_second(), capacity(rate));
        let bucket = self.buckets.entry(target.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(per_second, capacity, 0.0, now));
        bucket.set_limit(per_second, capacity, now);
        decide(bucket, urgency, patience)
    }

    /// Returns the targets for which this process has issued permits.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.buckets.keys()
    }

    /// Drops the targets for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.buckets.retain(|id, _| keep(id));
    }
}
