//! The issuing side of account limits: one agent decides on what an account spends at all entries.
//!
//! An account's issuer is the agent that ranks first for it. If it is silent, a standby issuer in each
//! region grants the region's share of the limit.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::account::AccountLimit;
use super::token_bucket::{TokenBucket, whole_millis};

/// Share of the capacity that each step of priority leaves to the requests before it.
const RESERVE_SHARE: f64 = 0.1;
/// Steps of priority above which the reserve no longer grows.
const MAX_RESERVE_STEPS: u8 = 2;
/// Most by which the queue of retry times goes beyond the time at which there is capacity.
const MAX_RETRY_QUEUE: Duration = Duration::from_secs(2);
/// Time at the full rate that a standby issuer lets pass before its first grant. The issuer that it
/// replaces may go on for as long until it notices that it is cut off from the region.
const STANDBY_DEBT: Duration = Duration::from_secs(1);
/// Time between two calls above which the process was stopped. An agent calls every 100 ms.
const MAX_GAP: Duration = Duration::from_millis(400);
/// Time for which refill that was withheld may be spent at other issuers.
const CREDIT_TTL: Duration = Duration::from_secs(8);
/// Most debt for what was spent elsewhere, in seconds at the full rate.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Time without a request of an entry after which its running totals start anew.
const TOTALS_TTL: Duration = Duration::from_secs(3);
/// Time for which an answer is repeated if its request comes again.
const ANSWER_TTL: Duration = Duration::from_secs(1);
/// Time after a change of the hosts for which entries may still ask the previous issuer.
const HOST_CHANGE_TIME: Duration = Duration::from_secs(4);
/// Time without a request after which the ledger of an account without a limit is dropped.
const LEDGER_TTL: Duration = Duration::from_mins(1);
/// Time after which probing starts anew if nobody has asked for the peer in between.
const PROBE_RESTART: Duration = Duration::from_millis(500);

/// An entry's request to spend on behalf of an account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountAsk {
    /// The account that pays, by its name in the configuration.
    pub account: Arc<str>,
    /// The version of the configuration that the limit comes from.
    pub version: u64,
    /// What the account may spend a second by the entry's configuration, in the unit of its limit.
    pub rate: f64,
    /// What the account may spend at once after an idle time, in the same unit.
    pub burst: f64,
    /// What the caller's request takes from the account, in the same unit.
    pub cost: u64,
    /// The priority of the caller's request; 0 is the most urgent.
    pub priority: u8,
    /// How long the caller's request may wait, in milliseconds.
    pub patience_ms: u32,
    /// What the entry's prepaid balance lacks.
    pub top_up: u64,
    /// What the entry has spent under other issuers or alone since it started.
    pub elsewhere: u64,
    /// The part of `elsewhere` within the time in which a burst refills, by quarters of it, the last first.
    pub recent: [u64; RECENT_PARTS],
    /// What the entry has paid to this issuer's host since it started and doesn't need.
    pub refunded: u64,
}

/// An agent's answer to an [`AccountAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountDecision {
    /// The cost has been deducted.
    Granted {
        /// Time after which the request may be sent, in milliseconds.
        delay_ms: u32,
        /// Addition to the entry's prepaid balance.
        top_up: u64,
    },
    /// The account is over its limit.
    Denied {
        /// Time after which the caller should come back, in milliseconds.
        retry_ms: u32,
        /// Time until a request of this cost and priority can be granted, in milliseconds.
        closed_ms: u32,
        /// The level of the account's bucket, in the unit of its limit; below zero while it is in debt.
        level: f64,
        /// The rate at which the bucket refills, in units per second.
        rate: f64,
    },
    /// It isn't clear yet whether this agent is in charge.
    AskAgain {
        /// Time after which to ask again, in milliseconds.
        after_ms: u32,
    },
    /// Another agent is in charge.
    Redirect {
        /// The host of the agent that is to be asked instead.
        host: IpAddr,
    },
}

/// In what capacity an agent issues for an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum IssuerRole {
    /// It ranks first.
    Issuer {
        /// Share of the limit that it may grant: that of the regions that it hears from.
        share: f64,
    },
    /// It replaces an issuer that is silent.
    Standby {
        /// Since when the issuer is silent.
        since: Timestamp,
        /// Share of the limit that its region may spend.
        share: f64,
    },
}

