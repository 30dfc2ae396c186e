//! Admission control of the entry: one queue per service, at which request tasks wait for a permit.
//!
//! A request passes here after the API has checked it and before it is routed. The decisions are
//! taken by `AdmissionController` of `kumquatkeel-core`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::admission::{
    AdmissionController, AdmitStep, Arrival, NextStep, Refusal, ServiceLimits, Ticket,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::ServiceName;
use tokio::sync::oneshot;

/// Interval of the check for waiting requests whose latest start has passed.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

type Decision = Result<(), Refusal>;

/// One service's admission controller and the tasks that wait for it.
#[derive(Debug)]
struct ServiceQueue {
    controller: AdmissionController,
    waiters: BTreeMap<Ticket, oneshot::Sender<Decision>>,
    arrivals: u64,
}

/// The admission queues of all services.
#[derive(Debug)]
pub struct AdmissionQueues {
    clock: Clock,
    queues: Mutex<BTreeMap<ServiceName, ServiceQueue>>,
}

/// Permission to run one request; dropping it lets the next one start.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionQueues>,
    service: ServiceName,
    ticket: Ticket,
    run_time: Option<Duration>,
}

impl AdmissionQueues {
    /// Creates the queues without any service.
    pub const fn new(clock: Clock) -> Self {
        Self {
            clock,
            queues: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sets the limits of a service and the number of slots that the fleet has for it.
    ///
    /// Zero slots leave the number unchanged.
    pub fn set_service(&self, service: &ServiceName, limits: ServiceLimits, slots: u32) {
        let now = self.clock.now();
        let mut queues = self.lock();
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue {
                controller: AdmissionController::new(limits, now),
                waiters: BTreeMap::new(),
                arrivals: 0,
            });
        queue.controller.set_limits(limits, now);
        if slots > 0 {
            queue.controller.set_slots(slots);
        }
    }

    /// Waits until the request may run and returns its permit.
    ///
    /// Dropping the future takes the request out of the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the request may not run; it has not run then.
    pub async fn admit(
        self: &Arc<Self>,
        service: &ServiceName,
        arrival: Arrival,
    ) -> Result<AdmissionPermit, Refusal> {
        let permit = AdmissionPermit {
            admission: self.clone(),
            service: service.clone(),
            ticket: arrival.ticket,
            run_time: None,
        };
        let Some(queued) = self.arrive(service, &arrival)? else {
            return Ok(permit);
        };
        match queued.await {
            Ok(decision) => decision.map(|()| permit),
            Err(_) => Err(service_unavailable()),
        }
    }

    /// Refuses all requests that arrive from now on; those that wait may still run.
    pub fn drain(&self) {
        for queue in self.lock().values_mut() {
            queue.controller.drain();
        }
    }

    /// Refuses waiting requests whose latest start has passed and starts those that may run.
    pub fn tick(&self) {
        for queue in self.lock().values_mut() {
            queue.start_ready(self.clock);
        }
    }

    /// Records that an agent accepted a request of the service; raises the concurrency limit.
    pub fn accepted(&self, service: &ServiceName) {
        if let Some(queue) = self.lock().get_mut(service) {
            queue.controller.accepted();
        }
    }

    /// Records that an agent refused a request of the service because it had no free slot; lowers
    /// the concurrency limit.
    pub fn busy(&self, service: &ServiceName) {
        let now = self.clock.now();
        if let Some(queue) = self.lock().get_mut(service) {
            queue.controller.busy(now);
        }
    }

    /// Returns the number of requests of the service that arrived since the last call.
    pub fn take_arrivals(&self, service: &ServiceName) -> u64 {
        let mut queues = self.lock();
        let arrivals = queues.get_mut(service).map(|queue| &mut queue.arrivals);
        arrivals.map_or(0, std::mem::take)
    }

    /// Returns the numbers of running and of waiting requests of the service.
    pub fn load(&self, service: &ServiceName) -> (usize, usize) {
        let queues = self.lock();
        let queue = queues.get(service);
        queue.map_or((0, 0), |q| (q.controller.running(), q.controller.waiting()))
    }

    /// Registers an arriving request; returns `None` when it may run at once, and otherwise the
    /// receiver of the decision.
    fn arrive(
        &self,
        service: &ServiceName,
        arrival: &Arrival,
    ) -> Result<Option<oneshot::Receiver<Decision>>, Refusal> {
        let mut queues = self.lock();
        let queue = queues.get_mut(service).ok_or_else(service_unavailable)?;
        queue.arrivals += 1;
        match queue.controller.arrive(arrival, self.clock.now()) {
            AdmitStep::Run => Ok(None),
            AdmitStep::Queued => Ok(Some(queue.enqueue(arrival.ticket))),
            AdmitStep::Displaced { ticket, refusal } => {
                queue.resolve(ticket, Err(refusal));
                Ok(Some(queue.enqueue(arrival.ticket)))
            }
            AdmitStep::Refuse(refusal) => Err(refusal),
        }
    }

    fn release(&self, permit: &AdmissionPermit) {
        let mut queues = self.lock();
        if let Some(queue) = queues.get_mut(&permit.service) {
            queue.waiters.remove(&permit.ticket);
            queue.controller.abandon(permit.ticket);
            queue.controller.finished(permit.ticket, permit.run_time);
            queue.start_ready(self.clock);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceQueue {
    fn enqueue(&mut self, ticket: Ticket) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    fn resolve(&mut self, ticket: Ticket, decision: Decision) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|w| w.send(decision).is_ok())
    }

    /// Starts waiting requests up to the limits and refuses expired ones.
    fn start_ready(&mut self, clock: Clock) {
        loop {
            match self.controller.next(clock.now()) {
                NextStep::Run(ticket) => {
                    if !self.resolve(ticket, Ok(())) {
                        self.controller.finished(ticket, None);
                    }
                }
                NextStep::Refuse(ticket, refusal) => {
                    self.resolve(ticket, Err(refusal));
                }
                NextStep::Idle(_) => return,
            }
        }
    }
}

impl AdmissionPermit {
    /// Sets the run time of an answered request, from which queue waits are estimated.
    pub const fn set_run_time(&mut self, run_time: Duration) {
        self.run_time = Some(run_time);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission.release(self);
    }
}

/// Returns the refusal of a request whose service was removed from the configuration meanwhile.
const fn service_unavailable() -> Refusal {
    Refusal {
        code: kumquatkeel_types::ErrorCode::Unavailable,
        retry_after: Duration::from_secs(1),
    }
}
