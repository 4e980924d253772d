//! Quotas of customers, shared by all hosts: a distributed token bucket.
//!
//! Each host refills its part of each customer's rate into a local balance. For each customer one
//! host is the quota coordinator: the first live one in the rendezvous order of the customer's hash
//! bucket. Hosts transfer tokens that they don't need to the coordinator, as cumulative totals, and
//! request from it the tokens that they lack. A token exists at one place only, so hosts that
//! disagree on the coordinator grant no more together; [`sizes`] bounds what is stored.
//!
//! Failures: the balance of a coordinator that dies or is cut off is lost, and hosts turn to the next
//! one in the order after a short silence. A host that restarts begins with an empty balance. A host
//! that is cut off has its own part. The next coordinator stores little, and grants nothing beyond
//! its balance, until the earlier one has lost its reporters ([`coordinator`]).
//!
//! [`Quotas`] does no I/O: it takes messages and the current time, and returns messages to send.
//! Messages may be lost, late or duplicated.

pub mod message;
pub mod status;

mod account;
mod coordinator;
mod decay;
mod pending;
mod receive;
mod sharers;
mod silence;
mod sizes;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use types::{customer, host, routed::Customer, time::Moment};

use self::{
    account::Account,
    message::{Content, Entry, RequestId, millis},
    pending::{Due, Requests},
    sharers::Sharers,
    silence::Silence,
    sizes::Sizes,
};
pub use self::{
    message::Message,
    status::{Counts, Status},
};
use crate::{
    dispatch::Ticket,
    member::rendezvous,
    quota::{
        message::{Clock, clock},
        peer::Peer,
    },
};

/// Number of hosts for each hash bucket of customers.
const HOSTS_PER_BUCKET: u32 = 16;

/// Interval between two updates of all balances.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a caller may retry if no coordinator answered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(300);

/// Largest number of entries in a message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 16;

/// Largest number of customers in a [`Status`].
const MAX_LISTED: usize = 16;

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted, and charged.
    Granted,
    /// The decision follows in [`Quotas::decisions`].
    Waiting,
    /// The request is refused.
    Denied {
        /// Time after which the caller may retry.
        after: Duration,
    },
}

/// All quotas of customers as one host sees them.
#[derive(Clone, Debug)]
pub struct Quotas {
    own: host::Id,
    run: host::Incarnation,
    sharers: Sharers,
    /// Live hosts, including this one unless it is leaving.
    live: Vec<host::Id>,
    accounts: BTreeMap<customer::Id, Account>,
    /// Live hosts in the order in which they become coordinator, by hash bucket.
    rankings: Vec<Vec<host::Id>>,
    peers: BTreeMap<host::Id, Peer>,
    /// Earlier runs of other hosts, whose late messages are ignored.
    ended: BTreeMap<host::Id, VecDeque<host::Incarnation>>,
    silence: Silence,
    requests: Requests,
    decisions: Vec<(Ticket, Admission)>,
    /// Entries to send, by receiver.
    entries: BTreeMap<host::Id, Vec<Entry>>,
    clock: Clock,
    now: Moment,
    updated_at: Option<Moment>,
    /// Number of hosts for which the accounts' bounds were computed.
    hosts: u32,
    counts: Counts,
}

impl Quotas {
    /// Returns the state of a host without quotas. `run` identifies this process in messages.
    #[must_use]
    pub fn new(own: host::Id, run: host::Incarnation) -> Quotas {
        Quotas {
            live: vec![own.clone()],
            own,
            run,
            sharers: Sharers::default(),
            accounts: BTreeMap::new(),
            rankings: Vec::new(),
            peers: BTreeMap::new(),
            ended: BTreeMap::new(),
            silence: Silence::default(),
            requests: Requests::default(),
            decisions: Vec::new(),
            entries: BTreeMap::new(),
            clock: 0,
            now: Moment::ZERO,
            updated_at: None,
            hosts: 0,
            counts: Counts::default(),
        }
    }

