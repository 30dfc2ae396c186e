//! The task that runs one request: carries out the steps of its flow and feeds back the events.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::request::{FlowAnswer, FlowEvent, FlowSpec, FlowStep, RequestFlow};
use kumquatkeel_core::routing::{RouteProgress, RouteRequest, RouteStep};
use kumquatkeel_types::document::Service;
use kumquatkeel_types::message::Dispatch;
use kumquatkeel_types::{AttemptId, ErrorBody, Outcome, TargetName, Timestamp};
use log::debug;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::agent::{agent_address, fence, probe};
use super::attempt::AttemptStream;
use super::timing::ResponseTiming;
use super::tracker::AttemptTracker;
use crate::EntryState;
use crate::admission::AdmissionPermit;
use crate::call::{CallEnd, ClaimStep, ClaimedAttempt, KeyedCall};
use crate::demand::DemandGuard;
use crate::state::{RoutingState, ServiceState, lock};

/// Capacity of the channel to the caller, in outputs.
const OUTPUT_BUFFER: usize = 64;

/// Longest wait for a slow caller to accept the last output.
const FINAL_OUTPUT_TIMEOUT: Duration = Duration::from_secs(30);

/// A part of the response to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowOutput {
    /// The next token.
    Token(String),
    /// The end of a complete response.
    Done(FlowAnswer),
    /// The request failed; no complete response follows.
    Failed(ErrorBody),
}

/// A request that passed admission control, with everything needed to run it.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request as its flow needs it.
    pub spec: FlowSpec,
    /// The request as the routing policy needs it.
    pub route: RouteRequest,
    /// The configuration of the request's service.
    pub service: Arc<Service>,
    /// The call to claim in the ledger; `None` without an idempotency key.
    pub call: Option<KeyedCall>,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The service's admission permit, held until the request ends.
    pub admission_permit: AdmissionPermit,
    /// The permit of the entry's limit on concurrent requests, held until the request ends.
    pub permit: Arc<OwnedSemaphorePermit>,
    /// The guard that counts the request as demand for its model; `None` for plain calls.
    pub demand: Option<DemandGuard>,
}

/// Spawns the task of an admitted request and returns the receiver of its outputs.
///
/// Dropping the receiver tells the task that the caller has disconnected.
pub fn spawn_request(
    state: &Arc<EntryState>,
    input: AdmittedRequest,
) -> mpsc::Receiver<FlowOutput> {
    let (outputs, receiver) = mpsc::channel(OUTPUT_BUFFER);
    let (task, spec) = RequestTask::new(state.clone(), input, outputs);
    state.tasks.spawn(task.drive(spec));
    receiver
}

/// The state of a running request.
struct RequestTask {
    state: Arc<EntryState>,
    service_state: Arc<ServiceState>,
    service: Arc<Service>,
    route: Arc<RouteRequest>,
    call: Option<KeyedCall>,
    claimed: Option<AttemptId>,
    admission_permit: AdmissionPermit,
    _permit: Arc<OwnedSemaphorePermit>,
    demand: Option<DemandGuard>,
    outputs: mpsc::Sender<FlowOutput>,
    open_attempt: Option<(AttemptStream, AttemptTracker)>,
    timing: ResponseTiming,
    caller_left: bool,
}

impl RequestTask {
    fn new(
        state: Arc<EntryState>,
        input: AdmittedRequest,
        outputs: mpsc::Sender<FlowOutput>,
    ) -> (Self, FlowSpec) {
        let task = Self {
            service_state: state.service(&input.service),
            state,
            service: input.service,
            route: Arc::new(input.route),
            call: input.call,
            claimed: None,
            admission_permit: input.admission_permit,
            _permit: input.permit,
            demand: input.demand,
            outputs,
            open_attempt: None,
            timing: ResponseTiming::new(input.arrived),
            caller_left: false,
        };
        (task, input.spec)
    }

    async fn drive(mut self, spec: FlowSpec) {
        let (mut flow, mut step) = {
            let mut retries = lock(&self.service_state.retries);
            RequestFlow::start(spec, &mut retries.context())
        };
        while let Some(event) = self.execute(&flow, step).await {
            let now = self.state.clock.now();
            step = flow.handle(event, now, &mut lock(&self.service_state.retries).context());
        }
    }

    /// Carries out a step and returns the event that follows; `None` when the request has ended.
    async fn execute(&mut self, flow: &RequestFlow, step: FlowStep) -> Option<FlowEvent> {
        match step {
            FlowStep::Await | FlowStep::Ignore => return Some(self.next_event(flow).await),
            FlowStep::Emit { text, .. } => {
                self.send_token(flow, text).await;
                return Some(self.next_event(flow).await);
            }
            // Every other step closes the connection of the open attempt.
            _ => self.open_attempt = None,
        }
        match step {
            FlowStep::Route(progress) => Some(self.choose_target(&progress)),
            FlowStep::Probe(targets) => {
                probe(&self.state, &self.route, &targets).await;
                Some(FlowEvent::Probed)
            }
            FlowStep::Dispatch { target, dispatch } => {
                self.dispatch_attempt(flow, target, &dispatch).await
            }
            FlowStep::Fence { target, request } => Some(fence(&self.state, &target, request).await),
            FlowStep::Finish(answer) => {
                self.finish(answer).await;
                None
            }
            FlowStep::Fail(failure) => {
                let body = failure.into_body(flow.spec().id.clone());
                self.fail(body).await;
                None
            }
            FlowStep::Stop => {
                self.state
                    .metrics
                    .count_request(&self.service.name, Outcome::Unknown);
                None
            }
            _ => Some(self.next_event(flow).await),
        }
    }

