//! Hashes for rendezvous hashing and for comparing state.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the 64-bit XXH3 hash of `parts`, each followed by a zero byte.
///
/// The value is the same in every process.
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

/// Ranks the candidates for `key` by rendezvous hashing, the highest score first.
///
/// The first candidate owns the key. When a candidate is removed, only the keys that it owned get
/// another owner.
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
