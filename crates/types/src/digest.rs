//! Hashes used for placement of keys and for comparing states.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the 64-bit XXH3 hash of `parts`, each ended by a zero byte.
///
/// Every process computes the same value for the same parts.
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns the 64-bit XXH3 hash of `bytes`.
pub fn hash_bytes(bytes: impl AsRef<[u8]>) -> u64 {
    xxh3_64(bytes.as_ref())
}

/// Returns the candidates in rendezvous order for `key`, highest score first.
///
/// When a candidate goes, only the keys that it held move.
pub fn rendezvous<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut scored: Vec<_> = candidates
        .into_iter()
        .map(|c| (hash_parts([key, c.as_ref()]), c))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().map(|(_, c)| c).collect()
}
