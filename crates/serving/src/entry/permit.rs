//! Permits for requests to targets that name a limit.
//!
//! The agent beside a target issues them, or another one that all entries choose alike where the
//! target has none.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use kumquatkeel_core::serving::{PermitDecision, RefusalReason, Target, Urgency, permit_host};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::account::Unpaid;
use super::admission::AdmissionStep;
use super::attempt::AttemptPlan;
use super::exchange::Exchange;
use super::open_requests::Stage;
use super::selection::Step;
use super::state::{Shared, State};
use crate::gossip::{Datagram, LimitRecord, PermitReply, PermitRequest};

/// Longest wait for the reply of an issuer in the same region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest wait for the reply of an issuer in another region.
const REMOTE_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// How late a permit may be used, as after a pause of this process.
const PERMIT_TTL: Duration = Duration::from_millis(300);

/// Most permits that are requested in a row for one attempt.
const MAX_REQUESTS: u8 = 4;

/// What to do with a request that was to be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PermitStep {
    Send,
    /// Choose again; the target may accept a request after this time.
    Choose(Duration),
}

impl Exchange {
    /// Decides the next step of the request, and obtains the permit for it where one is needed.
    pub(super) async fn next_permitted_step(&mut self) -> Step {
        let mut reason = RefusalReason::TargetsClosed;
        let mut retry_after = Duration::ZERO;
        for _ in 0..MAX_REQUESTS {
            let mut plan = match self.next_step() {
                Step::Send(plan) => plan,
                step => return step,
            };
            self.enter(Stage::Payment);
            if let Some(unpaid) = self.charge().await.unpaid() {
                drop(plan);
                return wait_or_refuse(unpaid).await;
            }
            self.enter(Stage::Admission);
            match self.obtain_admission(&mut plan).await {
                AdmissionStep::Send => reason = RefusalReason::TargetsClosed,
                AdmissionStep::Choose(time) => {
                    (reason, retry_after) = (RefusalReason::Overload, time);
                    continue;
                }
                AdmissionStep::Refuse(time) => {
                    return Step::Refuse(RefusalReason::Overload, time);
                }
            }
            // The payment may be too old by now to be spent in the present window.
            self.enter(Stage::Payment);
            if let Some(unpaid) = self.charge().await.unpaid() {
                drop(plan);
                return wait_or_refuse(unpaid).await;
            }
            self.enter(Stage::Permit);
            match self.obtain_permit(&mut plan).await {
                PermitStep::Send => return Step::Send(plan),
                PermitStep::Choose(time) => retry_after = time,
            }
        }
        Step::Refuse(reason, retry_after)
    }

    /// Obtains a permit for a planned attempt if its target names a limit.
    async fn obtain_permit(&self, plan: &mut AttemptPlan) -> PermitStep {
        let asked = Instant::now();
        let (target, urgency) = (plan.target.clone(), self.urgency());
        let decision = (self.shared).request_permit(&target, urgency, plan.patience);
        let decision = decision.await;
        if decision != PermitDecision::NotNeeded {
            self.shared.instruments.record_permit(decision);
            log::debug!(request:% = self.request.attempt, target_id:% = target.id, decision:serde; "permit");
        }
        let millis = |ms| Duration::from_millis(u64::from(ms));
        let delay = match decision {
            PermitDecision::NotNeeded => return PermitStep::Send,
            PermitDecision::Denied { retry_ms } => return PermitStep::Choose(millis(retry_ms)),
            PermitDecision::Granted { delay_ms } => millis(delay_ms),
        };
        sleep(delay).await;
        let waited = asked.elapsed();
        if waited > delay + REMOTE_REPLY_TIMEOUT + PERMIT_TTL {
            return PermitStep::Choose(Duration::ZERO);
        }
        plan.terms.timeout = plan.terms.timeout.saturating_sub(waited);
        PermitStep::Send
    }

    /// Returns the urgency of the request among those that wait for a permit.
    pub(super) fn urgency(&self) -> Urgency {
        if self.is_first() {
            Urgency::Urgent
        } else {
            Urgency::Normal
        }
    }
}

/// Returns the step of a request that isn't paid for, after its wait for the payment. What is known of the
/// targets may be out of date by then.
async fn wait_or_refuse(unpaid: Unpaid) -> Step {
    match unpaid {
        Unpaid::Wait(until) => {
            sleep_until(until).await;
            Step::Wait(Duration::ZERO)
        }
        Unpaid::Refuse(reason, time) => Step::Refuse(reason, time),
    }
}

