//! Payment for the requests of accounts with a limit.
//!
//! A request is paid for once a target has been chosen for it, and before it is sent for the first time. The
//! agents that issue what an account spends are asked unless the entry's prepaid balance suffices.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    AccountBounds, AccountDenial, AccountHolder, AccountHosts, Inquiry, Payment, PaymentSource,
    Purchase, PurchaseReply, PurchaseStep, RefusalReason, account_hosts,
};
use kumquatkeel_types::Timestamp;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::exchange::{Exchange, millis};
use super::state::{Shared, State};
use crate::gossip::{AccountReply, AccountRequest, Datagram, SilenceNotice};

/// Longest wait for the reply of an agent in the same region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest wait for the reply of an agent in another region.
const REMOTE_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Share of the time left until the objective for which a request may wait for its account's limit.
const WAIT_SHARE: f64 = 0.25;
/// Longest time for which a request may wait for its account's limit.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Highest cost of a request; a caller may state any number.
const MAX_COST: u64 = 1 << 32;
/// Most agents that are asked in a row for one request.
const MAX_INQUIRIES: u8 = 5;
/// Time after which a payment for a request that has not been sent is given back and asked for again, as
/// it would otherwise be spent in a later window.
const PAYMENT_TTL: Duration = Duration::from_secs(1);
/// `Retry-After` while no issuer replies: about the time until a standby issuer grants.
const SILENT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which the issuers of an account are remembered, which are found by ranking all agents.
const HOSTS_TTL: Duration = Duration::from_millis(500);

/// What an entry knows of accounts with a limit.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) holder: AccountHolder,
    /// A random number that identifies this start of the process.
    incarnation: u64,
    /// The requests that wait for a reply, by its number.
    waiters: HashMap<u64, oneshot::Sender<Reply>>,
    hosts: HashMap<Arc<str>, (Option<AccountHosts>, Timestamp)>,
}

impl AccountState {
    pub(super) fn new(bounds: AccountBounds) -> Self {
        Self {
            holder: AccountHolder::new(bounds, 0),
            incarnation: rand::random(),
            waiters: HashMap::new(),
            hosts: HashMap::new(),
        }
    }
}

/// What a reply means for the request that waits for it.
#[derive(Debug)]
enum Reply {
    Granted(Charge, Instant),
    Other(PurchaseReply),
}

/// Whether a request is paid for.
pub(super) enum ChargeStep {
    /// It may be sent.
    Paid,
    Unpaid(Unpaid),
}

/// What to do with a request that isn't paid for.
pub(super) enum Unpaid {
    /// Decide on it again at this time.
    Wait(Instant),
    /// Refuse it; it may be sent again after this time.
    Refuse(RefusalReason, Duration),
}

impl ChargeStep {
    /// Returns what to do if the request isn't paid for.
    pub(super) fn unpaid(self) -> Option<Unpaid> {
        match self {
            Self::Paid => None,
            Self::Unpaid(unpaid) => Some(unpaid),
        }
    }
}

/// How an inquiry ended.
enum Purchased {
    /// It may be sent from this time on.
    Paid(Charge, Instant),
    Denied(AccountDenial),
    Unserved,
}

/// What was paid for a request; given back when it is dropped unless it was used.
#[derive(Debug)]
pub(super) struct Charge {
    shared: Arc<Shared>,
    payment: Payment,
    due: Instant,
    used: bool,
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let now = self.shared.now();
        let Payment { account, cost, .. } = &self.payment;
        log::debug!(account:%, cost; "payment given back");
        self.shared
            .lock()
            .accounts
            .holder
            .refund(&self.payment, now);
    }
}

impl Exchange {
    /// Returns the time after which to come back if the account is known to be over its limit.
    pub(super) fn known_denial(&self) -> Option<Duration> {
        let purchase = self.purchase()?;
        let mut state = self.shared.lock();
        let denial = (state.accounts.holder).known_denial(&purchase, self.shared.now())?;
        drop(state);
        self.log_denial(&purchase, denial, true);
        Some(denial.retry_after)
    }

