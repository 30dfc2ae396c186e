//! The dropshot server of the callers' API: authentication, body limits and handlers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpError, HttpServer, Path, RawRequest, RequestContext, ServerBuilder, endpoint,
};
use http::{HeaderMap, Response, StatusCode};
use kumquatkeel_types::document::{CallerEntry, Document};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, Timestamp};
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Drain;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::body::read_body;
use super::completions::{RequestMeta, complete, parse_text_request};
use super::headers::authenticate_caller;
use super::models::list_models;
use super::plain::{PlainPath, call_service};
use super::responses::{error_response, json_response, not_run};
use super::{chat, sse::CompletionKind};
use crate::EntryState;

/// `Retry-After` of an entry that is stopping, unconfigured or full.
///
/// The load balancer soon takes such an entry out of rotation.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(1);

/// State shared by the handlers of the callers' API.
#[derive(Debug)]
pub struct ApiContext {
    pub(super) state: Arc<EntryState>,
    permits: Arc<Semaphore>,
}

type Context = RequestContext<ApiContext>;
type HandlerResult = Result<Response<Body>, HttpError>;

/// Starts the callers' API on the address `listen` of the settings.
///
/// # Errors
///
/// Returns an error if the endpoints can't be registered or the address can't be bound.
pub fn start_api(state: Arc<EntryState>) -> Result<HttpServer<ApiContext>, ApiError> {
    let config = ConfigDropshot {
        bind_address: state.settings.listen,
        default_request_body_max_bytes: state.settings.body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    let context = ApiContext {
        permits: Arc::new(Semaphore::new(state.settings.requests)),
        state,
    };
    let server = ServerBuilder::new(description()?, context, log);
    Ok(server.config(config).start()?)
}

/// Errors that keep the callers' API from starting.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ApiError {
    /// An endpoint could not be registered.
    #[display("register the endpoints of the callers' API: {_0}")]
    Description(ApiDescriptionRegisterError),
    /// The server could not be built or bound.
    #[display("start the callers' API: {_0}")]
    Build(BuildError),
}

fn description() -> Result<ApiDescription<ApiContext>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(completions)?;
    api.register(chat_completions)?;
    api.register(models)?;
    api.register(services)?;
    super::operators::register(&mut api)?;
    Ok(api)
}

/// Path parameters of a call to a plain service.
#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    path: Vec<String>,
}

/// Completes a prompt.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(context: Context, request: RawRequest) -> HandlerResult {
    let authenticated = AuthenticatedRequest::read(&context, request).await;
    Ok(respond(async {
        let authenticated = authenticated?;
        let completion = parse_text_request(&authenticated.body)?;
        let state = authenticated.state;
        let meta = authenticated.meta();
        complete(
            state,
            &authenticated.document,
            meta,
            completion,
            CompletionKind::Text,
        )
        .await
    })
    .await)
}

/// Generates the next message of a chat.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(context: Context, request: RawRequest) -> HandlerResult {
    let authenticated = AuthenticatedRequest::read(&context, request).await;
    Ok(respond(async {
        let authenticated = authenticated?;
        let completion = chat::parse_chat_request(&authenticated.body)?;
        let state = authenticated.state;
        let meta = authenticated.meta();
        complete(
            state,
            &authenticated.document,
            meta,
            completion,
            CompletionKind::Chat,
        )
        .await
    })
    .await)
}

/// Lists the models and adapters that the caller may use.
#[endpoint { method = GET, path = "/v1/models" }]
async fn models(context: Context, request: RawRequest) -> HandlerResult {
    let authenticated = AuthenticatedRequest::read(&context, request).await;
    Ok(respond(async {
        let authenticated = authenticated?;
        let list = list_models(&authenticated.document, &authenticated.caller);
        Ok(json_response(StatusCode::OK, Outcome::Done, &list))
    })
    .await)
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn services(context: Context, path: Path<ServicePath>, request: RawRequest) -> HandlerResult {
    let authenticated = AuthenticatedRequest::read(&context, request).await;
    Ok(respond(async {
        let authenticated = authenticated?;
        let ServicePath { service, path } = path.into_inner();
        let plain_path = PlainPath {
            service,
            path: path.join("/"),
        };
        let (state, meta) = (authenticated.state, authenticated.meta());
        call_service(
            state,
            &authenticated.document,
            meta,
            plain_path,
            authenticated.body.clone(),
        )
        .await
    })
    .await)
}

async fn respond(
    result: impl Future<Output = Result<Response<Body>, ErrorBody>>,
) -> Response<Body> {
    result.await.unwrap_or_else(|body| error_response(&body))
}

/// A request with its authenticated caller and its complete body.
struct AuthenticatedRequest<'a> {
    state: &'a Arc<EntryState>,
    document: Arc<Document>,
    caller: CallerEntry,
    headers: HeaderMap,
    body: Bytes,
    arrived: Timestamp,
    permit: Arc<OwnedSemaphorePermit>,
    // Keeps the drain waiting until the response is made.
    _open: TaskTrackerToken,
}

impl<'a> AuthenticatedRequest<'a> {
    /// Authenticates the caller, takes a request permit, then reads the body.
    ///
    /// Fails if the entry is draining, unconfigured or out of permits, or if the key or the body
    /// is refused.
    async fn read(context: &'a Context, request: RawRequest) -> Result<Self, ErrorBody> {
        let ApiContext { state, permits } = context.context();
        let arrived = state.clock.now();
        let open = state.tasks.token();
        if state.is_draining() {
            let message = "this entry is stopping";
            return Err(not_run(ErrorCode::Draining, message, RETRY_DELAY));
        }
        let Some(document) = state.document() else {
            let message = "this entry has no configuration yet";
            return Err(not_run(ErrorCode::Unavailable, message, RETRY_DELAY));
        };
        let (head, body) = request.into_inner().into_parts();
        let caller = authenticate_caller(&document, &head.headers)?.clone();
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            let message = "this entry has too many requests in progress";
            return Err(not_run(ErrorCode::Overloaded, message, RETRY_DELAY));
        };
        let body = read_body(state, body, state.settings.body_bytes).await?;
        Ok(Self {
            state,
            caller,
            headers: head.headers,
            body,
            document,
            arrived,
            permit: Arc::new(permit),
            _open: open,
        })
    }

    fn meta(&self) -> RequestMeta<'_> {
        RequestMeta {
            caller: &self.caller,
            headers: &self.headers,
            arrived: self.arrived,
            permit: self.permit.clone(),
        }
    }
}
