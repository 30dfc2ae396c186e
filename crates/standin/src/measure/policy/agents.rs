//! Attempts at their agents and targets.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_core::scheduler::{Admission, CancelStep, Ending, PlainAnswer, SchedulerStep};
use kumquatkeel_types::message::{
    AttemptEvent, Dispatch, FenceRequest, FinishReason, NotRunReason, Work,
};
use kumquatkeel_types::{AttemptId, ErrorCode, Incarnation};

use super::engine::{Output, Sequence, tokens_in};
use super::event::Event;
use super::requests::TOKEN_BYTES;
use super::schedule::Ask;
use super::world::World;

impl World {
    pub(super) fn on_dispatch(&mut self, agent: usize, request: usize, dispatch: Box<Dispatch>) {
        if !self.agents[agent].alive {
            return self.tell(agent, request, FlowEvent::Interrupted(dispatch.attempt));
        }
        let attempt = dispatch.attempt.clone();
        match self.agents[agent].scheduler.offer(&dispatch, self.now) {
            Admission::Start => self.begin(agent, request, &dispatch),
            Admission::Queued => {
                let wait = Duration::from_millis(dispatch.first_token_ms);
                self.queued.insert(attempt, (request, dispatch));
                self.after(wait, Event::Scheduler(agent));
            }
            Admission::Joined | Admission::Repeated => {}
            Admission::Stored(answer) => self.answer(agent, request, &attempt, &answer),
            Admission::Unknown | Admission::KeyReused => self.fail(agent, request, &attempt),
            Admission::NotRun { reason, .. } => self.refuse(agent, request, &attempt, reason),
        }
    }

    /// Lets an attempt run on the target.
    fn begin(&mut self, agent: usize, request: usize, dispatch: &Dispatch) {
        let attempt = dispatch.attempt.clone();
        self.courses[request].runs += 1;
        let life = self.agents[agent].life;
        self.agents[agent].open.insert(attempt.clone(), request);
        self.accept(agent, request, &attempt);
        match (&dispatch.work, &self.draws[request].ask) {
            (Work::Completion(work), Ask::Completion { prompt, tokens, .. }) => {
                let engine = &mut self.agents[agent].engine;
                let sequence = Sequence {
                    request,
                    attempt,
                    model: work.model.clone(),
                    prompt: *prompt,
                    done: tokens_in(work.resume.len() as u32),
                    tokens: *tokens,
                };
                engine.join(sequence);
                self.kick(agent);
            }
            (_, Ask::Plain { run }) => {
                let run = *run;
                self.after(run, Event::PlainEnd(agent, life, attempt));
            }
            _ => {}
        }
    }

    /// Starts the engine's next step.
    fn kick(&mut self, agent: usize) {
        let life = self.agents[agent].life;
        if let Some(time) = self.agents[agent].engine.start_step() {
            self.after(time, Event::Step(agent, life));
        }
    }

    pub(super) fn on_step(&mut self, agent: usize, life: Incarnation) {
        if !self.agents[agent].alive || self.agents[agent].life != life {
            return;
        }
        for output in self.agents[agent].engine.end_step() {
            self.on_output(agent, output);
        }
        self.run_unloads(agent);
        self.kick(agent);
    }

    fn on_output(&mut self, agent: usize, output: Output) {
        let Some(index) = output.chunk else {
            return;
        };
        let Sequence {
            request, attempt, ..
        } = output.sequence;
        let token = AttemptEvent::Token {
            index,
            text: String::new(),
        };
        self.tell_event(agent, request, &attempt, token);
        self.count_tokens(agent, request, index);
        if !output.finished {
            return;
        }
        let finished = AttemptEvent::Finished {
            attempt: attempt.clone(),
            reason: FinishReason::Stop,
            tokens: index + 1,
        };
        self.tell_event(agent, request, &attempt, finished);
        self.finish(agent, &attempt, Ending::Finished);
    }

    fn count_tokens(&mut self, agent: usize, request: usize, index: u32) {
        let tokens = tokens_in(index + 1) - tokens_in(index);
        if let Some(open) = self.open.get(&request) {
            let to = self.entries[open.entry].centre;
            let bytes = u64::from(tokens) * TOKEN_BYTES;
            self.network.count(self.agents[agent].centre, to, bytes);
        }
    }

    pub(super) fn on_plain_end(&mut self, agent: usize, life: Incarnation, attempt: &AttemptId) {
        if !self.agents[agent].alive || self.agents[agent].life != life {
            return;
        }
        let Some(&request) = self.agents[agent].open.get(attempt) else {
            return;
        };
        self.courses[request].executed += 1;
        let answer = Arc::new(PlainAnswer {
            status: 200,
            content_type: "application/json".into(),
            body: String::new(),
        });
        self.finish(agent, attempt, Ending::Answered(answer.clone()));
        if self.faults.loses_answer(&mut self.rng) {
            return self.tell(agent, request, FlowEvent::Interrupted(attempt.clone()));
        }
        let event = answered(attempt.clone(), &answer);
        self.tell_event(agent, request, attempt, event);
    }

