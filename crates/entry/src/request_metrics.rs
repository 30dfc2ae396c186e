//! Metrics of the requests that pass through the entry.

use std::time::Duration;

use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_types::{Outcome, ServiceName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// The counters and histograms of requests, attempts and probes.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    probes: Counter<u64>,
    first_token: Histogram<f64>,
}

impl EntryMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("entry");
        Self {
            requests: meter
                .u64_counter("requests")
                .with_description("Requests by service and outcome")
                .build(),
            attempts: meter
                .u64_counter("attempts")
                .with_description("Attempts sent to agents, by service")
                .build(),
            probes: meter
                .u64_counter("probes")
                .with_description("Load questions sent to agents, by service")
                .build(),
            first_token: meter
                .f64_histogram("first_token")
                .with_unit("s")
                .with_description("Time from arrival to the first token, by service")
                .build(),
        }
    }

    pub(crate) fn count_request(&self, service: &ServiceName, outcome: Outcome) {
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[service_label(service), outcome]);
    }

    pub(crate) fn count_attempt(&self, service: &ServiceName) {
        self.attempts.add(1, &[service_label(service)]);
    }

    pub(crate) fn count_probes(&self, service: &ServiceName, probes: usize) {
        self.probes.add(probes as u64, &[service_label(service)]);
    }

    pub(crate) fn record_first_token(&self, service: &ServiceName, time: Duration) {
        self.first_token
            .record(time.as_secs_f64(), &[service_label(service)]);
    }
}

/// Returns the label with the service's name.
fn service_label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.to_string())
}
