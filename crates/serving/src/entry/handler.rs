//! Turns a caller's HTTP request into an exchange: matches the route, reads headers and body, and
//! applies the configured limits.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use kumquatkeel_core::serving::{Identity, RequestPhase, Route, RouteMatch};
use rand::RngExt;
use tokio::time::{Instant, timeout};

use super::attempt::OutgoingRequest;
use super::exchange::{Exchange, RoutedRequest, millis};
use super::open_requests::OpenRequestGuard;
use super::response::{ResponseBody, not_run_response, text_response, unauthorized_response};
use super::state::{ActiveConfig, Shared};
use super::time_limit::{TimeEnd, TimeLimit};
use crate::platform::RequestError;

/// `Retry-After` while the entry has no configuration, or none of the route's services can be used.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time for which the rest of an answered request is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read of the rest of an answered request.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Serves one caller's request; asks the caller to close the connection while the entry drains.
///
/// # Errors
///
/// Returns an error when the caller's body can't be read.
pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<ResponseBody>> {
    let (parts, mut body) = request.into_parts();
    let mut response = respond(&shared, parts, &mut body).await?;
    if !body.is_end_stream() {
        tokio::spawn(discard_rest(body));
    }
    if shared.draining.borrow().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Reads what a caller still sends of a request that has been answered. A connection that is closed with unread
/// bytes is reset, and the caller may lose the answer.
async fn discard_rest(mut body: Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(bytes) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    // Fails for a body that comes too slowly, whose connection is then closed.
    let _ = timeout(DISCARD_TIME, reading).await;
}

/// The route and service of a request, with the configuration that they come from.
struct MatchedRoute {
    route: Arc<Route>,
    service: Arc<str>,
    active: Arc<ActiveConfig>,
}

/// Why a caller's body is not available.
enum BodyFault {
    TooLarge,
    /// The connection failed.
    Broken(io::Error),
    /// The time of the request ended first.
    Late(TimeEnd),
}

async fn respond(
    shared: &Arc<Shared>,
    parts: Parts,
    body: &mut Incoming,
) -> io::Result<Response<ResponseBody>> {
    let arrival = Instant::now();
    let MatchedRoute {
        route,
        service,
        active,
    } = match match_route(shared, &parts) {
        Ok(matched) => matched,
        Err(response) => return Ok(*response),
    };
    let caller = match shared.dialect.read_request(&parts.headers) {
        Ok(caller) => caller,
        Err(fault) => return Ok(bad_request(fault)),
    };
    let account = match active.identify(&route, caller.key.as_ref()) {
        Identity::Anonymous => None,
        Identity::Account(account) => Some(account),
        Identity::Unknown => {
            let (config, has_key) = (active.config.version, caller.key.is_some());
            log::info!(request:% = caller.attempt, config, has_key; "key unknown");
            return Ok(unauthorized_response());
        }
    };
    let timeout = caller.timeout.unwrap_or(route.deadline).min(route.deadline);
    let time_limit = TimeLimit::new(shared.clone(), arrival + timeout);
    let open = (shared.open_requests).begin(caller.attempt.clone(), arrival);
    let max_bytes = active.config.limits.body_bytes;
    let body = match read_body(body, &parts.headers, max_bytes, &time_limit).await {
        Ok(body) => body,
        Err(fault) => return respond_without_body(shared, &open, fault),
    };
    let uri = parts
        .uri
        .path_and_query()
        .map_or_else(Uri::default, |p| Uri::from(p.clone()));
    let outgoing = OutgoingRequest {
        attempt: caller.attempt.clone(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    };
    let matched = RoutedRequest {
        route,
        service,
        account,
        config_version: active.config.version,
    };
    let exchange = Exchange::new(shared.clone(), matched, caller, outgoing, open);
    Ok(exchange.run().await)
}

/// Reads a caller's whole body within the time of the request.
async fn read_body(
    body: &mut Incoming,
    headers: &HeaderMap,
    max_bytes: usize,
    time_limit: &TimeLimit,
) -> Result<Bytes, BodyFault> {
    let too_large = headers.get(CONTENT_LENGTH).is_some_and(|length| {
        let length = length.to_str().ok().and_then(|l| l.parse::<usize>().ok());
        length.is_some_and(|l| l > max_bytes)
    });
    if too_large {
        return Err(BodyFault::TooLarge);
    }
    let collected = tokio::select! {
        // A body that is there is read even if the request is to be refused, so that its caller gets the answer.
        biased;
        collected = Limited::new(body, max_bytes).collect() => collected,
        end = time_limit.reached(RequestPhase::Waiting) => return Err(BodyFault::Late(end)),
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyFault::TooLarge),
        Err(error) => Err(BodyFault::Broken(io::Error::other(error))),
    }
}

/// Ends a request whose body is not available.
fn respond_without_body(
    shared: &Shared,
    open: &OpenRequestGuard,
    fault: BodyFault,
) -> io::Result<Response<ResponseBody>> {
    let (outcome, response) = match fault {
        BodyFault::TooLarge => {
            let text = "the body is too large\n";
            let response = text_response(StatusCode::PAYLOAD_TOO_LARGE, text);
            ("body_too_large", Ok(response))
        }
        BodyFault::Late(TimeEnd::Expired) => {
            let text = "the body came too slowly\n";
            let response = text_response(StatusCode::REQUEST_TIMEOUT, text);
            ("body_late", Ok(response))
        }
        BodyFault::Late(TimeEnd::Stopping) => {
            shared.instruments.record_refusal("draining");
            let response = not_run_response("not run; come back later\n", Duration::ZERO);
            ("refused", Ok(response))
        }
        BodyFault::Broken(error) => ("caller_left", Err(error)),
    };
    let request = open.request();
    let duration = request.arrival.elapsed();
    shared.instruments.record_request(outcome, duration);
    log::info!(
        request:% = request.attempt, outcome, duration_ms = millis(duration),
        stages_ms:serde = request.stage_times();
        "request ended"
    );
    response
}

fn match_route(
    shared: &Shared,
    parts: &Parts,
) -> Result<MatchedRoute, Box<Response<ResponseBody>>> {
    let active = shared.lock().active.clone();
    let Some(active) = active else {
        log::info!("refused: no configuration in force yet");
        return Err(Box::new(not_run_response(
            "not configured yet\n",
            CONFIG_RETRY_AFTER,
        )));
    };
    let host = (parts.uri.host()).or_else(|| parts.headers.get(HOST).and_then(|h| h.to_str().ok()));
    let Some(host) = host else {
        return Err(Box::new(text_response(
            StatusCode::BAD_REQUEST,
            "no host\n",
        )));
    };
    match active.routes.find(host, parts.uri.path()) {
        RouteMatch::Found(route) => {
            let Some(service) = choose_service(&route) else {
                return Err(Box::new(not_run_response(
                    "the route has no service\n",
                    CONFIG_RETRY_AFTER,
                )));
            };
            Ok(MatchedRoute {
                route,
                service,
                active,
            })
        }
        RouteMatch::Unknown => {
            let version = active.config.version;
            log::info!(config = version, host, path = parts.uri.path(); "no route matches");
            Err(Box::new(text_response(StatusCode::NOT_FOUND, "no route\n")))
        }
    }
}

/// Picks one of a route's services at random, by weight; `None` if no weight is positive.
fn choose_service(route: &Route) -> Option<Arc<str>> {
    if let [only] = route.shares.as_slice() {
        return Some(only.service.clone());
    }
    let total: f64 = route.shares.iter().map(|s| s.weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0.0..total);
    let found = route.shares.iter().find(|share| {
        draw -= share.weight;
        draw < 0.0
    });
    found.or(route.shares.last()).map(|s| s.service.clone())
}

fn bad_request(fault: RequestError) -> Response<ResponseBody> {
    log::info!(fault:%; "request headers rejected");
    text_response(StatusCode::BAD_REQUEST, "unreadable request\n")
}