/// Whether a peer is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// It has been heard just now.
    Heard,
    /// A probe is on its way.
    Unclear {
        /// Time until it is clear.
        left: Duration,
    },
    /// It has not answered.
    Silent {
        /// Since when it is certain to be silent.
        since: Timestamp,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct WatchedPeer {
    heard: Option<Timestamp>,
    /// Time between the last two times that it was heard.
    gap: Option<Duration>,
    /// The first probe since the peer was last heard.
    probed: Option<Timestamp>,
    last_probe: Timestamp,
}

/// Finds out whether peers are alive, by what is heard from them and by probes.
#[derive(Debug, Clone)]
pub struct PeerWatch<K> {
    silence: Duration,
    probe_timeout: Duration,
    peers: HashMap<K, WatchedPeer>,
}

impl<K: Eq + Hash + Clone> PeerWatch<K> {
    /// Creates a watch for which a peer is silent that hasn't been heard for `silence` and hasn't answered
    /// a probe for `probe_timeout`.
    pub fn new(silence: Duration, probe_timeout: Duration) -> Self {
        Self {
            silence,
            probe_timeout,
            peers: HashMap::new(),
        }
    }

    /// Records that a peer was heard.
    pub fn record_heard(&mut self, peer: &K, now: Timestamp) {
        let Some(peer) = self.peers.get_mut(peer) else {
            let heard = Some(now);
            let peer_state = WatchedPeer {
                heard,
                ..WatchedPeer::default()
            };
            self.peers.insert(peer.clone(), peer_state);
            return;
        };
        peer.gap = peer.heard.map(|at| now.since(at));
        (peer.heard, peer.probed) = (Some(now), None);
    }

    /// Drops the peers for which `is_needed` returns `false`.
    pub fn retain(&mut self, mut is_needed: impl FnMut(&K) -> bool) {
        self.peers.retain(|peer, _| is_needed(peer));
    }

    /// Returns whether a peer is heard, and whether a probe must be sent to it now.
    pub fn check(&mut self, peer: &K, now: Timestamp) -> (PeerStatus, bool) {
        let (silence, timeout) = (self.silence, self.probe_timeout);
        let peer = self.peers.entry(peer.clone()).or_default();
        let heard_for = peer.heard.map(|at| now.since(at));
        if heard_for.is_some_and(|time| time < timeout) {
            return (PeerStatus::Heard, false);
        }
        if now.since(peer.last_probe) > PROBE_RESTART {
            peer.probed = None;
        }
        let first = *peer.probed.get_or_insert(now);
        let probes = first == now || now.since(peer.last_probe) >= timeout / 3;
        if probes {
            peer.last_probe = now;
        }
        let unanswered = timeout.saturating_sub(now.since(first));
        let unheard = heard_for.map_or(Duration::ZERO, |time| silence.saturating_sub(time));
        let left = unanswered.max(unheard);
        let status = if left.is_zero() {
            // A peer that is heard regularly has been silent since it was last due.
            let regular = peer
                .heard
                .filter(|_| peer.gap.is_some_and(|gap| gap <= silence));
            let due = regular.map_or(first, |at| at.after(silence));
            PeerStatus::Silent {
                since: first.min(due),
            }
        } else {
            PeerStatus::Unclear { left }
        };
        (status, probes)
    }
}

/// Number of parts in which an entry states what it has recently spent elsewhere.
pub(super) const RECENT_PARTS: usize = 4;

/// Returns the time for which an entry states what it has recently spent elsewhere: that in which a burst
/// refills.
pub(super) fn recent_span(rate: f64, burst: f64) -> Duration {
    Duration::try_from_secs_f64((burst / rate).clamp(1.0, 8.0)).unwrap_or(Duration::from_secs(1))
}

/// The running totals of an entry.
#[derive(Debug, Clone, Copy)]
struct Totals {
    elsewhere: u64,
    refunded: u64,
    at: Timestamp,
}

/// What an agent has issued for one account.
#[derive(Debug, Clone)]
struct Ledger {
    version: u64,
    rate: f64,
    burst: f64,
    share: f64,
    bucket: TokenBucket,
    /// When the bucket began to fill.
    started: Timestamp,
    /// Since when the issuer that this agent replaces is silent; `None` while this agent is the issuer.
    standby_since: Option<Timestamp>,
    /// Refill that was withheld while others may have granted it.
    credit: f64,
    withheld: Timestamp,
    /// How long the process had been stopped at the last refill.
    stopped: Duration,
    totals: HashMap<u64, Totals>,
    /// The next time that is given out for a retry.
    next_retry: Timestamp,
    last_asked: Timestamp,
}

impl Ledger {
    fn new(limit: (u64, f64, f64), started: Timestamp, stopped: Duration, now: Timestamp) -> Self {
        let (version, rate, burst) = limit;
        Self {
            version,
            rate,
            burst,
            share: 1.0,
            bucket: TokenBucket::new(rate, burst, 0.0, started),
            started,
            standby_since: None,
            credit: 0.0,
            withheld: now,
            stopped,
            totals: HashMap::new(),
            next_retry: now,
            last_asked: now,
        }
    }

    fn refill(&mut self, stopped: Duration, now: Timestamp) {
        let before = self.bucket;
        let skipped = stopped.saturating_sub(self.stopped);
        self.stopped = stopped;
        self.bucket.skip(skipped);
        let elapsed = self.bucket.elapsed(now).as_secs_f64();
        self.bucket.refill(now);
        let withheld =
            skipped.as_secs_f64() * self.rate + elapsed * (self.rate - before.rate()).max(0.0);
        if withheld > 0.0 {
            self.withheld = now;
        } else if now.since(self.withheld) > CREDIT_TTL {
            self.credit = 0.0;
        }
        let most = self.rate * CREDIT_TTL.as_secs_f64();
        self.credit = (self.credit + withheld).min(most);
    }

    fn set_limit(&mut self, version: u64, rate: f64, burst: f64, now: Timestamp) {
        (self.version, self.rate, self.burst) = (version, rate, burst);
        self.apply_limit(now);
    }

    fn apply_limit(&mut self, now: Timestamp) {
        let (rate, capacity) = (self.rate * self.share, self.burst * self.share);
        self.bucket.set_limit(rate, capacity, now);
    }

    fn set_role(&mut self, role: IssuerRole, now: Timestamp) {
        let (share, since) = match role {
            IssuerRole::Issuer { share } => (share, None),
            IssuerRole::Standby { since, share } => (share, Some(since)),
        };
        self.share = share;
        if since.is_some() && since != self.standby_since {
            let (rate, capacity) = (self.rate * share, self.burst * share);
            let debt = rate * STANDBY_DEBT.as_secs_f64();
            self.started = since.unwrap_or(now);
            let mut bucket = TokenBucket::new(rate, capacity, -debt, self.started);
            bucket.refill(now);
            if self.standby_since.is_some() {
                // The time from which a silence counts may change during it, as entries' reports of it expire;
                // what has been granted since it began stays deducted.
                bucket.take((bucket.level() - self.bucket.level()).max(0.0));
            }
            self.bucket = bucket;
            self.totals.clear();
            self.credit = 0.0;
        }
        let idle = now.since(self.last_asked);
        if since.is_none() && self.standby_since.is_some() && idle > STANDBY_DEBT {
            // Another issuer has granted since this agent was a standby issuer.
            let (rate, capacity) = (self.rate * share, self.burst * share);
            self.started = now;
            self.bucket = TokenBucket::new(rate, capacity, 0.0, now);
        }
        self.standby_since = since;
        self.last_asked = now;
        self.apply_limit(now);
    }

    /// Deducts what an entry has spent elsewhere and not yet stated, and adds what it gives back.
    fn settle(&mut self, sender: u64, ask: &AccountAsk, now: Timestamp) {
        let known = self.totals.get(&sender).copied();
        let totals = Totals {
            elsewhere: ask.elsewhere,
            refunded: ask.refunded,
            at: now,
        };
        let (spent, refunded) = match known {
            Some(known) if now.since(known.at) <= TOTALS_TTL => {
                // Datagrams may come out of order.
                let newest = Totals {
                    elsewhere: totals.elsewhere.max(known.elsewhere),
                    refunded: totals.refunded.max(known.refunded),
                    at: now,
                };
                self.totals.insert(sender, newest);
                let spent = newest.elsewhere - known.elsewhere;
                (spent as f64, newest.refunded - known.refunded)
            }
            _ => {
                self.totals.insert(sender, totals);
                // What was spent before this bucket began to fill is not missing from it.
                let span = recent_span(self.rate, self.burst).as_secs_f64();
                let age = now.since(self.started).as_secs_f64();
                let part = span / RECENT_PARTS as f64;
                let within = |index: usize| (age / part - index as f64).clamp(0.0, 1.0);
                let recent = ask.recent.iter().enumerate();
                (recent.map(|(i, spent)| *spent as f64 * within(i)).sum(), 0)
            }
        };
        let credited = spent.min(self.credit);
        self.credit -= credited;
        let lowest = self.bucket.level().min(-self.rate * MAX_DEBT_SECONDS);
        let deducted = (spent - credited).min(self.bucket.level() - lowest);
        self.bucket.take(deducted);
        self.bucket.give(refunded as f64);
    }

    fn decide(&mut self, ask: &AccountAsk, now: Timestamp) -> AccountDecision {
        let (cost, capacity) = (ask.cost as f64, self.bucket.capacity());
        let steps = f64::from(ask.priority.min(MAX_RESERVE_STEPS));
        let needed = (cost + steps * RESERVE_SHARE * capacity).min(capacity);
        let wait = self.bucket.wait_for(needed);
        if wait <= Duration::from_millis(u64::from(ask.patience_ms)) {
            self.bucket.take(cost);
            let spare = (self.bucket.level() - capacity / 2.0).max(0.0) as u64;
            let top_up = ask.top_up.min(spare);
            self.bucket.take(top_up as f64);
            return AccountDecision::Granted {
                delay_ms: whole_millis(wait),
                top_up,
            };
        }
        let free = now.after(wait);
        let retry = self.next_retry.max(free).min(free.after(MAX_RETRY_QUEUE));
        let turn = Duration::try_from_secs_f64(cost / self.bucket.rate());
        self.next_retry = retry.after(turn.unwrap_or(MAX_RETRY_QUEUE));
        AccountDecision::Denied {
            retry_ms: whole_millis(retry.since(now)),
            closed_ms: whole_millis(wait),
            level: self.bucket.level(),
            rate: self.bucket.rate(),
        }
    }
}

/// The limit of an account in the agent's own configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnLimit {
    /// The version of the configuration.
    pub version: u64,
    /// The limit; `None` if the account has none or doesn't exist.
    pub limit: Option<AccountLimit>,
}

