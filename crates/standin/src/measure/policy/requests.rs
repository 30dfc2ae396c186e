//! Requests at their entries.

use std::time::Duration;

use kumquatkeel_core::admission::{AdmitStep, Arrival, NextStep, Ticket};
use kumquatkeel_core::request::{FlowContext, FlowEvent, FlowSpec, FlowStep, RequestFlow};
use kumquatkeel_core::retry::{AttemptResult, Backoff};
use kumquatkeel_core::routing::{RouteProgress, RouteRequest, RouteStep};
use kumquatkeel_types::document::ServiceKind;
use kumquatkeel_types::message::{
    AttemptEvent, CompletionWork, Dispatch, FenceRequest, NotRunReason, PlainWork, ProbeReply, Work,
};
use kumquatkeel_types::{CallerName, IdempotencyKey, Incarnation, Outcome, RequestId, TargetName};

use super::engine::CHUNK_TOKENS;
use super::event::Event;
use super::schedule::{Ask, service_of};
use super::world::{Open, World};

/// Time after which a connection to a target that can't be reached fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a probe without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes of a prompt's token.
const PROMPT_BYTES: u64 = 4;
/// Bytes of a token on its way back.
pub(super) const TOKEN_BYTES: u64 = 94;
/// Bytes of a message besides its tokens.
const MESSAGE_BYTES: u64 = 400;

impl World {
    /// Takes in a request at the first entry that its caller reaches.
    pub(super) fn arrive(&mut self, request: usize) {
        if let Some(next) = self.draws.get(request + 1) {
            let at = next.at.after(self.site.client).max(self.now);
            self.agenda.plan(at, Event::Arrive(request + 1));
        }
        let home = self.draws[request].centre;
        let entries = self.entries.len();
        let reachable = (0..entries)
            .map(|step| (home + step) % entries)
            .find(|&entry| self.network.is_reachable(self.entries[entry].centre));
        let Some(entry) = reachable else {
            self.courses[request].told = Some(Outcome::NotRun);
            return;
        };
        let route = self.route_request(request);
        let arrival = Arrival {
            ticket: Ticket(request as u64),
            caller: CallerName::try_from("caller").expect("a name"),
            priority: route.priority,
            start_by: self.draws[request].at.after(route.first_token),
        };
        let service = route.service.clone();
        if let Some(model) = &route.model {
            let count = self.entries[entry].count(model);
            count.arrived += 1;
            count.running += 1;
        }
        let open = Open {
            entry,
            route,
            started: None,
            flow: None,
            attempt: None,
            timer: None,
        };
        self.open.insert(request, open);
        let controller = self.entries[entry].controllers.get_mut(&service);
        let step = controller.map(|controller| controller.arrive(&arrival, self.now));
        match step {
            Some(AdmitStep::Run) => self.start(request),
            Some(AdmitStep::Queued) => {
                self.agenda
                    .plan(arrival.start_by.max(self.now), Event::Admission(entry));
            }
            Some(AdmitStep::Displaced { ticket, .. }) => {
                self.end(ticket.0 as usize, Outcome::NotRun);
            }
            Some(AdmitStep::Refuse(_)) | None => self.end(request, Outcome::NotRun),
        }
    }

    fn route_request(&self, request: usize) -> RouteRequest {
        let document = &self.site.document;
        let draw = &self.draws[request];
        let (kind, bytes) = match draw.ask {
            Ask::Completion { prompt, tokens, .. } => {
                let bytes = u64::from(prompt) * PROMPT_BYTES + u64::from(tokens) * TOKEN_BYTES;
                (ServiceKind::Completions, bytes)
            }
            Ask::Plain { .. } => (ServiceKind::Plain, 0),
        };
        let service = service_of(document, kind);
        let limit_ms = match kind {
            ServiceKind::Completions => service.first_token_ms,
            ServiceKind::Plain => service.deadline_ms,
        };
        let (model, adapter) = match draw.ask {
            Ask::Completion { model, adapter, .. } => (
                Some(document.models[model].id()),
                adapter.map(|a| document.adapters[a].name.clone()),
            ),
            Ask::Plain { .. } => (None, None),
        };
        RouteRequest {
            service: service.name.clone(),
            model,
            adapter,
            prefix: Vec::new(),
            priority: draw.priority,
            first_token: Duration::from_millis(limit_ms.into())
                .saturating_sub(self.site.client * 2),
            bytes: bytes + MESSAGE_BYTES,
        }
    }