    /// Pays for the request if its account has a limit and nothing is paid yet.
    pub(super) async fn charge(&mut self) -> ChargeStep {
        let account = self.account.as_ref().map(|account| &account.name);
        let is_for_other = |charge: &Charge| account != Some(&charge.payment.account);
        // A newer configuration may have moved the key to another account. What may have run stays charged.
        let is_invalid = |charge: &Charge| charge.is_stale() || is_for_other(charge);
        if self.runs == 0 && self.charge.as_ref().is_some_and(is_invalid) {
            self.charge = None;
        }
        if let Some(charge) = &self.charge {
            return charge.step();
        }
        let Some(purchase) = self.purchase().filter(|_| self.runs == 0) else {
            return ChargeStep::Paid;
        };
        let purchased = self.shared.buy(&purchase, self.deadline()).await;
        let instruments = &self.shared.instruments;
        match purchased {
            Purchased::Paid(mut charge, due) => {
                let source = match charge.payment.source {
                    PaymentSource::Issuer(_) => "granted",
                    PaymentSource::Balance => "prepaid",
                    PaymentSource::Alone => "alone",
                };
                instruments.record_account(purchase.account, source);
                log::debug!(
                    request:% = self.request.attempt, account:% = purchase.account,
                    cost = purchase.cost, source;
                    "account charged"
                );
                charge.due = due;
                let step = charge.step();
                self.charge = Some(charge);
                step
            }
            Purchased::Denied(denial) => {
                self.log_denial(&purchase, denial, false);
                ChargeStep::Unpaid(Unpaid::Refuse(
                    RefusalReason::AccountLimit,
                    denial.retry_after,
                ))
            }
            Purchased::Unserved => {
                instruments.record_account(purchase.account, "unserved");
                log::info!(
                    request:% = self.request.attempt, account:% = purchase.account,
                    cost = purchase.cost;
                    "no issuer of the account's limit replies"
                );
                ChargeStep::Unpaid(Unpaid::Refuse(
                    RefusalReason::IssuerSilent,
                    SILENT_RETRY_AFTER,
                ))
            }
        }
    }

    /// Marks the payment as used, or as not used by any attempt so far.
    pub(super) fn set_charge_used(&mut self, used: bool) {
        if let Some(charge) = &mut self.charge {
            charge.used = used;
        }
    }

    /// Returns what is to be paid for; `None` if the account has no limit.
    fn purchase(&self) -> Option<Purchase<'_>> {
        let account = self.account.as_ref()?;
        let limit = account.limit.as_ref()?;
        Some(Purchase {
            account: &account.name,
            limit,
            version: self.config_version,
            cost: limit.cost(self.request.usage).min(MAX_COST),
            priority: self.route.priority,
            patience: self.remaining_objective().mul_f64(WAIT_SHARE).min(MAX_WAIT),
        })
    }

    fn log_denial(&self, purchase: &Purchase<'_>, denial: AccountDenial, known: bool) {
        let decision = if known { "denied_early" } else { "denied" };
        (self.shared.instruments).record_account(purchase.account, decision);
        log::info!(
            request:% = self.request.attempt, account:% = purchase.account, cost = purchase.cost,
            priority = purchase.priority, decision, level = denial.level, rate = denial.rate,
            retry_after_ms = millis(denial.retry_after);
            "account over its limit"
        );
    }
}

impl Charge {
    fn step(&self) -> ChargeStep {
        if Instant::now() < self.due {
            ChargeStep::Unpaid(Unpaid::Wait(self.due))
        } else {
            ChargeStep::Paid
        }
    }

    fn is_stale(&self) -> bool {
        !self.used && Instant::now() > self.due + PAYMENT_TTL
    }
}

impl Shared {
    fn charge_of(self: &Arc<Self>, payment: Payment) -> Charge {
        Charge {
            shared: self.clone(),
            payment,
            due: Instant::now(),
            used: false,
        }
    }

    /// Pays for a request, and asks agents where needed.
    async fn buy(self: &Arc<Self>, purchase: &Purchase<'_>, deadline: Instant) -> Purchased {
        let mut redirect = None;
        for _ in 0..MAX_INQUIRIES {
            if Instant::now() >= deadline {
                return Purchased::Unserved;
            }
            let (step, receiver) = self.begin_purchase(purchase, redirect.take());
            let inquiry = match step {
                PurchaseStep::Paid(payment) => {
                    return Purchased::Paid(self.charge_of(payment), Instant::now());
                }
                PurchaseStep::Denied(denial) => return Purchased::Denied(denial),
                PurchaseStep::Unserved => return Purchased::Unserved,
                PurchaseStep::Ask(inquiry) => inquiry,
            };
            match self.inquire(&inquiry, receiver).await {
                Some(Reply::Granted(charge, due)) => return Purchased::Paid(charge, due),
                Some(Reply::Other(PurchaseReply::Denied(denial))) => {
                    return Purchased::Denied(denial);
                }
                Some(Reply::Other(PurchaseReply::AskAgain(time))) => sleep(time).await,
                Some(Reply::Other(PurchaseReply::Redirect(host))) => redirect = Some(host),
                Some(Reply::Other(PurchaseReply::Granted(..))) | None => {}
            }
        }
        self.pay_without_issuer(purchase)
    }

