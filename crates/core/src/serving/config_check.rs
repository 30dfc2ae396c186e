//! Checks of a configuration for an operator, beyond what the daemons reject.
//!
//! An error is what makes the daemons reject or ignore the configuration; a warning is what they
//! accept and is probably not intended. The checks take the readable parts of a configuration, so
//! that a part that can't be read doesn't hide the findings of the others.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::account::{Account, AccountLimit};
use super::config::{CallKind, ModelSpec, Route, ServiceSpec, ServingConfig};
use super::request::Usage;

/// The least urgent priority in use; higher numbers are accepted and mean the same.
const MAX_PRIORITY: u8 = 9;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Severity {
    /// The daemons reject or ignore the configuration.
    Error,
    /// The daemons accept the configuration, but a part of it has no effect or a doubtful one.
    Warning,
}

/// A part of a configuration, by its positions in the lists of the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The configuration as a whole.
    Config,
    /// A route.
    Route(usize),
    /// One of a route's services with their weights.
    Share {
        /// Position of the route.
        route: usize,
        /// Position among the route's services.
        share: usize,
    },
    /// A service.
    Service(usize),
    /// A model of a service's engines.
    Model {
        /// Position of the service.
        service: usize,
        /// Position among the service's models.
        model: usize,
    },
    /// The list of accounts.
    Accounts,
    /// An account.
    Account(usize),
}

/// A field of one of the parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs, reason = "the fields are described at the checked types")]
pub enum Field {
    Version,
    Name,
    Host,
    Prefix,
    Kind,
    Deadline,
    Objective,
    Gap,
    Priority,
    Attempts,
    Resumable,
    Anonymous,
    Service,
    Weight,
    EngineMemory,
    AdapterSlots,
    LoadRate,
    ModelSize,
    Load,
    DiskLoad,
    Adapters,
    AdapterSize,
    Keys,
    Unit,
    DefaultCost,
    Rate,
    Burst,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
}

/// The names that a configuration file has for fields and values.
///
/// The texts of findings are for the operator, who knows the names of the file only.
pub trait FileNames {
    /// Returns the name of a field.
    fn field(&self, field: Field) -> &'static str;
    /// Returns the value that states a kind of request.
    fn kind(&self, kind: CallKind) -> &'static str;
    /// Returns the word for an account.
    fn account(&self) -> &'static str;
}

/// A place in a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The part of the configuration.
    pub part: Part,
    /// The field of the part; `None` for the part as a whole.
    pub field: Option<Field>,
}

/// A fault or a doubtful point of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub location: Location,
    /// How serious it is.
    pub severity: Severity,
    /// What is wrong and what follows from it. No key appears in it.
    pub text: String,
}

/// A service with the names of its models in the order of the file, of which some may be equal.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePart {
    /// The service.
    pub spec: ServiceSpec,
    /// The names of its models.
    pub models: Vec<Arc<str>>,
}

/// The parts of a configuration that could be read, with their positions in the lists of the file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigParts {
    /// The routes.
    pub routes: Vec<(usize, Route)>,
    /// Whether a route is missing here because it can't be read.
    pub routes_incomplete: bool,
    /// The services.
    pub services: Vec<(usize, ServicePart)>,
    /// Whether a service is missing here because it can't be read.
    pub services_incomplete: bool,
    /// The accounts; `None` if the configuration has no list of accounts.
    pub accounts: Option<Vec<(usize, Account)>>,
}

/// Collects findings, with the names of the file at hand.
struct Findings<'a> {
    names: &'a dyn FileNames,
    found: Vec<Finding>,
}

