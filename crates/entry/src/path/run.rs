//! Drives one request's flow over real connections.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::request::{FlowAnswer, FlowEvent, FlowSpec, FlowStep, RequestFlow};
use kumquatkeel_core::routing::{RouteProgress, RouteRequest, RouteStep};
use kumquatkeel_types::document::Service;
use kumquatkeel_types::message::Dispatch;
use kumquatkeel_types::{AttemptId, ErrorBody, Outcome, TargetName, Timestamp};
use log::debug;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::agent::{address_of, fence, probe};
use super::attempt::AttemptStream;
use super::pace::Pace;
use super::watch::OpenAttempt;
use crate::EntryState;
use crate::admission::AdmissionPermit;
use crate::call::{CallEnd, ClaimStep, ClaimedAttempt, KeyedCall};
use crate::demand::DemandGuard;
use crate::state::{RoutingState, ServiceState, lock};

/// Outputs that wait for a slow caller.
const OUTPUTS: usize = 64;

/// Longest wait for a slow caller to take the end of its answer.
const LAST_OUTPUT: Duration = Duration::from_secs(30);

/// What a caller gets of its request.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowOutput {
    /// The next token.
    Token(String),
    /// The whole answer.
    Done(FlowAnswer),
    /// There is no whole answer.
    Failed(ErrorBody),
}

/// A request that may run.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request.
    pub spec: FlowSpec,
    /// What the routing policy needs to know of it.
    pub route: RouteRequest,
    /// The service.
    pub service: Arc<Service>,
    /// The call, when it has an idempotency key.
    pub call: Option<KeyedCall>,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The place at the service's gate.
    pub admission_permit: AdmissionPermit,
    /// The permit among the entry's requests, kept until the request ends.
    pub permit: Arc<OwnedSemaphorePermit>,
    /// Counts the request's demand for a model.
    pub demand: Option<DemandGuard>,
}

/// Starts a request; its outputs come through the receiver, whose end means that the caller left.
pub fn spawn_request(
    state: &Arc<EntryState>,
    input: AdmittedRequest,
) -> mpsc::Receiver<FlowOutput> {
    let (outputs, receiver) = mpsc::channel(OUTPUTS);
    let (run, spec) = Run::new(state.clone(), input, outputs);
    state.tasks.spawn(run.drive(spec));
    receiver
}

/// A request on its way.
struct Run {
    state: Arc<EntryState>,
    retries: Arc<ServiceState>,
    service: Arc<Service>,
    route: Arc<RouteRequest>,
    call: Option<KeyedCall>,
    claimed: Option<AttemptId>,
    admission_permit: AdmissionPermit,
    _permit: Arc<OwnedSemaphorePermit>,
    demand: Option<DemandGuard>,
    outputs: mpsc::Sender<FlowOutput>,
    open: Option<(AttemptStream, OpenAttempt)>,
    pace: Pace,
    left: bool,
}

impl Run {
    fn new(
        state: Arc<EntryState>,
        input: AdmittedRequest,
        outputs: mpsc::Sender<FlowOutput>,
    ) -> (Self, FlowSpec) {
        let run = Self {
            retries: state.service(&input.service),
            state,
            service: input.service,
            route: Arc::new(input.route),
            call: input.call,
            claimed: None,
            admission_permit: input.admission_permit,
            _permit: input.permit,
            demand: input.demand,
            outputs,
            open: None,
            pace: Pace::new(input.arrived),
            left: false,
        };
        (run, input.spec)
    }

    async fn drive(mut self, spec: FlowSpec) {
        let (mut flow, mut step) = {
            let mut retries = lock(&self.retries.retries);
            RequestFlow::start(spec, &mut retries.context())
        };
        while let Some(event) = self.carry_out(&flow, step).await {
            let now = self.state.clock.now();
            step = flow.handle(event, now, &mut lock(&self.retries.retries).context());
        }
    }

