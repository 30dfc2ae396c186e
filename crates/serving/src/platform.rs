//! The interfaces that a platform integration implements: the feed of objects, the mapping of HTTP
//! messages and the client of an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use http::{HeaderMap, StatusCode};
use kumquatkeel_core::quarantine::{Trial, TrialClaim, Verdict};
use kumquatkeel_core::serving::{
    CallerRequest, EngineOrder, EngineReport, OriginSlice, ServingConfig, StoredSlice, Target,
    TargetId, TargetNotice, VersionSet,
};
use kumquatkeel_core::store::StorePosition;

/// A failed call to the platform or a target.
#[derive(Debug, Clone, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct PlatformError {
    /// The step that failed, such as `read report`.
    pub step: &'static str,
    /// The address of the platform or target.
    pub peer: SocketAddr,
    /// The cause, as text.
    pub reason: String,
    /// Whether the store no longer has the history to watch from, so objects must be listed again.
    pub history_gone: bool,
    /// How long the peer wants no call, if it says so.
    pub pause: Option<Duration>,
}

impl PlatformError {
    /// Creates an error with `history_gone` and `pause` unset.
    pub fn new(step: &'static str, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            history_gone: false,
            pause: None,
        }
    }
}

/// The kinds of object that a feed carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FeedKind {
    /// The configuration.
    #[display("configuration")]
    Config,
    /// The list of targets.
    #[display("targets")]
    Targets,
}

/// One object of a feed, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedItem {
    /// A configuration with its position in the store.
    Config {
        /// The configuration.
        config: Box<ServingConfig>,
        /// The position of the object's last change.
        position: StorePosition,
    },
    /// A listed target.
    Target(Target),
    /// A target that is no longer listed.
    TargetRemoved(TargetId),
    /// An object that can't be decoded or used.
    Unusable {
        /// The object's name.
        name: Arc<str>,
        /// Why it can't be used.
        reason: String,
    },
}

/// The objects of a list call, or the changes of a watch call.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedBatch {
    /// The objects or changes, in order.
    pub items: Vec<FeedItem>,
    /// The store's revision that the batch is up to date with; the next watch starts from it.
    pub revision: u64,
    /// How often the store had been restored from a copy; `None` if it doesn't say.
    pub era: Option<u64>,
}

/// The consistency of a read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// The response holds all acknowledged changes.
    Linearizable,
    /// The response may be seconds old; such a read is cheaper.
    Stale,
}

/// The platform's store as a source of the configuration and the targets.
#[async_trait]
pub trait ObjectFeed: Send + Sync {
    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    async fn list(&self, kind: FeedKind, mode: ReadMode) -> Result<FeedBatch, PlatformError>;

    /// Waits at most `wait` for changes after `revision`; an empty batch means that none came.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read, with `history_gone` set when it no longer
    /// has the changes after `revision`.
    async fn watch(
        &self,
        kind: FeedKind,
        mode: ReadMode,
        revision: u64,
        wait: Duration,
    ) -> Result<FeedBatch, PlatformError>;
}

/// The platform's store as the place where verdicts on suspects outlast all processes.
#[async_trait]
pub trait VerdictStore: Send + Sync {
    /// Reads all verdicts.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    async fn read_verdicts(&self) -> Result<Vec<Verdict>, PlatformError>;

    /// Writes a verdict unless the store has one of the same or a higher epoch.
    ///
    /// # Errors
    ///
    /// Returns an error when the verdict may not have been written.
    async fn write_verdict(&self, verdict: &Verdict) -> Result<(), PlatformError>;

    /// Claims a trial, under the condition that no other process has claimed its number.
    ///
    /// # Errors
    ///
    /// Returns an error when the trial may not have been claimed; it must not be made then.
    async fn claim_trial(&self, trial: &Trial) -> Result<TrialClaim, PlatformError>;
}

/// The record of software versions, as the platform's store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The versions that targets have had lately.
    pub versions: VersionSet,
    /// The revision of the record's last change.
    pub revision: u64,
}

/// The platform's store as the place where the software versions of services outlast all processes.
#[async_trait]
pub trait VersionStore: Send + Sync {
    /// Reads the record with all acknowledged changes; `None` if none has been written yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read or the record can't be decoded.
    async fn read_versions(&self) -> Result<Option<VersionRecord>, PlatformError>;

