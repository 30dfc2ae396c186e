//! HTTP client of the object store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{IF_MATCH, IF_NONE_MATCH};
use http::{Request, StatusCode};
use kumquatkeel_core::store::StoreEra;

use super::HttpOptions;
use super::transport::{Call, Reply, Transport};
use crate::wire::{
    MAX_VALUE_BYTES, WRITE_ID_HEADER, WireConflict, WireObject, WireObjects, WireVersion,
};
use crate::{
    CallCounts, CallKind, Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreError,
    StoreFault, WatchReply, WriteId,
};

/// Client of the platform's object store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    transport: Transport,
}

impl HttpObjectStore {
    /// Creates a client of the store at `address`; it adds its calls to `counts`.
    pub fn new(address: SocketAddr, options: HttpOptions, counts: Arc<CallCounts>) -> Self {
        Self {
            transport: Transport::new(address, options, counts),
        }
    }

    /// Returns the counters to which the client adds its calls.
    pub fn counts(&self) -> &Arc<CallCounts> {
        self.transport.counts()
    }

    /// Returns the URI of an object, or an error when its key can't be used in a query.
    fn object_uri(&self, step: &'static str, key: &ObjectKey) -> Result<String, StoreError> {
        let key = self.query_value(step, key.as_ref())?;
        Ok(self.transport.uri(format!("/v1/object?key={key}")))
    }

    /// Returns a key or prefix unchanged. Characters that a query would have to escape are an error.
    fn query_value<'a>(&self, step: &'static str, text: &'a str) -> Result<&'a str, StoreError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-/:".contains(c);
        if text.chars().all(is_allowed) {
            return Ok(text);
        }
        let reason = format!("{text:?} has characters that are not allowed in a key");
        let fault = StoreFault::Malformed { reason };
        Err(self.transport.error(step, fault))
    }

    fn conflict(&self, step: &'static str, reply: &Reply) -> StoreError {
        let current = serde_json::from_slice::<WireConflict>(&reply.body)
            .ok()
            .and_then(|c| c.current);
        self.transport.error(step, StoreFault::Conflict { current })
    }
}

fn call(kind: CallKind, step: &'static str, request: http::request::Builder) -> Call {
    Call {
        step,
        kind,
        request,
        body: Bytes::new(),
        wait: Duration::ZERO,
    }
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Self {
        Self {
            key: wire.key,
            version: wire.version,
            write: wire.write,
            value: wire.value.into(),
        }
    }
}

impl From<WireObjects> for WatchReply {
    fn from(wire: WireObjects) -> Self {
        Self {
            objects: wire.objects.into_iter().map(Object::from).collect(),
            version: wire.version,
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    fn era(&self) -> StoreEra {
        self.transport.era()
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        const STEP: &str = "read object";
        let request = Request::get(self.object_uri(STEP, key)?);
        let reply = self
            .transport
            .send(call(CallKind::Get, STEP, request))
            .await?;
        match reply.status {
            StatusCode::OK => {
                let wire: WireObject = self.transport.decode(STEP, &reply)?;
                Ok(Some(wire.into()))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.transport.unexpected((STEP, CallKind::Get), &reply)),
        }
    }

    async fn put(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        const STEP: &str = "write object";
        let bytes = value.len();
        if bytes > MAX_VALUE_BYTES {
            return Err(self.transport.error(STEP, StoreFault::TooLarge { bytes }));
        }
        let request =
            Request::put(self.object_uri(STEP, key)?).header(WRITE_ID_HEADER, write.to_string());
        let request = match precondition {
            Precondition::Absent => request.header(IF_NONE_MATCH, "*"),
            Precondition::Version(version) => request.header(IF_MATCH, version.to_string()),
        };
        let mut call = call(CallKind::Put, STEP, request);
        call.body = value;
        let reply = self.transport.send(call).await?;
        match reply.status {
            StatusCode::OK => {
                let wire: WireVersion = self.transport.decode(STEP, &reply)?;
                Ok(wire.version)
            }
            StatusCode::PRECONDITION_FAILED => Err(self.conflict(STEP, &reply)),
            StatusCode::PAYLOAD_TOO_LARGE => {
                Err(self.transport.error(STEP, StoreFault::TooLarge { bytes }))
            }
            _ => Err(self.transport.unexpected((STEP, CallKind::Put), &reply)),
        }
    }

    async fn remove(&self, key: &ObjectKey, version: ObjectVersion) -> Result<(), StoreError> {
        const STEP: &str = "remove object";
        let uri = self.object_uri(STEP, key)?;
        let request = Request::delete(uri).header(IF_MATCH, version.to_string());
        let reply = self
            .transport
            .send(call(CallKind::Remove, STEP, request))
            .await?;
        match reply.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(self.conflict(STEP, &reply)),
            _ => Err(self.transport.unexpected((STEP, CallKind::Remove), &reply)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        const STEP: &str = "list objects";
        let prefix = self.query_value(STEP, prefix)?;
        let uri = self.transport.uri(format!("/v1/objects?prefix={prefix}"));
        let reply = self
            .transport
            .send(call(CallKind::List, STEP, Request::get(uri)))
            .await?;
        if reply.status != StatusCode::OK {
            return Err(self.transport.unexpected((STEP, CallKind::List), &reply));
        }
        let wire: WireObjects = self.transport.decode(STEP, &reply)?;
        Ok(WatchReply::from(wire).objects)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        const STEP: &str = "watch objects";
        let prefix = self.query_value(STEP, prefix)?;
        let wait_ms = wait.as_millis();
        let uri = self.transport.uri(format!(
            "/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
        ));
        let mut call = call(CallKind::Watch, STEP, Request::get(uri));
        call.wait = wait;
        let reply = self.transport.send(call).await?;
        match reply.status {
            StatusCode::OK => {
                let wire: WireObjects = self.transport.decode(STEP, &reply)?;
                Ok(wire.into())
            }
            StatusCode::GONE => Err(self.transport.error(STEP, StoreFault::WatchGap)),
            _ => Err(self.transport.unexpected((STEP, CallKind::Watch), &reply)),
        }
    }
}
