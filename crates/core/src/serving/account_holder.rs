//! An entry's side of account limits: what it may spend, whom it asks, and what it does without an answer.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use kumquatkeel_types::Timestamp;

use super::account::{AccountLimit, CostUnit};
use super::account_issuer::{AccountAsk, AccountDecision, RECENT_PARTS, recent_span};
use super::holders::AccountHosts;

/// How long an issuer that did not reply is not asked again.
const SILENCE_TTL: Duration = Duration::from_secs(1);
/// Time for which one request tries an issuer that has been silent, while others don't.
const TRIAL_TIME: Duration = Duration::from_millis(250);
/// Share of the slack that all entries together may hold as prepaid balances.
const PREPAID_SHARE: f64 = 0.4;
/// Share of the slack that all entries together may spend in a window without an issuer.
const ALONE_SHARE: f64 = 0.4;
/// Number of entries that is assumed until agents have reported it; the largest that is expected.
const ASSUMED_ENTRIES: usize = 1_000;
/// Time from the first report of the number of entries until it is relied upon: agents that have just
/// started don't know all entries.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time for which the highest reported number of entries holds, at least. During a partition an agent knows
/// fewer.
const ENTRIES_TTL: Duration = Duration::from_mins(5);
/// Age up to which a payment that isn't needed is given back to its issuer. A later one would add to a
/// bucket that has refilled since.
const REFUND_TTL: Duration = Duration::from_secs(1);
/// Time for which a reply is waited for that comes after its time-out, to give back what it grants.
const PENDING_TTL: Duration = Duration::from_secs(2);
/// Longest time for which a denial is applied to further requests without asking.
const MAX_DENIAL_TIME: Duration = Duration::from_secs(1);
/// Most by which the retry times of early denials go beyond that of the issuer's denial.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(2);
/// Time without a request after which an account's state is dropped.
const IDLE_TTL: Duration = Duration::from_mins(10);

/// What may be spent beyond the limits of accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountBounds {
    /// The sliding window in which an account's limit is checked.
    window: Duration,
    /// Part of the limit that may be spent on top of it.
    overage: f64,
    /// Tokens that may be spent on top of the limit, per account.
    slack: f64,
}

/// A bound that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
pub enum InvalidBound {
    /// The window is zero.
    #[display("the window is zero")]
    Window,
    /// The overage is negative or not finite.
    #[display("{_0} is negative or not finite")]
    Overage(#[error(not(source))] f64),
    /// The slack is negative or not finite.
    #[display("{_0} is negative or not finite")]
    Slack(#[error(not(source))] f64),
}

impl Default for AccountBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl AccountBounds {
    /// Checks bounds.
    ///
    /// # Errors
    ///
    /// Returns an error if the window is zero, or the overage or the slack negative or not finite.
    pub fn checked(window: Duration, overage: f64, slack: f64) -> Result<Self, InvalidBound> {
        if window.is_zero() {
            return Err(InvalidBound::Window);
        }
        let is_invalid = |value: f64| !value.is_finite() || value < 0.0;
        if is_invalid(overage) {
            return Err(InvalidBound::Overage(overage));
        }
        if is_invalid(slack) {
            return Err(InvalidBound::Slack(slack));
        }
        Ok(Self {
            window,
            overage,
            slack,
        })
    }

    /// Returns what an account may spend in a window beyond its limit.
    pub fn slack(&self, limit: &AccountLimit) -> f64 {
        let spent = limit.rate * self.window.as_secs_f64() + limit.burst;
        let tokens = match limit.unit {
            CostUnit::Tokens { .. } => self.slack,
            // The slack is a number of tokens.
            CostUnit::Requests => 0.0,
        };
        spent * self.overage + tokens
    }

    fn part(&self, limit: &AccountLimit, share: f64, entries: usize) -> u64 {
        (self.slack(limit) * share / entries.max(1) as f64) as u64
    }
}

/// The number of entries that share the slack, as agents report it.
#[derive(Debug, Clone, Copy, Default)]
struct EntryCount {
    first: Option<Timestamp>,
    /// When `current` began.
    since: Timestamp,
    current: usize,
    previous: usize,
}

impl EntryCount {
    fn record(&mut self, entries: usize, now: Timestamp) {
        self.first.get_or_insert(now);
        if now.since(self.since) > ENTRIES_TTL {
            (self.previous, self.current, self.since) = (self.current, 0, now);
        }
        self.current = self.current.max(entries);
    }

    fn at_most(&self, now: Timestamp) -> usize {
        let highest = self.current.max(self.previous);
        match self.first {
            Some(first) if now.since(first) >= SETTLING_TIME => highest,
            _ => highest.max(ASSUMED_ENTRIES),
        }
    }
}

/// A request that is to be paid for.
#[derive(Debug, Clone, Copy)]
pub struct Purchase<'a> {
    /// The account that pays, by its name in the configuration.
    pub account: &'a Arc<str>,
    /// The account's limit by the entry's configuration.
    pub limit: &'a AccountLimit,
    /// The version of the configuration that the limit comes from.
    pub version: u64,
    /// What the request takes from the account, in the unit of its limit.
    pub cost: u64,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// How long the request may wait.
    pub patience: Duration,
}

/// Where a payment came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaymentSource {
    /// A grant of the agent on this host.
    Issuer(IpAddr),
    /// The prepaid balance.
    Balance,
    /// The entry's part of the slack, as no issuer replied.
    Alone,
}