impl Findings<'_> {
    fn name(&self, field: Field) -> &'static str {
        self.names.field(field)
    }

    fn add(
        &mut self,
        severity: Severity,
        part: Part,
        field: impl Into<Option<Field>>,
        text: impl Into<String>,
    ) {
        self.found.push(Finding {
            location: Location {
                part,
                field: field.into(),
            },
            severity,
            text: text.into(),
        });
    }

    fn error(&mut self, part: Part, field: impl Into<Option<Field>>, text: impl Into<String>) {
        self.add(Severity::Error, part, field, text);
    }

    fn warn(&mut self, part: Part, field: impl Into<Option<Field>>, text: impl Into<String>) {
        self.add(Severity::Warning, part, field, text);
    }

    fn check_priority(&mut self, part: Part, priority: u8) {
        if priority > MAX_PRIORITY {
            let text = format!("{priority} is outside 0 to {MAX_PRIORITY}");
            self.warn(part, Field::Priority, text);
        }
    }

    /// Warns of a value that occurs a second time, naming the position of the first.
    fn check_names<'n>(
        &mut self,
        items: impl Iterator<Item = (Part, usize, &'n str)>,
        effect: &str,
    ) {
        let mut first = HashMap::new();
        for (part, index, name) in items {
            if let Some(other) = first.get(name) {
                let text = format!("{name:?} is already the name of number {other}; {effect}");
                self.warn(part, Field::Name, text);
                continue;
            }
            first.insert(name, index);
        }
    }
}

/// Checks the readable parts of a configuration. Findings are ordered by their place in the file.
pub fn check_parts(parts: &ConfigParts, names: &dyn FileNames) -> Vec<Finding> {
    let mut findings = Findings {
        names,
        found: Vec::new(),
    };
    check_routes(&mut findings, &parts.routes);
    check_services(&mut findings, &parts.services);
    check_references(&mut findings, parts);
    if let Some(accounts) = &parts.accounts {
        check_accounts(&mut findings, accounts);
    }
    findings.found.sort_by_key(|finding| finding.location);
    findings.found
}

/// Checks that a configuration replaces the one in force, which daemons decide by the version.
pub fn check_version(
    config: &ServingConfig,
    in_force: &ServingConfig,
    names: &dyn FileNames,
) -> Option<Finding> {
    let (version, known) = (config.version, in_force.version);
    (version <= known).then(|| Finding {
        location: Location {
            part: Part::Config,
            field: Some(Field::Version),
        },
        severity: Severity::Error,
        text: format!(
            "{version} is not higher than the {} in force, {known}: the configuration would be ignored",
            names.field(Field::Version),
        ),
    })
}

fn check_routes(findings: &mut Findings<'_>, routes: &[(usize, Route)]) {
    let names = routes.iter().map(|(i, r)| (Part::Route(*i), *i, &*r.name));
    findings.check_names(names, "logs can't tell the routes apart");
    // Lookup is by the host regardless of case and the longest prefix. As a prefix ends with a slash
    // and matches its own path, a longer one never covers a shorter one; only an equal one does.
    let mut first: HashMap<(String, &str), &(usize, Route)> = HashMap::new();
    for entry @ (index, route) in routes {
        check_route(findings, *index, route);
        let key = (route.host.to_ascii_lowercase(), &*route.prefix);
        if let Some((other, former)) = first.get(&key) {
            let text = format!(
                "the route never matches: route number {other}, {:?}, has the same {} and {}",
                former.name,
                findings.name(Field::Host),
                findings.name(Field::Prefix),
            );
            findings.warn(Part::Route(*index), Field::Prefix, text);
            continue;
        }
        first.insert(key, entry);
    }
}

fn check_route(findings: &mut Findings<'_>, index: usize, route: &Route) {
    let part = Part::Route(index);
    check_match(findings, part, route);
    check_shares(findings, index, route);
    check_times(findings, part, route);
    findings.check_priority(part, route.priority);
    let streams = route.kind == CallKind::Stream;
    if route.resumable && !streams {
        let text = "the route doesn't stream: there is nothing to resume";
        findings.warn(part, Field::Resumable, text);
    }
    let may_continue = route.kind == CallKind::Idempotent || (streams && route.resumable);
    if route.attempts > 1 && !may_continue {
        let text = format!(
            "{} requests run at most once: further targets are tried only while none has run the request",
            findings.names.kind(route.kind),
        );
        findings.warn(part, Field::Attempts, text);
    }
}

