//! The origin of a stream: recorded when it begins, and looked up when its caller resumes it.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{CallKind, StreamOrigin, StreamScope};
use tokio::time::{Instant, timeout_at};

use super::exchange::Exchange;
use crate::gossip::{Datagram, OriginQuery, OriginRecord};

/// Longest wait for the answer to one query for an origin: a round trip to another region.
const QUERY_TIMEOUT: Duration = Duration::from_millis(120);
/// Number of queries for an origin, as datagrams may be lost.
const QUERIES: u32 = 2;

impl Exchange {
    /// Limits a stream that its caller resumes to the version that began it, and to the service if
    /// the route still has it.
    pub(super) async fn find_scope(&mut self) {
        if self.route.kind != CallKind::Stream {
            return;
        }
        let Some(resumed) = self.request.resume.clone() else {
            return;
        };
        let origin = match &resumed.first_attempt {
            Some(attempt) => self.find_origin(attempt).await,
            None => None,
        };
        let now = self.shared.now();
        let state = self.shared.lock();
        let versions = state.objects.table.recent_versions(&self.service, now);
        drop(state);
        self.scope = StreamScope::of_resumed(origin.as_ref(), &versions);
        log::info!(
            request:% = self.request.attempt, first_attempt = resumed.first_attempt.as_deref(),
            origin = origin.as_ref().map(|o| &*o.version), versions:serde = versions;
            "stream resumed by its caller"
        );
        let Some(origin) = origin else {
            return;
        };
        let mut services = self.route.shares.iter().map(|share| &share.service);
        if services.any(|service| *service == origin.service) {
            self.service = origin.service;
        }
    }

    /// Returns the origin of the stream that an attempt began; asks the agents that keep it if this
    /// entry does not know it.
    async fn find_origin(&self, attempt: &Arc<str>) -> Option<StreamOrigin> {
        let shared = &self.shared;
        let known = || {
            let now = shared.now();
            shared.lock().origins.get(attempt, now).cloned()
        };
        let mut origins_version = shared.origins_version.subscribe();
        let holders = shared.origin_holders(attempt);
        for _ in 0..QUERIES {
            if let Some(origin) = known() {
                return Some(origin);
            }
            let query = OriginQuery {
                attempt: attempt.clone(),
            };
            let query = Datagram::FindOrigin(query);
            for holder in &holders {
                shared.gossip.send(*holder, &query);
            }
            let end = self.deadline.min(Instant::now() + QUERY_TIMEOUT);
            while let Ok(Ok(())) = timeout_at(end, origins_version.changed()).await {
                if let Some(origin) = known() {
                    return Some(origin);
                }
            }
        }
        None
    }

    /// Records the version of a stream that may be resumed, before its first event is passed on.
    pub(super) fn record_origin(&mut self, version: &Arc<str>) {
        if !self.is_resumable() || self.scope != StreamScope::Any {
            return;
        }
        self.scope = StreamScope::Version(version.clone());
        // A stream that its caller resumed keeps the origin of its first attempt.
        if self.request.resume.is_some() {
            return;
        }
        let record = OriginRecord {
            attempt: self.request.attempt.clone(),
            origin: StreamOrigin {
                service: self.service.clone(),
                version: version.clone(),
            },
        };
        let now = self.shared.now();
        let (attempt, origin) = (record.attempt.clone(), record.origin.clone());
        self.shared.lock().origins.record(attempt, origin, now);
        let holders = self.shared.origin_holders(&record.attempt);
        let record = Datagram::Began(record);
        for holder in holders {
            self.shared.gossip.send(holder, &record);
        }
    }
}
