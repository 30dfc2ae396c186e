//! Client accounts: who may send requests, at what priority and how much.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Display, Error};
use kumquatkeel_types::secret::KeyDigest;
use serde::{Deserialize, Serialize};

use super::config::{ConfigError, Route};
use super::request::Usage;

/// Longest name of an account, in bytes; each request to a target carries it as a header.
const MAX_NAME_BYTES: usize = 200;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CostUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs its prompt and output tokens.
    Tokens {
        /// The cost of a request that states no token counts.
        default: u64,
    },
}

/// The rate and the burst are not both numbers of at least zero.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("{_0} is negative or not finite")]
pub struct InvalidLimit(#[error(not(source))] f64);

/// How much an account may spend over all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountLimit {
    /// Units per second; positive.
    pub rate: f64,
    /// Units that may be spent at once after an idle time.
    pub burst: f64,
    /// What the rate and the burst count.
    pub unit: CostUnit,
}

impl AccountLimit {
    /// Checks a limit; a rate of zero means that there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the rate or the burst is negative or not finite.
    pub fn checked(rate: f64, burst: f64, unit: CostUnit) -> Result<Option<Self>, InvalidLimit> {
        let is_invalid = |value: &f64| !value.is_finite() || *value < 0.0;
        if let Some(value) = [rate, burst].into_iter().find(is_invalid) {
            return Err(InvalidLimit(value));
        }
        Ok((rate > 0.0).then_some(Self { rate, burst, unit }))
    }

    /// Returns the cost of a request with these token counts.
    pub const fn cost(&self, usage: Usage) -> u64 {
        match self.unit {
            CostUnit::Requests => 1,
            CostUnit::Tokens { default } => match usage.prompt.saturating_add(usage.output) {
                0 => default,
                tokens => tokens,
            },
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Account {
    /// The account's name, which targets are told.
    pub name: Arc<str>,
    /// The digests of the keys by which callers identify themselves.
    pub keys: Vec<KeyDigest>,
    /// Priority that goes before a route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// How much the account may spend; `None` for no limit.
    pub limit: Option<AccountLimit>,
}

/// On whose behalf a request is sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Identity {
    /// No account: none are configured, or the route needs none.
    Anonymous,
    /// The account that holds the request's key.
    Account(Arc<Account>),
    /// The request has no key, or one that no account holds.
    Unknown,
}

/// Finds the account that holds a key.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use kumquatkeel_core::serving::{Account, AccountDirectory};
/// use kumquatkeel_types::secret::KeyDigest;
///
/// let account = Account {
///     name: "north".into(),
///     keys: vec![KeyDigest::of_key("opensesame")],
///     priority: None,
///     limit: None,
/// };
/// let accounts = AccountDirectory::try_from(&[Arc::new(account)][..]).unwrap();
/// let found = accounts.find(&KeyDigest::of_key("opensesame")).unwrap();
/// assert_eq!(&*found.name, "north");
/// assert!(accounts.find(&KeyDigest::of_key("guess")).is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct AccountDirectory {
    accounts: HashMap<KeyDigest, Arc<Account>>,
}

impl AccountDirectory {
    /// Returns the account that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Returns on whose behalf a request on a route is sent.
    pub fn identify(&self, route: &Route, key: Option<&KeyDigest>) -> Identity {
        if route.anonymous {
            return Identity::Anonymous;
        }
        let account = key.and_then(|key| self.find(key));
        account.map_or(Identity::Unknown, |a| Identity::Account(a.clone()))
    }
}

impl TryFrom<&[Arc<Account>]> for AccountDirectory {
    type Error = ConfigError;

    /// Checks that names can be header values, and that names and keys are unique. No key appears in an
    /// error.
    fn try_from(accounts: &[Arc<Account>]) -> Result<Self, ConfigError> {
        let mut found = HashMap::new();
        let mut names = HashMap::new();
        for (index, account) in accounts.iter().enumerate() {
            let fault = |reason: String| ConfigError {
                field: format!("accounts.{index}"),
                reason,
            };
            if account.name.is_empty() {
                return Err(fault("the name is empty".to_owned()));
            }
            if let Some(reason) = name_fault(&account.name) {
                return Err(fault(reason));
            }
            if names.insert(account.name.clone(), index).is_some() {
                return Err(fault(format!("a second account named {}", account.name)));
            }
            for key in &account.keys {
                let former: Option<Arc<Account>> = found.insert(key.clone(), account.clone());
                if let Some(former) = former.filter(|former| former.name != account.name) {
                    let (first, second) = (&former.name, &account.name);
                    return Err(fault(format!("{first} and {second} hold the same key")));
                }
            }
        }
        Ok(Self { accounts: found })
    }
}

/// Returns why a name can't be the value of a header. A request would be sent without the header then.
fn name_fault(name: &str) -> Option<String> {
    if name.len() > MAX_NAME_BYTES {
        let bytes = name.len();
        return Some(format!(
            "the name has {bytes} bytes, more than {MAX_NAME_BYTES}"
        ));
    }
    // A recipient removes spaces at the ends.
    let is_spaced = name.starts_with(' ') || name.ends_with(' ');
    let is_valid = name.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    (is_spaced || !is_valid).then(|| {
        format!(
            "the name {name:?} has spaces at its ends or characters that are not printable ASCII"
        )
    })
}