    fn start(&mut self, request: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.started = Some(self.now);
        let draw = &self.draws[request];
        let deadline_ms = match draw.ask {
            Ask::Completion { .. } => 60_000,
            Ask::Plain { .. } => 2_000,
        };
        let spec = FlowSpec {
            id: RequestId {
                entry: self.entries[open.entry].name.clone(),
                life: Incarnation(1),
                number: request as u64,
            },
            service: open.route.service.clone(),
            priority: draw.priority,
            work: work(request, &draw.ask, &open.route),
            idempotent: matches!(draw.ask, Ask::Completion { .. }),
            deadline: draw.at.after(Duration::from_millis(deadline_ms)),
            first_token: open.route.first_token,
        };
        let entry = &mut self.entries[open.entry];
        let Some(budget) = entry.budgets.get_mut(&open.route.service) else {
            return;
        };
        let mut context = FlowContext {
            budget,
            backoff: Backoff::default(),
            rng: &mut self.rng,
        };
        let (flow, step) = RequestFlow::start(spec, &mut context);
        open.flow = Some(flow);
        self.drive(request, step);
    }

    /// Tells a request's flow what has happened, and follows its steps.
    pub(super) fn on_flow(&mut self, request: usize, event: FlowEvent) {
        self.watch(request, &event);
        let step = self.feed(request, event);
        self.drive(request, step);
    }

    fn feed(&mut self, request: usize, event: FlowEvent) -> FlowStep {
        let Some(open) = self.open.get_mut(&request) else {
            return FlowStep::Ignore;
        };
        let entry = &mut self.entries[open.entry];
        let budget = entry.budgets.get_mut(&open.route.service);
        let (Some(flow), Some(budget)) = (&mut open.flow, budget) else {
            return FlowStep::Ignore;
        };
        let mut context = FlowContext {
            budget,
            backoff: Backoff::default(),
            rng: &mut self.rng,
        };
        flow.handle(event, self.now, &mut context)
    }

    fn drive(&mut self, request: usize, mut step: FlowStep) {
        loop {
            let keeps = matches!(
                step,
                FlowStep::Await | FlowStep::Emit { .. } | FlowStep::Ignore
            );
            if !keeps {
                self.close_attempt(request);
            }
            step = match step {
                FlowStep::Route(progress) => {
                    let event = self.route(request, &progress);
                    self.feed(request, event)
                }
                FlowStep::Probe(targets) => return self.probe(request, &targets),
                FlowStep::Dispatch { target, dispatch } => {
                    return self.send(request, &target, dispatch);
                }
                FlowStep::Await | FlowStep::Backoff => return self.set_timer(request),
                FlowStep::Emit { .. } => {
                    let course = &mut self.courses[request];
                    course.first.get_or_insert(self.now);
                    course.last = Some(self.now);
                    return self.set_timer(request);
                }
                FlowStep::Fence {
                    target,
                    request: fence,
                } => {
                    return self.send_fence(request, &target, fence);
                }
                FlowStep::Finish(_) => {
                    self.courses[request].last = Some(self.now);
                    return self.end(request, Outcome::Done);
                }
                FlowStep::Fail(failure) => return self.end(request, failure.outcome),
                FlowStep::Stop | FlowStep::Ignore => return,
            };
        }
    }