    /// Pays from the balance or alone, after no agent has decided on the request.
    fn pay_without_issuer(self: &Arc<Self>, purchase: &Purchase<'_>) -> Purchased {
        let now = self.now();
        let step = (self.lock().accounts.holder).purchase(purchase, None, None, now);
        match step {
            PurchaseStep::Paid(payment) => Purchased::Paid(self.charge_of(payment), Instant::now()),
            PurchaseStep::Denied(denial) => Purchased::Denied(denial),
            PurchaseStep::Unserved | PurchaseStep::Ask(_) => Purchased::Unserved,
        }
    }

    /// Decides how a request is paid for; a reply to the inquiry, if any, comes to the receiver.
    fn begin_purchase(
        &self,
        purchase: &Purchase<'_>,
        redirect: Option<IpAddr>,
    ) -> (PurchaseStep, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let mut state = self.lock();
        let hosts = state.account_hosts(self, purchase.account, now);
        let holder = &mut state.accounts.holder;
        let step = holder.purchase(purchase, hosts, redirect, now);
        if let PurchaseStep::Ask(inquiry) = &step {
            let waiters = &mut state.accounts.waiters;
            waiters.retain(|_, waiter| !waiter.is_closed());
            waiters.insert(inquiry.number, sender);
        }
        (step, receiver)
    }

    /// Sends an inquiry, a second time after half of the time-out, and waits for the reply.
    async fn inquire(
        &self,
        inquiry: &Inquiry,
        mut receiver: oneshot::Receiver<Reply>,
    ) -> Option<Reply> {
        let remote = self
            .agent_hosts
            .borrow()
            .binary_search(&inquiry.host)
            .is_err();
        let reply_timeout = if remote {
            REMOTE_REPLY_TIMEOUT
        } else {
            REPLY_TIMEOUT
        };
        let incarnation = self.lock().accounts.incarnation;
        let request = Datagram::Account(AccountRequest {
            incarnation,
            number: inquiry.number,
            ask: inquiry.ask.clone(),
        });
        let agent = self.agent_at(inquiry.host);
        self.gossip.send(agent, &request);
        if let Ok(reply) = timeout(reply_timeout / 2, &mut receiver).await {
            return reply.ok();
        }
        self.gossip.send(agent, &request);
        if let Some(standby) = inquiry.standby {
            let notice = SilenceNotice {
                account: inquiry.ask.account.clone(),
                silent_ms: (reply_timeout / 2).as_millis() as u32,
            };
            let standby = self.agent_at(standby);
            self.gossip.send(standby, &Datagram::IssuerSilent(notice));
        }
        if let Ok(reply) = timeout(reply_timeout / 2, &mut receiver).await {
            return reply.ok();
        }
        let now = self.now();
        let mut state = self.lock();
        state.accounts.waiters.remove(&inquiry.number);
        state.accounts.holder.record_silence(inquiry.number, now);
        drop(state);
        log::info!(account:% = inquiry.ask.account, peer:% = agent; "issuer of the account's limit did not reply");
        None
    }

    /// Hands an agent's reply to the request that waits for it. What is granted to none is given back.
    pub(super) fn handle_account_reply(self: &Arc<Self>, reply: &AccountReply) {
        let now = self.now();
        let mut state = self.lock();
        let waiter = state.accounts.waiters.remove(&reply.number);
        let holder = &mut state.accounts.holder;
        let outcome = holder.record_reply(reply.number, reply.decision, now);
        drop(state);
        let reply = match outcome {
            None => return,
            Some(PurchaseReply::Granted(payment, delay)) => {
                Reply::Granted(self.charge_of(payment), Instant::now() + delay)
            }
            Some(other) => Reply::Other(other),
        };
        // The caller may have left; the charge is then dropped.
        drop(waiter.map(|waiter| waiter.send(reply)));
    }
}

impl State {
    /// Returns the hosts that issue what an account spends; `None` if no agent is known.
    fn account_hosts(
        &mut self,
        shared: &Shared,
        account: &Arc<str>,
        now: Timestamp,
    ) -> Option<AccountHosts> {
        let known = self.accounts.hosts.get(account);
        if let Some((hosts, _)) = known.filter(|(_, found)| now.since(*found) < HOSTS_TTL) {
            return *hosts;
        }
        let agents = self.objects.account_agents(&shared.settings.locality);
        let hosts = account_hosts(account, agents.map(|agent| (agent.host, agent.near)));
        let accounts = &mut self.accounts.hosts;
        accounts.retain(|_, (_, found)| now.since(*found) < HOSTS_TTL);
        accounts.insert(account.clone(), (hosts, now));
        hosts
    }
}
