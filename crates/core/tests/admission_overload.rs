//! Simulated goodput of four entries that share one pool of slots, from half to four times its
//! capacity.
//!
//! Guards against congestion collapse: under overload, requests that start too late to be of use
//! must not displace those that could still meet their limit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use kumquatkeel_core::admission::{
    AdmissionController, AdmitStep, Arrival, NextStep, ServiceLimits, Ticket,
};
use kumquatkeel_core::retry::{BudgetStep, RetryBudget};
use kumquatkeel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ENTRIES: usize = 4;
const SLOTS: usize = 64;
/// The mean run time of a request.
const MEAN_RUN_SECONDS: f64 = 1.0;
/// A request that starts later than this after its arrival does not count as goodput.
const START_LIMIT: Duration = Duration::from_millis(680);
const SIMULATED_SECONDS: f64 = 120.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End {
        entry: usize,
        ticket: u64,
        started: u64,
    },
    Tick,
}

struct Simulation {
    controllers: Vec<AdmissionController>,
    budgets: Vec<RetryBudget>,
    arrived: BTreeMap<u64, Timestamp>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    running: usize,
    useful: u64,
    rng: Pcg64,
}

impl Simulation {
    fn new(queue: usize) -> Self {
        let limits = ServiceLimits { queue, rate: None };
        let mut controllers = vec![AdmissionController::new(limits, Timestamp::ZERO); ENTRIES];
        for controller in &mut controllers {
            controller.set_slots(SLOTS as u32);
        }
        Self {
            controllers,
            budgets: vec![RetryBudget::new(0.1); ENTRIES],
            arrived: BTreeMap::new(),
            events: BinaryHeap::new(),
            running: 0,
            useful: 0,
            rng: Pcg64::seed_from_u64(9),
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.random::<f64>()).ln() * mean * 1e6) as u64
    }

    /// Returns the useful requests per second at `offered` times the pool's capacity.
    fn goodput(mut self, offered: f64) -> f64 {
        let mean_gap = MEAN_RUN_SECONDS / (SLOTS as f64 * offered);
        self.events.push(Reverse((0, Event::Arrive)));
        self.events.push(Reverse((0, Event::Tick)));
        let mut next_ticket = 0;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at as f64 > SIMULATED_SECONDS * 1e6 {
                break;
            }
            let now = Timestamp::from_micros(at);
            match event {
                Event::Arrive => {
                    next_ticket += 1;
                    self.arrive(next_ticket, now);
                    let pause = self.exponential(mean_gap);
                    self.events.push(Reverse((at + pause, Event::Arrive)));
                }
                Event::End {
                    entry,
                    ticket,
                    started,
                } => {
                    self.running -= 1;
                    let run_time = now.since(Timestamp::from_micros(started));
                    self.controllers[entry].finished(Ticket(ticket), Some(run_time));
                    self.start_waiting(entry, now);
                }
                Event::Tick => {
                    (0..ENTRIES).for_each(|entry| self.start_waiting(entry, now));
                    self.events.push(Reverse((at + 20_000, Event::Tick)));
                }
            }
        }
        self.useful as f64 / SIMULATED_SECONDS
    }

    fn arrive(&mut self, ticket: u64, now: Timestamp) {
        let entry = ticket as usize % ENTRIES;
        self.arrived.insert(ticket, now);
        self.budgets[entry].first_attempt();
        let arrival = Arrival {
            ticket: Ticket(ticket),
            caller: "c".try_into().unwrap(),
            priority: 5,
            start_by: now.after(START_LIMIT),
        };
        if self.controllers[entry].arrive(&arrival, now) == AdmitStep::Run {
            self.send(entry, ticket, now);
        }
    }

    fn start_waiting(&mut self, entry: usize, now: Timestamp) {
        loop {
            match self.controllers[entry].next(now) {
                NextStep::Run(ticket) => self.send(entry, ticket.0, now),
                NextStep::Refuse(..) => {}
                NextStep::Idle(_) => return,
            }
        }
    }

    /// Sends a request to the pool, which refuses it if no slot is free.
    fn send(&mut self, entry: usize, ticket: u64, now: Timestamp) {
        if self.running >= SLOTS {
            self.controllers[entry].busy(now);
            if self.budgets[entry].retry() == BudgetStep::Exhausted || self.running >= SLOTS {
                self.controllers[entry].finished(Ticket(ticket), None);
                return;
            }
        }
        self.controllers[entry].accepted();
        self.running += 1;
        if now.since(self.arrived[&ticket]) <= START_LIMIT {
            self.useful += 1;
        }
        let started = now.as_micros();
        let end = started + self.exponential(MEAN_RUN_SECONDS);
        let event = Event::End {
            entry,
            ticket,
            started,
        };
        self.events.push(Reverse((end, event)));
    }
}

/// Returns the goodput of a pool behind one unbounded queue in order of arrival.
fn goodput_without_admission(offered: f64) -> f64 {
    let mut rng = Pcg64::seed_from_u64(9);
    let mut exponential = |mean: f64| -(1.0 - rng.random::<f64>()).ln() * mean;
    let mut free: BinaryHeap<Reverse<u64>> = (0..SLOTS).map(|_| Reverse(0)).collect();
    let (mut now, mut useful) = (0.0, 0_u64);
    while now < SIMULATED_SECONDS {
        now += exponential(MEAN_RUN_SECONDS / (SLOTS as f64 * offered));
        let at = (now * 1e6) as u64;
        let Some(Reverse(slot)) = free.pop() else {
            break;
        };
        let start = slot.max(at);
        free.push(Reverse(
            start + (exponential(MEAN_RUN_SECONDS) * 1e6) as u64,
        ));
        useful += u64::from(start - at <= START_LIMIT.as_micros() as u64);
    }
    useful as f64 / SIMULATED_SECONDS
}

#[test]
fn goodput_stays_flat_past_saturation() {
    println!("| offered | goodput per second | without admission control |");
    println!("|---|---|---|");
    let mut peak: f64 = 0.0;
    let mut at_double = 0.0;
    for offered in [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 4.0] {
        let goodput = Simulation::new(256).goodput(offered);
        println!(
            "| {offered} | {goodput:.1} | {:.1} |",
            goodput_without_admission(offered)
        );
        peak = peak.max(goodput);
        if offered >= 2.0 {
            at_double = goodput;
            assert!(goodput >= 0.9 * peak, "{goodput} of {peak} at {offered}");
        }
    }
    assert!(
        goodput_without_admission(2.0) < 0.5 * at_double,
        "without admission control the goodput must collapse, or the test shows nothing"
    );
}