/// What was paid for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payment {
    /// The account that paid, by its name in the configuration.
    pub account: Arc<str>,
    /// Where a refund goes to.
    pub source: PaymentSource,
    /// What was taken from the account, in the unit of its limit.
    pub cost: u64,
    /// When the grant arrived or the entry paid; a refund to an issuer is possible for a second from then.
    pub paid: Timestamp,
}

/// Why a request of an account is refused, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountDenial {
    /// Time after which the caller should come back.
    pub retry_after: Duration,
    /// The level of the account's bucket when the issuer denied, in the unit of its limit.
    pub level: f64,
    /// The rate at which the bucket refills, in units per second.
    pub rate: f64,
}

/// A request to the agent on a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Inquiry {
    /// The host of the agent that is asked.
    pub host: IpAddr,
    /// The number of the request, which the reply names.
    pub number: u64,
    /// The host that is told when the reply of the account's issuer is late; `None` if another is asked.
    pub standby: Option<IpAddr>,
    /// What the agent is told of the request, the limit and the entry's payments.
    pub ask: AccountAsk,
}

/// What an entry does with a request that is to be paid for.
#[derive(Debug, Clone, PartialEq)]
pub enum PurchaseStep {
    /// It is paid.
    Paid(Payment),
    /// The account is over its limit.
    Denied(AccountDenial),
    /// No issuer replies, and the entry may not spend as much alone.
    Unserved,
    /// An agent is asked.
    Ask(Box<Inquiry>),
}

/// What a reply means for the request that waits for it.
#[derive(Debug, Clone, PartialEq)]
pub enum PurchaseReply {
    /// It is paid and may be sent after this time.
    Granted(Payment, Duration),
    /// The account is over its limit.
    Denied(AccountDenial),
    /// It asks again after this time.
    AskAgain(Duration),
    /// It asks the agent on another host.
    Redirect(IpAddr),
}

#[derive(Debug, Clone, Copy)]
struct KnownDenial {
    version: u64,
    cost: u64,
    priority: u8,
    until: Timestamp,
    /// The retry time of the issuer's denial.
    first_retry: Timestamp,
    /// The last retry time that was given out.
    retry_at: Timestamp,
    denial: AccountDenial,
}

impl KnownDenial {
    /// Returns the next retry time. This entry's callers return at its share of the account's rate.
    fn next_retry(&mut self, cost: u64, entries: usize) -> Timestamp {
        let share = self.denial.rate / entries.max(1) as f64;
        let turn = Duration::try_from_secs_f64(cost as f64 / share).unwrap_or(MAX_RETRY_SPREAD);
        let next = self.retry_at.after(turn.min(MAX_RETRY_SPREAD));
        self.retry_at = next.min(self.first_retry.after(MAX_RETRY_SPREAD));
        self.retry_at
    }
}

