//! Settings of the entry daemon, read from a file and validated at start.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_types::document::{Fault, Faults};
use kumquatkeel_types::secret::KeyDigest;
use kumquatkeel_types::{DataCentreName, EntryName};
use serde::Deserialize;

/// Largest allowed value of `body_bytes`.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest allowed value of the settings in milliseconds.
const MAX_DURATION_MS: u64 = 600_000;

/// The settings as written in the file, JSON with comments.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// The entry's name.
    pub name: EntryName,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// The listen address of the callers' API.
    pub listen: SocketAddr,
    /// The listen address for peer processes.
    pub internal: SocketAddr,
    /// The address that peer processes connect to, if it differs from `internal`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The internal addresses of some entries, from which the others are discovered.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The key that peer processes share.
    pub peer_key: String,
    /// The SHA-256 digest of the operator key that is valid until the first document is committed.
    #[serde(default)]
    pub bootstrap_key_sha256: Option<KeyDigest>,
    /// Largest accepted request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Time allowed for receiving a request body, in milliseconds.
    #[serde(default = "default_body_ms")]
    pub body_ms: u64,
    /// Maximum number of requests in progress.
    #[serde(default = "default_requests")]
    pub requests: usize,
    /// How long a stopping entry keeps answering new requests as not run, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Longest time from the stop request to the last answer, in milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
}

/// The validated settings.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The entry's name.
    pub name: EntryName,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// The listen address of the callers' API.
    pub listen: SocketAddr,
    /// The listen address for peer processes.
    pub internal: SocketAddr,
    /// The address that peer processes connect to, if it differs from `internal`.
    pub advertise: Option<SocketAddr>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The internal addresses of some entries, from which the others are discovered.
    pub entries: Vec<SocketAddr>,
    /// The key that peer processes share.
    pub peer_key: PeerKey,
    /// The SHA-256 digest of the operator key that is valid until the first document is committed.
    pub bootstrap_key: Option<KeyDigest>,
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// Time allowed for receiving a request body.
    pub body_timeout: Duration,
    /// Maximum number of requests in progress.
    pub requests: usize,
    /// How long a stopping entry keeps answering new requests as not run.
    pub drain_time: Duration,
    /// Longest time from the stop request to the last answer.
    pub stop_time: Duration,
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = Faults;

    fn try_from(raw: RawEntrySettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_range(&mut faults, "body_bytes", raw.body_bytes, 1, MAX_BODY_BYTES);
        check_range(&mut faults, "body_ms", raw.body_ms, 1, MAX_DURATION_MS);
        check_range(&mut faults, "requests", raw.requests, 1, usize::MAX);
        check_range(&mut faults, "drain_ms", raw.drain_ms, 0, MAX_DURATION_MS);
        check_range(&mut faults, "stop_ms", raw.stop_ms, 0, MAX_DURATION_MS);
        if raw
            .advertise
            .is_some_and(|a| a.port() == 0 || a.ip().is_unspecified())
        {
            faults.add("advertise", "must be an IP address and a port above 0");
        }
        let same = raw.listen == raw.internal && raw.listen.port() != 0;
        if same {
            faults.add("internal", "must differ from `listen`");
        }
        let key = PeerKey::try_from(raw.peer_key.as_str());
        let peer_key = match key {
            Ok(key) if faults.is_empty() => key,
            Ok(_) => return Err(faults),
            Err(Fault { path, reason }) => {
                faults.add(path, reason);
                return Err(faults);
            }
        };
        Ok(Self {
            name: raw.name,
            data_centre: raw.data_centre,
            listen: raw.listen,
            internal: raw.internal,
            advertise: raw.advertise,
            platform: raw.platform,
            entries: raw.entries,
            peer_key,
            bootstrap_key: raw.bootstrap_key_sha256,
            body_bytes: raw.body_bytes,
            body_timeout: Duration::from_millis(raw.body_ms),
            requests: raw.requests,
            drain_time: Duration::from_millis(raw.drain_ms),
            stop_time: Duration::from_millis(raw.stop_ms),
        })
    }
}

/// Adds a fault to `faults` if `value` is not from `least` to `most`.
fn check_range<T: Copy + PartialOrd + std::fmt::Display>(
    faults: &mut Faults,
    path: &str,
    value: T,
    least: T,
    most: T,
) {
    if value < least || value > most {
        faults.add(path, format!("must be from {least} to {most}, not {value}"));
    }
}

const fn default_body_bytes() -> usize {
    1 << 20
}

const fn default_body_ms() -> u64 {
    10_000
}

const fn default_requests() -> usize {
    4_096
}

const fn default_drain_ms() -> u64 {
    5_000
}

const fn default_stop_ms() -> u64 {
    120_000
}
