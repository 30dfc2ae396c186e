//! Admission of requests to engines of a paced service, by the agents beside them.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{AdmissionDecision, AdmissionRequest, FIRST_STEP, Target};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::attempt::AttemptPlan;
use super::exchange::{Exchange, millis};
use super::state::{Shared, State};
use crate::gossip::{AdmitEnd, AdmitReply, AdmitRequest, Datagram};

/// Longest wait for an agent's first reply in the same region, and for another after each repetition.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest wait for the reply of an agent in another region.
const REMOTE_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a request that waits is sent again, as the decision may have been lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Repetitions without a reply after which the agent counts as silent.
const MAX_SILENT: u32 = 2;

/// What to do with a request that an engine was chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AdmissionStep {
    Send,
    /// Choose again; the wait at this engine is predicted to be this long.
    Choose(Duration),
    /// Refuse the request, which has waited for as long as it can; the wait is predicted to be this long.
    Refuse(Duration),
}

/// A request at an agent, which is told of the end of its prefill when this is dropped.
#[derive(Debug)]
pub(super) struct AdmissionGuard {
    shared: Arc<Shared>,
    target: Arc<Target>,
    number: u64,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let end = AdmitEnd {
            number: self.number,
        };
        self.shared.lock().admission_waiters.remove(&self.number);
        let agent = self.shared.settings.agent_of(&self.target);
        self.shared.gossip.send(agent, &Datagram::AdmitEnd(end));
    }
}

impl Exchange {
    /// Waits until the agent beside the chosen engine admits the request, if the service is paced.
    /// An agent that does not reply is not waited for.
    pub(super) async fn obtain_admission(&self, plan: &mut AttemptPlan) -> AdmissionStep {
        let Some(mut request) = plan.admission else {
            return AdmissionStep::Send;
        };
        let asked = Instant::now();
        let spent = asked - plan.chosen;
        request.objective = request.objective.saturating_sub(spent);
        request.max_wait = request.max_wait.saturating_sub(spent);
        let (decision, has_waited) = self.request_admission(plan, request).await;
        let waited = asked.elapsed();
        self.shared.instruments.record_admission_wait(waited);
        log::debug!(
            request:% = self.request.attempt, target_id:% = plan.target.id, decision:serde,
            waited_ms = millis(waited);
            "admission"
        );
        plan.terms.timeout = plan.terms.timeout.saturating_sub(waited);
        match decision {
            Some(AdmissionDecision::Denied { wait_ms }) => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                if has_waited && request.rank.late {
                    return AdmissionStep::Refuse(wait);
                }
                return AdmissionStep::Choose(wait);
            }
            Some(AdmissionDecision::Admitted { ahead_ms }) => {
                let ahead = Duration::from_millis(u64::from(ahead_ms));
                let path = self.shared.path_cost(&plan.target.data_centre);
                plan.predicted = path + ahead + request.prefill + FIRST_STEP;
            }
            Some(AdmissionDecision::Queued) | None => {}
        }
        AdmissionStep::Send
    }

    /// Asks the agent until it has decided; `None` if it does not reply. Also returns whether the request
    /// has waited at the agent.
    async fn request_admission(
        &self,
        plan: &mut AttemptPlan,
        wanted: AdmissionRequest,
    ) -> (Option<AdmissionDecision>, bool) {
        let shared = &self.shared;
        let target = &plan.target;
        let agent = shared.settings.agent_of(target);
        let reply_timeout = if shared.is_remote(&target.data_centre) {
            REMOTE_REPLY_TIMEOUT
        } else {
            REPLY_TIMEOUT
        };
        let (number, mut replies) = shared.lock().register_admission();
        plan.guard.set_admission(AdmissionGuard {
            shared: shared.clone(),
            target: target.clone(),
            number,
        });
        let end = Instant::now() + wanted.max_wait;
        let clamp = |time: Duration| time.as_millis().min(u128::from(u32::MAX)) as u32;
        let (mut silent, mut is_queued) = (0, false);
        while silent < MAX_SILENT {
            let left = end.saturating_duration_since(Instant::now());
            let request = AdmitRequest {
                number,
                target: target.id.clone(),
                rank: wanted.rank,
                competitor: wanted.competitor,
                prefill_us: wanted.prefill.as_micros().min(u128::from(u32::MAX)) as u32,
                objective_ms: clamp(wanted.objective),
                max_wait_ms: clamp(left),
            };
            shared.gossip.send(agent, &Datagram::Admit(request));
            let mut until = Instant::now() + reply_timeout;
            silent += 1;
            while let Ok(Some(reply)) = timeout_at(until, replies.recv()).await {
                shared.record_admit_reply(target, &reply);
                silent = 0;
                if reply.decision != AdmissionDecision::Queued {
                    return (Some(reply.decision), is_queued);
                }
                is_queued = true;
                until = Instant::now() + REPEAT_INTERVAL;
            }
            if is_queued && Instant::now() > end + reply_timeout {
                // The agent's denial may have been lost.
                return (Some(AdmissionDecision::Denied { wait_ms: 0 }), true);
            }
        }
        log::info!(request:% = self.request.attempt, target_id:% = target.id; "agent did not decide on admission");
        (None, is_queued)
    }
}

impl Shared {
    /// Hands an agent's reply to the request that waits for it.
    pub(super) fn handle_admit_reply(&self, reply: AdmitReply) {
        let state = self.lock();
        if let Some(waiter) = state.admission_waiters.get(&reply.number) {
            // The caller may have left.
            let _ = waiter.send(reply);
        }
    }

    fn record_admit_reply(&self, target: &Target, reply: &AdmitReply) {
        let now = self.now();
        self.lock().update_engine(&target.id, |engine| {
            engine.peer_backlog = reply.others;
            engine.peers_updated = Some(now);
            engine.record_heard(now);
        });
    }
}

impl State {
    fn register_admission(&mut self) -> (u64, mpsc::UnboundedReceiver<AdmitReply>) {
        self.next_admission += 1;
        let (sender, receiver) = mpsc::unbounded_channel();
        self.admission_waiters.insert(self.next_admission, sender);
        (self.next_admission, receiver)
    }
}