    fn route(&mut self, request: usize, progress: &RouteProgress) -> FlowEvent {
        let Some(open) = self.open.get(&request) else {
            return FlowEvent::NoTarget;
        };
        let router = &mut self.entries[open.entry].router;
        match router.route(&open.route, progress, self.now, &mut self.rng) {
            RouteStep::Dispatch(target) => {
                let agent = router.view().agent(&target);
                FlowEvent::Chosen {
                    incarnation: agent.map(|a| a.version.incarnation),
                    target,
                }
            }
            RouteStep::Probe(targets) => FlowEvent::ProbeWanted(targets),
            RouteStep::NoTarget => FlowEvent::NoTarget,
        }
    }

    fn probe(&mut self, request: usize, targets: &[TargetName]) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let mut replies = Vec::new();
        let mut slowest = Duration::ZERO;
        for target in targets {
            let agent = self.agent_of(target);
            let way = agent.and_then(|agent| Some((agent, self.way(open.entry, agent)?)));
            match way.filter(|(agent, _)| self.agents[*agent].alive) {
                Some((agent, way)) => {
                    let reply = self.agents[agent].probe(open.route.model.as_ref());
                    replies.push((target.clone(), reply));
                    slowest = slowest.max(way * 2);
                }
                None => slowest = PROBE_TIMEOUT,
            }
        }
        self.after(slowest, Event::Probed(request, replies));
    }

    pub(super) fn on_probed(&mut self, request: usize, replies: &[(TargetName, ProbeReply)]) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let router = &mut self.entries[open.entry].router;
        for (target, reply) in replies {
            router.probed(&open.route, target, reply, self.now);
        }
        self.on_flow(request, FlowEvent::Probed);
    }

    fn send(&mut self, request: usize, target: &TargetName, dispatch: Box<Dispatch>) {
        let Some(agent) = self.agent_of(target) else {
            return;
        };
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.attempt = Some((agent, self.now));
        let entry = open.entry;
        let bytes = open.route.bytes.min(MESSAGE_BYTES + 4_000);
        self.entries[entry].router.started(&open.route, target);
        self.set_timer(request);
        let centre = self.entries[entry].centre;
        self.network.count(centre, self.agents[agent].centre, bytes);
        let not_sent = FlowEvent::NotSent(dispatch.attempt.clone());
        match self.way(entry, agent) {
            Some(way) if self.agents[agent].alive => {
                self.after(way, Event::Dispatch(agent, request, dispatch));
            }
            Some(way) => self.after(way * 2, Event::Flow(request, not_sent)),
            None => self.after(CONNECT_TIMEOUT, Event::Flow(request, not_sent)),
        }
    }

    fn send_fence(&mut self, request: usize, target: &TargetName, fence: FenceRequest) {
        let entry = self.open.get(&request).map(|open| open.entry);
        let agent = self.agent_of(target);
        let way = entry
            .zip(agent)
            .and_then(|(e, a)| Some((a, self.way(e, a)?)));
        match way {
            Some((agent, way)) if self.agents[agent].alive => {
                self.after(way, Event::Fence(agent, request, fence));
            }
            _ => {
                let lost = FlowEvent::FenceFailed(fence.attempt);
                self.after(CONNECT_TIMEOUT, Event::Flow(request, lost));
            }
        }
    }

    fn close_attempt(&mut self, request: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some((agent, _)) = open.attempt.take() else {
            return;
        };
        let target = &self.agents[agent].target.name;
        let entry = open.entry;
        self.entries[entry].router.ended(&open.route, target);
        let number = open.flow.as_ref().and_then(|f| f.attempt().cloned());
        if let (Some(attempt), Some(way)) = (number, self.way(entry, agent)) {
            self.after(way, Event::Cancel(agent, attempt));
        }
    }

    fn set_timer(&mut self, request: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(due) = open.flow.as_ref().map(RequestFlow::due) else {
            return;
        };
        if open.timer.is_none_or(|planned| due < planned) {
            open.timer = Some(due);
            self.agenda.plan(due.max(self.now), Event::Due(request));
        }
    }

    pub(super) fn on_due(&mut self, request: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.timer = None;
        let due = open.flow.as_ref().map(RequestFlow::due);
        if due.is_some_and(|due| due > self.now) {
            return self.set_timer(request);
        }
        self.on_flow(request, FlowEvent::Timer);
    }

    /// Lets the entry's own records follow what an event tells of a target.
    fn watch(&mut self, request: usize, event: &FlowEvent) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let Some((agent, sent)) = open.attempt else {
            return;
        };
        let target = self.agents[agent].target.name.clone();
        let entry = &mut self.entries[open.entry];
        let mut result = None;
        match event {
            FlowEvent::Attempt { event, .. } => match event {
                AttemptEvent::Accepted { .. } => {
                    if let Some(controller) = entry.controllers.get_mut(&open.route.service) {
                        controller.accepted();
                    }
                }
                AttemptEvent::Token { .. } | AttemptEvent::Answered { .. } => {
                    if self.courses[request].first.is_none() {
                        result = Some(AttemptResult::Answered(self.now.since(sent)));
                    }
                }
                AttemptEvent::NotRun { reason, .. } => match reason {
                    NotRunReason::Busy => {
                        if let Some(controller) = entry.controllers.get_mut(&open.route.service) {
                            controller.busy(self.now);
                        }
                    }
                    NotRunReason::NotResident => {
                        if let Some(model) = &open.route.model {
                            entry.router.view_mut().mark_absent(&target, model);
                        }
                    }
                    _ => {}
                },
                AttemptEvent::Failed { .. } => result = Some(AttemptResult::Failed),
                AttemptEvent::Finished { .. } => {}
            },
            FlowEvent::Interrupted(_) | FlowEvent::NotSent(_) => {
                result = Some(AttemptResult::Failed);
            }
            _ => {}
        }
        if let Some(result) = result {
            entry.router.ejector_mut().record(&target, result, self.now);
        }
    }

    /// Ends a request with what its caller is told.
    fn end(&mut self, request: usize, outcome: Outcome) {
        self.close_attempt(request);
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let course = &mut self.courses[request];
        course.told = Some(outcome);
        let limit = self.draws[request].at.after(open.route.first_token);
        let met = outcome == Outcome::Done && course.first.is_some_and(|first| first <= limit);
        let entry = &mut self.entries[open.entry];
        if let Some(model) = &open.route.model {
            let count = entry.count(model);
            count.running = count.running.saturating_sub(1);
            count.unmet += u32::from(!met);
        }
        let Some(controller) = entry.controllers.get_mut(&open.route.service) else {
            return;
        };
        if let Some(started) = open.started {
            let run = (outcome == Outcome::Done).then(|| self.now.since(started));
            controller.finished(Ticket(request as u64), run);
            self.agenda.plan(self.now, Event::Admission(open.entry));
        }
    }

    /// Lets waiting requests run or go.
    pub(super) fn pump(&mut self, entry: usize) {
        let services: Vec<_> = self.entries[entry].controllers.keys().cloned().collect();
        for service in services {
            while let Some(controller) = self.entries[entry].controllers.get_mut(&service) {
                match controller.next(self.now) {
                    NextStep::Run(ticket) => self.start(ticket.0 as usize),
                    NextStep::Refuse(ticket, _) => self.end(ticket.0 as usize, Outcome::NotRun),
                    NextStep::Idle(_) => break,
                }
            }
        }
    }
}

fn work(request: usize, ask: &Ask, route: &RouteRequest) -> Work {
    match (ask, &route.model) {
        (Ask::Completion { tokens, .. }, Some(model)) => Work::Completion(CompletionWork {
            model: model.clone(),
            adapter: route.adapter.clone(),
            prompt: String::new(),
            max_tokens: 1 + (tokens - 1).div_ceil(CHUNK_TOKENS),
            seed: request as u64,
            resume: Vec::new(),
        }),
        _ => Work::Plain(PlainWork {
            caller: None,
            path: "/book".into(),
            content_type: "application/json".into(),
            body: String::new(),
            key: IdempotencyKey::try_from(format!("key-{request}")).ok(),
        }),
    }
}
