//! Differences between two configurations, each with its effect.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::account::{Account, AccountLimit, CostUnit};
use super::config::{
    CallKind, ClientLimits, EngineSpec, ModelSpec, Route, ServiceSpec, ServingConfig,
};
use super::config_check::{Field, FileNames};

/// How a part of a configuration differs from the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Change {
    /// The part is new.
    Added,
    /// The part is gone.
    Removed,
    /// The part has another value.
    Changed,
    /// A limit is lower.
    Lowered,
    /// A limit is higher.
    Raised,
}

/// A part of a configuration, by name: positions differ between the two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The limits on callers.
    Limits,
    /// A route.
    Route(Arc<str>),
    /// A service.
    Service(Arc<str>),
    /// The engine configuration of a service.
    Engine(Arc<str>),
    /// A model of a service's engines.
    Model {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
    },
    /// The list of accounts.
    Accounts,
    /// An account.
    Account(Arc<str>),
}

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The part that differs.
    pub subject: Subject,
    /// The field that differs; `None` for the part as a whole.
    pub field: Option<Field>,
    /// How it differs.
    pub change: Change,
    /// The values and the effect. No key appears in it.
    pub text: String,
}

/// Collects the differences of one part after the other.
struct Differences<'a> {
    names: &'a dyn FileNames,
    found: Vec<Difference>,
}

/// Lists what differs between a configuration and the one in force. Parts are identified by name.
pub fn differences(
    config: &ServingConfig,
    in_force: &ServingConfig,
    names: &dyn FileNames,
) -> Vec<Difference> {
    let mut found = Differences {
        names,
        found: Vec::new(),
    };
    found.routes(&in_force.routes, &config.routes);
    found.services(&in_force.services, &config.services);
    found.limits(&in_force.limits, &config.limits);
    found.accounts(in_force.accounts.as_deref(), config.accounts.as_deref());
    found.found
}

/// Returns all names of two sets of parts, and what each set has under the name.
fn pairs<'a, T>(
    old: &'a BTreeMap<Arc<str>, T>,
    new: &'a BTreeMap<Arc<str>, T>,
) -> impl Iterator<Item = (&'a Arc<str>, Option<&'a T>, Option<&'a T>)> {
    let names: BTreeSet<&Arc<str>> = old.keys().chain(new.keys()).collect();
    let pair = |name| (name, old.get(name), new.get(name));
    names.into_iter().map(pair)
}

fn milliseconds(time: Duration) -> String {
    format!("{} ms", time.as_secs_f64() * 1e3)
}

