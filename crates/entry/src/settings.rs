//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_types::document::{Fault, Faults};
use kumquatkeel_types::secret::KeyDigest;
use kumquatkeel_types::{DataCentreName, EntryName};
use serde::Deserialize;

/// Largest request body that can be allowed, in bytes.
const MOST_BODY_BYTES: usize = 64 << 20;
/// Longest time that can be set, in milliseconds.
const MOST_MS: u64 = 600_000;

/// The settings as written, in JSON with comments.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// The entry's name.
    pub name: EntryName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// The address of the callers' API.
    pub listen: SocketAddr,
    /// The address for the system's own processes.
    pub internal: SocketAddr,
    /// The address at which the other processes reach the entry, if it is not `internal`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The internal addresses of some entries, to find the others by.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The key of the system's own processes.
    pub peer_key: String,
    /// The digest of the operators' key that counts until there is a document.
    #[serde(default)]
    pub bootstrap_key_sha256: Option<KeyDigest>,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a body, in milliseconds.
    #[serde(default = "default_body_ms")]
    pub body_ms: u64,
    /// Requests in progress at most.
    #[serde(default = "default_requests")]
    pub requests: usize,
    /// How long a stopping entry still answers new requests as not run, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The entry's name.
    pub name: EntryName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// The address of the callers' API.
    pub listen: SocketAddr,
    /// The address for the system's own processes.
    pub internal: SocketAddr,
    /// The address at which the other processes reach the entry, if it is not `internal`.
    pub advertise: Option<SocketAddr>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The internal addresses of some entries, to find the others by.
    pub entries: Vec<SocketAddr>,
    /// The key of the system's own processes.
    pub peer_key: PeerKey,
    /// The digest of the operators' key that counts until there is a document.
    pub bootstrap_key: Option<KeyDigest>,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a body.
    pub body_time: Duration,
    /// Requests in progress at most.
    pub requests: usize,
    /// How long a stopping entry still answers new requests as not run.
    pub drain_time: Duration,
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = Faults;

    fn try_from(raw: RawEntrySettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check(
            &mut faults,
            "body_bytes",
            raw.body_bytes,
            1,
            MOST_BODY_BYTES,
        );
        check(&mut faults, "body_ms", raw.body_ms, 1, MOST_MS);
        check(&mut faults, "requests", raw.requests, 1, usize::MAX);
        check(&mut faults, "drain_ms", raw.drain_ms, 0, MOST_MS);
        if raw
            .advertise
            .is_some_and(|a| a.port() == 0 || a.ip().is_unspecified())
        {
            faults.add("advertise", "must be an IP address and a port above 0");
        }
        let same = raw.listen == raw.internal && raw.listen.port() != 0;
        if same {
            faults.add("internal", "is also the callers' address");
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
            body_time: Duration::from_millis(raw.body_ms),
            requests: raw.requests,
            drain_time: Duration::from_millis(raw.drain_ms),
        })
    }
}

fn check<T: Copy + PartialOrd + std::fmt::Display>(
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