/// Issues what accounts spend.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::serving::{AccountAsk, AccountDecision, AccountIssuer, IssuerRole};
/// use kumquatkeel_types::Timestamp;
///
/// let ask = AccountAsk {
///     account: "north".into(),
///     version: 1,
///     rate: 100.0,
///     burst: 100.0,
///     cost: 50,
///     priority: 0,
///     patience_ms: 0,
///     top_up: 0,
///     elsewhere: 0,
///     recent: [0; 4],
///     refunded: 0,
/// };
/// let mut issuer = AccountIssuer::new(Timestamp::ZERO);
/// let mut answer = |number, ms| {
///     let role = IssuerRole::Issuer { share: 1.0 };
///     issuer.answer((1, number), &ask, role, None, Timestamp::from_millis(ms))
/// };
/// assert!(matches!(answer(1, 0), AccountDecision::Denied { retry_ms: 500, .. }));
/// assert!(matches!(answer(2, 350), AccountDecision::Denied { .. }));
/// assert!(matches!(answer(3, 500), AccountDecision::Granted { delay_ms: 0, .. }));
/// ```
#[derive(Debug, Clone)]
pub struct AccountIssuer {
    ledgers: HashMap<Arc<str>, Ledger>,
    /// The last answers, by entry and number.
    answers: HashMap<(u64, u64), (Timestamp, AccountDecision)>,
    /// When the hosts of agents last changed.
    hosts_changed: Timestamp,
    last_call: Timestamp,
    last_pruned: Timestamp,
    /// How long the process has been stopped since it started.
    stopped: Duration,
}

