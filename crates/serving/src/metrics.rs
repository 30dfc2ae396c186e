//! Counters and latency histograms of the serving daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use kumquatkeel_core::response::Framing;
use kumquatkeel_core::serving::{AdmissionDecision, LeaveReason, PermitDecision, Place};
use kumquatkeel_daemon::metrics::{METRICS_CONTENT_TYPE, Metrics, MetricsError};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use tokio::net::TcpListener;

use crate::net::serve_listener;

/// Bounds of the latency histograms' buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Most accounts that metrics name, as each name adds a time series for each decision.
const MAX_NAMED_ACCOUNTS: usize = 64;
/// The name in metrics of all further accounts.
const OTHER_ACCOUNTS: &str = "other";

/// The metric instruments of a serving daemon.
#[derive(Debug, Clone)]
pub struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    orders: Counter<u64>,
    stream_ends: Counter<u64>,
    verdicts: Counter<u64>,
    trials: Counter<u64>,
    limit_changes: Counter<u64>,
    leaving: Counter<u64>,
    pauses: Counter<u64>,
    permits: Counter<u64>,
    admissions: Counter<u64>,
    admission_wait: Histogram<f64>,
    account_decisions: Counter<u64>,
    account_levels: Gauge<f64>,
    /// The accounts that metrics name.
    named_accounts: Arc<Mutex<BTreeSet<Arc<str>>>>,
    departures: Counter<u64>,
    departed_bytes: Counter<u64>,
    link_budget: Gauge<f64>,
    first_byte: Histogram<f64>,
    predicted: Histogram<f64>,
    stream_rest: Histogram<f64>,
    stream_rest_predicted: Histogram<f64>,
    duration: Histogram<f64>,
    config_version: Gauge<u64>,
    config_age: Histogram<f64>,
}