    fn finish(&mut self, agent: usize, attempt: &AttemptId, ending: Ending) {
        self.agents[agent].open.remove(attempt);
        let steps = self.agents[agent]
            .scheduler
            .finish(attempt, ending, self.now);
        self.follow(agent, steps);
    }

    pub(super) fn on_scheduler(&mut self, agent: usize) {
        if !self.agents[agent].alive {
            return;
        }
        let steps = self.agents[agent].scheduler.tick(self.now);
        self.follow(agent, steps);
        if let Some(wait) = self.agents[agent].next_wake(self.now) {
            self.after(wait.max(Duration::from_millis(1)), Event::Scheduler(agent));
        }
    }

    /// Follows the gate's steps.
    pub(super) fn follow(&mut self, agent: usize, steps: Vec<SchedulerStep>) {
        for step in steps {
            match step {
                SchedulerStep::Start(attempt) => {
                    if let Some((request, dispatch)) = self.queued.remove(&attempt) {
                        self.begin(agent, request, &dispatch);
                    }
                }
                SchedulerStep::NotRun { attempt, reason } => {
                    if let Some((request, _)) = self.queued.remove(&attempt) {
                        self.refuse(agent, request, &attempt, reason);
                    }
                }
                SchedulerStep::Answer { attempt, answer } => {
                    let request = attempt.request.number as usize;
                    self.answer(agent, request, &attempt, &answer);
                }
                SchedulerStep::Unknown(attempt) => {
                    let request = attempt.request.number as usize;
                    self.fail(agent, request, &attempt);
                }
            }
        }
    }

    pub(super) fn on_cancel(&mut self, agent: usize, attempt: &AttemptId) {
        if !self.agents[agent].alive {
            return;
        }
        let (step, steps) = self.agents[agent].scheduler.cancel(attempt, self.now);
        self.follow(agent, steps);
        if step == CancelStep::CancelTarget {
            self.agents[agent].engine.cancel(attempt);
            self.finish(agent, attempt, Ending::Unknown);
            self.run_unloads(agent);
        }
    }

    pub(super) fn on_fence(&mut self, agent: usize, request: usize, fence: &FenceRequest) {
        let attempt = fence.attempt.clone();
        if !self.agents[agent].alive {
            return self.tell(agent, request, FlowEvent::FenceFailed(attempt));
        }
        let (reply, steps) = self.agents[agent].scheduler.fence(fence, self.now);
        self.follow(agent, steps);
        self.tell(agent, request, FlowEvent::Fenced { attempt, reply });
    }

    fn accept(&mut self, agent: usize, request: usize, attempt: &AttemptId) {
        let accepted = AttemptEvent::Accepted {
            attempt: attempt.clone(),
            incarnation: self.agents[agent].life,
        };
        self.tell_event(agent, request, attempt, accepted);
    }

    fn answer(&mut self, agent: usize, request: usize, attempt: &AttemptId, answer: &PlainAnswer) {
        self.accept(agent, request, attempt);
        let event = answered(attempt.clone(), answer);
        self.tell_event(agent, request, attempt, event);
    }

    fn fail(&mut self, agent: usize, request: usize, attempt: &AttemptId) {
        self.accept(agent, request, attempt);
        let failed = AttemptEvent::Failed {
            attempt: attempt.clone(),
            code: ErrorCode::Interrupted,
            message: String::new(),
        };
        self.tell_event(agent, request, attempt, failed);
    }

    fn refuse(&mut self, agent: usize, request: usize, attempt: &AttemptId, reason: NotRunReason) {
        let refused = AttemptEvent::NotRun {
            attempt: attempt.clone(),
            incarnation: self.agents[agent].life,
            reason,
            hint: None,
            retry_after_ms: None,
        };
        self.tell_event(agent, request, attempt, refused);
    }

    fn tell_event(
        &mut self,
        agent: usize,
        request: usize,
        attempt: &AttemptId,
        event: AttemptEvent,
    ) {
        let attempt = attempt.clone();
        self.tell(agent, request, FlowEvent::Attempt { attempt, event });
    }

    /// Sends something from an agent to a request's entry, unless the way is cut.
    pub(super) fn tell(&mut self, agent: usize, request: usize, event: FlowEvent) {
        let Some(entry) = self.open.get(&request).map(|open| open.entry) else {
            return;
        };
        if let Some(way) = self.way(entry, agent) {
            self.after(way, Event::Flow(request, event));
        }
    }
}

fn answered(attempt: AttemptId, answer: &PlainAnswer) -> AttemptEvent {
    AttemptEvent::Answered {
        attempt,
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}
