//! Quotas of customers: charges requests, and passes messages between hosts, the log and the
//! metrics.
//!
//! A request that waits for the answer of a quota coordinator holds a ticket. If its caller leaves,
//! the ticket is cancelled, and what is granted for it is used for other requests.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use exchange::fleet::Notice;
use observe::metrics::routed::{Admissions, Refusal};
use policy::{
    customer::quota::{Admission, Message, Quotas},
    dispatch::Ticket,
};
use tokio::sync::oneshot;
use types::{customer, prelude::*};

use crate::{call::Call, edge::Problem, host::Shared, log_limiter::LogLimiter};

/// Most customers whose quotas are logged apart, so that the limits on their messages are bounded.
const MAX_LOGGED: usize = 256;

/// Quotas of customers on this host.
pub(crate) struct CustomerQuotas {
    quotas: Mutex<Quotas>,
    waiting: Mutex<HashMap<Ticket, oneshot::Sender<Admission>>>,
    /// Limits the messages on each customer that begins to be over its quota.
    logs: Mutex<HashMap<customer::Id, LogLimiter>>,
}

impl CustomerQuotas {
    pub(crate) fn new(own: host::Id, run: host::Incarnation) -> CustomerQuotas {
        CustomerQuotas {
            quotas: Mutex::new(Quotas::new(own, run)),
            waiting: Mutex::default(),
            logs: Mutex::default(),
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Admission>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a message on a customer is due.
    fn is_log_due(&self, customer: &customer::Id, now: Moment) -> bool {
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        if MAX_LOGGED <= logs.len() && !logs.contains_key(customer) {
            return false;
        }
        logs.entry(customer.clone()).or_default().is_due(now)
    }
}

/// Charges a request to its customer's quota, and waits until it is admitted.
///
/// # Errors
///
/// The quota is used up.
pub(crate) async fn admit(shared: &Shared, call: &Call) -> Result<(), Problem> {
    let caller = call.caller.current();
    let Some(customer) = caller.customer() else { return Ok(()) };
    let Some(quota) = &customer.quota else { return Ok(()) };
    let info = &call.request.info;
    let tokens = u64::from(info.tokens_in) + u64::from(info.tokens_out);
    let cost = quota.cost((0 < tokens).then_some(tokens));
    let admission = shared.charge(&customer.name, cost, call.request.ticket).await;
    match admission {
        Admission::Granted => Ok(()),
        Admission::Denied { after } => {
            call.trace.refused(Refusal::Quota, call.time_left(shared), Some(after));
            Err(Problem::OverQuota(after))
        }
        Admission::Waiting => Err(call.timed_out()),
    }
}

/// A request that waits for a decision. Dropping it cancels the request.
struct WaitGuard<'a> {
    shared: &'a Shared,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.shared.customer_quotas.waiting().remove(&self.ticket).is_some() {
            self.shared.customer_quotas().cancel(self.ticket);
        }
    }
}

impl Shared {
    /// Locks the quotas of customers. No other lock may be taken meanwhile.
    pub(crate) fn customer_quotas(&self) -> MutexGuard<'_, Quotas> {
        self.customer_quotas.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges a request to a quota. The result is `Waiting` only if this host is about to stop.
    async fn charge(&self, customer: &customer::Id, cost: f64, ticket: Ticket) -> Admission {
        let (sender, receiver) = oneshot::channel();
        self.customer_quotas.waiting().insert(ticket, sender);
        let _guard = WaitGuard { shared: self, ticket };
        let admission = self.customer_quotas().request(customer, cost, ticket, self.now());
        if admission != Admission::Waiting {
            self.customer_quotas.waiting().remove(&ticket);
            return admission;
        }
        self.dispatch_wakeup.notify_one();
        receiver.await.unwrap_or(Admission::Waiting)
    }

    /// Applies another host's message on quotas of customers.
    pub(crate) fn customer_quota_received(&self, from: &host::Id, message: &Message) {
        self.customer_quotas().receive(from, message, self.now());
        self.drain_customer_quotas();
    }

    /// Passes the other hosts to the quotas of customers.
    pub(crate) fn customer_quota_hosts<'a>(
        &self,
        known: impl Iterator<Item = (&'a host::Id, bool)>,
        live: Vec<host::Id>,
    ) {
        self.customer_quotas().update_hosts(known, live, self.now());
    }

    /// Lets the quotas of customers advance, and delivers their messages and decisions.
    pub(crate) fn pump_customer_quotas(&self) {
        let now = self.now();
        let mut quotas = self.customer_quotas();
        quotas.tick(now);
        let changes = quotas.over_changes(now);
        drop(quotas);
        self.drain_customer_quotas();
        for (customer, is_over) in changes {
            if !self.customer_quotas.is_log_due(&customer, now) {
                continue;
            }
            match is_over {
                true => log::warn!(customer = &*customer; "requests exceed the customer's quota"),
                false => log::info!(customer = &*customer; "requests are within the quota again"),
            }
        }
    }

    fn drain_customer_quotas(&self) {
        let mut quotas = self.customer_quotas();
        let (messages, decisions) = (quotas.outgoing(), quotas.decisions(self.now()));
        drop(quotas);
        let notices =
            messages.into_iter().map(|(to, message)| (to, Notice::CustomerQuota(message)));
        self.send_once(notices);
        for (ticket, admission) in decisions {
            if let Some(sender) = self.customer_quotas.waiting().remove(&ticket) {
                // A request whose caller leaves at this moment is charged.
                let _ = sender.send(admission);
            }
        }
    }

    /// Updates the metrics of the quotas of customers.
    pub(crate) fn update_customer_metrics(&self) {
        let status = self.customer_quotas().status(self.now());
        self.meters.admissions(Admissions::Granted, status.counts.granted);
        self.meters.admissions(Admissions::Denied, status.counts.denied);
        self.meters.admissions(Admissions::Unanswered, status.counts.unanswered);
        self.meters.customer_tokens(status.counts.transferred, status.balance, status.over);
        for (customer, rate) in &status.customers {
            self.meters.customer_rate(customer, *rate);
        }
    }
}
