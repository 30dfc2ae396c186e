//! The engine's state and operations: completions, cancellations, orders and reports.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use derive_more::{Display, Error};
use kumquatkeel_types::engine::{
    CacheEvents, EngineCancel, EngineChunk, EngineCompletion, EngineLoad, EngineOrder,
    EngineOrderReply, EngineReplica,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::accelerators::ReplicaKey;
use super::run::Run;
use super::{
    Accelerators, Batch, EngineCall, EngineFault, EngineFaults, EngineOptions, EngineRecord,
    OrderRecord, OrderStart, PrefixCache, RequestState, RunEnd, RunRecord,
};

/// Number of chunks that are buffered for a slow reader before generation blocks.
const CHUNK_BUFFER: usize = 64;
/// Number of load reports that are retained until the report lag has passed.
const MAX_REPORTS: usize = 1_024;

/// Why an engine call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// The answer was lost; the call may have taken effect.
    #[display("the answer was lost")]
    Lost,
    /// The model or adapter is not resident; nothing was run.
    #[display("the model or adapter is not resident")]
    NotResident,
}

#[derive(Debug)]
pub(super) struct State {
    accelerators: Accelerators,
    pub(super) batch: Batch,
    pub(super) cache: PrefixCache,
    pub(super) wakers: BTreeMap<u64, oneshot::Sender<()>>,
    pub(super) cancels: BTreeMap<String, CancellationToken>,
    reports: VecDeque<(Instant, EngineLoad)>,
    pub(super) record: EngineRecord,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: EngineOptions,
    pub(super) faults: EngineFaults,
    state: Mutex<State>,
}

/// Stand-in of an engine; clones share the state.
#[derive(Debug, Clone)]
pub struct Engine {
    pub(super) shared: Arc<Shared>,
}

impl Engine {
    /// Creates an engine with no model loaded.
    pub fn new(options: EngineOptions) -> Self {
        let state = State {
            accelerators: Accelerators::new(options.clone()),
            batch: Batch::default(),
            cache: PrefixCache::new(options.cache_blocks),
            wakers: BTreeMap::new(),
            cancels: BTreeMap::new(),
            reports: VecDeque::new(),
            record: EngineRecord::default(),
        };
        Self {
            shared: Arc::new(Shared {
                options,
                faults: EngineFaults::new(),
                state: Mutex::new(state),
            }),
        }
    }

    /// Returns the faults of the engine.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Returns a copy of the runs and orders so far.
    pub fn record(&self) -> EngineRecord {
        let state = self.lock();
        EngineRecord {
            violations: state.accelerators.violations().to_vec(),
            ..state.record.clone()
        }
    }

    /// Drops the next `count` cache events.
    pub fn lose_cache_events(&self, count: u32) {
        self.lock().cache.lose_events(count);
    }

    /// Runs a completion and returns its chunks; the last one has a finish reason.
    ///
    /// The run ends early when the receiver is dropped.
    ///
    /// # Errors
    ///
    /// Fails if a fault loses the answer or no replica has the model and the adapter ready.
    pub async fn complete(
        &self,
        request: EngineCompletion,
    ) -> Result<mpsc::Receiver<EngineChunk>, EngineError> {
        let fault = self.shared.faults.next_fault(EngineCall::Completion);
        match fault {
            Some(EngineFault::LostBefore) => return Err(EngineError::Lost),
            Some(EngineFault::Silent) => std::future::pending().await,
            Some(EngineFault::Late(delay)) => sleep(delay).await,
            Some(EngineFault::LateEffect(delay)) => {
                self.run_detached(request, delay);
                return Err(EngineError::Lost);
            }
            Some(EngineFault::LostAfter) => {
                self.run_detached(request, Duration::ZERO);
                return Err(EngineError::Lost);
            }
            Some(EngineFault::InterruptAfter(_) | EngineFault::Crossed) | None => {}
        }
        self.start_run(request, fault)
    }