/// What was paid to one issuer's host.
#[derive(Debug, Clone, Copy, Default)]
struct Paid {
    total: u64,
    refunded: u64,
    /// What the issuer has not been told of yet, and since when.
    refund: (u64, Timestamp),
    /// When it last paid or was asked.
    used: Timestamp,
}

/// What an entry knows of one account.
#[derive(Debug, Clone, Default)]
struct Holding {
    balance: u64,
    /// The most that the balance may be.
    most: u64,
    /// What was paid from grants or alone.
    spent: u64,
    by_host: HashMap<IpAddr, Paid>,
    /// Recent payments with their issuer; `None` for those alone.
    recent: VecDeque<(Timestamp, Option<IpAddr>, u64)>,
    /// Payments without an issuer within the last window.
    alone: VecDeque<(Timestamp, u64)>,
    denial: Option<KnownDenial>,
    used: Timestamp,
}

impl Holding {
    fn record_paid(&mut self, host: Option<IpAddr>, amount: u64, now: Timestamp) {
        self.spent += amount;
        if let Some(host) = host {
            let paid = self.by_host.entry(host).or_default();
            paid.total += amount;
            paid.used = now;
        }
        self.recent.push_back((now, host, amount));
    }

    fn pay_from_balance(&mut self, cost: u64) -> bool {
        let pays = cost <= self.balance;
        if pays {
            self.balance -= cost;
        }
        pays
    }

    fn pay_alone(&mut self, cost: u64, most: u64, window: Duration, now: Timestamp) -> bool {
        while (self.alone.front()).is_some_and(|(at, _)| now.since(*at) > window) {
            self.alone.pop_front();
        }
        let spent: u64 = self.alone.iter().map(|(_, cost)| cost).sum();
        let pays = spent.saturating_add(cost) <= most;
        if pays {
            self.alone.push_back((now, cost));
            self.record_paid(None, cost, now);
        }
        pays
    }

    fn ask(&mut self, host: IpAddr, purchase: &Purchase<'_>, now: Timestamp) -> AccountAsk {
        let limit = purchase.limit;
        let span = recent_span(limit.rate, limit.burst);
        while (self.recent.front()).is_some_and(|(at, _, _)| now.since(*at) > span) {
            self.recent.pop_front();
        }
        let mut recent = [0; RECENT_PARTS];
        for (at, _, amount) in self.recent.iter().filter(|(_, h, _)| *h != Some(host)) {
            let part = now.since(*at).as_micros() * RECENT_PARTS as u128 / span.as_micros().max(1);
            recent[(part as usize).min(RECENT_PARTS - 1)] += amount;
        }
        let paid = self.by_host.entry(host).or_default();
        paid.used = now;
        let (refund, since) = std::mem::take(&mut paid.refund);
        if now.since(since) <= REFUND_TTL {
            paid.refunded += refund;
        }
        AccountAsk {
            account: purchase.account.clone(),
            version: purchase.version,
            rate: limit.rate,
            burst: limit.burst,
            cost: purchase.cost,
            priority: purchase.priority,
            patience_ms: purchase.patience.as_millis().min(u128::from(u32::MAX)) as u32,
            top_up: self.most.saturating_sub(self.balance),
            elsewhere: self.spent.saturating_sub(paid.total),
            recent,
            refunded: paid.refunded,
        }
    }

    fn known_denial(
        &mut self,
        purchase: &Purchase<'_>,
        entries: usize,
        now: Timestamp,
    ) -> Option<AccountDenial> {
        // What the balance can pay is not refused.
        let balance = self.balance;
        let known = self.denial.as_mut().filter(|known| {
            // It may be granted with a delay otherwise.
            now.after(purchase.patience) < known.until
                && purchase.version == known.version
                && purchase.cost >= known.cost
                && purchase.priority >= known.priority
                && purchase.cost > balance
        })?;
        Some(AccountDenial {
            retry_after: known.next_retry(purchase.cost, entries).since(now),
            ..known.denial
        })
    }
}

/// Whether an agent has replied lately.
#[derive(Debug, Clone, Copy)]
struct Silence {
    last: Timestamp,
    until: Timestamp,
}

/// A request to an agent without a reply so far.
#[derive(Debug, Clone)]
struct Pending {
    host: IpAddr,
    account: Arc<str>,
    version: u64,
    cost: u64,
    priority: u8,
    asked: Timestamp,
}

