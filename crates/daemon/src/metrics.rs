//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Content type of the Prometheus text format.
pub const METRICS_CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// Error of setting up or encoding the metrics.
#[derive(Debug, Display, Error)]
#[display("metrics: {step}: {reason}")]
pub struct MetricsError {
    /// The step that failed.
    pub step: &'static str,
    /// Text of the underlying error.
    pub reason: String,
}

/// The metrics registry of one daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    #[debug(skip)]
    provider: Arc<SdkMeterProvider>,
}

impl Metrics {
    /// Creates the registry and the exporter of one daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be built.
    pub fn start() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("kumquatkeel")
            .build()
            .map_err(|e| MetricsError {
                step: "build the exporter",
                reason: e.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            registry,
            provider: Arc::new(provider),
        })
    }

    /// Returns the meter of a component, which creates its instruments.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn to_text(&self) -> Result<Vec<u8>, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| MetricsError {
                step: "encode",
                reason: e.to_string(),
            })?;
        Ok(text)
    }
}