fn check_match(findings: &mut Findings<'_>, part: Part, route: &Route) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let text = format!("{:?} must begin and end with a slash", route.prefix);
        findings.error(part, Field::Prefix, text);
    }
    if route.prefix.contains(['?', '#']) {
        let text = "the route never matches: the path is compared without its query and fragment";
        findings.warn(part, Field::Prefix, text);
    }
    let is_address = route.host.starts_with('[') && route.host.ends_with(']');
    if route.host.is_empty() || (route.host.contains(':') && !is_address) {
        let text = format!(
            "the route never matches: requests are matched by their host name without a port, not by {:?}",
            route.host
        );
        findings.warn(part, Field::Host, text);
    }
}

fn check_shares(findings: &mut Findings<'_>, index: usize, route: &Route) {
    if route.shares.is_empty() {
        let text = "the route names no service";
        findings.error(Part::Route(index), Field::Service, text);
    }
    let mut invalid = false;
    for (share, weight) in route.shares.iter().map(|s| s.weight).enumerate() {
        if weight.is_nan() || weight < 0.0 {
            invalid = true;
            let part = Part::Share {
                route: index,
                share,
            };
            let text = format!("{weight} is negative or not a number");
            findings.error(part, Field::Weight, text);
        }
    }
    // A single service gets all requests whatever its weight.
    let all_zero = route.shares.iter().all(|s| s.weight == 0.0);
    if route.shares.len() > 1 && all_zero && !invalid {
        let part = Part::Share {
            route: index,
            share: 0,
        };
        let text = "all weights of the route are zero: each of its requests is refused";
        findings.warn(part, Field::Weight, text);
    }
}

fn check_times(findings: &mut Findings<'_>, part: Part, route: &Route) {
    let deadline = route.deadline;
    let beyond = |findings: &Findings<'_>, time: Duration| {
        let (time, deadline) = (time.as_secs_f64() * 1e3, deadline.as_secs_f64() * 1e3);
        let name = findings.name(Field::Deadline);
        format!(
            "{time} ms is beyond {name}, {deadline} ms: a request is given up before it counts as late"
        )
    };
    if route.objective > deadline {
        let text = beyond(findings, route.objective);
        findings.warn(part, Field::Objective, text);
    }
    let Some(gap) = route.gap else { return };
    if gap > deadline {
        let text = beyond(findings, gap);
        findings.warn(part, Field::Gap, text);
    }
    if route.kind != CallKind::Stream {
        let text = "the route doesn't stream: there are no events to time";
        findings.warn(part, Field::Gap, text);
    }
}

fn check_services(findings: &mut Findings<'_>, services: &[(usize, ServicePart)]) {
    let names = (services.iter()).map(|(i, s)| (Part::Service(*i), *i, &*s.spec.name));
    findings.check_names(names, "the last one counts");
    for (service, ServicePart { spec, models }) in services {
        let Some(engine) = &spec.engine else { continue };
        let part = |model| Part::Model {
            service: *service,
            model,
        };
        let names = models.iter().enumerate().map(|(i, m)| (part(i), i, &**m));
        findings.check_names(names, "the last one counts");
        for (position, name) in models.iter().enumerate() {
            let Some(model) = engine.models.get(name) else {
                continue;
            };
            let slots = engine.adapter_slots;
            check_model(findings, part(position), model, engine.weights_mb, slots);
        }
    }
}

