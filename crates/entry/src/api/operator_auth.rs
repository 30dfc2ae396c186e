//! Authentication of operators by key.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use kumquatkeel_daemon::peer::bearer_of;
use kumquatkeel_types::CallerName;
use kumquatkeel_types::secret::KeyDigest;

use crate::EntryState;

/// Operator name that goes with the bootstrap key.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Returns the operator that the key in the headers belongs to.
///
/// Until there is a configuration document, only the bootstrap key of the settings is valid; from
/// then on, only the keys in the document are. Every key is compared, each in constant time.
pub(super) fn authenticate_operator(state: &EntryState, headers: &HeaderMap) -> Option<CallerName> {
    let key = bearer_of(headers)
        .map(String::from)
        .or_else(|| basic_password(headers))?;
    let Some(document) = state.document() else {
        let bootstrap = state.settings.bootstrap_key.as_ref()?;
        let name = CallerName::try_from(BOOTSTRAP_OPERATOR).ok()?;
        return bootstrap.matches(&key).then_some(name);
    };
    let operators = document.operators.iter().map(|o| (&o.key_sha256, &o.name));
    match_key(operators, &key).cloned()
}

/// Returns the value that belongs to `key`, after comparing all digests.
fn match_key<'a, T>(keys: impl Iterator<Item = (&'a KeyDigest, T)>, key: &str) -> Option<T> {
    keys.fold(None, |found, (digest, value)| {
        let matches = digest.matches(key);
        if matches { Some(value) } else { found }
    })
}

/// Returns the password of `Authorization: Basic`.
fn basic_password(headers: &HeaderMap) -> Option<String> {
    let encoded = headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Basic ")?;
    let decoded = String::from_utf8(STANDARD.decode(encoded).ok()?).ok()?;
    decoded.split_once(':').map(|(_, password)| password.into())
}