    fn choose_target(&self, progress: &RouteProgress) -> FlowEvent {
        let now = self.state.clock.now();
        let mut routing = self.state.routing();
        let RoutingState { router, rng } = &mut *routing;
        let Some(router) = router else {
            return FlowEvent::NoTarget;
        };
        match router.route(&self.route, progress, now, rng) {
            RouteStep::NoTarget => FlowEvent::NoTarget,
            RouteStep::Probe(targets) => FlowEvent::ProbeWanted(targets),
            RouteStep::Dispatch(target) => {
                let agent = router.view().agent(&target);
                let incarnation = agent.map(|a| a.version.incarnation);
                FlowEvent::Chosen {
                    target,
                    incarnation,
                }
            }
        }
    }

    /// Sends an attempt; a call with an idempotency key is claimed in the ledger first.
    async fn dispatch_attempt(
        &mut self,
        flow: &RequestFlow,
        target: TargetName,
        dispatch: &Dispatch,
    ) -> Option<FlowEvent> {
        let Some(agent) = agent_address(&self.state, &target) else {
            return Some(FlowEvent::NotSent(dispatch.attempt.clone()));
        };
        match self.claim(&target, dispatch).await {
            ClaimStep::Send => {}
            ClaimStep::Replay(answer) => {
                self.send_final(FlowOutput::Done(answer), Outcome::Done)
                    .await;
                return None;
            }
            ClaimStep::Refuse(mut body) => {
                body.request = Some(flow.spec().id.clone());
                let outcome = body.outcome;
                self.send_final(FlowOutput::Failed(body), outcome).await;
                return None;
            }
        }
        debug!(target: "path", "path: sending attempt {} to {target}", dispatch.attempt);
        let tracker = AttemptTracker::start(&self.state, &self.route, target);
        let stream = AttemptStream::open(&self.state, agent, dispatch);
        self.open_attempt = Some((stream, tracker));
        Some(self.next_event(flow).await)
    }

    async fn claim(&mut self, target: &TargetName, dispatch: &Dispatch) -> ClaimStep {
        let Some(call) = &self.call else {
            return ClaimStep::Send;
        };
        let attempt = ClaimedAttempt {
            attempt: dispatch.attempt.clone(),
            target: target.clone(),
            incarnation: dispatch.incarnation.unwrap_or_default(),
        };
        let step = self.state.ledger.claim(call, &attempt).await;
        if step == ClaimStep::Send {
            self.claimed = Some(attempt.attempt);
        }
        step
    }

    /// Waits for the attempt's next event, the flow's due time or the caller's disconnection.
    async fn next_event(&mut self, flow: &RequestFlow) -> FlowEvent {
        let due = self.state.clock.instant(flow.due());
        let next = async {
            match &mut self.open_attempt {
                Some((stream, _)) => stream.next().await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            biased;
            event = next => event,
            () = self.outputs.closed(), if !self.caller_left => FlowEvent::CallerLeft,
            () = tokio::time::sleep_until(due) => FlowEvent::Timer,
        };
        if event == FlowEvent::CallerLeft {
            self.caller_left = true;
        }
        if let Some((_, tracker)) = &mut self.open_attempt {
            tracker.observe(&event);
        }
        event
    }

    async fn send_token(&mut self, flow: &RequestFlow, text: String) {
        let now = self.state.clock.now();
        if let Some(time) = self.timing.record_token(now) {
            self.state
                .metrics
                .record_first_token(&self.service.name, time);
        }
        let deadline = self.state.clock.instant(flow.spec().deadline);
        let sent = self.outputs.send(FlowOutput::Token(text));
        let _ = tokio::time::timeout_at(deadline, sent).await;
    }

    async fn finish(&mut self, answer: FlowAnswer) {
        let now = self.state.clock.now();
        self.admission_permit
            .set_run_time(self.timing.run_time(now));
        self.settle(CallEnd::Done(answer.clone())).await;
        let good = self.timing.is_within_limits(&self.service, now);
        self.state.record_burn(&self.service, good);
        self.send_final(FlowOutput::Done(answer), Outcome::Done)
            .await;
    }

    async fn fail(&mut self, body: ErrorBody) {
        let end = match body.outcome {
            Outcome::NotRun => CallEnd::NotRun,
            _ => CallEnd::Unknown,
        };
        self.settle(end).await;
        if let Some(demand) = &mut self.demand {
            demand.failed(body.code);
        }
        self.state.record_burn(&self.service, false);
        let outcome = body.outcome;
        debug!(target: "path", "path: request failed with outcome {outcome}: {}", body.message);
        self.send_final(FlowOutput::Failed(body), outcome).await;
    }

    async fn settle(&mut self, end: CallEnd) {
        if let (Some(call), Some(attempt)) = (&self.call, &self.claimed) {
            self.state.ledger.settle(call, attempt, end).await;
        }
    }

    async fn send_final(&mut self, output: FlowOutput, outcome: Outcome) {
        self.state
            .metrics
            .count_request(&self.service.name, outcome);
        let _ = tokio::time::timeout(FINAL_OUTPUT_TIMEOUT, self.outputs.send(output)).await;
    }
}
