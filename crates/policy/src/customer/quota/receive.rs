//! Messages of other hosts.

use std::time::Duration;

use types::{customer, host, time::Moment};

use super::{
    Admission, Quotas,
    coordinator::Denial,
    message::{Content, Entry, Message, RequestId, tokens},
};
use crate::{
    member::rendezvous,
    quota::{
        message::moment,
        peer::{Arrival, Peer},
    },
};

/// Number of earlier runs of a host that are remembered.
const MAX_ENDED: usize = 8;

/// Sender of a message.
struct Sender<'a> {
    host: &'a host::Id,
    run: host::Incarnation,
    /// When this host sent the latest message that the sender had read; `None` if the sender does
    /// not know this run.
    echo: Option<Moment>,
    arrival: Arrival,
}

impl Quotas {
    /// Processes a message. One that was received before, or is old, is ignored; one to an earlier
    /// run of this host is answered without its entries.
    pub fn receive(&mut self, from: &host::Id, message: &Message, now: Moment) {
        self.now = now;
        if self.has_ended(from, message.from) {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        let Some(arrival) = peer.receive(message.from, message.clock, now) else { return };
        self.silence.record_answer(from);
        if message.to != Some(self.run) {
            self.entries.entry(from.clone()).or_default();
        }
        if message.to.is_some_and(|to| to != self.run) {
            return;
        }
        let echo = message.to.map(|_| moment(message.echo));
        let sender = Sender { host: from, run: message.from, echo, arrival };
        for Entry { customer, content } in &message.entries {
            self.apply(&sender, customer, *content, now);
        }
    }

    /// Returns whether a run of a host has been followed by another one, and records if this run
    /// follows the known one.
    fn has_ended(&mut self, host: &host::Id, run: host::Incarnation) -> bool {
        if self.ended.get(host).is_some_and(|runs| runs.contains(&run)) {
            return true;
        }
        if let Some(known) = self.peers.get(host).and_then(Peer::run)
            && known != run
        {
            let runs = self.ended.entry(host.clone()).or_default();
            runs.push_back(known);
            if MAX_ENDED < runs.len() {
                runs.pop_front();
            }
        }
        false
    }

    fn apply(
        &mut self,
        sender: &Sender<'_>,
        customer: &customer::Id,
        content: Content,
        now: Moment,
    ) {
        match content {
            Content::Transfer { total, is_confirmed } => {
                self.on_transfer(sender, customer, total, is_confirmed, now);
            }
            Content::Acknowledgement { total, is_full } => {
                if let Some(account) = self.accounts.get_mut(customer)
                    && sender.arrival == Arrival::Newest
                {
                    account.on_acknowledgement(sender.host, sender.run, total, is_full);
                }
            }
            Content::Request { id, cost, extra } => {
                self.on_request(sender, customer, id, (cost, extra), now);
            }
            Content::Grant { id, tokens: granted } => {
                self.on_grant(sender.host, id, tokens(granted), now);
            }
            Content::Denial { id, empty_ms, spread_ms, after_ms } => {
                let denial = Denial {
                    empty: Duration::from_millis(empty_ms.into()),
                    spread: Duration::from_millis(spread_ms.into()),
                    after: Duration::from_millis(after_ms.into()),
                };
                self.on_denial(sender.host, id, denial, now);
            }
        }
    }

    fn on_transfer(
        &mut self,
        sender: &Sender<'_>,
        customer: &customer::Id,
        total: u64,
        is_confirmed: bool,
        now: Moment,
    ) {
        self.entries.entry(sender.host.clone()).or_default();
        let Some(echo) = sender.echo else { return };
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.coordinator.update(&account.sizes, now);
        let window = account.sizes.window;
        let is_fresh = now < echo + window;
        if is_fresh {
            account.coordinator.report(sender.host, is_confirmed, echo, window);
        }
        let run = (sender.host, sender.run);
        let most = account.sizes.host_cap;
        let answer = account.coordinator.on_transfer(run, total, is_fresh, most);
        self.push(sender.host, customer, answer);
    }

    fn on_request(
        &mut self,
        sender: &Sender<'_>,
        customer: &customer::Id,
        id: RequestId,
        amounts: (u64, u64),
        now: Moment,
    ) {
        self.entries.entry(sender.host.clone()).or_default();
        let fraction = self.sharers.fraction(now);
        let is_coordinator = self.coordinator(customer, now) == self.own;
        let Some(account) = self.accounts.get_mut(customer) else { return };
        if sender.echo.is_some_and(|echo| echo + account.sizes.window <= now) {
            return;
        }
        account.refill(fraction, now);
        if is_coordinator {
            account.transfer_to_self(&self.own, now);
        }
        let (run, sizes) = ((sender.host.clone(), sender.run), account.sizes);
        let answer = account.coordinator.on_request(run, id, amounts, &sizes, now);
        self.push(sender.host, customer, answer);
    }

    fn on_grant(&mut self, from: &host::Id, id: RequestId, granted: f64, now: Moment) {
        if let Some(pending) = self.requests.answered(id, from, now) {
            self.decisions.push((pending.ticket, Admission::Granted));
            self.counts.granted += 1;
            let Some(account) = self.accounts.get_mut(&pending.customer) else { return };
            account.clear_empty();
            if 0.0 < pending.extra {
                account.extra_answered();
            }
            account.record_admission(pending.cost, now);
            account.add(granted - pending.cost, now);
        } else if let Some(customer) = self.requests.granted_late(id, from)
            && let Some(account) = self.accounts.get_mut(&customer)
        {
            account.add(granted, now);
        }
    }

    fn on_denial(&mut self, from: &host::Id, id: RequestId, denial: Denial, now: Moment) {
        let Some(pending) = self.requests.answered(id, from, now) else { return };
        let after = self.spread(denial.after, pending.ticket);
        self.decisions.push((pending.ticket, Admission::Denied { after }));
        self.counts.denied += 1;
        let fraction = rendezvous::fraction(self.run, id);
        let Some(account) = self.accounts.get_mut(&pending.customer) else { return };
        account.record_denial(now);
        if 0.0 < pending.extra {
            account.extra_answered();
        }
        account.set_empty(from, pending.cost, denial, fraction, now);
    }
}