impl Instruments {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub fn start() -> Result<Self, MetricsError> {
        let metrics = Metrics::start()?;
        let meter = metrics.meter("serving");
        let histogram = |name: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            builder.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            attempts: meter.u64_counter("attempts").build(),
            refusals: meter.u64_counter("refusals").build(),
            orders: meter.u64_counter("orders").build(),
            stream_ends: meter.u64_counter("stream_ends").build(),
            verdicts: meter.u64_counter("quarantine_verdicts").build(),
            trials: meter.u64_counter("quarantine_trials").build(),
            permits: meter.u64_counter("target_permits").build(),
            admissions: meter.u64_counter("engine_admissions").build(),
            admission_wait: histogram("engine_admission_wait"),
            account_decisions: meter.u64_counter("account_decisions").build(),
            account_levels: meter.f64_gauge("account_level").build(),
            named_accounts: Arc::default(),
            departures: meter.u64_counter("requests_away").build(),
            departed_bytes: meter.u64_counter("request_bytes_away").build(),
            link_budget: meter.f64_gauge("link_budget_use").build(),
            limit_changes: meter.u64_counter("target_limit_changes").build(),
            leaving: meter.u64_counter("target_leaving_notices").build(),
            pauses: meter.u64_counter("target_pauses").build(),
            first_byte: histogram("first_byte"),
            predicted: histogram("first_byte_predicted"),
            stream_rest: histogram("stream_rest"),
            stream_rest_predicted: histogram("stream_rest_predicted"),
            duration: histogram("request_duration"),
            config_version: meter.u64_gauge("config_version").build(),
            config_age: histogram("config_confirmation_age"),
            metrics,
        })
    }

    /// Counts a request by its outcome and records its total duration.
    pub fn record_request(&self, outcome: &'static str, duration: Duration) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(duration.as_secs_f64(), &[]);
    }

    /// Counts a finished attempt at a target by how it ended.
    pub fn record_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a refusal by its reason.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an order to an engine by its reply.
    pub fn record_order(&self, reply: &'static str) {
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    /// Counts the end of a target's stream by its framing and whether it was complete.
    pub fn record_stream_end(&self, framing: Framing, complete: bool) {
        let attributes = [
            KeyValue::new("framing", framing.to_string()),
            KeyValue::new("complete", complete),
        ];
        self.stream_ends.add(1, &attributes);
    }

    /// Counts a verdict that puts a part of prompts in quarantine or releases it.
    pub fn record_verdict(&self, quarantined: bool) {
        let attributes = [KeyValue::new("quarantined", quarantined)];
        self.verdicts.add(1, &attributes);
    }

    /// Counts a claim to send a request with a quarantined part.
    pub fn record_trial(&self, granted: bool) {
        let attributes = [KeyValue::new("granted", granted)];
        self.trials.add(1, &attributes);
    }

    /// Counts a change of the limit that a target names.
    pub fn record_limit_change(&self) {
        self.limit_changes.add(1, &[]);
    }

    /// Counts a target that states that it leaves.
    pub fn record_leaving(&self) {
        self.leaving.add(1, &[]);
    }

    /// Counts an answer that asks for a pause.
    pub fn record_pause(&self) {
        self.pauses.add(1, &[]);
    }

    /// Counts a decision on a request for a permit.
    pub fn record_permit(&self, decision: PermitDecision) {
        let decision = match decision {
            PermitDecision::NotNeeded => "not_needed",
            PermitDecision::Granted { .. } => "granted",
            PermitDecision::Denied { .. } => "denied",
        };
        self.permits.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts a decision of this agent on a request for admission to its engine.
    pub fn record_admission(&self, decision: AdmissionDecision) {
        let decision = match decision {
            AdmissionDecision::Admitted { .. } => "admitted",
            AdmissionDecision::Queued => "queued",
            AdmissionDecision::Denied { .. } => "denied",
        };
        self.admissions
            .add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Records how long a request of this entry waited for an agent's decision.
    pub fn record_admission_wait(&self, wait: Duration) {
        self.admission_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Counts a decision on a request of an account with a limit.
    pub fn record_account(&self, account: &Arc<str>, decision: &'static str) {
        let attributes = [
            KeyValue::new("account", self.account_label(account)),
            KeyValue::new("decision", decision),
        ];
        self.account_decisions.add(1, &attributes);
    }

    /// Records the level of the bucket from which an account's requests are granted.
    pub fn record_account_level(&self, account: &Arc<str>, level: f64) {
        let label = self.account_label(account);
        // The levels of several accounts under one name would replace each other.
        if &*label != OTHER_ACCOUNTS {
            let attributes = [KeyValue::new("account", label)];
            self.account_levels.record(level, &attributes);
        }
    }

    /// Returns the name of an account in metrics: the first accounts have their own.
    fn account_label(&self, account: &Arc<str>) -> Arc<str> {
        let mut named = self
            .named_accounts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if named.contains(account) {
            return account.clone();
        }
        if named.len() >= MAX_NAMED_ACCOUNTS {
            return Arc::from(OTHER_ACCOUNTS);
        }
        named.insert(account.clone());
        account.clone()
    }

    /// Counts a request of this size that is sent out of the data centre.
    pub fn record_departure(&self, place: Place, reason: LeaveReason, bytes: u64) {
        let attributes = [
            KeyValue::new("place", place.name()),
            KeyValue::new("reason", reason.name()),
        ];
        self.departures.add(1, &attributes);
        self.departed_bytes.add(bytes, &attributes);
    }

    /// Records the part of the link's budget in use, between 0 and 1.
    pub fn record_link_budget(&self, part: f64) {
        self.link_budget.record(part, &[]);
    }

    /// Records the predicted and the observed time to the first byte.
    pub fn record_first_byte(&self, predicted: Duration, seen: Duration) {
        self.predicted.record(predicted.as_secs_f64(), &[]);
        self.first_byte.record(seen.as_secs_f64(), &[]);
    }

    /// Records the predicted and the observed time from a stream's first byte to its end.
    pub fn record_stream_rest(&self, predicted: Duration, seen: Duration) {
        self.stream_rest_predicted
            .record(predicted.as_secs_f64(), &[]);
        self.stream_rest.record(seen.as_secs_f64(), &[]);
    }

    /// Records the version of the configuration that was put in force.
    pub fn record_config(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Records how long ago the store had confirmed the configuration when this process learned of
    /// it.
    pub fn record_config_age(&self, age: Duration) {
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Serves the metrics as text from a background task that runs as long as the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let metrics = self.metrics.clone();
        tokio::spawn(serve_listener(listener, move |_, _| {
            text_response(&metrics)
        }));
        Ok(())
    }
}

fn text_response(metrics: &Metrics) -> Response<Full<Bytes>> {
    let (status, body) = match metrics.to_text() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => {
            log::warn!(error:%; "encoding the metrics failed");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
