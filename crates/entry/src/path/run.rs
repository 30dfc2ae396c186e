//! The task that runs one request: carries out the steps of its flow and feeds back the events.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::request::{
    AttemptProgress, FlowAnswer, FlowEvent, FlowSpec, FlowStep, RequestFlow,
};
use kumquatkeel_core::routing::{RouteProgress, RouteRequest, RouteStep};
use kumquatkeel_types::document::Service;
use kumquatkeel_types::message::Dispatch;
use kumquatkeel_types::{AttemptId, ErrorBody, ErrorCode, Outcome, TargetName, Timestamp};
use log::debug;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

use super::agent::{agent_address, fence, probe};
use super::attempt::AttemptStream;
use super::time_limit::TimeLimit;
use super::timing::ResponseTiming;
use super::tracker::AttemptTracker;
use crate::EntryState;
use crate::admission::AdmissionPermit;
use crate::api::responses::not_run;
use crate::call::{CallEnd, ClaimStep, ClaimedAttempt, KeyedCall};
use crate::demand::DemandGuard;
use crate::state::{RoutingState, ServiceState, lock};

/// Capacity of the channel to the caller, in outputs.
const OUTPUT_BUFFER: usize = 64;

/// Longest wait for a slow caller to accept the last output.
const FINAL_OUTPUT_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay of a call whose claim ended without a decision.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

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

/// How a request has ended.
enum RequestEnd {
    /// It has its answer.
    Done(FlowAnswer),
    /// It failed; the end of a claimed call is recorded.
    Failed(ErrorBody),
    /// The ledger has the answer of an earlier request with its key.
    Replayed(FlowAnswer),
    /// The ledger refuses the call.
    Refused(ErrorBody),
    /// Its caller has disconnected.
    Left,
}

/// What follows a step of a request.
enum Progress {
    Event(FlowEvent),
    End(RequestEnd),
}

/// A claim that is waited for, with its attempt.
type PendingClaim = (AttemptId, oneshot::Receiver<ClaimStep>);

