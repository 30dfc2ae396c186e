//! Operators' keys.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use kumquatkeel_daemon::peer::bearer_of;
use kumquatkeel_types::CallerName;
use kumquatkeel_types::secret::KeyDigest;

use crate::EntryState;

/// The name under which the first document is applied.
const BOOTSTRAP_NAME: &str = "bootstrap";

/// Finds the operator whose key the headers carry.
///
/// Before the first document only the settings' bootstrap key counts; after it only the keys of
/// the document do. Every key is compared, each in constant time.
pub(super) fn operator_of(state: &EntryState, headers: &HeaderMap) -> Option<CallerName> {
    let key = bearer_of(headers)
        .map(String::from)
        .or_else(|| basic_key_of(headers))?;
    let Some(document) = state.document() else {
        let bootstrap = state.settings.bootstrap_key.as_ref()?;
        let name = CallerName::try_from(BOOTSTRAP_NAME).ok()?;
        return bootstrap.matches(&key).then_some(name);
    };
    let operators = document.operators.iter().map(|o| (&o.key_sha256, &o.name));
    find_key(operators, &key).cloned()
}

fn find_key<'a, T>(keys: impl Iterator<Item = (&'a KeyDigest, T)>, key: &str) -> Option<T> {
    keys.fold(None, |found, (digest, value)| {
        let matches = digest.matches(key);
        if matches { Some(value) } else { found }
    })
}

/// Returns the password of `Authorization: Basic`.
fn basic_key_of(headers: &HeaderMap) -> Option<String> {
    let encoded = headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Basic ")?;
    let decoded = String::from_utf8(STANDARD.decode(encoded).ok()?).ok()?;
    decoded.split_once(':').map(|(_, password)| password.into())
}
