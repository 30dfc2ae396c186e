//! An entry's access to targets that name a limit.

use std::collections::HashMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::permit_issuer::{PermitDecision, Urgency};
use super::request_rate::RequestRate;
use super::target::TargetId;

/// How long an issuer that did not reply is not asked again.
const SILENCE_TTL: Duration = Duration::from_secs(1);
/// Share of the limit that the entries use without an issuer. Those that reach it use the whole limit,
/// and targets accept half as much again.
const UNISSUED_SHARE: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct Access {
    /// When permits may be available again, for urgent and for other requests.
    reopens: [Option<Timestamp>; 2],
    /// When the issuer is asked again after it did not reply.
    silent_until: Option<Timestamp>,
    /// The entry's last turn without an issuer.
    last_turn: Option<u64>,
}

/// Decides when an entry may ask for a permit, and when it may send without one.
#[derive(Debug, Clone, Default)]
pub struct PermitHolder {
    targets: HashMap<TargetId, Access>,
    /// Moves this entry's turns against those of others.
    phase: f64,
}

impl PermitHolder {
    /// Creates a holder; `phase` is drawn at random from 0 to 1 for each entry.
    pub fn new(phase: f64) -> Self {
        Self {
            targets: HashMap::new(),
            phase,
        }
    }

    /// Returns the time until permits for a target may be available; `None` if they may be now.
    pub fn closed_for(
        &self,
        target: &TargetId,
        urgency: Urgency,
        now: Timestamp,
    ) -> Option<Duration> {
        let reopens = self.targets.get(target)?.reopens[urgency as usize]?;
        (now < reopens).then(|| reopens.since(now))
    }

    /// Returns whether the issuer of permits for a target has not replied lately.
    pub fn is_issuer_silent(&self, target: &TargetId, now: Timestamp) -> bool {
        let silent_until = self.targets.get(target).and_then(|a| a.silent_until);
        silent_until.is_some_and(|until| now < until)
    }

    /// Records the issuer's reply.
    pub fn record_reply(
        &mut self,
        target: &TargetId,
        urgency: Urgency,
        decision: PermitDecision,
        now: Timestamp,
    ) {
        let access = self.targets.entry(target.clone()).or_default();
        access.silent_until = None;
        access.reopens[urgency as usize] = match decision {
            PermitDecision::Denied { retry_ms } => {
                Some(now.after(Duration::from_millis(u64::from(retry_ms))))
            }
            PermitDecision::NotNeeded | PermitDecision::Granted { .. } => None,
        };
    }

    /// Records that the issuer has not replied in time.
    pub fn record_silence(&mut self, target: &TargetId, now: Timestamp) {
        let access = self.targets.entry(target.clone()).or_default();
        access.silent_until = Some(now.after(SILENCE_TTL));
    }

    /// Decides on a request without an issuer; `entries` is the number of entries.
    ///
    /// Each entry has a turn for one request in a period that is as many times longer as there are
    /// entries. Turns that pass unused are lost, or all entries could use saved ones at once.
    pub fn take_turn(
        &mut self,
        target: &TargetId,
        limit: RequestRate,
        entries: usize,
        now: Timestamp,
    ) -> PermitDecision {
        let turn_time = limit.interval().as_secs_f64() / UNISSUED_SHARE;
        let period = turn_time * entries.max(1) as f64;
        let position = now.as_micros() as f64 / 1e6 / period + self.phase;
        let turn = position.floor();
        let access = self.targets.entry(target.clone()).or_default();
        let is_turn = (position - turn) * period < turn_time;
        if is_turn && access.last_turn != Some(turn as u64) {
            access.last_turn = Some(turn as u64);
            return PermitDecision::Granted { delay_ms: 0 };
        }
        let left = (turn + 1.0 - position) * period;
        let reopens = now.after(Duration::from_secs_f64(left));
        access.reopens = [Some(reopens); 2];
        PermitDecision::Denied {
            retry_ms: (left * 1_000.0).ceil() as u32,
        }
    }

    /// Drops the state of a target whose limit has changed.
    pub fn reset(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Drops the targets for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.targets.retain(|id, _| keep(id));
    }
}