/// Decides how an entry pays for the requests of accounts with a limit.
#[derive(Debug, Clone)]
pub struct AccountHolder {
    bounds: AccountBounds,
    entries: EntryCount,
    holdings: HashMap<Arc<str>, Holding>,
    silent: HashMap<IpAddr, Silence>,
    pending: HashMap<u64, Pending>,
    next_number: u64,
    last_pruned: Timestamp,
}

impl AccountHolder {
    /// Creates a holder; numbers of requests begin after `number`.
    pub fn new(bounds: AccountBounds, number: u64) -> Self {
        Self {
            bounds,
            entries: EntryCount::default(),
            holdings: HashMap::new(),
            silent: HashMap::new(),
            pending: HashMap::new(),
            next_number: number,
            last_pruned: Timestamp::ZERO,
        }
    }

    /// Records the number of entries, as an agent reports it.
    pub fn record_entries(&mut self, entries: usize, now: Timestamp) {
        self.entries.record(entries, now);
    }

    /// Returns the denial that holds for a request, if the entry knows one.
    /// The retry times of successive denials are spread.
    pub fn known_denial(
        &mut self,
        purchase: &Purchase<'_>,
        now: Timestamp,
    ) -> Option<AccountDenial> {
        let entries = self.entries.at_most(now);
        let holding = self.holdings.get_mut(purchase.account)?;
        holding.known_denial(purchase, entries, now)
    }

    /// Decides how a request is paid for. `redirect` is the host that an agent has named.
    pub fn purchase(
        &mut self,
        purchase: &Purchase<'_>,
        hosts: Option<AccountHosts>,
        redirect: Option<IpAddr>,
        now: Timestamp,
    ) -> PurchaseStep {
        let entries = self.entries.at_most(now);
        let (limit, cost) = (purchase.limit, purchase.cost);
        let most = self.bounds.part(limit, PREPAID_SHARE, entries);
        let alone = self.bounds.part(limit, ALONE_SHARE, entries);
        let holding = self.holdings.entry(purchase.account.clone()).or_default();
        holding.used = now;
        holding.most = most;
        holding.balance = holding.balance.min(most);
        let paid = |source| {
            PurchaseStep::Paid(Payment {
                account: purchase.account.clone(),
                source,
                cost,
                paid: now,
            })
        };
        if let Some(denial) = holding.known_denial(purchase, entries, now) {
            return PurchaseStep::Denied(denial);
        }
        if holding.pay_from_balance(cost) {
            return paid(PaymentSource::Balance);
        }
        let candidates = [
            redirect,
            hosts.map(|hosts| hosts.issuer),
            hosts.and_then(|hosts| hosts.standby),
        ];
        let mut asked = candidates.into_iter().flatten();
        let host = asked.find(|host| begin_request(&mut self.silent, *host, now));
        let Some(host) = host else {
            return if holding.pay_alone(cost, alone, self.bounds.window, now) {
                paid(PaymentSource::Alone)
            } else {
                PurchaseStep::Unserved
            };
        };
        let standby = hosts.filter(|hosts| hosts.issuer == host);
        self.next_number = self.next_number.wrapping_add(1);
        let pending = Pending {
            host,
            account: purchase.account.clone(),
            version: purchase.version,
            cost,
            priority: purchase.priority,
            asked: now,
        };
        self.pending.insert(self.next_number, pending);
        PurchaseStep::Ask(Box::new(Inquiry {
            host,
            number: self.next_number,
            standby: standby.and_then(|hosts| hosts.standby),
            ask: holding.ask(host, purchase, now),
        }))
    }