    /// Cancels a completion; an unknown request is ignored.
    ///
    /// # Errors
    ///
    /// Fails when a fault loses the answer.
    pub async fn cancel(&self, cancel: &EngineCancel) -> Result<(), EngineError> {
        match self.shared.faults.next_fault(EngineCall::Cancel) {
            Some(EngineFault::LostBefore) => return Err(EngineError::Lost),
            Some(EngineFault::Silent) => std::future::pending().await,
            Some(EngineFault::Late(delay)) => sleep(delay).await,
            fault => {
                self.cancel_run(&cancel.request_id);
                return fault.map_or(Ok(()), |_| Err(EngineError::Lost));
            }
        }
        self.cancel_run(&cancel.request_id);
        Ok(())
    }

    /// Executes an order and returns its reply when it has ended.
    ///
    /// # Errors
    ///
    /// Fails when a fault loses the answer.
    pub async fn order(&self, order: EngineOrder) -> Result<EngineOrderReply, EngineError> {
        match self.shared.faults.next_fault(EngineCall::Order) {
            None | Some(EngineFault::InterruptAfter(_) | EngineFault::Crossed) => {
                Ok(self.execute_order(order).await)
            }
            Some(EngineFault::LostBefore) => Err(EngineError::Lost),
            Some(EngineFault::Silent) => std::future::pending().await,
            Some(EngineFault::Late(delay)) => {
                sleep(delay).await;
                Ok(self.execute_order(order).await)
            }
            Some(EngineFault::LostAfter) => {
                self.execute_order(order).await;
                Err(EngineError::Lost)
            }
            Some(EngineFault::LateEffect(delay)) => {
                let engine = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    engine.execute_order(order).await;
                });
                Err(EngineError::Lost)
            }
        }
    }

    /// Returns the latest load report that is at least as old as the report lag.
    ///
    /// # Errors
    ///
    /// Fails when a fault loses the answer.
    pub async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.inject_report_fault().await?;
        let state = self.lock();
        let now = Instant::now();
        let lag = self.shared.options.report_lag;
        let old_enough = |at: Instant| now.saturating_duration_since(at) >= lag;
        let seen = state.reports.iter().rev().find(|(at, _)| old_enough(*at));
        let mut report = seen.map_or_else(
            || EngineLoad {
                used_mb: vec![0; usize::from(self.shared.options.accelerators)],
                ..EngineLoad::default()
            },
            |(_, report)| report.clone(),
        );
        report.age_ms = lag.as_millis() as u64;
        Ok(report)
    }

    /// Returns the cache events with a sequence number above `after`, delayed by the report lag.
    ///
    /// # Errors
    ///
    /// Fails when a fault loses the answer.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.inject_report_fault().await?;
        let lag = self.shared.options.report_lag;
        Ok(self.lock().cache.events_after(after, lag))
    }

    async fn inject_report_fault(&self) -> Result<(), EngineError> {
        match self.shared.faults.next_fault(EngineCall::Report) {
            None => Ok(()),
            Some(EngineFault::Late(delay)) => {
                sleep(delay).await;
                Ok(())
            }
            Some(EngineFault::Silent) => std::future::pending().await,
            Some(_) => Err(EngineError::Lost),
        }
    }

    fn cancel_run(&self, request: &str) {
        if let Some(token) = self.lock().cancels.get(request) {
            token.cancel();
        }
    }

    async fn execute_order(&self, order: EngineOrder) -> EngineOrderReply {
        let started = self.start_order(&order);
        let (index, start) = started;
        let action = order.action;
        match start {
            OrderStart::Reply(_) => {}
            OrderStart::Work(span) => sleep(span).await,
            OrderStart::Load(span) => {
                let ticket = self.shared.options.weights.start(span);
                sleep(ticket.duration).await;
            }
        }
        let mut state = self.lock();
        let reply = match start {
            OrderStart::Reply(reply) => reply,
            OrderStart::Work(_) | OrderStart::Load(_) => state.accelerators.finish(&action),
        };
        state.record.orders[index].reply = Some(reply);
        state.record.orders[index].at = Instant::now();
        state.publish_report();
        reply
    }

    fn start_order(&self, order: &EngineOrder) -> (usize, OrderStart) {
        let state = &mut *self.lock();
        let batch = &state.batch;
        let start = state
            .accelerators
            .start(order, |accelerator, model, adapter| {
                batch.users(&(accelerator, model.clone()), adapter)
            });
        state.record.orders.push(OrderRecord {
            order: order.clone(),
            reply: None,
            at: Instant::now(),
        });
        state.publish_report();
        (state.record.orders.len() - 1, start)
    }

    /// Runs a request after `delay` and discards its answer.
    fn run_detached(&self, request: EngineCompletion, delay: Duration) {
        let engine = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            if let Ok(mut chunks) = engine.start_run(request, None) {
                while chunks.recv().await.is_some() {}
            }
        });
    }

    fn start_run(
        &self,
        request: EngineCompletion,
        fault: Option<EngineFault>,
    ) -> Result<mpsc::Receiver<EngineChunk>, EngineError> {
        let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
        let run = self.prepare_run(request, fault, sender)?;
        tokio::spawn(run.drive());
        Ok(receiver)
    }

    fn prepare_run(
        &self,
        request: EngineCompletion,
        fault: Option<EngineFault>,
        chunks: mpsc::Sender<EngineChunk>,
    ) -> Result<Run, EngineError> {
        let mut state = self.lock();
        let replica = state.least_used(&request).ok_or(EngineError::NotResident)?;
        let slots = self.slots(&replica);
        let number = state.record.runs.len() as u64;
        let adapter = request.adapter.clone();
        let request_state = state
            .batch
            .submit(&replica, number, request.priority, adapter, slots);
        let slot_wake = (request_state == RequestState::Waiting).then(|| {
            let (waker, slot_wake) = oneshot::channel();
            state.wakers.insert(number, waker);
            slot_wake
        });
        let cancel = CancellationToken::new();
        state
            .cancels
            .insert(request.request_id.clone(), cancel.clone());
        let answered = match fault {
            Some(EngineFault::Crossed) => state.record.runs.last().map(|run| run.request.clone()),
            _ => None,
        };
        state.record.runs.push(RunRecord {
            request: request.clone(),
            sent: 0,
            end: RunEnd::Running,
        });
        state.publish_report();
        Ok(Run {
            engine: self.clone(),
            number,
            replica,
            answered: answered.unwrap_or_else(|| request.clone()),
            request,
            fault,
            slot_wake,
            cancel,
            chunks,
        })
    }

    pub(super) fn slots(&self, replica: &ReplicaKey) -> u16 {
        self.shared
            .options
            .model(&replica.1)
            .map_or(1, |model| model.slots)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl State {
    fn least_used(&self, request: &EngineCompletion) -> Option<ReplicaKey> {
        self.accelerators
            .find(&request.model, request.adapter.as_ref())
            .into_iter()
            .map(|accelerator| (accelerator, request.model.clone()))
            .min_by_key(|replica| self.batch.users(replica, None))
    }

    pub(super) fn publish_report(&mut self) {
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        let report = self.report();
        self.reports.push_back((Instant::now(), report));
    }

    fn report(&self) -> EngineLoad {
        let replicas = self
            .accelerators
            .replicas()
            .iter()
            .map(|(key, replica)| EngineReplica {
                model: key.1.clone(),
                accelerator: key.0,
                ready: replica.is_ready(),
                adapters: replica.ready_adapters().cloned().collect(),
                running: self.batch.running(key),
                waiting: self.batch.waiting(key),
            })
            .collect();
        EngineLoad {
            age_ms: 0,
            replicas,
            used_mb: self.accelerators.used_mb(),
            fence: self.accelerators.fence(),
        }
    }
}