/// The state of a running request.
struct RequestTask {
    state: Arc<EntryState>,
    service_state: Arc<ServiceState>,
    service: Arc<Service>,
    route: Arc<RouteRequest>,
    call: Option<KeyedCall>,
    claiming: Option<PendingClaim>,
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
            claiming: None,
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
        let limit = TimeLimit::new(self.state.clone(), spec.deadline);
        let (mut flow, step) = {
            let mut retries = lock(&self.service_state.retries);
            RequestFlow::start(spec, &mut retries.context())
        };
        let end = match limit.bound(self.run(&mut flow, step)).await {
            Ok(end) => end,
            Err(reason) => self.end_early(&mut flow, reason),
        };
        self.open_attempt = None;
        self.conclude(end, &limit).await;
    }

    /// Carries out the flow's steps to the end of the request.
    async fn run(&mut self, flow: &mut RequestFlow, mut step: FlowStep) -> RequestEnd {
        loop {
            match self.execute(flow, step).await {
                Progress::Event(event) => {
                    let now = self.state.clock.now();
                    let mut retries = lock(&self.service_state.retries);
                    step = flow.handle(event, now, &mut retries.context());
                }
                Progress::End(end) => return end,
            }
        }
    }

    /// Ends a request whose time has ended.
    fn end_early(&mut self, flow: &mut RequestFlow, reason: ErrorCode) -> RequestEnd {
        let failure = flow.end(self.withdraw_claim(), reason);
        RequestEnd::Failed(failure.into_body(flow.spec().id.clone()))
    }

    /// Withdraws a claim that is waited for; if it was made meanwhile, it is settled at the end.
    fn withdraw_claim(&mut self) -> AttemptProgress {
        let Some((attempt, mut claim)) = self.claiming.take() else {
            return AttemptProgress::Sent;
        };
        claim.close();
        if matches!(claim.try_recv(), Ok(ClaimStep::Send)) {
            self.claimed = Some(attempt);
        }
        AttemptProgress::Unsent
    }

    /// Carries out a step and returns the event that follows, or the end of the request.
    async fn execute(&mut self, flow: &RequestFlow, step: FlowStep) -> Progress {
        match step {
            FlowStep::Await | FlowStep::Ignore => {
                return Progress::Event(self.next_event(flow).await);
            }
            FlowStep::Emit { text, .. } => {
                self.send_token(text).await;
                return Progress::Event(self.next_event(flow).await);
            }
            // Every other step closes the connection of the open attempt.
            _ => self.open_attempt = None,
        }
        let event = match step {
            FlowStep::Route(progress) => self.choose_target(&progress),
            FlowStep::Probe(targets) => {
                probe(&self.state, &self.route, &targets).await;
                FlowEvent::Probed
            }
            FlowStep::Dispatch { target, dispatch } => {
                return self.dispatch_attempt(flow, target, *dispatch).await;
            }
            FlowStep::Fence { target, request } => fence(&self.state, &target, request).await,
            FlowStep::Finish(answer) => return Progress::End(RequestEnd::Done(answer)),
            FlowStep::Fail(failure) => {
                let body = failure.into_body(flow.spec().id.clone());
                return Progress::End(RequestEnd::Failed(body));
            }
            FlowStep::Stop => return Progress::End(RequestEnd::Left),
            _ => self.next_event(flow).await,
        };
        Progress::Event(event)
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
        mut dispatch: Dispatch,
    ) -> Progress {
        let Some(agent) = agent_address(&self.state, &target) else {
            return Progress::Event(FlowEvent::NotSent(dispatch.attempt));
        };
        match self.claim(&target, &dispatch).await {
            ClaimStep::Send => {}
            ClaimStep::Replay(answer) => return Progress::End(RequestEnd::Replayed(answer)),
            ClaimStep::Refuse(mut body) => {
                body.request = Some(flow.spec().id.clone());
                return Progress::End(RequestEnd::Refused(body));
            }
        }
        let left = flow.time_left(self.state.clock.now()).unwrap_or_default();
        dispatch.deadline_ms = left.as_millis() as u64;
        dispatch.first_token_ms = dispatch.first_token_ms.min(dispatch.deadline_ms);
        debug!(target: "path", "path: sending attempt {} to {target}", dispatch.attempt);
        let tracker = AttemptTracker::start(&self.state, &self.route, target);
        let stream = AttemptStream::open(&self.state, agent, &dispatch);
        self.open_attempt = Some((stream, tracker));
        Progress::Event(self.next_event(flow).await)
    }

    /// Claims the call for an attempt.
    ///
    /// The ledger's work goes on if the request ends meanwhile; a claim that nobody waits for any
    /// more is settled as not run.
    async fn claim(&mut self, target: &TargetName, dispatch: &Dispatch) -> ClaimStep {
        let Some(call) = self.call.clone() else {
            return ClaimStep::Send;
        };
        let attempt = ClaimedAttempt {
            attempt: dispatch.attempt.clone(),
            target: target.clone(),
            incarnation: dispatch.incarnation.unwrap_or_default(),
        };
        let ledger = self.state.ledger.clone();
        let (sender, receiver) = oneshot::channel();
        let (_, claim) = (self.claiming).insert((attempt.attempt.clone(), receiver));
        self.state.tasks.spawn(async move {
            let step = ledger.claim(&call, &attempt).await;
            if let Err(ClaimStep::Send) = sender.send(step) {
                let end = CallEnd::NotRun;
                ledger.settle(&call, &attempt.attempt, end).await;
            }
        });
        let step = claim.await;
        self.claiming = None;
        if let Ok(ClaimStep::Send) = step {
            self.claimed = Some(dispatch.attempt.clone());
        }
        step.unwrap_or_else(|_| ClaimStep::Refuse(claim_failed()))
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

    async fn send_token(&mut self, text: String) {
        let now = self.state.clock.now();
        if let Some(time) = self.timing.record_token(now) {
            self.state
                .metrics
                .record_first_token(&self.service.name, time);
        }
        // Fails if the caller has left, which is reported as the next event.
        let _ = self.outputs.send(FlowOutput::Token(text)).await;
    }

    /// Records the end of the request and passes it on to the caller.
    async fn conclude(&mut self, end: RequestEnd, limit: &TimeLimit) {
        match end {
            RequestEnd::Done(answer) => self.finish(answer, limit).await,
            RequestEnd::Failed(body) => self.fail(body, limit).await,
            RequestEnd::Replayed(answer) => {
                self.send_final(FlowOutput::Done(answer), Outcome::Done)
                    .await;
            }
            RequestEnd::Refused(body) => {
                let outcome = body.outcome;
                self.send_final(FlowOutput::Failed(body), outcome).await;
            }
            RequestEnd::Left => {
                self.state
                    .metrics
                    .count_request(&self.service.name, Outcome::Unknown);
            }
        }
    }

    async fn finish(&mut self, answer: FlowAnswer, limit: &TimeLimit) {
        let now = self.state.clock.now();
        self.admission_permit
            .set_run_time(self.timing.run_time(now));
        self.settle(CallEnd::Done(answer.clone()), limit).await;
        let good = self.timing.is_within_limits(&self.service, now);
        self.state.record_burn(&self.service, good);
        self.send_final(FlowOutput::Done(answer), Outcome::Done)
            .await;
    }

    async fn fail(&mut self, body: ErrorBody, limit: &TimeLimit) {
        let end = match body.outcome {
            Outcome::NotRun => CallEnd::NotRun,
            _ => CallEnd::Unknown,
        };
        self.settle(end, limit).await;
        if let Some(demand) = &mut self.demand {
            demand.failed(body.code);
        }
        self.state.record_burn(&self.service, false);
        let outcome = body.outcome;
        debug!(target: "path", "path: request failed with outcome {outcome}: {}", body.message);
        self.send_final(FlowOutput::Failed(body), outcome).await;
    }

    /// Records the end of a claimed call; it is waited for until the request must end, and goes on
    /// after that.
    async fn settle(&mut self, end: CallEnd, limit: &TimeLimit) {
        let (Some(call), Some(attempt)) = (self.call.clone(), self.claimed.take()) else {
            return;
        };
        let ledger = self.state.ledger.clone();
        let settle = async move { ledger.settle(&call, &attempt, end).await };
        let _ = limit.bound(self.state.tasks.spawn(settle)).await;
    }

    async fn send_final(&mut self, output: FlowOutput, outcome: Outcome) {
        self.state
            .metrics
            .count_request(&self.service.name, outcome);
        let _ = tokio::time::timeout(FINAL_OUTPUT_TIMEOUT, self.outputs.send(output)).await;
    }
}

/// Builds the error of a call whose claim ended without a decision.
fn claim_failed() -> ErrorBody {
    let message = "the claim of the call failed";
    not_run(ErrorCode::StoreUnavailable, message, CLAIM_RETRY_DELAY)
}