    /// Applies the quotas of a declaration. Requests that wait under a quota that has vanished are
    /// admitted.
    pub fn declare(&mut self, customers: &[Customer], now: Moment) {
        let limited = customers.iter().filter_map(|one| Some((&one.name, one.quota?)));
        let limited: BTreeMap<_, _> = limited.collect();
        self.accounts.retain(|id, _| limited.contains_key(id));
        for (id, quota) in limited {
            let known = self.accounts.entry(id.clone());
            known.or_insert_with(|| Account::new(quota, 1, now)).quota = quota;
        }
        let is_lifted = |customer: &customer::Id| !self.accounts.contains_key(customer);
        for id in self.requests.ids(|pending| is_lifted(&pending.customer)) {
            let Some(pending) = self.requests.abandon(id, now) else { continue };
            self.decisions.push((pending.ticket, Admission::Granted));
        }
        self.hosts = 0;
        self.resize();
    }

    /// Charges a request to a customer's quota, if it has one.
    pub fn request(
        &mut self,
        customer: &customer::Id,
        cost: f64,
        ticket: Ticket,
        now: Moment,
    ) -> Admission {
        self.now = now;
        let fraction = self.sharers.fraction(now);
        let Some(account) = self.accounts.get_mut(customer) else { return Admission::Granted };
        account.record_demand(cost, now);
        account.refill(fraction, now);
        if account.charge(cost) {
            account.record_admission(cost, now);
            self.counts.granted += 1;
            return Admission::Granted;
        }
        let coordinator = self.coordinator(customer, now);
        let Some(account) = self.accounts.get_mut(customer) else { return Admission::Granted };
        if let Some(retry_at) = account.retry_at(cost, &coordinator, now) {
            account.record_denial(now);
            self.counts.denied += 1;
            return Admission::Denied { after: self.spread(retry_at.saturating_sub(now), ticket) };
        }
        if coordinator == self.own {
            return self.decide(customer, cost, ticket, now);
        }
        let account = self.accounts.get_mut(customer);
        let extra = account.map_or(0.0, |account| account.take_extra(cost, now));
        let id =
            self.requests.add(ticket, customer.clone(), (cost, extra), coordinator.clone(), now);
        self.send_request(id, &coordinator, now);
        Admission::Waiting
    }

    /// Decides on a request as the coordinator.
    fn decide(
        &mut self,
        customer: &customer::Id,
        cost: f64,
        ticket: Ticket,
        now: Moment,
    ) -> Admission {
        let Some(account) = self.accounts.get_mut(customer) else { return Admission::Granted };
        account.transfer_to_self(&self.own, now);
        let sizes = account.sizes;
        match account.coordinator.decide(&self.own, cost, 0.0, &sizes, now) {
            Ok(_) => {
                account.record_admission(cost, now);
                self.counts.granted += 1;
                Admission::Granted
            }
            Err(denial) => {
                account.record_denial(now);
                self.counts.denied += 1;
                Admission::Denied { after: self.spread(denial.after, ticket) }
            }
        }
    }

    /// Takes the decisions on waiting requests.
    pub fn decisions(&mut self, now: Moment) -> Vec<(Ticket, Admission)> {
        self.now = self.now.max(now);
        std::mem::take(&mut self.decisions)
    }

    /// Forgets a waiting request whose caller has left. Tokens that are granted for it are used
    /// otherwise.
    pub fn cancel(&mut self, ticket: Ticket) {
        for id in self.requests.ids(|pending| pending.ticket == ticket) {
            self.requests.abandon(id, self.now);
        }
        self.decisions.retain(|(decided, _)| *decided != ticket);
    }

