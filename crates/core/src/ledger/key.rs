//! Keys of the ledger and their assignment to partitions.

use derive_more::Display;
use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::{CallerName, IdempotencyKey, ServiceName};
use serde::{Deserialize, Serialize};

use super::WallTime;

/// Number of partitions of the ledger; each is one object of the store.
pub const PARTITIONS: u16 = 256;

/// Bits of a key's hash that are kept once its record is dropped.
const RETIRED_HASH_BITS: u32 = 48;

/// Identifies a call across retries and entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{caller} {service} {key}")]
pub struct LedgerKey {
    /// The caller; each caller has its own key space.
    pub caller: CallerName,
    /// The service that the call is for.
    pub service: ServiceName,
    /// The idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

/// Index of a partition, below [`PARTITIONS`].
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartitionId(pub u16);

impl PartitionId {
    /// Returns the partition's key in the store, by which its owner is also chosen.
    pub fn object_key(self) -> String {
        format!("ledger/{self}")
    }
}

impl LedgerKey {
    /// Returns the partition that holds the key.
    pub fn partition(&self) -> PartitionId {
        PartitionId((self.hash() % u64::from(PARTITIONS)) as u16)
    }

    /// Returns the truncated hash that marks the key as retired once its record is dropped.
    pub(super) fn retired_hash(&self) -> u64 {
        self.hash() >> (u64::BITS - RETIRED_HASH_BITS)
    }

    /// Returns the time encoded in the key if it is a version 7 UUID, and `None` otherwise.
    pub fn issued_at(&self) -> Option<WallTime> {
        let text = self.key.as_str().as_bytes();
        let dashes = [8, 13, 18, 23];
        let is_uuid = text.len() == 36
            && text.iter().enumerate().all(|(i, byte)| match byte {
                b'-' => dashes.contains(&i),
                _ => byte.is_ascii_hexdigit() && !dashes.contains(&i),
            });
        if !is_uuid || text[14] != b'7' {
            return None;
        }
        let digits: String = self.key.as_str()[..13].replace('-', "");
        let millis = u64::from_str_radix(&digits, 16).ok()?;
        Some(WallTime::from_millis(millis))
    }

    fn hash(&self) -> u64 {
        hash_parts([
            self.caller.as_str(),
            self.service.as_str(),
            self.key.as_str(),
        ])
    }
}
