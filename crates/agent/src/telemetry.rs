//! The agent's metrics.

use std::sync::{Arc, Weak};

use kumquatkeel_core::memory::OrderOutcome;
use kumquatkeel_core::scheduler::Ending;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_types::message::{LoadSummary, NotRunReason};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Meter};

use crate::shared::Shared;

/// The agent's metric instruments.
#[derive(Debug)]
pub(crate) struct Telemetry {
    meter: Meter,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    orders: Counter<u64>,
}

impl Telemetry {
    /// Creates the agent's instruments.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("agent");
        let attempts = meter
            .u64_counter("attempts")
            .with_description("Attempts that ran, by end");
        let refusals = meter
            .u64_counter("not_run")
            .with_description("Attempts not run, by reason");
        let orders = meter
            .u64_counter("orders")
            .with_description("Orders to the engine, by end");
        Self {
            attempts: attempts.build(),
            refusals: refusals.build(),
            orders: orders.build(),
            meter,
        }
    }

    /// Counts a started attempt by how it ended.
    pub(crate) fn count_end(&self, end: &Ending) {
        let end = match end {
            Ending::Answered(_) => "answered",
            Ending::Finished => "finished",
            Ending::Unknown => "unknown",
            Ending::NotSent(_) => "not_sent",
        };
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts an attempt that was not run, by reason.
    pub(crate) fn count_not_run(&self, reason: NotRunReason) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.refusals.add(1, &[reason]);
    }

    /// Counts a sent order by its outcome.
    pub(crate) fn count_order(&self, step: OrderOutcome) {
        let end = match step {
            OrderOutcome::Executed => "executed",
            OrderOutcome::Refused => "refused",
            OrderOutcome::InDoubt => "in_doubt",
            OrderOutcome::Superseded => "superseded",
            OrderOutcome::UnknownOrder => "unknown_order",
        };
        self.orders.add(1, &[KeyValue::new("end", end)]);
    }

    /// Registers gauges of the load and of the committed memory.
    pub(crate) fn observe(&self, shared: &Arc<Shared>) {
        self.observe_load(shared, "running", |load| load.running);
        self.observe_load(shared, "waiting", |load| load.waiting);
        let weak = Arc::downgrade(shared);
        let committed = self.meter.u64_observable_gauge("committed_megabytes");
        committed
            .with_description("Memory committed in the worst case, by accelerator")
            .with_callback(move |gauge| observe_memory(&weak, gauge))
            .build();
    }

    fn observe_load(
        &self,
        shared: &Arc<Shared>,
        name: &'static str,
        field: fn(LoadSummary) -> u32,
    ) {
        let weak = Arc::downgrade(shared);
        let gauge = self.meter.u64_observable_gauge(name);
        gauge
            .with_callback(move |gauge| {
                if let Some(shared) = weak.upgrade() {
                    let load = shared.core().scheduler.load();
                    gauge.observe(field(load).into(), &[]);
                }
            })
            .build();
    }
}

fn observe_memory(shared: &Weak<Shared>, gauge: &dyn AsyncInstrument<u64>) {
    let Some(shared) = shared.upgrade() else {
        return;
    };
    let committed = shared.core().memory.committed_mb();
    for (accelerator, mb) in committed.into_iter().enumerate() {
        let accelerator = KeyValue::new("accelerator", accelerator.to_string());
        gauge.observe(mb.into(), &[accelerator]);
    }
}
