//! Straight lines through samples.

use serde::{Deserialize, Serialize};

use super::Sample;

/// The least-squares line of each cost: that of one more unit, and that of none.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Control bytes a second for each unit.
    pub bytes: f64,
    /// Milliseconds of processor time a second for each unit.
    pub cpu_ms: f64,
    /// Bytes of memory for each unit.
    pub memory: f64,
    /// Calls of the store a second for each unit.
    pub calls: f64,
    /// The costs at size zero.
    pub fixed: Sample,
}

impl Slope {
    /// Fits a line through samples; without two different sizes every slope is zero.
    pub fn fit(samples: &[Sample]) -> Self {
        let line = |cost: fn(&Sample) -> f64| Line::fit(samples, cost);
        let (bytes, cpu) = (line(|s| s.bytes), line(|s| s.cpu_ms));
        let (memory, calls) = (line(|s| s.memory), line(|s| s.calls));
        Self {
            bytes: bytes.slope,
            cpu_ms: cpu.slope,
            memory: memory.slope,
            calls: calls.slope,
            fixed: Sample {
                size: 0.0,
                bytes: bytes.fixed,
                cpu_ms: cpu.fixed,
                memory: memory.fixed,
                calls: calls.fixed,
            },
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Line {
    slope: f64,
    fixed: f64,
}

impl Line {
    fn fit(samples: &[Sample], cost: fn(&Sample) -> f64) -> Self {
        let count = samples.len().max(1) as f64;
        let mean = |value: &dyn Fn(&Sample) -> f64| samples.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(&|s| s.size), mean(&cost));
        let spread: f64 = samples.iter().map(|s| (s.size - mean_size).powi(2)).sum();
        if spread <= f64::EPSILON {
            return Self {
                slope: 0.0,
                fixed: mean_cost,
            };
        }
        let common: f64 = samples
            .iter()
            .map(|s| (s.size - mean_size) * (cost(s) - mean_cost))
            .sum();
        let slope = common / spread;
        Self {
            slope,
            fixed: mean_cost - slope * mean_size,
        }
    }
}
