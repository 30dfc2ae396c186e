//! The gates of the services, as tasks wait at them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::admission::{
    AdmissionController, AdmitStep, Arrival, NextStep, Refusal, ServiceLimits, Ticket,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::ServiceName;
use tokio::sync::oneshot;

/// How often waiting requests are looked at for their latest start.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

type Answer = Result<(), Refusal>;

/// One service's gate and the tasks that wait at it.
#[derive(Debug)]
struct Lane {
    controller: AdmissionController,
    waiters: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    arrivals: u64,
}

/// The gates of all services.
#[derive(Debug)]
pub struct AdmissionQueues {
    clock: Clock,
    lanes: Mutex<BTreeMap<ServiceName, Lane>>,
}

/// The right to run one request; dropping it lets the next one run.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionQueues>,
    service: ServiceName,
    ticket: Ticket,
    run_time: Option<Duration>,
}

impl AdmissionQueues {
    /// Makes a set of gates without any service.
    pub const fn new(clock: Clock) -> Self {
        Self {
            clock,
            lanes: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sets the limits of a service and the slots that the fleet has for it.
    pub fn set_service(&self, service: &ServiceName, limits: ServiceLimits, slots: u32) {
        let now = self.clock.now();
        let mut lanes = self.lock();
        let lane = lanes.entry(service.clone()).or_insert_with(|| Lane {
            controller: AdmissionController::new(limits, now),
            waiters: BTreeMap::new(),
            arrivals: 0,
        });
        lane.controller.set_limits(limits, now);
        if slots > 0 {
            lane.controller.set_slots(slots);
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused as not run.
    pub async fn admit(
        self: &Arc<Self>,
        service: &ServiceName,
        arrival: Arrival,
    ) -> Result<AdmissionPermit, Refusal> {
        let admission_permit = AdmissionPermit {
            admission: self.clone(),
            service: service.clone(),
            ticket: arrival.ticket,
            run_time: None,
        };
        let Some(waiting) = self.arrive(service, &arrival)? else {
            return Ok(admission_permit);
        };
        match waiting.await {
            Ok(answer) => answer.map(|()| admission_permit),
            Err(_) => Err(closed()),
        }
    }

    /// Refuses whatever arrives from now on.
    pub fn drain(&self) {
        for lane in self.lock().values_mut() {
            lane.controller.drain();
        }
    }

    /// Refuses waiting requests whose latest start has passed.
    pub fn tick(&self) {
        for lane in self.lock().values_mut() {
            lane.pump(self.clock);
        }
    }

    /// Counts a request of a service that an agent has accepted.
    pub fn accepted(&self, service: &ServiceName) {
        if let Some(lane) = self.lock().get_mut(service) {
            lane.controller.accepted();
        }
    }

    /// Counts an agent's refusal of a request of a service for want of a slot.
    pub fn busy(&self, service: &ServiceName) {
        let now = self.clock.now();
        if let Some(lane) = self.lock().get_mut(service) {
            lane.controller.busy(now);
        }
    }

    /// Returns how many requests of a service have come since the last call.
    pub fn take_arrivals(&self, service: &ServiceName) -> u64 {
        let mut lanes = self.lock();
        let arrivals = lanes.get_mut(service).map(|lane| &mut lane.arrivals);
        arrivals.map_or(0, std::mem::take)
    }

    /// Returns how many requests of a service run and how many wait.
    pub fn load(&self, service: &ServiceName) -> (usize, usize) {
        let lanes = self.lock();
        let lane = lanes.get(service);
        lane.map_or((0, 0), |l| (l.controller.running(), l.controller.waiting()))
    }

    /// Returns none when the request may run at once, and else where it waits.
    fn arrive(
        &self,
        service: &ServiceName,
        arrival: &Arrival,
    ) -> Result<Option<oneshot::Receiver<Answer>>, Refusal> {
        let mut lanes = self.lock();
        let lane = lanes.get_mut(service).ok_or_else(closed)?;
        lane.arrivals += 1;
        match lane.controller.arrive(arrival, self.clock.now()) {
            AdmitStep::Run => Ok(None),
            AdmitStep::Queued => Ok(Some(lane.wait(arrival.ticket))),
            AdmitStep::Displaced { ticket, refusal } => {
                lane.answer(ticket, Err(refusal));
                Ok(Some(lane.wait(arrival.ticket)))
            }
            AdmitStep::Refuse(refusal) => Err(refusal),
        }
    }

    fn leave(&self, admission_permit: &AdmissionPermit) {
        let mut lanes = self.lock();
        if let Some(lane) = lanes.get_mut(&admission_permit.service) {
            lane.waiters.remove(&admission_permit.ticket);
            lane.controller.abandon(admission_permit.ticket);
            lane.controller
                .finished(admission_permit.ticket, admission_permit.run_time);
            lane.pump(self.clock);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Lane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lane {
    fn wait(&mut self, ticket: Ticket) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|w| w.send(answer).is_ok())
    }

    /// Lets requests run as long as there are places.
    fn pump(&mut self, clock: Clock) {
        loop {
            match self.controller.next(clock.now()) {
                NextStep::Run(ticket) => {
                    if !self.answer(ticket, Ok(())) {
                        self.controller.finished(ticket, None);
                    }
                }
                NextStep::Refuse(ticket, refusal) => {
                    self.answer(ticket, Err(refusal));
                }
                NextStep::Idle(_) => return,
            }
        }
    }
}

impl AdmissionPermit {
    /// Notes how long an answered request ran, from which waits are estimated.
    pub const fn set_run_time(&mut self, run_time: Duration) {
        self.run_time = Some(run_time);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission.leave(self);
    }
}

/// Refuses a request whose service was removed from the configuration meanwhile.
const fn closed() -> Refusal {
    Refusal {
        code: kumquatkeel_types::ErrorCode::Unavailable,
        retry_after: Duration::from_secs(1),
    }
}