fn check_model(
    findings: &mut Findings<'_>,
    part: Part,
    model: &ModelSpec,
    memory: f64,
    slots: u32,
) {
    if model.adapters > 0 && slots == 0 {
        let name = findings.name(Field::AdapterSlots);
        let text = format!("the model has adapters, but {name} is 0: none is ever loaded");
        findings.warn(part, Field::Adapters, text);
    }
    let memory_name = findings.name(Field::EngineMemory);
    // The planner loads a model only where its adapters fit too, as many as there are slots.
    let adapters = slots.min(model.adapters);
    let whole = model.weights_mb + model.adapter_mb * f64::from(adapters);
    if model.weights_mb > memory {
        let text = format!(
            "the model, {} MB, is larger than the engine's {memory_name}, {memory} MB: it is never loaded",
            model.weights_mb
        );
        findings.warn(part, Field::ModelSize, text);
    } else if model.adapters > 0 && model.weights_mb + model.adapter_mb > memory {
        let text = format!(
            "the model with one adapter, {} MB, is larger than the engine's {memory_name}, {memory} MB",
            model.weights_mb + model.adapter_mb
        );
        findings.warn(part, Field::AdapterSize, text);
    } else if whole > memory {
        let text = format!(
            "the model with {adapters} adapters, {whole} MB, is larger than the engine's {memory_name}, \
             {memory} MB: the planner never loads it"
        );
        findings.warn(part, Field::AdapterSize, text);
    }
}

/// Checks that routes and services name each other. What can't be read may be the missing name.
fn check_references(findings: &mut Findings<'_>, parts: &ConfigParts) {
    let services = parts.services.iter();
    let known: HashSet<&str> = services.map(|(_, s)| &*s.spec.name).collect();
    let routes = parts.routes.iter();
    let named: HashSet<&str> = routes
        .flat_map(|(_, route)| route.shares.iter().map(|share| &*share.service))
        .collect();
    if !parts.services_incomplete {
        for (route, spec) in &parts.routes {
            for (share, entry) in spec.shares.iter().enumerate() {
                if !known.contains(&*entry.service) {
                    let part = Part::Share {
                        route: *route,
                        share,
                    };
                    let text = format!("there is no service {:?}", entry.service);
                    findings.warn(part, Field::Service, text);
                }
            }
        }
    }
    if !parts.routes_incomplete {
        for (service, entry) in &parts.services {
            if !named.contains(&*entry.spec.name) {
                let text = format!("no route names the service {:?}", entry.spec.name);
                findings.warn(Part::Service(*service), Field::Name, text);
            }
        }
    }
}

fn check_accounts(findings: &mut Findings<'_>, accounts: &[(usize, Account)]) {
    let word = findings.names.account();
    if accounts.is_empty() {
        let text = format!("there is no {word}: every request that needs a key gets 401");
        findings.warn(Part::Accounts, None, text);
    }
    let (mut names, mut holders) = (HashMap::new(), HashMap::new());
    for (index, account) in accounts {
        let part = Part::Account(*index);
        if account.name.is_empty() {
            findings.error(part, Field::Name, "the name is empty");
        } else if let Some(other) = names.insert(&account.name, *index) {
            let text = format!("{:?} is already the name of number {other}", account.name);
            findings.error(part, Field::Name, text);
        }
        if account.keys.is_empty() {
            let text = format!("the {word} has no key: no request is ever identified as its own");
            findings.warn(part, Field::Keys, text);
        }
        for key in &account.keys {
            match holders.insert(key, (*index, &account.name)) {
                Some((other, _)) if other == *index => {
                    findings.warn(part, Field::Keys, "a key is listed twice");
                }
                Some((other, name)) => {
                    let text = format!("a key also belongs to {word} number {other}, {name:?}");
                    findings.error(part, Field::Keys, text);
                }
                None => {}
            }
        }
        if let Some(priority) = account.priority {
            findings.check_priority(part, priority);
        }
        if let Some(limit) = &account.limit {
            check_limit(findings, part, limit);
        }
    }
}

fn check_limit(findings: &mut Findings<'_>, part: Part, limit: &AccountLimit) {
    let plain = limit.cost(Usage::default());
    if limit.burst == 0.0 {
        let name = findings.name(Field::Rate);
        let text = format!(
            "there is a {name} but no burst: after a pause one request is admitted at a time"
        );
        findings.warn(part, Field::Burst, text);
    } else if limit.burst < plain as f64 {
        let text = format!(
            "{} is below the cost of one plain request, {plain}: each one takes more than the whole burst",
            limit.burst
        );
        findings.warn(part, Field::Burst, text);
    }
}