    /// Records a reply, which may come after its time-out; `None` if none is expected.
    pub fn record_reply(
        &mut self,
        number: u64,
        decision: AccountDecision,
        now: Timestamp,
    ) -> Option<PurchaseReply> {
        let pending = self.pending.remove(&number)?;
        self.silent.remove(&pending.host);
        let millis = |ms| Duration::from_millis(u64::from(ms));
        let holding = self.holdings.entry(pending.account.clone()).or_default();
        Some(match decision {
            AccountDecision::Granted { delay_ms, top_up } => {
                holding.denial = None;
                let amount = pending.cost.saturating_add(top_up);
                holding.record_paid(Some(pending.host), amount, now);
                holding.balance = holding.balance.saturating_add(top_up).min(holding.most);
                let payment = Payment {
                    account: pending.account,
                    source: PaymentSource::Issuer(pending.host),
                    cost: pending.cost,
                    paid: now,
                };
                PurchaseReply::Granted(payment, millis(delay_ms))
            }
            AccountDecision::Denied {
                retry_ms,
                closed_ms,
                level,
                rate,
            } => {
                let denial = AccountDenial {
                    retry_after: millis(retry_ms),
                    level,
                    rate,
                };
                holding.denial = Some(KnownDenial {
                    version: pending.version,
                    cost: pending.cost,
                    priority: pending.priority,
                    until: now.after(millis(closed_ms).min(MAX_DENIAL_TIME)),
                    first_retry: now.after(denial.retry_after),
                    retry_at: now.after(denial.retry_after),
                    denial,
                });
                PurchaseReply::Denied(denial)
            }
            AccountDecision::AskAgain { after_ms } => PurchaseReply::AskAgain(millis(after_ms)),
            AccountDecision::Redirect { host } => {
                if let Some(silence) = self.silent.get_mut(&host)
                    && now.since(silence.last) >= TRIAL_TIME
                {
                    silence.until = now;
                }
                PurchaseReply::Redirect(host)
            }
        })
    }

    /// Records that an agent has not replied in time.
    pub fn record_silence(&mut self, number: u64, now: Timestamp) {
        if let Some(pending) = self.pending.get(&number) {
            let silence = Silence {
                last: now,
                until: now.after(SILENCE_TTL),
            };
            self.silent.insert(pending.host, silence);
        }
    }

    /// Gives back what was paid for a request that was not sent: to the balance, and the rest to the
    /// issuer.
    pub fn refund(&mut self, payment: &Payment, now: Timestamp) {
        let Some(holding) = self.holdings.get_mut(&payment.account) else {
            return;
        };
        let cost = payment.cost;
        if payment.source == PaymentSource::Alone {
            let paid = (payment.paid, cost);
            if let Some(index) = holding.alone.iter().position(|alone| *alone == paid) {
                holding.alone.remove(index);
            }
            let recent = (payment.paid, None, cost);
            if let Some(index) = holding.recent.iter().position(|paid| *paid == recent) {
                holding.recent.remove(index);
            }
            if now.since(payment.paid) <= REFUND_TTL {
                holding.spent = holding.spent.saturating_sub(cost);
            }
            return;
        }
        let kept = cost.min(holding.most.saturating_sub(holding.balance));
        holding.balance += kept;
        if let PaymentSource::Issuer(host) = payment.source
            && now.since(payment.paid) <= REFUND_TTL
        {
            let paid = holding.by_host.entry(host).or_default();
            paid.used = now;
            let refund = &mut paid.refund;
            let former = if now.since(refund.1) <= REFUND_TTL {
                refund.0
            } else {
                0
            };
            *refund = (former + cost - kept, payment.paid);
        }
    }

    /// Drops what is no longer needed.
    pub fn prune(&mut self, now: Timestamp) {
        if now.since(self.last_pruned) < PENDING_TTL {
            return;
        }
        self.last_pruned = now;
        self.pending
            .retain(|_, pending| now.since(pending.asked) <= PENDING_TTL);
        self.silent
            .retain(|_, silence| now.since(silence.until) <= SILENCE_TTL);
        self.holdings
            .retain(|_, holding| now.since(holding.used) <= IDLE_TTL);
        // An issuer forgets an entry's totals much earlier, so that they may start anew.
        for holding in self.holdings.values_mut() {
            holding
                .by_host
                .retain(|_, paid| now.since(paid.used) <= IDLE_TTL);
        }
    }
}

/// Returns whether an agent may be asked. One that has been silent is tried by one request at a time.
fn begin_request(silent: &mut HashMap<IpAddr, Silence>, host: IpAddr, now: Timestamp) -> bool {
    let Some(silence) = silent.get_mut(&host) else {
        return true;
    };
    if now < silence.until {
        return false;
    }
    silence.until = now.after(TRIAL_TIME);
    true
}
