//! Issues permits for requests to targets that name a limit, and spreads what targets name.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::serving::{
    LimitTable, PermitIssuer, RequestRate, StatedLimit, TargetId, TargetNotice,
};
use kumquatkeel_types::Timestamp;

use super::daemon::Agent;
use crate::gossip::{Datagram, LimitRecord, PermitReply, PermitRequest};

/// What an agent knows of targets that name a limit.
#[derive(Debug, Default)]
pub(super) struct PermitState {
    limits: LimitTable,
    issuer: PermitIssuer,
    /// The incarnation that names its limit in the engine's report too.
    reported: Option<TargetId>,
    last_notice: Timestamp,
}

impl PermitState {
    /// Returns the targets that name a limit.
    pub(super) fn limited_among<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetId>,
    ) -> BTreeSet<TargetId> {
        let targets = targets.into_iter();
        let limited = targets.filter(|id| self.limits.limit(id).is_some());
        limited.cloned().collect()
    }
}

impl Agent {
    /// Answers an entry's request for a permit.
    pub(super) fn handle_permit_request(&mut self, from: SocketAddr, request: &PermitRequest) {
        self.handle_limit(&request.limit);
        let now = self.clock.now();
        let state = &mut self.permits;
        let target = &request.limit.target;
        let patience = Duration::from_millis(u64::from(request.patience_ms));
        let limit = state.limits.limit(target);
        let decision = (state.issuer).request(target, limit, request.urgency, patience, now);
        let reply = PermitReply {
            number: request.number,
            limit: LimitRecord::from_table(&state.limits, target, now),
            decision,
        };
        self.gossip.send(from, &Datagram::PermitReply(reply));
    }

    /// Records a limit of a target for which this agent issues permits.
    pub(super) fn handle_limit(&mut self, record: &LimitRecord) {
        let now = self.clock.now();
        if record.merge_into(&mut self.permits.limits, now) {
            self.publish_limit(&record.target);
        }
    }

    /// Records a limit that another agent spreads.
    pub(super) fn handle_limit_notice(&mut self, record: &LimitRecord) {
        let now = self.clock.now();
        record.merge_into(&mut self.permits.limits, now);
    }

    /// Records what the engine states about itself in the head of its report, if the list shows the
    /// incarnation that reports.
    pub(super) fn record_engine_notice(&mut self, notice: TargetNotice) {
        let Some(target) = self.target().filter(|t| t.born == self.engine_born) else {
            return;
        };
        if notice.leaving {
            self.handle_leaving(&target.incarnation());
        }
        self.record_engine_limit(&target.id, notice.limit);
    }

    fn record_engine_limit(&mut self, target: &TargetId, stated: StatedLimit) {
        let now = self.clock.now();
        let state = &mut self.permits;
        // An engine that names its limit in other answers only is not unlimited.
        if stated == StatedLimit::Absent && state.reported.as_ref() != Some(target) {
            return;
        }
        state.reported = matches!(stated, StatedLimit::Rate(_)).then(|| target.clone());
        if state.limits.record(target, stated, now) {
            self.publish_limit(target);
        }
    }

    /// Sends limits that hold, from time to time.
    pub(super) fn publish_limits(&mut self) {
        let now = self.clock.now();
        let table = &self.objects.table;
        let state = &mut self.permits;
        if now.since(state.last_notice) < self.peers.notice_interval() {
            return;
        }
        state.last_notice = now;
        state.limits.follow(table, now);
        let limits = &state.limits;
        state.issuer.retain(|id| limits.limit(id).is_some());
        let issued: Vec<TargetId> = state.issuer.targets().cloned().collect();
        for target in issued {
            self.publish_limit(&target);
        }
    }

    /// Sends the limit of a target to all known entries, and to the agents that may plan.
    fn publish_limit(&self, target: &TargetId) {
        let now = self.clock.now();
        let Some(record) = LimitRecord::from_table(&self.permits.limits, target, now) else {
            return;
        };
        let per_second = record.rate.map(RequestRate::per_second);
        log::debug!(target_id:% = target, per_second:serde; "limit of a target published");
        let notice = Datagram::LimitNotice(record);
        for peer in self.peers.entries().chain(self.peers.planner_candidates()) {
            self.gossip.send(peer, &notice);
        }
    }
}
