//! The agent's settings file and its validation.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::memory::MemorySettings;
use kumquatkeel_core::scheduler::SchedulerLimits;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_types::document::{Faults, Fencing, TargetKind};
use kumquatkeel_types::{DataCentreName, Incarnation, TargetName};
use serde::Deserialize;

/// Longest duration that a setting may have, in milliseconds.
const MAX_SPAN_MS: u64 = 3_600_000;
/// Largest count that a setting may have.
const MAX_COUNT: u64 = 1_000_000;
/// Largest body or answer that a setting may allow, in bytes.
const MAX_BYTES: u64 = 64 << 20;

/// The settings as read from the file, not yet validated.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgentSettings {
    /// The target's name.
    pub name: TargetName,
    /// The target's data centre.
    pub data_centre: DataCentreName,
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address at which the other processes reach the agent, if it is not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The key that authenticates the system's processes to each other.
    pub peer_key: String,
    /// Whether the target is a model engine or a plain service.
    pub kind: TargetKind,
    /// The target's address.
    pub target: SocketAddr,
    /// Number of accelerators of the target; 0 for a plain target.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    #[serde(default)]
    pub accelerator_mb: u32,
    /// Whether the engine checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Most attempts that run at the same time on the target.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Most attempts that wait for a slot.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// The platform's object store.
    ///
    /// Without one, the agent sends no orders until those of an earlier incarnation can no longer
    /// be executed.
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// The entries from which the agent first fetches the configuration and the member list.
    #[serde(default)]
    pub relays: Vec<SocketAddr>,
    /// Limits on time and size.
    #[serde(default)]
    pub limits: RawAgentLimits,
}

/// Limits on time and size as read from the file, not yet validated.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawAgentLimits {
    /// The longest time from the sending of an order to its execution, in milliseconds.
    pub order_delay_ms: u64,
    /// The longest time from the write of an intent to the sending of its order, in milliseconds.
    pub order_lease_ms: u64,
    /// The longest time to wait for an order's answer, in milliseconds.
    pub order_wait_ms: u64,
    /// The longest time that a drain waits for running attempts, in milliseconds.
    pub drain_ms: u64,
    /// The longest pause between two tokens, in milliseconds.
    pub stall_ms: u64,
    /// The time between two polls of the engine's load, in milliseconds.
    pub poll_ms: u64,
    /// The largest body of a dispatch, in bytes.
    pub body_bytes: u64,
    /// The largest answer of a target, in bytes.
    pub answer_bytes: u64,
    /// How long an idempotency key is kept after its call ended, in milliseconds.
    pub key_age_ms: u64,
}

impl Default for RawAgentLimits {
    fn default() -> Self {
        Self {
            order_delay_ms: 10_000,
            order_lease_ms: 5_000,
            order_wait_ms: 120_000,
            drain_ms: 120_000,
            stall_ms: 10_000,
            poll_ms: 500,
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            key_age_ms: 3_600_000,
        }
    }
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The target's name.
    pub name: TargetName,
    /// The target's data centre.
    pub data_centre: DataCentreName,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address at which the other processes reach the agent, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// The key that authenticates the system's processes to each other.
    pub peer_key: PeerKey,
    /// Whether the target is a model engine or a plain service.
    pub kind: TargetKind,
    /// The target's address.
    pub target: SocketAddr,
    /// Number of accelerators of the target; 0 for a plain target.
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    pub accelerator_mb: u32,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Most attempts that run at the same time on the target.
    pub slots: u32,
    /// Most attempts that wait for a slot.
    pub queue: u32,
    /// The platform's object store, if there is one.
    pub store: Option<SocketAddr>,
    /// The entries from which the agent first fetches the configuration and the member list.
    pub relays: Vec<SocketAddr>,
    /// Limits on time and size.
    pub limits: AgentLimits,
}

/// Validated limits on time and size.
#[derive(Debug, Clone)]
pub struct AgentLimits {
    /// The longest time from the sending of an order to its execution.
    pub order_delay: Duration,
    /// The longest time from the write of an intent to the sending of its order.
    pub order_lease: Duration,
    /// The longest time to wait for an order's answer.
    pub order_wait: Duration,
    /// The longest time that a drain waits for running attempts.
    pub drain: Duration,
    /// The longest pause between two tokens.
    pub stall: Duration,
    /// The time between two polls of the engine's load.
    pub poll: Duration,
    /// The largest body of a dispatch, in bytes.
    pub body_bytes: usize,
    /// The largest answer of a target, in bytes.
    pub answer_bytes: usize,
    /// How long an idempotency key is kept after its call ended.
    pub key_age: Duration,
}

