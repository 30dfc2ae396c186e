//! The origin of a stream: recorded when it begins, and looked up when its caller resumes it.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{CallKind, StoredSlice, StreamOrigin, StreamScope, list_relays};
use tokio::time::{Instant, timeout_at};

use super::exchange::Exchange;
use crate::gossip::{Datagram, OriginQuery, OriginRecord};

/// Longest wait for the answer to one query for an origin: a round trip to another region.
const QUERY_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait for the store, for the versions and for the origin together.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

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
        let store_end = Instant::now() + STORE_TIMEOUT;
        let versions = match &origin {
            Some(_) => None,
            None => self.possible_versions().await,
        };
        let origin = match (&resumed.first_attempt, versions.as_deref()) {
            // It matters which of the versions began the stream, or they can't be found out.
            (Some(attempt), None | Some([_, _, ..])) if origin.is_none() => {
                self.find_stored_origin(attempt, store_end).await
            }
            _ => origin,
        };
        self.scope = StreamScope::of_resumed(origin.as_ref(), versions.as_deref());
        if let (StreamScope::Version(version), Some(attempt)) =
            (self.scope.clone(), resumed.first_attempt.clone())
        {
            let service = (origin.as_ref()).map_or(&self.service, |origin| &origin.service);
            let service = service.clone();
            self.keep_origin(attempt, StreamOrigin { service, version });
        }
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

    /// Returns all software versions that may have begun a stream of the service; `None` if they can't be found
    /// out. This entry may have started too late to know them from the list of targets.
    async fn possible_versions(&self) -> Option<Vec<Arc<str>>> {
        let shared = &self.shared;
        let recorded = shared.versions.versions(&self.service, self.arrival).await;
        let mut versions = recorded?;
        let now = shared.now();
        versions.extend((shared.lock().objects.table).recent_versions(&self.service, now));
        versions.sort_unstable();
        versions.dedup();
        Some(versions)
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
        let hosts = shared.origin_hosts();
        // The second query also reaches agents that were holders before hosts came or went.
        for asked in [hosts.holders(attempt), hosts.candidates(attempt)] {
            if let Some(origin) = known() {
                return Some(origin);
            }
            let query = OriginQuery {
                attempt: attempt.clone(),
            };
            let query = Datagram::FindOrigin(query);
            for host in asked {
                shared.gossip.send(shared.agent_at(host), &query);
            }
            let end = self.deadline().min(Instant::now() + QUERY_TIMEOUT);
            while let Ok(Ok(())) = timeout_at(end, origins_version.changed()).await {
                if let Some(origin) = known() {
                    return Some(origin);
                }
            }
        }
        None
    }

    /// Looks for the origin in the platform's store, where it is once no process knows it.
    async fn find_stored_origin(&self, attempt: &Arc<str>, end: Instant) -> Option<StreamOrigin> {
        let shared = &self.shared;
        let found = |stored: Vec<StoredSlice>| {
            let now = shared.now();
            let mut state = shared.lock();
            for slice in stored.iter().map(|stored| &stored.slice) {
                let until = now.after(slice.life());
                for (attempt, origin) in slice.origins() {
                    (state.origins).record(attempt.clone(), origin, until, now);
                }
            }
        };
        shared.origin_lookup.refresh(self.arrival, end, found).await;
        let now = shared.now();
        shared.lock().origins.get(attempt, now).cloned()
    }

    /// Records the version of a stream that may be resumed, before its first event is passed on.
    pub(super) fn record_origin(&mut self, version: &Arc<str>) {
        if !self.is_resumable() || self.scope != StreamScope::Any {
            return;
        }
        self.scope = StreamScope::Version(version.clone());
        let origin = StreamOrigin {
            service: self.service.clone(),
            version: version.clone(),
        };
        self.keep_origin(self.request.attempt.clone(), origin);
    }

    /// Keeps an origin here and at the agents that entries ask, for as long as the caller may resume its stream
    /// after this attempt.
    fn keep_origin(&self, attempt: Arc<str>, origin: StreamOrigin) {
        let shared = &self.shared;
        let now = shared.now();
        let life = self.route.stream_life(self.request.timeout);
        let left = life.saturating_sub(self.arrival.elapsed());
        let record = OriginRecord::new(attempt, origin, now.after(left), now);
        record.clone().insert_into(&mut shared.lock().origins, now);
        if let Some(keeper) = shared.origin_keeper.get() {
            keeper.record(record.clone());
        }
        let hosts: BTreeSet<IpAddr> = {
            let objects = &shared.lock().objects;
            let relays = list_relays(objects.agent_hosts(&shared.settings.locality));
            let holders = objects.origin_hosts().holders(&record.attempt);
            holders.into_iter().chain(relays).collect()
        };
        let record = Datagram::Began(record);
        for host in hosts {
            shared.gossip.send(shared.agent_at(host), &record);
        }
    }
}