    /// Replaces the record if its revision is still `revision`, `None` standing for no record; returns
    /// whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error when the record may not have been written.
    async fn write_versions(
        &self,
        versions: &VersionSet,
        revision: Option<u64>,
    ) -> Result<bool, PlatformError>;
}

/// The platform's store as the place where the origins of streams outlast all processes.
#[async_trait]
pub trait OriginStore: Send + Sync {
    /// Reads all objects with origins, with all acknowledged changes.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    async fn read_origins(&self) -> Result<Vec<StoredSlice>, PlatformError>;

    /// Writes an object that no other process writes, whatever its revision is by now; returns the revision of
    /// the change, if the store states it. `revision` is that of the last change, `None` standing for no object.
    ///
    /// # Errors
    ///
    /// Returns an error when the object may not have been written.
    async fn write_origins(
        &self,
        name: &str,
        slice: &OriginSlice,
        revision: Option<u64>,
    ) -> Result<Option<u64>, PlatformError>;

    /// Removes an object, unless it has another revision or doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the object may still exist and be unchanged.
    async fn remove_origins(&self, name: &str, revision: Option<u64>) -> Result<(), PlatformError>;
}

/// What the entry adds to a caller's request when it forwards it to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardOptions {
    /// The incarnation that the request is for; another one at the address must refuse it.
    pub target: TargetId,
    /// The time left until the caller's deadline.
    pub timeout: Duration,
    /// The request's priority at the engine, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// The account on whose behalf the request is sent; `None` for none.
    pub account: Option<Arc<str>>,
    /// The id of the last event that the caller has received, when a stream is resumed.
    pub resume_after: Option<u64>,
}

/// The meaning of a target's response, as its status and headers show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request succeeded and the response carries the target's signature.
    Success,
    /// The target did not run the request, as it states.
    NotRun,
    /// The target is another incarnation than the one that the request was for.
    WrongTarget,
    /// The target failed with an error that may be passed on to the caller.
    Failure,
    /// The response belongs to another request or can't come from a target.
    Invalid,
}

/// Why a caller's request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// The request has no attempt id.
    #[display("no attempt id")]
    MissingAttemptId,
    /// The value of a platform header can't be parsed.
    #[display("unreadable header")]
    InvalidHeader,
}

/// The mapping between the platform's HTTP messages and the entry's own types.
pub trait Dialect: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error when a required header is missing or a header's value can't be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, RequestError>;

    /// Returns the values of the headers that tell callers apart, in a fixed order.
    fn caller_identity<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a [u8]>;

    /// Turns a caller's headers into those for a target: drops headers that only the system may
    /// set and headers of a single connection, and adds the options.
    fn write_request(&self, headers: &HeaderMap, options: &ForwardOptions) -> HeaderMap;

    /// Returns whether the headers of a response name the attempt that it belongs to.
    fn names_attempt(&self, headers: &HeaderMap) -> bool;

    /// Classifies a target's response to the request with this attempt id.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
    ) -> ResponseClass;

    /// Reads what a target states about itself in the head of a response.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> TargetNotice;

    /// Returns the headers of a target's response that are relayed to the caller.
    fn relay_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns whether a path is that of the entry's readiness check.
    fn is_readiness(&self, path: &str) -> bool;
}

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderReply {
    /// The engine has started to execute the order.
    #[display("accepted")]
    Accepted,
    /// The engine is already in the state that the order asks for.
    #[display("holds")]
    AlreadyApplied,
    /// Another order is in progress, or the engine has accepted one since the state that this
    /// order was based on.
    #[display("conflict")]
    Conflict,
    /// The engine refuses the order, and would refuse a repetition too.
    #[display("refused")]
    Refused,
}

/// A target's state as reported to its agent.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The incarnation's start in Unix milliseconds; 0 if the target doesn't report it.
    pub born: u64,
    /// The engine's state.
    pub report: EngineReport,
    /// What the target states about itself in the head of its report.
    pub notice: TargetNotice,
}

/// The client through which an agent reads and controls the target beside it.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Reads the target's state.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid report comes in time.
    async fn report(&self) -> Result<TargetStatus, PlatformError>;

    /// Sends an order to the incarnation `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid reply comes in time; the engine may still have accepted the
    /// order.
    async fn order(
        &self,
        target: &TargetId,
        order: &EngineOrder,
    ) -> Result<OrderReply, PlatformError>;
}
