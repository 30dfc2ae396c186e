//! Parses the headers of a caller's request and authenticates the caller.

use std::time::Duration;

use http::HeaderMap;
use kumquatkeel_daemon::peer::bearer_of;
use kumquatkeel_types::document::{CallerEntry, Document};
use kumquatkeel_types::{ErrorBody, ErrorCode, IdempotencyKey, ServiceName};

use super::responses::refused;

/// The header with the time allowed for the complete response, in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "kumquatkeel-deadline-ms";
/// The header with the priority, from 0 (most urgent) to 9 (least urgent).
pub(super) const PRIORITY_HEADER: &str = "kumquatkeel-priority";
/// The header with the idempotency key, under which a call runs at most once.
pub(super) const KEY_HEADER: &str = "idempotency-key";
/// Longest deadline that a caller may request.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Least urgent priority.
const MAX_PRIORITY: u8 = 9;

/// Returns the caller that the bearer key of the request belongs to.
///
/// Every configured key is compared, each in constant time, so that response times reveal nothing
/// about the keys.
pub(super) fn authenticate_caller<'a>(
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

/// Checks that the caller may use the service.
pub(super) fn check_access(caller: &CallerEntry, service: &ServiceName) -> Result<(), ErrorBody> {
    if caller.services.contains(service) {
        return Ok(());
    }
    let message = format!("the caller may not use service {service}");
    Err(refused(ErrorCode::Forbidden, message))
}

/// Parses the deadline; the default is the service's `limit_ms`.
pub(super) fn parse_deadline(headers: &HeaderMap, limit_ms: u32) -> Result<Duration, ErrorBody> {
    let millis = parse_number(headers, DEADLINE_HEADER, 1, MAX_DEADLINE_MS)?;
    Ok(Duration::from_millis(millis.unwrap_or(u64::from(limit_ms))))
}

/// Parses the priority; the default is that of the deployment.
///
/// A caller can lower the deployment's priority but not raise it.
pub(super) fn parse_priority(headers: &HeaderMap, deployment: u8) -> Result<u8, ErrorBody> {
    let asked = parse_number(headers, PRIORITY_HEADER, 0, u64::from(MAX_PRIORITY))?;
    Ok(asked.map_or(deployment, |p| deployment.max(p as u8)))
}

/// Parses the idempotency key, if there is one.
pub(super) fn parse_idempotency_key(
    headers: &HeaderMap,
) -> Result<Option<IdempotencyKey>, ErrorBody> {
    let Some(text) = header_text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    IdempotencyKey::try_from(text)
        .map(Some)
        .map_err(|error| invalid(KEY_HEADER, &error.to_string()))
}

/// Parses a decimal number from `least` to `most`, or returns `None` if the header is absent.
fn parse_number(
    headers: &HeaderMap,
    name: &str,
    least: u64,
    most: u64,
) -> Result<Option<u64>, ErrorBody> {
    let Some(text) = header_text(headers, name)? else {
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

/// Returns the text of a header that may be given at most once.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorBody> {
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