impl AgentSettings {
    /// Returns the limits of the attempt scheduler.
    pub(crate) fn scheduler_limits(&self) -> SchedulerLimits {
        SchedulerLimits {
            slots: self.slots,
            queue: self.queue as usize,
            key_age: self.limits.key_age,
            ..SchedulerLimits::default()
        }
    }

    /// Returns the settings of the memory tracker for this incarnation.
    pub(crate) const fn memory_settings(&self, incarnation: Incarnation) -> MemorySettings {
        MemorySettings {
            incarnation,
            accelerators: self.accelerators,
            accelerator_mb: self.accelerator_mb,
            fencing: self.fencing,
            order_delay: self.limits.order_delay,
            order_lease: self.limits.order_lease,
        }
    }
}

impl TryFrom<RawAgentSettings> for AgentSettings {
    type Error = Faults;

    fn try_from(raw: RawAgentSettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_numbers(&raw, &mut faults);
        check_kind(&raw, &mut faults);
        if raw
            .advertise
            .is_some_and(|a| a.port() == 0 || a.ip().is_unspecified())
        {
            faults.add("advertise", "must be an IP address and a port above 0");
        }
        let peer_key = PeerKey::try_from(raw.peer_key.as_str());
        match peer_key {
            Ok(peer_key) if faults.is_empty() => Ok(Self {
                name: raw.name,
                data_centre: raw.data_centre,
                listen: raw.listen,
                advertise: raw.advertise,
                peer_key,
                kind: raw.kind,
                target: raw.target,
                accelerators: raw.accelerators,
                accelerator_mb: raw.accelerator_mb,
                fencing: raw.fencing,
                slots: raw.slots,
                queue: raw.queue,
                store: raw.store,
                relays: raw.relays,
                limits: AgentLimits::from(&raw.limits),
            }),
            Ok(_) => Err(faults),
            Err(fault) => {
                faults.0.push(fault);
                Err(faults)
            }
        }
    }
}

impl From<&RawAgentLimits> for AgentLimits {
    fn from(raw: &RawAgentLimits) -> Self {
        Self {
            order_delay: Duration::from_millis(raw.order_delay_ms),
            order_lease: Duration::from_millis(raw.order_lease_ms),
            order_wait: Duration::from_millis(raw.order_wait_ms),
            drain: Duration::from_millis(raw.drain_ms),
            stall: Duration::from_millis(raw.stall_ms),
            poll: Duration::from_millis(raw.poll_ms),
            body_bytes: raw.body_bytes as usize,
            answer_bytes: raw.answer_bytes as usize,
            key_age: Duration::from_millis(raw.key_age_ms),
        }
    }
}

fn check_numbers(raw: &RawAgentSettings, faults: &mut Faults) {
    let limits = &raw.limits;
    let ranges = [
        ("slots", u64::from(raw.slots), MAX_COUNT),
        ("queue", u64::from(raw.queue), MAX_COUNT),
        ("limits.order_delay_ms", limits.order_delay_ms, MAX_SPAN_MS),
        ("limits.order_lease_ms", limits.order_lease_ms, MAX_SPAN_MS),
        ("limits.order_wait_ms", limits.order_wait_ms, MAX_SPAN_MS),
        ("limits.drain_ms", limits.drain_ms, MAX_SPAN_MS),
        ("limits.stall_ms", limits.stall_ms, MAX_SPAN_MS),
        ("limits.poll_ms", limits.poll_ms, MAX_SPAN_MS),
        ("limits.body_bytes", limits.body_bytes, MAX_BYTES),
        ("limits.answer_bytes", limits.answer_bytes, MAX_BYTES),
        ("limits.key_age_ms", limits.key_age_ms, 24 * MAX_SPAN_MS),
    ];
    for (path, value, most) in ranges {
        if !(1..=most).contains(&value) {
            faults.add(path, format!("must be from 1 to {most}, not {value}"));
        }
    }
}

fn check_kind(raw: &RawAgentSettings, faults: &mut Faults) {
    match raw.kind {
        TargetKind::Engine => {
            if raw.accelerators == 0 {
                faults.add("accelerators", "must be above 0 for an engine");
            }
            if raw.accelerator_mb == 0 {
                faults.add("accelerator_mb", "must be above 0 for an engine");
            }
        }
        TargetKind::Plain => {
            if raw.accelerators > 0 {
                faults.add("accelerators", "must be 0 for a plain target");
            }
        }
    }
}

const fn default_slots() -> u32 {
    256
}

const fn default_queue() -> u32 {
    256
}
