//! Admits entries' requests to the engine in bursts, if the engine's service is paced.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::serving::{
    AdmissionDecision, AdmissionRequest, PrefillAdmission, StreamPacing,
};
use tokio::time::Instant;

use super::daemon::Agent;
use crate::gossip::{AdmitEnd, AdmitReply, AdmitRequest, Datagram};

/// A request, by its entry and the entry's number for it.
type RequestKey = (SocketAddr, u64);

/// What an agent has admitted to its engine, and what waits.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    admission: Option<PrefillAdmission<RequestKey>>,
}

impl AdmissionState {
    /// Forgets all requests, as the engine has started again.
    pub(super) fn clear(&mut self) {
        self.admission = None;
    }
}

impl Agent {
    /// Decides on an entry's request for admission to the engine.
    pub(super) fn handle_admit_request(&mut self, from: SocketAddr, request: &AdmitRequest) {
        let Some(pacing) = self.pacing().filter(|_| self.is_target(&request.target)) else {
            // The entry counts this agent as silent and sends the request without an admission.
            log::info!(entry:% = from, target_id:% = request.target; "admission request not answered");
            return;
        };
        let now = self.clock.now();
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        let wanted = AdmissionRequest {
            rank: request.rank,
            competitor: request.competitor,
            prefill: Duration::from_micros(u64::from(request.prefill_us)),
            objective: millis(request.objective_ms),
            max_wait: millis(request.max_wait_ms),
        };
        let burst = pacing.burst();
        let admission = &mut self.admission.admission;
        let admission = admission.get_or_insert_with(|| PrefillAdmission::new(burst));
        admission.set_burst(burst);
        let decision = admission.request((from, request.number), wanted, now);
        self.reply_admission((from, request.number), decision);
        self.advance_admission();
    }

    /// Records that a request has its first token, or won't have any.
    pub(super) fn handle_admit_end(&mut self, from: SocketAddr, end: AdmitEnd) {
        let now = self.clock.now();
        if let Some(admission) = &mut self.admission.admission {
            admission.finish(&(from, end.number), now);
            self.advance_admission();
        }
    }

    /// Answers the requests whose wait has ended.
    pub(super) fn advance_admission(&mut self) {
        let now = self.clock.now();
        let admission = self.admission.admission.as_mut();
        let decided = admission.map(|a| a.advance(now)).unwrap_or_default();
        for (key, decision) in decided {
            self.reply_admission(key, decision);
        }
    }

    /// Returns when waiting requests must be decided on next; `None` while none waits.
    pub(super) fn admission_due(&self) -> Option<Instant> {
        let due = self.admission.admission.as_ref()?.next_event()?;
        Some(self.clock.instant(due))
    }

    fn pacing(&self) -> Option<StreamPacing> {
        let target = self.target()?;
        StreamPacing::for_service(self.objects.config()?, &target.service)
    }

    fn reply_admission(&self, (entry, number): RequestKey, decision: AdmissionDecision) {
        self.instruments.record_admission(decision);
        let reply = AdmitReply {
            number,
            decision,
            others: self.peers.backlog_of_others(entry),
        };
        self.gossip.send(entry, &Datagram::AdmitReply(reply));
    }
}
