//! Which services have objectives that leave room for pacing.

use std::time::Duration;

use super::config::{CallKind, ServingConfig};

/// Smallest gap objective that a burst with a long prompt fits into.
const MIN_GAP: Duration = Duration::from_millis(350);
/// Gap objectives that must be shorter than the first-event objective: a first event waits for one
/// burst of other requests and for its own.
const FIRST_EVENT_GAPS: u32 = 2;

/// The objectives of a service whose stream routes all allow pacing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPacing {
    /// The smallest gap objective of the service's stream routes.
    pub gap: Duration,
}

impl StreamPacing {
    /// Returns the objectives of a service; `None` if it has no stream route, or one whose objectives
    /// don't allow pacing.
    pub fn for_service(config: &ServingConfig, service: &str) -> Option<Self> {
        let routes = config.routes.iter().filter(|route| {
            route.kind == CallKind::Stream && route.shares.iter().any(|s| *s.service == *service)
        });
        let gaps = routes.map(|route| {
            let allows = |gap: &Duration| {
                *gap >= MIN_GAP && route.objective > gap.saturating_mul(FIRST_EVENT_GAPS)
            };
            route.gap.filter(allows)
        });
        let gaps: Option<Vec<Duration>> = gaps.collect();
        let gap = gaps?.into_iter().min()?;
        Some(Self { gap })
    }
}