impl Differences<'_> {
    fn add(
        &mut self,
        subject: &Subject,
        field: impl Into<Option<Field>>,
        change: Change,
        text: impl Into<String>,
    ) {
        self.found.push(Difference {
            subject: subject.clone(),
            field: field.into(),
            change,
            text: text.into(),
        });
    }

    /// Adds a changed field with both values.
    fn compare<T: PartialEq>(
        &mut self,
        subject: &Subject,
        field: Field,
        (old, new): (T, T),
        show: impl Fn(&T) -> String,
        effect: &str,
    ) {
        if old != new {
            let text = format!("{} to {}: {effect}", show(&old), show(&new));
            self.add(subject, field, Change::Changed, text);
        }
    }

    /// Adds a changed limit with both values.
    fn compare_limit<T: PartialOrd>(
        &mut self,
        subject: &Subject,
        field: Field,
        (old, new): (T, T),
        show: impl Fn(&T) -> String,
        (lower, higher): (&str, &str),
    ) {
        let (change, effect) = match old.partial_cmp(&new) {
            Some(std::cmp::Ordering::Greater) => (Change::Lowered, lower),
            Some(std::cmp::Ordering::Less) => (Change::Raised, higher),
            _ => return,
        };
        let text = format!("{} to {}: {effect}", show(&old), show(&new));
        self.add(subject, field, change, text);
    }

    fn routes(&mut self, old: &[Arc<Route>], new: &[Arc<Route>]) {
        let by_name = |routes: &[Arc<Route>]| -> BTreeMap<Arc<str>, Arc<Route>> {
            routes.iter().map(|r| (r.name.clone(), r.clone())).collect()
        };
        for (name, old, new) in pairs(&by_name(old), &by_name(new)) {
            let subject = Subject::Route(name.clone());
            match (old, new) {
                (Some(old), Some(new)) => self.route(&subject, old, new),
                (Some(old), None) => {
                    let text = format!(
                        "requests to {:?} go to the route with the next shorter {}, or get 404",
                        format!("{}{}", old.host, old.prefix),
                        self.names.field(Field::Prefix)
                    );
                    self.add(&subject, None, Change::Removed, text);
                }
                (None, Some(new)) => {
                    let text = format!(
                        "requests to {:?} go to it, unless a longer {} matches",
                        format!("{}{}", new.host, new.prefix),
                        self.names.field(Field::Prefix)
                    );
                    self.add(&subject, None, Change::Added, text);
                }
                (None, None) => {}
            }
        }
    }

    fn route(&mut self, subject: &Subject, old: &Route, new: &Route) {
        let quoted = |text: &&Arc<str>| format!("{text:?}");
        let matches = "other requests match the route";
        self.compare(
            subject,
            Field::Host,
            (&old.host, &new.host),
            quoted,
            matches,
        );
        self.compare(
            subject,
            Field::Prefix,
            (&old.prefix, &new.prefix),
            quoted,
            matches,
        );
        let names = self.names;
        let kind = |kind: &CallKind| names.kind(*kind).to_owned();
        let effect = "whether a request may run more than once, and whether it streams, changes";
        self.compare(subject, Field::Kind, (old.kind, new.kind), kind, effect);
        self.route_times(subject, old, new);
        let number = |number: &u8| number.to_string();
        let effect = "the order among waiting requests changes";
        self.compare(
            subject,
            Field::Priority,
            (old.priority, new.priority),
            number,
            effect,
        );
        let effect = (
            "requests are tried at fewer targets",
            "requests may be tried at more targets",
        );
        self.compare_limit(
            subject,
            Field::Attempts,
            (old.attempts, new.attempts),
            number,
            effect,
        );
        let effect = if new.resumable {
            "an interrupted stream may continue at another target"
        } else {
            "an interrupted stream ends"
        };
        let yes = bool::to_string;
        self.compare(
            subject,
            Field::Resumable,
            (old.resumable, new.resumable),
            yes,
            effect,
        );
        let effect = if new.anonymous {
            "requests need no key"
        } else {
            "requests without a known key get 401"
        };
        self.compare(
            subject,
            Field::Anonymous,
            (old.anonymous, new.anonymous),
            yes,
            effect,
        );
        let shares = |route: &Route| -> Vec<String> {
            let share = |s: &super::RouteShare| format!("{:?} {}", s.service, s.weight);
            route.shares.iter().map(share).collect()
        };
        let effect = "new requests are distributed by the new services and weights";
        let joined = |shares: &Vec<String>| shares.join(", ");
        self.compare(
            subject,
            Field::Service,
            (shares(old), shares(new)),
            joined,
            effect,
        );
    }

    fn route_times(&mut self, subject: &Subject, old: &Route, new: &Route) {
        let show = |time: &Duration| milliseconds(*time);
        let effect = ("requests are given up earlier", "requests may take longer");
        self.compare_limit(
            subject,
            Field::Deadline,
            (old.deadline, new.deadline),
            show,
            effect,
        );
        let effect = "requests count as late from another time on, and wait accordingly";
        self.compare(
            subject,
            Field::Objective,
            (old.objective, new.objective),
            show,
            effect,
        );
        let show = |gap: &Option<Duration>| gap.map_or("none".to_owned(), milliseconds);
        let effect = "streams count as late from another pause on";
        self.compare(subject, Field::Gap, (old.gap, new.gap), show, effect);
    }

    fn services(
        &mut self,
        old: &BTreeMap<Arc<str>, ServiceSpec>,
        new: &BTreeMap<Arc<str>, ServiceSpec>,
    ) {
        for (name, old, new) in pairs(old, new) {
            let subject = Subject::Service(name.clone());
            match (old, new) {
                (Some(old), Some(new)) => {
                    self.engines(name, old.engine.as_ref(), new.engine.as_ref());
                }
                (Some(old), None) => {
                    let models = old.engine.as_ref().map_or(0, |e| e.models.len());
                    let text = format!(
                        "its targets count as plain ones, and its models ({models}) aren't planned"
                    );
                    self.add(&subject, None, Change::Removed, text);
                }
                (None, Some(new)) => {
                    let models = new.engine.as_ref().map_or(0, |e| e.models.len());
                    let text = format!("routes may name it (models: {models})");
                    self.add(&subject, None, Change::Added, text);
                }
                (None, None) => {}
            }
        }
    }

    fn engines(&mut self, service: &Arc<str>, old: Option<&EngineSpec>, new: Option<&EngineSpec>) {
        let subject = Subject::Engine(service.clone());
        let (old, new) = match (old, new) {
            (Some(old), Some(new)) => (old, new),
            (Some(_), None) => {
                let text = "the service's targets count as plain ones";
                return self.add(&subject, None, Change::Removed, text);
            }
            (None, Some(_)) => {
                let text = "the service's targets count as engines";
                return self.add(&subject, None, Change::Added, text);
            }
            (None, None) => return,
        };
        let number = |number: &f64| number.to_string();
        let effect = (
            "fewer models fit on an engine",
            "more models fit on an engine",
        );
        let memory = (old.weights_mb, new.weights_mb);
        self.compare_limit(&subject, Field::EngineMemory, memory, number, effect);
        let effect = (
            "fewer adapters are kept on an engine",
            "more adapters are kept on an engine",
        );
        let slots = (old.adapter_slots, new.adapter_slots);
        self.compare_limit(&subject, Field::AdapterSlots, slots, u32::to_string, effect);
        let effect = (
            "fewer models are loaded at a time",
            "more models may be loaded at a time",
        );
        let rate = (old.load_rate, new.load_rate);
        self.compare_limit(&subject, Field::LoadRate, rate, number, effect);
        for (name, old, new) in pairs(&old.models, &new.models) {
            let subject = Subject::Model {
                service: service.clone(),
                model: name.clone(),
            };
            match (old, new) {
                (Some(old), Some(new)) => self.model(&subject, old, new),
                (Some(_), None) => {
                    let text = "it is not loaded any more, and requests for it are refused when no engine holds it";
                    self.add(&subject, None, Change::Removed, text);
                }
                (None, Some(_)) => {
                    self.add(
                        &subject,
                        None,
                        Change::Added,
                        "it is loaded as requests for it arrive",
                    );
                }
                (None, None) => {}
            }
        }
    }

    fn model(&mut self, subject: &Subject, old: &ModelSpec, new: &ModelSpec) {
        let number = |number: &f64| number.to_string();
        let effect = "the planner counts with the new size";
        let size = (old.weights_mb, new.weights_mb);
        self.compare(subject, Field::ModelSize, size, number, effect);
        let size = (old.adapter_mb, new.adapter_mb);
        self.compare(subject, Field::AdapterSize, size, number, effect);
        let effect = "the planner counts with the new number";
        let adapters = (old.adapters, new.adapters);
        self.compare(subject, Field::Adapters, adapters, u32::to_string, effect);
        let effect = "loads are expected to take the new time";
        let show = |time: &Duration| milliseconds(*time);
        self.compare(subject, Field::Load, (old.load, new.load), show, effect);
        self.compare(
            subject,
            Field::DiskLoad,
            (old.disk_load, new.disk_load),
            show,
            effect,
        );
    }

    fn limits(&mut self, old: &ClientLimits, new: &ClientLimits) {
        let subject = &Subject::Limits;
        let effect = (
            "larger requests are refused",
            "larger requests are accepted",
        );
        let bytes = (old.header_bytes, new.header_bytes);
        self.compare_limit(subject, Field::HeaderBytes, bytes, usize::to_string, effect);
        let bytes = (old.body_bytes, new.body_bytes);
        self.compare_limit(subject, Field::BodyBytes, bytes, usize::to_string, effect);
        let effect = (
            "slow callers are cut off earlier",
            "slow callers are cut off later",
        );
        let show = |time: &Duration| milliseconds(*time);
        let time = (old.header_timeout, new.header_timeout);
        self.compare_limit(subject, Field::HeaderTimeout, time, show, effect);
        let effect = (
            "idle connections are closed earlier",
            "idle connections are kept longer",
        );
        let time = (old.idle_timeout, new.idle_timeout);
        self.compare_limit(subject, Field::IdleTimeout, time, show, effect);
    }

    fn accounts(&mut self, old: Option<&[Arc<Account>]>, new: Option<&[Arc<Account>]>) {
        match (old.is_some(), new.is_some()) {
            (false, true) => {
                let text = "requests without a known key get 401, except on anonymous routes";
                self.add(&Subject::Accounts, None, Change::Added, text);
            }
            (true, false) => {
                let text = "requests need no key, and no limits apply";
                self.add(&Subject::Accounts, None, Change::Removed, text);
            }
            _ => {}
        }
        let by_name = |accounts: Option<&[Arc<Account>]>| -> BTreeMap<Arc<str>, Arc<Account>> {
            let accounts = accounts.unwrap_or_default().iter();
            accounts.map(|a| (a.name.clone(), a.clone())).collect()
        };
        let removes_all = new.is_none();
        for (name, old, new) in pairs(&by_name(old), &by_name(new)) {
            let subject = Subject::Account(name.clone());
            match (old, new) {
                (Some(old), Some(new)) => self.account(&subject, old, new),
                (Some(old), None) => {
                    let keys = old.keys.len();
                    let text = if removes_all {
                        format!("its keys ({keys}) are needed no more")
                    } else {
                        let word = self.names.account();
                        format!(
                            "requests with its keys ({keys}) get 401, unless another {word} has them"
                        )
                    };
                    self.add(&subject, None, Change::Removed, text);
                }
                (None, Some(new)) => {
                    let text = format!("requests with its keys ({}) are served", new.keys.len());
                    self.add(&subject, None, Change::Added, text);
                }
                (None, None) => {}
            }
        }
    }

    fn account(&mut self, subject: &Subject, old: &Account, new: &Account) {
        let count = |of: &Account, other: &Account| {
            let unlike = of.keys.iter().filter(|key| !other.keys.contains(key));
            unlike.count()
        };
        let removed = count(old, new);
        if removed > 0 {
            let (held, word) = (old.keys.len(), self.names.account());
            let text = format!(
                "{removed} of {held}: requests with them get 401, also those that wait, unless another {word} has them"
            );
            self.add(subject, Field::Keys, Change::Removed, text);
        }
        let added = count(new, old);
        if added > 0 {
            let text = format!("{added}: requests with them are served");
            self.add(subject, Field::Keys, Change::Added, text);
        }
        let show =
            |priority: &Option<u8>| priority.map_or("the route's".to_owned(), |p| p.to_string());
        let effect = "the order among waiting requests changes";
        self.compare(
            subject,
            Field::Priority,
            (old.priority, new.priority),
            show,
            effect,
        );
        self.account_limit(subject, old.limit.as_ref(), new.limit.as_ref());
    }

    fn account_limit(
        &mut self,
        subject: &Subject,
        old: Option<&AccountLimit>,
        new: Option<&AccountLimit>,
    ) {
        let effect = (
            "binds one window after all entries have it",
            "applies at once",
        );
        // Without a limit any rate is allowed.
        let rate = |limit: Option<&AccountLimit>| limit.map_or(f64::INFINITY, |limit| limit.rate);
        let show = |rate: &f64| {
            if rate.is_finite() {
                rate.to_string()
            } else {
                "no limit".to_owned()
            }
        };
        let (Some(old), Some(new)) = (old, new) else {
            return self.compare_limit(subject, Field::Rate, (rate(old), rate(new)), show, effect);
        };
        let (rates, bursts) = ((old.rate, new.rate), (old.burst, new.burst));
        if std::mem::discriminant(&old.unit) == std::mem::discriminant(&new.unit) {
            self.compare_limit(subject, Field::Rate, rates, show, effect);
            self.compare_limit(subject, Field::Burst, bursts, show, effect);
        } else {
            // Numbers of different units are neither lower nor higher.
            let effect = "it counts in the new unit";
            self.compare(subject, Field::Rate, rates, show, effect);
            self.compare(subject, Field::Burst, bursts, show, effect);
        }
        let unit = |unit: &CostUnit| match unit {
            CostUnit::Requests => "requests".to_owned(),
            CostUnit::Tokens { .. } => "tokens".to_owned(),
        };
        match (old.unit, new.unit) {
            (CostUnit::Tokens { default: old }, CostUnit::Tokens { default: new }) => {
                let effect = "a request without token counts costs the new number";
                self.compare(
                    subject,
                    Field::DefaultCost,
                    (old, new),
                    u64::to_string,
                    effect,
                );
            }
            units => {
                let effect = "the limit counts in the new unit";
                self.compare(subject, Field::Unit, units, unit, effect);
            }
        }
    }
}
