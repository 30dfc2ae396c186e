//! Request serving on an external platform: routing, dispatch, admission and model placement.
//!
//! Everything here is decision logic without I/O. The daemons in `kumquatkeel-serving` pass in the
//! configuration, the agents' reports and the callers' requests, and carry out the decisions.

mod account;
mod account_holder;
mod account_issuer;
mod account_share;
mod band_rates;
mod config;
mod config_check;
mod config_diff;
mod config_upstream;
mod decode;
mod demand;
mod dispatch;
mod drain;
mod engine;
mod eviction;
mod failures;
mod heartbeat;
mod holders;
mod incarnation;
mod issuer_coordinator;
mod limit_table;
mod list_reader;
mod locality;
mod orders;
mod origin_journal;
mod origin_table;
mod pacing;
mod permit_holder;
mod permit_issuer;
mod planner;
mod prefill;
mod prefill_admission;
mod quota;
mod request;
mod request_rate;
mod retry_after;
mod routes;
mod statement_table;
mod stream_origin;
mod stream_scope;
mod table;
mod target;
mod target_notice;
mod token_bucket;
mod version_set;

pub use account::{Account, AccountDirectory, AccountLimit, CostUnit, Identity, InvalidLimit};
pub use account_holder::{
    AccountBounds, AccountDenial, AccountHolder, Inquiry, InvalidBound, Payment, PaymentSource,
    Purchase, PurchaseReply, PurchaseStep,
};
pub use account_issuer::{
    AccountAsk, AccountDecision, AccountIssuer, IssuerRole, OwnLimit, PeerStatus, PeerWatch,
};
pub use account_share::{AccountShares, Competitor};
pub use band_rates::BandRates;
pub use config::{
    CallKind, ClientLimits, ConfigError, EngineSpec, ModelSpec, Route, RouteShare, ServiceSpec,
    ServingConfig,
};
pub use config_check::{
    ConfigParts, Field, FileNames, Finding, Location, Part, ServicePart, Severity, check_parts,
    check_version,
};
pub use config_diff::{Change, Difference, Subject, differences};
pub use config_upstream::{ConfigUpstream, MAX_CONFIRMATION_AGE, UpstreamStep};
pub use decode::DecodeEstimator;
pub use demand::{DemandMeter, ModelDemand};
pub use dispatch::{
    Candidate, DispatchDecision, DispatchInput, FIRST_STEP, RefusalReason, choose_engine,
    choose_target, engines_to_query,
};
pub use drain::{DrainPhase, DrainPlan, RequestPhase};
pub use engine::{
    Backlog, Band, ENGINE_SILENCE, EngineReport, EngineState, LoadProgress, Questions,
    ResidentModel,
};
pub use eviction::{AdapterKey, AdapterStep, AdapterUse};
pub use failures::FailureMeter;
pub use heartbeat::{
    agent_interval, entry_interval, entry_ttl, list_notice_interval, planner_interval,
    statement_ttl,
};
pub use holders::{
    AccountHosts, OriginHosts, account_hosts, crash_holders, list_relays, permit_host,
};
pub use incarnation::Incarnation;
pub use issuer_coordinator::{AgentHost, IssuerCoordinator};
pub use limit_table::LimitTable;
pub use list_reader::{ListCall, ListNotice, ListReader, ListRole};
pub use locality::{
    InvalidLocality, LeaveReason, LeavingRequest, LocalityControl, LocalityMode, LocalitySettings,
    Place, PlaceTimes, Reach, ShareChange, ShareKey, can_serve,
};
pub use orders::{EngineOrder, OrderQueue};
pub use origin_journal::{JournalStep, OriginJournal, OriginSlice, StoredSlice};
pub use origin_table::OriginTable;
pub use pacing::StreamPacing;
pub use permit_holder::PermitHolder;
pub use permit_issuer::{PermitDecision, PermitIssuer, Urgency};
pub use planner::{LoadCommand, Planner, PlannerInput, PlannerSettings};
pub use prefill::PrefillEstimator;
pub use prefill_admission::{AdmissionDecision, AdmissionRank, AdmissionRequest, PrefillAdmission};
pub use quota::RetryQuota;
pub use request::{
    AttemptEnd, CallerRequest, Recovery, ResumedStream, Usage, after_attempt, may_run_again,
};
pub use request_rate::{InvalidRate, RequestRate};
pub use retry_after::spread_retry_after;
pub use routes::{RouteMatch, RouteTable};
pub use statement_table::{Acceptance, StatementTable};
pub use stream_origin::StreamOrigin;
pub use stream_scope::StreamScope;
pub use table::{TableChange, TargetTable};
pub use target::{Target, TargetId, TargetState};
pub use target_notice::{StatedLimit, TargetNotice};
pub use version_set::{ListedVersions, VersionRecorder, VersionSet};
