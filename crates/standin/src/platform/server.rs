//! HTTP server of the platform's stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Query, RequestContext, UntypedBody, endpoint,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use kumquatkeel_platform::wire::{
    STORE_ERA_HEADER, WRITE_ID_HEADER, WireConflict, WireInstances, WireObject, WireObjects,
    WireVersion,
};
use kumquatkeel_platform::{
    InstanceList, Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreError,
    StoreFault, WriteId,
};
use schemars::JsonSchema;
use serde::Deserialize;

use super::MemoryStore;
use crate::http::{StandInError, empty, json, serve};

/// Serves a [`MemoryStore`] over the published HTTP interface of the platform.
pub struct PlatformServer {
    server: HttpServer<MemoryStore>,
}

impl PlatformServer {
    /// Binds `address` and starts to serve; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the server can't bind `address`.
    pub fn start(address: SocketAddr, store: MemoryStore) -> Result<Self, StandInError> {
        let server = serve("platform", address, api(), store)?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on, with the selected port.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Shuts the server down; a failure is logged.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!(target: "platform", "platform stand-in: shutdown failed: {reason}");
        }
    }
}

type Context = RequestContext<MemoryStore>;
type HttpResult = Result<Response<Body>, HttpError>;

#[derive(Debug, Deserialize, JsonSchema)]
struct KeyQuery {
    key: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct PrefixQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

fn api() -> ApiDescription<MemoryStore> {
    let mut api = ApiDescription::new();
    api.register(get_object).expect("unique path");
    api.register(put_object).expect("unique path");
    api.register(remove_object).expect("unique path");
    api.register(list_objects).expect("unique path");
    api.register(watch_objects).expect("unique path");
    api.register(list_instances).expect("unique path");
    api
}

/// Answers with a call's result and the era of the store. If that was restored meanwhile, the result
/// belongs to no certain era, and a write may or may not stand.
async fn respond(store: &MemoryStore, result: impl Future<Output = HttpResult>) -> HttpResult {
    let before = store.current_era();
    let mut response = result.await?;
    let era = store.current_era();
    if era != before {
        response = empty(StatusCode::BAD_GATEWAY)?;
    }
    if let Some(era) = era {
        let headers = response.headers_mut();
        headers.insert(STORE_ERA_HEADER, HeaderValue::from(era));
    }
    Ok(response)
}

#[endpoint { method = GET, path = "/v1/object", unpublished = true }]
async fn get_object(context: Context, query: Query<KeyQuery>) -> HttpResult {
    let store = context.context();
    respond(store, async {
        let key = ObjectKey::from(query.into_inner().key);
        match store.get(&key).await {
            Ok(Some(object)) => json(StatusCode::OK, &wire_object(object)?),
            Ok(None) => empty(StatusCode::NOT_FOUND),
            Err(error) => error_response(&error),
        }
    })
    .await
}

#[endpoint { method = PUT, path = "/v1/object", unpublished = true }]
async fn put_object(context: Context, query: Query<KeyQuery>, body: UntypedBody) -> HttpResult {
    let store = context.context();
    respond(store, async {
        let key = ObjectKey::from(query.into_inner().key);
        let headers = context.request.headers();
        let precondition = precondition(headers)?;
        let write = WriteId::from(header_text(headers, WRITE_ID_HEADER)?);
        let value = Bytes::copy_from_slice(body.as_bytes());
        body.as_str()?;
        let put = store.put(&key, precondition, &write, value);
        match put.await {
            Ok(version) => json(StatusCode::OK, &WireVersion { version }),
            Err(error) => error_response(&error),
        }
    })
    .await
}

#[endpoint { method = DELETE, path = "/v1/object", unpublished = true }]
async fn remove_object(context: Context, query: Query<KeyQuery>) -> HttpResult {
    let store = context.context();
    respond(store, async {
        let key = ObjectKey::from(query.into_inner().key);
        let Precondition::Version(version) = precondition(context.request.headers())? else {
            return Err(bad_request("if-match is missing"));
        };
        match store.remove(&key, version).await {
            Ok(()) => empty(StatusCode::NO_CONTENT),
            Err(error) => error_response(&error),
        }
    })
    .await
}

#[endpoint { method = GET, path = "/v1/objects", unpublished = true }]
async fn list_objects(context: Context, query: Query<PrefixQuery>) -> HttpResult {
    let store = context.context();
    respond(store, async {
        let prefix = query.into_inner().prefix;
        match store.list_at(&prefix).await {
            Ok((objects, version)) => wire_objects(objects, version),
            Err(error) => error_response(&error),
        }
    })
    .await
}

#[endpoint { method = GET, path = "/v1/watch", unpublished = true }]
async fn watch_objects(context: Context, query: Query<WatchQuery>) -> HttpResult {
    let store = context.context();
    respond(store, async {
        let query = query.into_inner();
        let wait = Duration::from_millis(query.wait_ms);
        let watch = store.watch(&query.prefix, ObjectVersion(query.after), wait);
        match watch.await {
            Ok(reply) => wire_objects(reply.objects, reply.version),
            Err(error) => error_response(&error),
        }
    })
    .await
}

#[endpoint { method = GET, path = "/v1/instances", unpublished = true }]
async fn list_instances(context: Context) -> HttpResult {
    let store = context.context();
    respond(store, async {
        match store.instances().await {
            Ok(instances) => json(StatusCode::OK, &WireInstances { instances }),
            Err(error) => error_response(&error),
        }
    })
    .await
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, HttpError> {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Ok(Precondition::Absent);
    }
    header_text(headers, header::IF_MATCH.as_str())?
        .parse()
        .map(|version| Precondition::Version(ObjectVersion(version)))
        .map_err(|_| bad_request("if-match must be a version"))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, HttpError> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| bad_request(&format!("{name} is missing")))
}

fn bad_request(reason: &str) -> HttpError {
    HttpError::for_bad_request(None, reason.into())
}

fn wire_object(object: Object) -> Result<WireObject, HttpError> {
    let value = String::from_utf8(object.value.to_vec())
        .map_err(|_| HttpError::for_internal_error("the value is not UTF-8".into()))?;
    Ok(WireObject {
        key: object.key,
        version: object.version,
        write: object.write,
        value,
    })
}

fn wire_objects(objects: Vec<Object>, version: ObjectVersion) -> HttpResult {
    let objects = objects
        .into_iter()
        .map(wire_object)
        .collect::<Result<_, _>>()?;
    json(StatusCode::OK, &WireObjects { objects, version })
}

fn error_response(error: &StoreError) -> HttpResult {
    match &error.fault {
        StoreFault::Conflict { current } => {
            let conflict = WireConflict { current: *current };
            json(StatusCode::PRECONDITION_FAILED, &conflict)
        }
        StoreFault::RateLimited => empty(StatusCode::TOO_MANY_REQUESTS),
        StoreFault::Unavailable => empty(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::TooLarge { .. } => empty(StatusCode::PAYLOAD_TOO_LARGE),
        StoreFault::WatchGap => empty(StatusCode::GONE),
        StoreFault::Unknown | StoreFault::Malformed { .. } => empty(StatusCode::BAD_GATEWAY),
    }
}
