//! The phases of a graceful shutdown.
//!
//! Callers keep using open connections until the process exits, and the load balancer takes
//! seconds to notice that the process is not ready. Until then every request is served. After that
//! only requests whose deadline is before the exit are admitted, since a refused caller can still go
//! elsewhere, and one that is cut off may not repeat its request. How long a target takes is not known
//! before it has answered.

use std::time::Duration;

/// How long every request is admitted: the load balancer's two failed readiness checks, and the
/// time until callers learn of them.
const ADMIT_ALL: Duration = Duration::from_millis(2_500);
/// When idle connections are closed.
const CLOSE_IDLE: Duration = Duration::from_millis(3_500);
/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time between the end of the last request and the end of the grace period.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// Time between the end of the last stream and the end of the grace period; streams go on for as long as
/// the process can still tell its callers that they are incomplete.
const STREAM_MARGIN: Duration = Duration::from_millis(400);

/// What a process that shuts down does at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// Serves requests on open connections and asks the callers to close them.
    Serving,
    /// Closes idle connections and finishes the requests in progress.
    Closing,
    /// The process exits.
    Exit,
}

/// How far a request is, which decides until when a process that stops goes on with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// No target has it, whatever it waits for.
    Waiting,
    /// A target has it, and its caller has nothing yet.
    Sent,
    /// Its caller has a part of the answer.
    Streaming,
}

/// The schedule of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    grace: Duration,
}

impl DrainPlan {
    /// Creates a schedule that ends within the grace period `grace`.
    pub const fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the time after the stop request at which `margin` is left. Margins shrink with a short grace
    /// period, so that their order remains.
    const fn until(self, margin: Duration) -> Duration {
        let (grace, margin) = (self.grace.as_nanos(), margin.as_nanos());
        let margins = 2 * ANSWER_MARGIN.as_nanos();
        let margin = if grace < margins {
            margin * grace / margins
        } else {
            margin
        };
        Duration::from_nanos((grace - margin) as u64)
    }

    /// Returns the phase at `elapsed` after the stop request, with `open` connections left.
    pub fn phase(self, elapsed: Duration, open: usize) -> DrainPhase {
        if elapsed >= self.until(EXIT_MARGIN) || (open == 0 && elapsed >= CLOSE_IDLE) {
            return DrainPhase::Exit;
        }
        if elapsed < CLOSE_IDLE {
            return DrainPhase::Serving;
        }
        DrainPhase::Closing
    }

    /// Returns whether new connections are still accepted at `elapsed` after the stop request, with `open`
    /// connections left. A connection that is accepted later may be cut off by the exit.
    pub fn accepts(self, elapsed: Duration, open: usize) -> bool {
        let ends = self.phase(elapsed, open) == DrainPhase::Exit;
        !ends && elapsed < self.answer_deadline()
    }

    /// Returns the time after the stop request by which every request must have an answer, so that
    /// the answer is sent before the exit.
    pub const fn answer_deadline(self) -> Duration {
        self.until(ANSWER_MARGIN)
    }

    /// Returns the time after the stop request by which a request in `phase` ends whose own deadline is
    /// `deadline` after the stop request.
    ///
    /// A request that no target has yet is refused as soon as it can't be known to end in time.
    pub fn request_end(self, phase: RequestPhase, deadline: Duration) -> Duration {
        let end = match phase {
            RequestPhase::Waiting if deadline < self.answer_deadline() => deadline,
            RequestPhase::Waiting => ADMIT_ALL.min(self.answer_deadline()),
            RequestPhase::Sent => self.answer_deadline(),
            RequestPhase::Streaming => self.until(STREAM_MARGIN),
        };
        end.min(deadline)
    }
}
