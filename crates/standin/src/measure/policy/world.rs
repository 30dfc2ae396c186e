//! The driver: all parts, the events between them, and the result.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::request::RequestFlow;
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_types::document::{ServiceKind, TargetKind};
use kumquatkeel_types::message::Dispatch;
use kumquatkeel_types::{AttemptId, TargetName, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::PolicyOptions;
use super::agent::Agent;
use super::entry::Entry;
use super::event::{Agenda, Event, Execution};
use super::fault::{self, Faults};
use super::line::PolicyLine;
use super::network::Network;
use super::plan::Planner;
use super::schedule::{self, Ask, Draw};
use super::tally::{Course, Limits};
use super::weights::WeightStore;
use super::workload::Site;

/// Added to the seed, so that decisions and demand are drawn apart.
const DECISION_STREAM: u64 = 0xdec1_de00;
/// Time after the evening in which open requests end.
const GRACE: Duration = Duration::from_secs(75);

/// A request that an entry has let in.
#[derive(Debug)]
pub(super) struct Open {
    /// The entry.
    pub(super) entry: usize,
    /// The request, as routing sees it.
    pub(super) route: RouteRequest,
    /// When it was let run.
    pub(super) started: Option<Timestamp>,
    /// Its course over its attempts, once it runs.
    pub(super) flow: Option<RequestFlow>,
    /// The agent of the attempt in progress, and when the attempt was sent.
    pub(super) attempt: Option<(usize, Timestamp)>,
    /// When the next due time is planned.
    pub(super) timer: Option<Timestamp>,
}

/// All parts.
#[derive(Debug)]
pub(super) struct World {
    pub(super) site: Site,
    pub(super) now: Timestamp,
    pub(super) agenda: Agenda,
    pub(super) rng: Pcg64,
    pub(super) network: Network,
    pub(super) store: WeightStore,
    pub(super) agents: Vec<Agent>,
    pub(super) entries: Vec<Entry>,
    pub(super) planner: Planner,
    pub(super) faults: Faults,
    pub(super) draws: Vec<Draw>,
    pub(super) open: BTreeMap<usize, Open>,
    pub(super) courses: Vec<Course>,
    /// Attempts that wait at agents.
    pub(super) queued: BTreeMap<AttemptId, (usize, Box<Dispatch>)>,
    /// Orders that wait until their replica is idle, by agent.
    pub(super) unloads: Vec<Vec<Execution>>,
    pub(super) end: Timestamp,
    pub(super) moves: u64,
    pub(super) unreachable_seconds: u64,
    pub(super) memory_violations: u64,
    seed: u64,
    target_index: BTreeMap<TargetName, usize>,
}

impl World {
    /// Makes the world of a site; none when a policy isn't known.
    pub(super) fn new(site: Site, options: &PolicyOptions) -> Option<Self> {
        let document = site.document.clone();
        let centres: Vec<_> = document
            .regions
            .iter()
            .flat_map(|r| r.data_centres.clone())
            .collect();
        let agents: Vec<Agent> = document
            .targets
            .iter()
            .map(|target| {
                let centre = centres.iter().position(|c| *c == target.data_centre);
                Agent::new(target, centre.unwrap_or(0), Timestamp::ZERO)
            })
            .collect();
        let entries: Option<Vec<Entry>> = centres
            .iter()
            .enumerate()
            .map(|(i, home)| Entry::new(&site, i, home))
            .collect();
        let draws = schedule::draw(&site, options.seed, options.load, options.seconds);
        let names = document.targets.iter().enumerate();
        let mut world = Self {
            now: Timestamp::ZERO,
            agenda: Agenda::default(),
            rng: Pcg64::seed_from_u64(options.seed ^ DECISION_STREAM),
            network: Network::new(&document),
            store: WeightStore::new(&document.policy),
            planner: Planner::new(&document)?,
            entries: entries?,
            faults: Faults::default(),
            open: BTreeMap::new(),
            courses: vec![Course::default(); draws.len()],
            queued: BTreeMap::new(),
            unloads: vec![Vec::new(); agents.len()],
            end: Timestamp::from_millis(options.seconds * 1_000),
            moves: 0,
            unreachable_seconds: 0,
            memory_violations: 0,
            seed: options.seed,
            target_index: names.map(|(i, t)| (t.name.clone(), i)).collect(),
            agents,
            draws,
            site,
        };
        world.prime();
        world.plan_evening(options);
        Some(world)
    }

    fn plan_evening(&mut self, options: &PolicyOptions) {
        if let Some(first) = self.draws.first() {
            let at = first.at.after(self.site.client);
            self.agenda.plan(at, Event::Arrive(0));
        }
        self.agenda.plan(Timestamp::from_millis(1), Event::Second);
        if !options.faults {
            return;
        }
        let is_engine = |agent: &&Agent| agent.target.kind == TargetKind::Engine;
        let engines = self.agents.iter().filter(is_engine).count();
        for (at, fault) in fault::draw(options.seed, options.seconds, engines) {
            self.agenda.plan(at, Event::Fault(fault));
        }
    }

    /// Runs the evening and says what became of it.
    pub(super) fn run(mut self) -> PolicyLine {
        let last = self.end.after(GRACE);
        while let Some((at, event)) = self.agenda.next() {
            if at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.line()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Flow(request, event) => self.on_flow(request, event),
            Event::Probed(request, replies) => self.on_probed(request, &replies),
            Event::Due(request) => self.on_due(request),
            Event::Admission(entry) => self.pump(entry),
            Event::Dispatch(agent, request, dispatch) => {
                self.on_dispatch(agent, request, dispatch);
            }
            Event::Fence(agent, request, fence) => self.on_fence(agent, request, &fence),
            Event::Cancel(agent, attempt) => self.on_cancel(agent, &attempt),
            Event::Scheduler(agent) => self.on_scheduler(agent),
            Event::Step(agent, life) => self.on_step(agent, life),
            Event::PlainEnd(agent, life, attempt) => self.on_plain_end(agent, life, &attempt),
            Event::Order(agent, order) => self.on_order(agent, &order),
            Event::Executed(agent, life, execution) => self.on_executed(agent, life, &execution),
            Event::Report(member) => self.on_report(*member),
            Event::Second => self.on_second(),
            Event::Fault(fault) => self.on_fault(fault),
        }
    }

    /// Plans an event after a time.
    pub(super) fn after(&mut self, time: Duration, event: Event) {
        self.agenda.plan(self.now.after(time), event);
    }

    /// Returns the place of a target's agent.
    pub(super) fn agent_of(&self, target: &TargetName) -> Option<usize> {
        self.target_index.get(target).copied()
    }

    /// Returns the time one way between an entry and an agent, or none while the way is cut.
    pub(super) fn way(&self, entry: usize, agent: usize) -> Option<Duration> {
        let from = self.entries[entry].centre;
        self.network.latency(from, self.agents[agent].centre)
    }

    fn limits(&self) -> Limits {
        let document = &self.site.document;
        let completions = schedule::service_of(document, ServiceKind::Completions);
        let plain = schedule::service_of(document, ServiceKind::Plain);
        Limits {
            first_token: Duration::from_millis(completions.first_token_ms.into()),
            token_gap: Duration::from_millis(completions.token_gap_ms.into()),
            deadline: Duration::from_millis(plain.deadline_ms.into()),
        }
    }

    fn kept(&self, request: usize, limits: &Limits) -> bool {
        let draw = &self.draws[request];
        let course = &self.courses[request];
        match draw.ask {
            Ask::Completion { tokens, .. } => {
                course.completion_kept(draw.at, self.site.client, tokens, limits)
            }
            Ask::Plain { .. } => course.call_kept(draw.at, self.site.client, limits),
        }
    }

    fn line(&self) -> PolicyLine {
        let limits = self.limits();
        let requests = self.draws.len() as u64;
        let attained = (0..self.draws.len())
            .filter(|&request| self.kept(request, &limits))
            .count() as u64;
        let accelerators = self.agents.iter();
        let accelerators = accelerators.map(|a| u64::from(a.target.accelerators)).sum();
        let count =
            |check: fn(&Course) -> bool| self.courses.iter().filter(|c| check(c)).count() as u64;
        PolicyLine {
            workload: self.site.workload,
            policy: self.site.policy.into(),
            seed: self.seed,
            requests,
            attained,
            attainment: attained as f64 / requests.max(1) as f64,
            accelerators,
            attainment_per_accelerator: attained as f64 / accelerators as f64,
            moves: self.moves,
            link_bytes: self.network.link_bytes(),
            unreachable_seconds: self.unreachable_seconds,
            memory_violations: self.memory_violations,
            doubled: count(|c| c.executed > 1),
            lost: count(Course::is_lost),
            false_not_run: count(Course::is_false_not_run),
        }
    }
}