    /// Sends the reports, transfers and token requests that are due.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        if self.accounts.is_empty() {
            return;
        }
        self.tick_requests(now);
        if self.updated_at.is_some_and(|at| now < at + UPDATE_INTERVAL) {
            return;
        }
        self.updated_at = Some(now);
        self.sharers.check_isolation(now);
        self.resize();
        let fraction = self.sharers.fraction(now);
        let customers: Vec<customer::Id> = self.accounts.keys().cloned().collect();
        for customer in customers {
            let coordinator = self.coordinator(&customer, now);
            let Some(account) = self.accounts.get_mut(&customer) else { continue };
            account.refill(fraction, now);
            account.coordinator.update(&account.sizes, now);
            if coordinator == self.own {
                account.transfer_to_self(&self.own, now);
            } else {
                self.report(&customer, &coordinator, now);
            }
        }
        self.greet(now);
    }

    /// Sends a report to a coordinator if it is due.
    fn report(&mut self, customer: &customer::Id, to: &host::Id, now: Moment) {
        let Some(run) = self.peers.get(to).and_then(Peer::run) else {
            if self.silence.is_greeting_due(to, now) {
                self.entries.entry(to.clone()).or_default();
                self.silence.record_sent(to, now);
            }
            return;
        };
        let Some(account) = self.accounts.get_mut(customer) else { return };
        if account.is_report_due(to, run, now) {
            let before = account.transferred();
            let content = account.report(to, run, now);
            self.counts.transferred += account.transferred() - before;
            self.push(to, customer, content);
            self.silence.record_sent(to, now);
        }
    }

    /// Greets silent hosts that would be coordinators, to learn when they answer again.
    fn greet(&mut self, now: Moment) {
        let mut silent = BTreeSet::new();
        for ranking in &self.rankings {
            let skipped = ranking.iter().filter(|host| **host != self.own);
            silent.extend(skipped.take_while(|host| self.silence.is_avoided(host)));
        }
        for host in silent {
            if self.silence.is_greeting_due(host, now) {
                self.entries.entry(host.clone()).or_default();
                self.silence.record_sent(host, now);
            }
        }
    }

    fn tick_requests(&mut self, now: Moment) {
        for (id, due) in self.requests.due(now) {
            let Some(pending) = self.requests.get(id) else { continue };
            let customer = pending.customer.clone();
            let cost = pending.cost;
            let fraction = self.sharers.fraction(now);
            let Some(account) = self.accounts.get_mut(&customer) else { continue };
            account.refill(fraction, now);
            if account.charge(cost) {
                account.record_admission(cost, now);
                self.conclude(id, Admission::Granted, now);
                self.counts.granted += 1;
                continue;
            }
            match due {
                Due::GiveUp => {
                    let ticket = self.requests.get(id).map_or(0, |pending| pending.ticket);
                    let after = self.spread(UNANSWERED_AFTER, ticket);
                    self.conclude(id, Admission::Denied { after }, now);
                    self.counts.unanswered += 1;
                }
                Due::Resend | Due::Next => self.try_again(id, &customer, cost, due, now),
            }
        }
    }

    /// Sends a token request again, to another coordinator if the earlier one is silent.
    fn try_again(
        &mut self,
        id: RequestId,
        customer: &customer::Id,
        cost: f64,
        due: Due,
        now: Moment,
    ) {
        let coordinator = self.coordinator(customer, now);
        if coordinator == self.own {
            let ticket = self.requests.get(id).map_or(0, |pending| pending.ticket);
            let admission = self.decide(customer, cost, ticket, now);
            self.conclude(id, admission, now);
            return;
        }
        self.requests.sent(id, coordinator.clone(), due, now);
        self.send_request(id, &coordinator, now);
    }

    /// Decides on a waiting request without the coordinator's answer.
    fn conclude(&mut self, id: RequestId, admission: Admission, now: Moment) {
        let Some(pending) = self.requests.abandon(id, now) else { return };
        self.decisions.push((pending.ticket, admission));
    }

    fn send_request(&mut self, id: RequestId, to: &host::Id, now: Moment) {
        let Some(pending) = self.requests.get(id) else { return };
        let (cost, extra) = (millis(pending.cost), millis(pending.extra));
        let customer = pending.customer.clone();
        self.push(to, &customer, Content::Request { id, cost, extra });
        self.silence.record_sent(to, now);
    }

    fn push(&mut self, to: &host::Id, customer: &customer::Id, content: Content) {
        let entry = Entry { customer: customer.clone(), content };
        self.entries.entry(to.clone()).or_default().push(entry);
    }

    /// Drains the messages to send, with their recipients.
    pub fn outgoing(&mut self) -> Vec<(host::Id, Message)> {
        let mut messages = Vec::new();
        for (host, entries) in std::mem::take(&mut self.entries) {
            let peer = self.peers.entry(host.clone()).or_default();
            // A message that names no receiver is always answered.
            let is_greeting = entries.is_empty() && self.silence.is_avoided(&host);
            let to = peer.run().filter(|_| !is_greeting);
            let echo = peer.clock();
            let chunks: Vec<&[Entry]> = match &entries[..] {
                [] => vec![&[]],
                entries => entries.chunks(MAX_ENTRIES).collect(),
            };
            for entries in chunks {
                self.clock = clock(self.now).max(self.clock + 1);
                let (from, entries) = (self.run, entries.to_vec());
                let message = Message { from, to, clock: self.clock, echo, entries };
                messages.push((host.clone(), message));
            }
        }
        messages
    }

    /// Sets how many hosts are registered, whether or not they run.
    pub fn set_listed(&mut self, hosts: u32) {
        self.sharers.set_listed(hosts);
    }

    /// Updates the other hosts that are known, whether each is heard from, and the live hosts that
    /// may be coordinators.
    pub fn update_hosts<'a>(
        &mut self,
        known: impl Iterator<Item = (&'a host::Id, bool)>,
        live: Vec<host::Id>,
        now: Moment,
    ) {
        let known: BTreeMap<&host::Id, bool> = known.collect();
        self.peers.retain(|host, _| known.contains_key(host));
        self.ended.retain(|host, _| known.contains_key(host));
        self.silence.retain(|host| known.contains_key(host));
        self.sharers.update(&known, now);
        let live = live.into_iter().collect::<BTreeSet<_>>().into_iter().collect();
        if self.live != live {
            self.live = live;
            self.hosts = 0;
        }
        self.resize();
    }

    /// Recomputes bounds and hash buckets if the number of hosts has changed.
    fn resize(&mut self) {
        let hosts = self.sharers.count();
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts;
        let buckets = hosts.div_ceil(HOSTS_PER_BUCKET).max(1);
        let ranking = |bucket: u32| rendezvous::ranking(&bucket.to_le_bytes(), &self.live);
        self.rankings = (0..buckets).map(ranking).collect();
        for (customer, account) in &mut self.accounts {
            account.sizes = Sizes::new(&account.quota, hosts);
            account.bucket = bucket(customer, buckets);
        }
    }

    /// Returns the first live host in the order of a customer's hash bucket that is not silent.
    fn coordinator(&mut self, customer: &customer::Id, now: Moment) -> host::Id {
        let account = self.accounts.get(customer);
        let ranking = account.and_then(|account| self.rankings.get(account.bucket));
        let mut hosts = ranking.into_iter().flatten();
        let (own, silence) = (&self.own, &mut self.silence);
        let first = hosts.find(|host| *host == own || !silence.check(host, now));
        first.unwrap_or(own).clone()
    }

    /// Spreads the time after which callers retry, by up to a factor of two.
    fn spread(&self, after: Duration, ticket: Ticket) -> Duration {
        after.mul_f64(1.0 + rendezvous::fraction(self.run, ticket))
    }

    /// Returns the customers that have begun or ceased to be over their quotas on this host since
    /// the last call.
    pub fn over_changes(&mut self, now: Moment) -> Vec<(customer::Id, bool)> {
        let accounts = self.accounts.iter_mut();
        accounts.filter_map(|(id, one)| Some((id.clone(), one.over_change(now)?))).collect()
    }

    /// Figures for metrics.
    #[must_use]
    pub fn status(&self, now: Moment) -> Status {
        let admitted = self.accounts.iter().map(|(id, one)| (id.clone(), one.admitted(now)));
        let mut customers: Vec<_> = admitted.collect();
        customers.sort_by(|one, other| other.1.total_cmp(&one.1));
        customers.truncate(MAX_LISTED);
        Status {
            counts: self.counts,
            balance: self.accounts.values().map(|one| one.coordinator.balance()).sum(),
            over: self.accounts.values().filter(|one| one.is_over(now)).count(),
            customers,
        }
    }
}

/// Returns the hash bucket of a customer.
fn bucket(customer: &customer::Id, buckets: u32) -> usize {
    (rendezvous::score(b"customer quota", customer) % u64::from(buckets)) as usize
}
