//! The headers of a caller's request.

use std::time::Duration;

use http::HeaderMap;
use kumquatkeel_daemon::peer::bearer_of;
use kumquatkeel_types::document::{CallerEntry, Document};
use kumquatkeel_types::{ErrorBody, ErrorCode, IdempotencyKey, ServiceName};

use super::answer::refused;

/// The header with the time left for the whole answer, in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "kumquatkeel-deadline-ms";
/// The header with the priority, from 0 (first) to 9 (last).
pub(super) const PRIORITY_HEADER: &str = "kumquatkeel-priority";
/// The header with the key under which a call runs at most once.
pub(super) const KEY_HEADER: &str = "idempotency-key";
/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Last priority.
const MAX_PRIORITY: u8 = 9;

/// Finds the caller whose key the request carries.
///
/// Every key is compared, each in constant time, so that the time tells nothing.
pub(super) fn caller_of<'a>(
    document: &'a Document,
    headers: &HeaderMap,
) -> Result<&'a CallerEntry, ErrorBody> {
    let key = bearer_of(headers).ok_or_else(|| {
        refused(
            ErrorCode::Unauthorized,
            "authorization: a bearer key is needed",
        )
    })?;
    let found = document.callers.iter().fold(None, |found, caller| {
        let matches = caller.key_sha256.matches(key);
        if matches { Some(caller) } else { found }
    });
    found.ok_or_else(|| {
        refused(
            ErrorCode::Unauthorized,
            "authorization: the key is not known",
        )
    })
}

/// Refuses a service that the caller may not use.
pub(super) fn check_right(caller: &CallerEntry, service: &ServiceName) -> Result<(), ErrorBody> {
    if caller.services.contains(service) {
        return Ok(());
    }
    let message = format!("the caller may not use service {service}");
    Err(refused(ErrorCode::Forbidden, message))
}

/// Reads the deadline, or takes the service's limit.
pub(super) fn deadline_of(headers: &HeaderMap, limit_ms: u32) -> Result<Duration, ErrorBody> {
    let millis = number_of(headers, DEADLINE_HEADER, 1, MAX_DEADLINE_MS)?;
    Ok(Duration::from_millis(millis.unwrap_or(u64::from(limit_ms))))
}

/// Reads the priority; a caller can only give way, not go before the deployment's priority.
pub(super) fn priority_of(headers: &HeaderMap, deployment: u8) -> Result<u8, ErrorBody> {
    let asked = number_of(headers, PRIORITY_HEADER, 0, u64::from(MAX_PRIORITY))?;
    Ok(asked.map_or(deployment, |p| deployment.max(p as u8)))
}

/// Reads the idempotency key.
pub(super) fn key_of(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ErrorBody> {
    let Some(text) = text_of(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    IdempotencyKey::try_from(text)
        .map(Some)
        .map_err(|error| invalid(KEY_HEADER, &error.to_string()))
}

fn number_of(
    headers: &HeaderMap,
    name: &str,
    least: u64,
    most: u64,
) -> Result<Option<u64>, ErrorBody> {
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(number) if (least..=most).contains(&number) => Ok(Some(number)),
        _ => Err(invalid(
            name,
            &format!("must be a number from {least} to {most}"),
        )),
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorBody> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(name, "is given twice"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(invalid(name, "must be visible ASCII")),
    }
}

fn invalid(name: &str, reason: &str) -> ErrorBody {
    refused(ErrorCode::InvalidRequest, format!("{name}: {reason}"))
}