impl Shared {
    /// Requests a permit from the issuer for a target, and decides without one if it does not reply.
    async fn request_permit(
        &self,
        target: &Target,
        urgency: Urgency,
        patience: Duration,
    ) -> PermitDecision {
        let (number, receiver, reply_timeout) = {
            let now = self.now();
            let mut state = self.lock();
            let Some(rate) = state.limits.limit(&target.id) else {
                return PermitDecision::NotNeeded;
            };
            let issuer = state.permit_issuer(self, target);
            let silent = state.permits.is_issuer_silent(&target.id, now);
            let limit = LimitRecord::from_table(&state.limits, &target.id, now);
            let (Some(issuer), Some(limit), false) = (issuer, limit, silent) else {
                let entries = state.entries();
                return state.permits.take_turn(&target.id, rate, entries, now);
            };
            let (sender, receiver) = oneshot::channel();
            let number = state.register_permit(sender);
            let request = PermitRequest {
                number,
                limit,
                urgency,
                patience_ms: patience.as_millis() as u32,
            };
            self.gossip.send(issuer, &Datagram::Permit(request));
            let is_remote = self.is_remote(&target.data_centre);
            let reply_timeout = if is_remote {
                REMOTE_REPLY_TIMEOUT
            } else {
                REPLY_TIMEOUT
            };
            (number, receiver, reply_timeout)
        };
        let reply = timeout(reply_timeout, receiver).await;
        let now = self.now();
        let mut state = self.lock();
        state.permit_waiters.remove(&number);
        let Ok(Ok(reply)) = reply else {
            log::info!(target_id:% = target.id; "issuer of permits did not reply");
            state.permits.record_silence(&target.id, now);
            return PermitDecision::Denied { retry_ms: 0 };
        };
        let limit = reply.limit.as_ref();
        let changed = limit.is_some_and(|limit| limit.merge_into(&mut state.limits, now));
        (state.permits).record_reply(&target.id, urgency, reply.decision, now);
        drop(state);
        if changed {
            self.record_limit_change(&target.id);
        }
        reply.decision
    }

    /// Hands an issuer's reply to the request that waits for it.
    pub(super) fn handle_permit_reply(&self, reply: PermitReply) {
        let waiter = self.lock().permit_waiters.remove(&reply.number);
        if let Some(waiter) = waiter {
            // The caller may have left.
            let _ = waiter.send(reply);
        }
    }

    /// Records a limit that an agent spreads.
    pub(super) fn handle_limit_notice(&self, record: &LimitRecord) {
        let now = self.now();
        let mut state = self.lock();
        if state.objects.table.get(&record.target).is_none() {
            return;
        }
        let changed = record.merge_into(&mut state.limits, now);
        drop(state);
        if changed {
            self.record_limit_change(&record.target);
        }
    }

    /// Sends the issuer of permits for a target its changed limit.
    pub(super) fn report_limit(&self, target: &Target) {
        let now = self.now();
        let state = self.lock();
        let issuer = state.permit_issuer(self, target);
        let record = LimitRecord::from_table(&state.limits, &target.id, now);
        drop(state);
        if let (Some(issuer), Some(record)) = (issuer, record) {
            self.gossip.send(issuer, &Datagram::Limit(record));
        }
    }
}

impl State {
    /// Returns the address of the agent that issues the permits for a target; `None` if no agent is
    /// known.
    fn permit_issuer(&self, shared: &Shared, target: &Target) -> Option<SocketAddr> {
        if self.engine_spec(&target.service).is_some() {
            return Some(shared.settings.agent_of(target));
        }
        let engines = self.objects.table.all();
        let engines = engines.filter(|t| self.engine_spec(&t.service).is_some());
        let (near, far): (Vec<_>, Vec<_>) =
            engines.partition(|t| t.data_centre == target.data_centre);
        let engines = if near.is_empty() { far } else { near };
        let hosts: Vec<IpAddr> = engines.iter().map(|t| t.address.ip()).collect();
        let host = permit_host(target.id.as_str(), hosts)?;
        Some(SocketAddr::new(host, shared.settings.gossip.port()))
    }

    fn register_permit(&mut self, waiter: oneshot::Sender<PermitReply>) -> u64 {
        self.next_permit += 1;
        self.permit_waiters.retain(|_, waiter| !waiter.is_closed());
        self.permit_waiters.insert(self.next_permit, waiter);
        self.next_permit
    }
}