impl AccountIssuer {
    /// Creates an issuer that doesn't know what its predecessors have granted.
    pub fn new(now: Timestamp) -> Self {
        Self {
            ledgers: HashMap::new(),
            answers: HashMap::new(),
            hosts_changed: now,
            last_call: now,
            last_pruned: now,
            stopped: Duration::ZERO,
        }
    }

    /// Notes that time passes, at least every 100 ms; a longer gap means that the process was stopped, and
    /// buckets don't refill for it.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = now.since(self.last_call);
        if gap > MAX_GAP {
            self.stopped += gap;
        }
        self.last_call = self.last_call.max(now);
        if now.since(self.last_pruned) < ANSWER_TTL {
            return;
        }
        self.last_pruned = now;
        self.answers
            .retain(|_, (at, _)| now.since(*at) <= ANSWER_TTL);
        for ledger in self.ledgers.values_mut() {
            ledger
                .totals
                .retain(|_, totals| now.since(totals.at) <= TOTALS_TTL);
        }
    }

    /// Answers request `id`, the number of the entry's start and of the request; a request that comes again
    /// gets the same answer.
    pub fn answer(
        &mut self,
        id: (u64, u64),
        ask: &AccountAsk,
        role: IssuerRole,
        own: Option<OwnLimit>,
        now: Timestamp,
    ) -> AccountDecision {
        self.tick(now);
        if let Some((at, decision)) = self.answers.get(&id)
            && now.since(*at) <= ANSWER_TTL
        {
            return *decision;
        }
        let decision = self.decide(id.0, ask, role, own, now);
        self.answers.insert(id, (now, decision));
        decision
    }

    fn decide(
        &mut self,
        sender: u64,
        ask: &AccountAsk,
        role: IssuerRole,
        own: Option<OwnLimit>,
        now: Timestamp,
    ) -> AccountDecision {
        let unlimited = AccountDecision::Granted {
            delay_ms: 0,
            top_up: 0,
        };
        let own = own.filter(|own| own.version >= ask.version);
        let limit = match own {
            None if ask.rate > 0.0 && ask.rate.is_finite() && ask.burst >= 0.0 => {
                (ask.version, ask.rate, ask.burst)
            }
            None | Some(OwnLimit { limit: None, .. }) => return unlimited,
            Some(OwnLimit {
                version,
                limit: Some(limit),
            }) => (version, limit.rate, limit.burst),
        };
        let ledger = if let Some(ledger) = self.ledgers.get_mut(&ask.account) {
            ledger
        } else {
            // No other host has ranked first since the entries know these hosts.
            let started = self.hosts_changed.after(HOST_CHANGE_TIME).min(now);
            let ledger = Ledger::new(limit, started, self.stopped, now);
            self.ledgers.entry(ask.account.clone()).or_insert(ledger)
        };
        ledger.refill(self.stopped, now);
        if limit.0 > ledger.version {
            ledger.set_limit(limit.0, limit.1, limit.2, now);
        }
        ledger.set_role(role, now);
        ledger.settle(sender, ask, now);
        ledger.decide(ask, now)
    }

    /// Notes that the hosts of agents have changed; ranks the accounts anew and drops what was issued for
    /// those that others now issue for.
    pub fn change_hosts(&mut self, mut is_issuer: impl FnMut(&Arc<str>) -> bool, now: Timestamp) {
        self.hosts_changed = now;
        self.ledgers
            .retain(|account, ledger| ledger.standby_since.is_some() || is_issuer(account));
    }

    /// Drops accounts that nobody has asked for lately and for which `is_limited` returns `false`.
    pub fn retain(&mut self, mut is_limited: impl FnMut(&Arc<str>) -> bool, now: Timestamp) {
        self.ledgers.retain(|account, ledger| {
            now.since(ledger.last_asked) < LEDGER_TTL || is_limited(account)
        });
    }

    /// Returns the accounts for which this process issues, with the level of their buckets as of the last
    /// request.
    pub fn levels(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let ledgers = self.ledgers.iter();
        ledgers.map(|(account, ledger)| (account, ledger.bucket.level()))
    }
}