    /// Does what a step asks for, and returns what happened; none when the request is over.
    async fn carry_out(&mut self, flow: &RequestFlow, step: FlowStep) -> Option<FlowEvent> {
        match step {
            FlowStep::Await | FlowStep::Ignore => return Some(self.wait(flow).await),
            FlowStep::Emit { text, .. } => {
                self.emit(flow, text).await;
                return Some(self.wait(flow).await);
            }
            _ => self.open = None,
        }
        match step {
            FlowStep::Route(progress) => Some(self.choose(&progress)),
            FlowStep::Probe(targets) => {
                probe(&self.state, &self.route, &targets).await;
                Some(FlowEvent::Probed)
            }
            FlowStep::Dispatch { target, dispatch } => self.send(flow, target, &dispatch).await,
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
            _ => Some(self.wait(flow).await),
        }
    }

    fn choose(&self, progress: &RouteProgress) -> FlowEvent {
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

    /// Sends an attempt, after the ledger has taken the claim of a call with a key.
    async fn send(
        &mut self,
        flow: &RequestFlow,
        target: TargetName,
        dispatch: &Dispatch,
    ) -> Option<FlowEvent> {
        let Some(agent) = address_of(&self.state, &target) else {
            return Some(FlowEvent::NotSent(dispatch.attempt.clone()));
        };
        match self.claim(&target, dispatch).await {
            ClaimStep::Send => {}
            ClaimStep::Replay(answer) => {
                self.tell(FlowOutput::Done(answer), Outcome::Done).await;
                return None;
            }
            ClaimStep::Refuse(mut body) => {
                body.request = Some(flow.spec().id.clone());
                let outcome = body.outcome;
                self.tell(FlowOutput::Failed(body), outcome).await;
                return None;
            }
        }
        debug!(target: "path", "path: attempt {} goes to {target}", dispatch.attempt);
        let counted = OpenAttempt::start(&self.state, &self.route, target);
        let stream = AttemptStream::open(&self.state, agent, dispatch);
        self.open = Some((stream, counted));
        Some(self.wait(flow).await)
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

    /// Waits for the attempt's next event, the flow's due time or the caller's leaving.
    async fn wait(&mut self, flow: &RequestFlow) -> FlowEvent {
        let due = self.state.clock.instant(flow.due());
        let next = async {
            match &mut self.open {
                Some((stream, _)) => stream.next().await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            biased;
            event = next => event,
            () = self.outputs.closed(), if !self.left => FlowEvent::CallerLeft,
            () = tokio::time::sleep_until(due) => FlowEvent::Timer,
        };
        if event == FlowEvent::CallerLeft {
            self.left = true;
        }
        if let Some((_, counted)) = &mut self.open {
            counted.watch(&event);
        }
        event
    }

    async fn emit(&mut self, flow: &RequestFlow, text: String) {
        let now = self.state.clock.now();
        if let Some(time) = self.pace.token(now) {
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
        self.admission_permit.set_run_time(self.pace.run_time(now));
        self.settle(CallEnd::Done(answer.clone())).await;
        let good = self.pace.is_good(&self.service, now);
        self.state.record_burn(&self.service, good);
        self.tell(FlowOutput::Done(answer), Outcome::Done).await;
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
        debug!(target: "path", "path: request fails as {outcome}: {}", body.message);
        self.tell(FlowOutput::Failed(body), outcome).await;
    }

    async fn settle(&mut self, end: CallEnd) {
        if let (Some(call), Some(attempt)) = (&self.call, &self.claimed) {
            self.state.ledger.settle(call, attempt, end).await;
        }
    }

    async fn tell(&mut self, output: FlowOutput, outcome: Outcome) {
        self.state
            .metrics
            .count_request(&self.service.name, outcome);
        let _ = tokio::time::timeout(LAST_OUTPUT, self.outputs.send(output)).await;
    }
}
